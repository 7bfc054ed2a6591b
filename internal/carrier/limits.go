package carrier

import "github.com/mangoweir/mangoweir/core"

// Limits of datagrams, in bytes.
const (
	// MaxDatagram is the size limit of datagrams that are sent or accepted.
	MaxDatagram = 4096
	// MaxMessage is the size limit of accepted CoAP messages. It leaves space for the largest header that
	// this package writes and for options that are added when a message is passed on.
	MaxMessage = MaxDatagram - maxHeader - maxGrowth
	// TokenSize is the size of an attempt's token.
	TokenSize = 8
	// maxHeader is the size of a PROXY header for IPv6 without additional fields.
	maxHeader = 16 + 36
	// maxGrowth bounds the bytes that re-encoding adds to a message: a longer token, the deadline option or
	// the Observe option.
	maxGrowth = 64
	// maxOptions is the limit of the number of options of a message.
	maxOptions = 64
	// maxDeadlineMillis is the largest deadline that is passed on, in milliseconds.
	maxDeadlineMillis = uint32(core.MaxDeadline / 1e6)
)
