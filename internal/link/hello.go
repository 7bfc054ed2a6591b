package link

import (
	"bufio"
	"io"
	"net"

	"github.com/juju/errors"
	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// hello returns what this VM says about itself.
func (m *Manager) hello(peer core.VMName, linkID uint64) *wire.Hello {
	return &wire.Hello{
		Name:        m.cfg.Name,
		Zone:        m.cfg.Zone,
		Incarnation: m.cfg.Incarnation,
		MinVersion:  m.cfg.MinVersion,
		MaxVersion:  m.cfg.MaxVersion,
		LinkID:      linkID,
		Peer:        peer,
	}
}

// negotiate returns the version to speak with the sender of a Hello.
func (m *Manager) negotiate(h *wire.Hello) (wire.Version, error) {
	return wire.Negotiate(m.cfg.MinVersion, m.cfg.MaxVersion, h.MinVersion, h.MaxVersion)
}

func sendHello(conn net.Conn, h *wire.Hello) error {
	data, err := wire.EncodeHello(h)
	if err != nil {
		return err
	}
	_, err = conn.Write(appendFrame([]byte(magic), data))
	return err
}

// receiveHello reads no more than the Hello, so that yamux can take over the connection.
func receiveHello(conn net.Conn) (*wire.Hello, error) {
	start := make([]byte, len(magic))
	if _, err := io.ReadFull(conn, start); err != nil {
		return nil, errors.Annotate(err, "receive Hello")
	}
	if string(start) != magic {
		return nil, newError(ErrNoHello, "starts with %q", start)
	}
	data, _, err := readFrame(bufio.NewReaderSize(&byteReader{conn}, 1), nil, maxHello)
	if err != nil {
		return nil, errors.Annotate(err, "receive Hello")
	}
	return wire.DecodeHello(data)
}

// byteReader returns at most one byte per Read, so that a buffered reader never reads ahead.
type byteReader struct{ io.Reader }

func (r *byteReader) Read(p []byte) (int, error) {
	return r.Reader.Read(p[:min(len(p), 1)])
}
