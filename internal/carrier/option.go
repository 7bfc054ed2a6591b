package carrier

import (
	"encoding/binary"
	"slices"

	"github.com/plgd-dev/go-coap/v3/message"
)

// Options of CoAP messages that this package reads or writes.
const (
	// OptionObserve registers a live feed and numbers its notifications (RFC 7641).
	OptionObserve = message.Observe
	// OptionPath is a segment of the URI path.
	OptionPath = message.URIPath
	// OptionQuery is an argument of the URI query.
	OptionQuery = message.URIQuery
	// OptionMaxAge is, in a refusal, the retry-after time in seconds.
	OptionMaxAge = message.MaxAge
	// OptionBlock1 numbers the blocks of a request's body (RFC 7959).
	OptionBlock1 = message.Block1
	// OptionRequestTag identifies a request instead of its token and message id (RFC 9175).
	OptionRequestTag = message.RequestTag
	// OptionDeadline is the remaining time in milliseconds (uint).
	OptionDeadline message.OptionID = 65000
	// OptionRunStatus states in a refusal whether the request may have run (uint).
	OptionRunStatus message.OptionID = 65004
	// OptionLoadReport is the load that a target reports in its answers (opaque, see Report).
	OptionLoadReport message.OptionID = 65008
)

// Values of OptionObserve in requests.
const (
	ObserveRegister   = 0
	ObserveDeregister = 1
)

// Values of OptionRunStatus.
const (
	RunStatusNotRun  = 0
	RunStatusUnknown = 1
)

// UploadPath is the first path segment of requests in the upload class.
const UploadPath = "upload"

// OptionValue returns the value of the first option with the given id.
func OptionValue(m *message.Message, id message.OptionID) ([]byte, bool) {
	for i := range m.Options {
		if m.Options[i].ID == id {
			return m.Options[i].Value, true
		}
	}
	return nil, false
}

// OptionUint returns the value of the first option with the given id as an unsigned number. It returns
// false when there is none or when it is longer than 4 bytes.
func OptionUint(m *message.Message, id message.OptionID) (uint32, bool) {
	v, ok := OptionValue(m, id)
	if !ok || len(v) > 4 {
		return 0, false
	}
	var n uint32
	for _, b := range v {
		n = n<<8 | uint32(b)
	}
	return n, true
}

// SetOption replaces all options with the given id by one option.
func SetOption(m *message.Message, id message.OptionID, value []byte) {
	RemoveOption(m, id)
	AddOption(m, id, value)
}

// SetOptionUint replaces all options with the given id by one option with a numeric value.
func SetOptionUint(m *message.Message, id message.OptionID, value uint32) {
	SetOption(m, id, uintBytes(value))
}

// AddOption inserts an option after the options with lower or equal ids.
func AddOption(m *message.Message, id message.OptionID, value []byte) {
	at := len(m.Options)
	for at > 0 && m.Options[at-1].ID > id {
		at--
	}
	m.Options = slices.Insert(m.Options, at, message.Option{ID: id, Value: value})
}

// RemoveOption removes all options with the given id.
func RemoveOption(m *message.Message, id message.OptionID) {
	m.Options = slices.DeleteFunc(m.Options, func(o message.Option) bool { return o.ID == id })
}

// uintBytes returns the shortest big-endian encoding, which is empty for 0 (RFC 7252, 3.2).
func uintBytes(v uint32) []byte {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], v)
	i := 0
	for i < len(b) && b[i] == 0 {
		i++
	}
	return b[i:]
}
