package carrier

import "fmt"

// Kind is the kind of an Error.
type Kind uint8

// Kinds of errors.
const (
	// KindTooLarge: the datagram or the message exceeds MaxDatagram or MaxMessage.
	KindTooLarge Kind = iota
	// KindHeader: the PROXY header is malformed or for a protocol other than UDP.
	KindHeader
	// KindMessage: the CoAP message is malformed.
	KindMessage
	// KindOption: a critical option has an invalid value.
	KindOption
	// KindToken: the token of a target's answer does not have the size of an attempt's token.
	KindToken
	// KindUnexpected: the message is valid CoAP but not allowed in this direction.
	KindUnexpected
	// NumKinds is the number of kinds.
	NumKinds
)

// String returns the name that is used in logs and metrics.
func (k Kind) String() string {
	names := [NumKinds]string{"too_large", "header", "message", "option", "token", "unexpected"}
	if k < NumKinds {
		return names[k]
	}
	return "unknown"
}

// remedy returns what the sender of the datagram must change.
func (k Kind) remedy() string {
	remedies := [NumKinds]string{
		"send at most 4 KB per datagram and use block-wise transfer for more",
		"send a PROXY v2 header for UDP over IPv4 or IPv6",
		"send one CoAP message as specified in RFC 7252",
		"correct the option's value",
		"return the token of the request unchanged",
		"send requests to VMs and responses to clients",
	}
	if k < NumKinds {
		return remedies[k]
	}
	return ""
}

// Error is the reason why a datagram could not be decoded or encoded.
type Error struct {
	Kind Kind
	Err  error
}

// Error returns the cause and its remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("carrier: %s: %v; %s", e.Kind, e.Err, e.Kind.remedy())
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// newError returns an Error of a kind with a formatted cause.
func newError(kind Kind, format string, args ...any) error {
	return &Error{Kind: kind, Err: fmt.Errorf(format, args...)}
}
