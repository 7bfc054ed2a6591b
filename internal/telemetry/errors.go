package telemetry

import (
	"fmt"

	"github.com/juju/errors"
)

// Kinds of errors, to be tested with errors.Is. Each message names the remedy.
const (
	// ErrLogSettings: the log format or level is unknown.
	ErrLogSettings = errors.ConstError("invalid log settings: use format text or json and level debug, info, warn or error")
	// ErrListen: the HTTP server cannot listen on its address.
	ErrListen = errors.ConstError("cannot serve metrics and status: free the port or change listen.http in the settings")
	// ErrTraceSettings: the settings of traces are invalid or contradict each other.
	ErrTraceSettings = errors.ConstError("invalid trace settings: set either a file or an http(s) endpoint, and a ratio from 0 to 1")
	// ErrTraceFile: the file for traces cannot be written.
	ErrTraceFile = errors.ConstError("cannot write traces: check the file's path and permissions")
)

// newError returns an error of the given kind with details.
func newError(kind errors.ConstError, format string, args ...any) error {
	return errors.WithType(errors.Errorf("%s (%s)", kind, fmt.Sprintf(format, args...)), kind)
}
