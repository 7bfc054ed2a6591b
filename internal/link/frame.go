package link

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/mangoweir/mangoweir/internal/wire"
)

// magic precedes the Hello on every connection, so that other protocols are refused at once.
const magic = "MGW1"

// appendFrame appends an envelope behind its length, a uvarint.
func appendFrame(dst, envelope []byte) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(envelope)))
	return append(dst, envelope...)
}

// readFrame reads a frame into buf, which it grows when needed. It returns the envelope and the
// frame's size.
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
