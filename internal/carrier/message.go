package carrier

import (
	"errors"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/udp/coder"
)

// ParseMessage parses a CoAP message. The result shares memory with b. Errors have KindTooLarge or
// KindMessage.
func ParseMessage(b []byte) (message.Message, error) {
	if len(b) > MaxMessage {
		return message.Message{}, newError(KindTooLarge, "message has %d bytes", len(b))
	}
	m := message.Message{Options: make(message.Options, 0, 16)}
	_, err := coder.DefaultCoder.Decode(b, &m)
	if errors.Is(err, message.ErrOptionsTooSmall) {
		m.Options = make(message.Options, 0, maxOptions)
		_, err = coder.DefaultCoder.Decode(b, &m)
	}
	if err != nil {
		return message.Message{}, &Error{Kind: KindMessage, Err: err}
	}
	if m.Code == codes.Empty && len(b) != 4 {
		return message.Message{}, newError(KindMessage, "empty message has %d bytes", len(b))
	}
	return m, nil
}

// AppendMessage appends an encoded message to dst. Errors have KindMessage.
func AppendMessage(dst []byte, m *message.Message) ([]byte, error) {
	size, err := coder.DefaultCoder.Size(*m)
	if err != nil {
		return dst, &Error{Kind: KindMessage, Err: err}
	}
	start := len(dst)
	dst = append(dst, make([]byte, size)...)
	if _, err := coder.DefaultCoder.Encode(*m, dst[start:]); err != nil {
		return dst[:start], &Error{Kind: KindMessage, Err: err}
	}
	return dst, nil
}

// AppendDatagram appends the datagram of a header and a message to dst. Errors have KindHeader,
// KindMessage or KindTooLarge.
func AppendDatagram(dst []byte, h Header, m *message.Message) ([]byte, error) {
	start := len(dst)
	dst, err := AppendHeader(dst, h)
	if err != nil {
		return dst[:start], err
	}
	dst, err = AppendMessage(dst, m)
	if err != nil {
		return dst[:start], err
	}
	if size := len(dst) - start; size > MaxDatagram {
		return dst[:start], newError(KindTooLarge, "datagram has %d bytes", size)
	}
	return dst, nil
}

// isRequest reports whether a code is that of a request.
func isRequest(c codes.Code) bool { return c>>5 == 0 && c != codes.Empty }

// isResponse reports whether a code is that of a response.
func isResponse(c codes.Code) bool { return c>>5 == 2 || c>>5 == 4 || c>>5 == 5 }
