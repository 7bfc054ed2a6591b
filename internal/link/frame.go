package link

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/mangoweir/mangoweir/internal/wire"
)

// magic precedes the Hello on every connection, so that connections of other protocols are refused at
// once.
const magic = "MGW1"

// appendFrame appends the length of an envelope as a uvarint, followed by the envelope.
func appendFrame(dst, envelope []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(envelope)))
	return append(dst, envelope...)
}

// readFrame reads a frame into buf, or into a larger buffer when needed. It returns the envelope and
// the frame's size in bytes. Errors: wire.ErrTooLarge, or an error of r.
func readFrame(r *bufio.Reader, buf []byte, limit int) (envelope []byte, size int, err error) {
	n, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, 0, err
	}
	if n > uint64(limit) {
		return nil, 0, newError(wire.ErrTooLarge, "%d bytes, limit %d", n, limit)
	}
	if uint64(cap(buf)) < n {
		buf = make([]byte, n)
	}
	buf = buf[:n]
	if _, err := io.ReadFull(r, buf); err != nil {
		return nil, 0, err
	}
	return buf, len(binary.AppendUvarint(nil, n)) + int(n), nil
}
