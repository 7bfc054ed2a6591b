package cli

import (
	"errors"
	"fmt"

	"github.com/mangoweir/mangoweir/internal/jsonc"
	"github.com/mangoweir/mangoweir/internal/platform"
)

// usageError is an error in the command line.
type usageError struct{ err error }

// Error returns the cause and names the command that prints help.
func (e *usageError) Error() string { return fmt.Sprintf("%v; see mangoweir help", e.err) }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error { return &usageError{fmt.Errorf(format, args...)} }

// fileError reports that a file on the command line cannot be read.
type fileError struct{ err error }

// Error returns the cause, which names the file.
func (e *fileError) Error() string { return fmt.Sprintf("read file: %v", e.err) }

// Unwrap returns the cause.
func (e *fileError) Unwrap() error { return e.err }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var (
		usage    *usageError
		file     *fileError
		problems *jsonc.Problems
		config   *configError
		unknown  *platform.UnknownOutcomeError
	)
	switch {
	case errors.As(err, &unknown):
		return ExitUnknownOutcome
	case errors.As(err, &usage), errors.As(err, &file), errors.As(err, &problems),
		errors.As(err, &config):
		return ExitUsage
	default:
		return ExitFailed
	}
}
