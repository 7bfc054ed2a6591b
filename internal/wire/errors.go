package wire

import (
	"fmt"

	"github.com/juju/errors"
)

// Kinds of errors; check for them with errors.Is. Each message names the remedy.
const (
	// ErrTooLarge: the message exceeds its size limit.
	ErrTooLarge = errors.ConstError("message too large: split it or shorten its lists")
	// ErrMalformed: the bytes are not an envelope.
	ErrMalformed = errors.ConstError("malformed message: check that the sender is a mangoweir peer port")
	// ErrInvalid: a field has a value that no VM sends.
	ErrInvalid = errors.ConstError("invalid message: check the sender's release")
	// ErrUnknownKind: the envelope contains a message kind that this release does not support.
	ErrUnknownKind = errors.ConstError("unknown message kind: upgrade this VM to the sender's release")
	// ErrUnsupportedVersion: this release does not support the protocol version.
	ErrUnsupportedVersion = errors.ConstError("unsupported protocol version: run releases that are at most one apart")
	// ErrNoCommonVersion: two VMs have no protocol version in common.
	ErrNoCommonVersion = errors.ConstError("no common protocol version: upgrade the older VM one release at a time")
)

// newError returns an error of the given kind with details.
func newError(kind errors.ConstError, format string, args ...any) error {
	return errors.WithType(errors.Errorf("%s (%s)", kind, fmt.Sprintf(format, args...)), kind)
}
