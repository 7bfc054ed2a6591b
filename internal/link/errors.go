package link

import (
	"fmt"

	"github.com/juju/errors"
)

// Kinds of errors; check for them with errors.Is. Each message names the remedy.
const (
	// ErrListen: the peer port cannot be opened.
	ErrListen = errors.ConstError("cannot listen for peers: free the port or change the listen address")
	// ErrConfig: a required field of Config is missing.
	ErrConfig = errors.ConstError("incomplete link configuration: set name, zone, listen address and callbacks")
	// ErrNoHello: a connection did not start with a Hello.
	ErrNoHello = errors.ConstError("not a peer: let only entry VMs reach the peer port")
	// ErrWrongPeer: the VM is not the intended one, or its certificate is for another name.
	ErrWrongPeer = errors.ConstError("wrong peer: check names, addresses and certificates of the VMs")
	// ErrTLS: the TLS handshake failed.
	ErrTLS = errors.ConstError("TLS handshake failed: check that both VMs have unexpired certificates of the same CA")
	// ErrDuplicate: another connection to the peer is kept.
	ErrDuplicate = errors.ConstError("duplicate connection: the existing link stays in use")
	// ErrTooManyHandshakes: the limit of handshakes in progress is reached.
	ErrTooManyHandshakes = errors.ConstError("too many connections: let only entry VMs reach the peer port")
)

// newError returns an error of the given kind with details.
func newError(kind errors.ConstError, format string, args ...any) error {
	return errors.WithType(errors.Errorf("%s (%s)", kind, fmt.Sprintf(format, args...)), kind)
}
