package carrier

import "github.com/mangoweir/mangoweir/core"

// Limits of datagrams, in bytes.
const (
	// MaxDatagram is the size of the largest datagram that is sent or accepted.
	MaxDatagram = 4096
	// MaxMessage is the size of the largest CoAP message that is accepted. It leaves room for the
	// largest header that this package writes and for options that are added on the way.
	MaxMessage = MaxDatagram - maxHeader - maxGrowth
	// TokenSize is the size of the token of an attempt.
	TokenSize = 8
	// maxHeader is the size of a PROXY header for IPv6 without additional fields.
	maxHeader = 16 + 36
	// maxGrowth bounds what re-encoding a message adds: a longer token, the deadline or the Observe
	// option.
	maxGrowth = 64
	// maxOptions bounds the options of a message.
	maxOptions = 64
	// maxDeadlineMillis is the largest deadline that is passed on.
	maxDeadlineMillis = uint32(core.MaxDeadline / 1e6)
)
