package keys

import (
	"fmt"

	"github.com/juju/errors"
)

// Kinds of errors; test for them with errors.Is. Each message names the remedy.
const (
	// ErrRead: a file is missing or cannot be read.
	ErrRead = errors.ConstError("cannot read certificate file: check the path and the user's permissions, or run mangoweir keys")
	// ErrWrite: a file cannot be written.
	ErrWrite = errors.ConstError("cannot write certificate file: check the directory and its permissions")
	// ErrExists: a file would be overwritten.
	ErrExists = errors.ConstError("file exists: choose another directory, or give --renew to replace a certificate")
	// ErrFormat: a file does not hold what its name says.
	ErrFormat = errors.ConstError("malformed certificate file: create it again with mangoweir keys")
	// ErrKeyMode: others than the owner can read a key.
	ErrKeyMode = errors.ConstError("key file is open to others: set its mode to 0600")
	// ErrKeyMismatch: key and certificate do not belong together.
	ErrKeyMismatch = errors.ConstError("key does not match certificate: copy both files of the same VM")
	// ErrExpired: a certificate's time is over.
	ErrExpired = errors.ConstError("certificate has expired: issue a new one with mangoweir keys")
	// ErrNotYetValid: a certificate's time has not begun.
	ErrNotYetValid = errors.ConstError("certificate is not valid yet: check this VM's clock")
	// ErrNameMismatch: a certificate is for another VM.
	ErrNameMismatch = errors.ConstError("certificate is for another name: use the files issued for this VM")
	// ErrUsage: a certificate does not allow both sides of a link.
	ErrUsage = errors.ConstError("certificate lacks client or server usage: issue it with mangoweir keys")
	// ErrUnknownAuthority: a certificate is not signed by the given authority.
	ErrUnknownAuthority = errors.ConstError("certificate is not signed by ca.pem: use the ca.pem that all VMs share")
	// ErrInvalidName: a name cannot stand in a certificate.
	ErrInvalidName = errors.ConstError("invalid VM name: use 1 to 63 letters, digits, dots, hyphens and underscores, not \"ca\" and no name that ends in \"-key\"")
)

// newError returns an error of the given kind with details.
func newError(kind errors.ConstError, format string, args ...any) error {
	return errors.WithType(errors.Errorf("%s (%s)", kind, fmt.Sprintf(format, args...)), kind)
}
