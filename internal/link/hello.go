package link

import (
	"bufio"
	"io"
	"net"

	"github.com/juju/errors"
	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// ownHello returns the Hello of this VM to a peer.
func (m *Manager) ownHello(peer core.VMName, linkID uint64) *wire.Hello {
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

// negotiate returns the protocol version to use with the sender of a Hello.
func (m *Manager) negotiate(peerHello *wire.Hello) (wire.Version, error) {
	return wire.Negotiate(m.cfg.MinVersion, m.cfg.MaxVersion, peerHello.MinVersion, peerHello.MaxVersion)
}

func sendHello(conn net.Conn, h *wire.Hello) error {
	data, err := wire.EncodeHello(h)
	if err != nil {
		return err
	}
	_, err = conn.Write(appendFrame([]byte(magic), data))
	return err
}

// receiveHello receives a Hello. It reads no bytes beyond the Hello, because those are for yamux.
func receiveHello(conn net.Conn) (*wire.Hello, error) {
	prefix := make([]byte, len(magic))
	if _, err := io.ReadFull(conn, prefix); err != nil {
		return nil, errors.Annotate(err, "receive Hello")
	}
	if string(prefix) != magic {
		return nil, newError(ErrNoHello, "connection starts with %q", prefix)
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
