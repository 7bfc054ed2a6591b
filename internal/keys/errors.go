package keys

import (
	"fmt"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/core"
)

// Kinds of errors, to be tested with errors.Is. Each message names the remedy.
const (
	// ErrRead: a file is missing or cannot be read.
	ErrRead = errors.ConstError("cannot read certificate file: check the path and the user's permissions, or run mangoweir keys")
	// ErrWrite: a file cannot be written.
	ErrWrite = errors.ConstError("cannot write certificate file: check the directory and its permissions")
	// ErrExists: a file already exists and would be overwritten.
	ErrExists = errors.ConstError("file exists: choose another directory, or give --renew to replace a certificate")
	// ErrFormat: a file does not contain the certificate or key that it should.
	ErrFormat = errors.ConstError("malformed certificate file: create it again with mangoweir keys")
	// ErrKeyMode: the mode of a key file gives access to users other than the file's owner.
	ErrKeyMode = errors.ConstError("key file is accessible to other users: set its mode to 0600")
	// ErrKeyMismatch: key and certificate do not belong together.
	ErrKeyMismatch = errors.ConstError("key does not match certificate: copy both files of the same VM")
	// ErrExpired: the validity of a certificate is over.
	ErrExpired = errors.ConstError("certificate has expired: issue a new one with mangoweir keys")
	// ErrNotYetValid: the validity of a certificate has not begun.
	ErrNotYetValid = errors.ConstError("certificate is not valid yet: check this VM's clock")
	// ErrNameMismatch: a certificate is for another VM.
	ErrNameMismatch = errors.ConstError("certificate is for another name: use the files issued for this VM")
	// ErrUsage: a certificate does not have the usages of both sides of a link, client and server.
	ErrUsage = errors.ConstError("certificate lacks client or server usage: issue it with mangoweir keys")
	// ErrUnknownAuthority: a certificate is not signed by the given authority.
	ErrUnknownAuthority = errors.ConstError("certificate is not signed by ca.pem: use the ca.pem that all VMs share")
	// ErrInvalidName: a certificate cannot be issued for a VM name.
	ErrInvalidName = errors.ConstError("invalid VM name: " + core.NameRemedy + ", not \"ca\" and no name that ends in \"-key\"")
)

// newError returns an error of the given kind with details.
func newError(kind errors.ConstError, format string, args ...any) error {
	return errors.WithType(errors.Errorf("%s (%s)", kind, fmt.Sprintf(format, args...)), kind)
}
