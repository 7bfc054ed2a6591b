package apicall

import (
	"errors"
	"fmt"
	"time"
)

// ConflictError reports that an object has another version than a conditional write expected.
type ConflictError struct {
	Key string
	// Expected is the version that the write was conditional on, Version the version in force.
	Expected uint64
	Version  uint64
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s was changed by someone else: version %d is in force, expected %d; read it and try again",
		e.Key, e.Version, e.Expected)
}

// UnavailableError reports that the platform cannot be reached or does not serve. Nothing was written.
type UnavailableError struct {
	Op  string
	Err error
}

// Error names the call and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s: the platform is unavailable: %v; try again later", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports that no response to a write arrived. The write may have taken effect.
type UnknownOutcomeError struct {
	Op  string
	Err error
}

// Error names the call and the cause.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s: outcome unknown: %v; read the object before writing again", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// IncompleteResponseError reports that a response to a read began, but did not end in time or within the maximum size.
// The server serves the caller; the same call is likely to fail again.
type IncompleteResponseError struct {
	Op string
	// Bytes is the number of bytes of the body that arrived.
	Bytes int
	Err   error
}

// Error names the call, the bytes that arrived and the cause.
func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("%s: the response ended after %d bytes: %v; request less at once", e.Op, e.Bytes, e.Err)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Err }

// errTooLarge reports that a response exceeds the maximum size of the call.
var errTooLarge = errors.New("it exceeds the maximum size")

// RateLimitedError reports that a call exceeds the platform's rate limit, or that it would have to wait for
// the client's own rate limit beyond its deadline. Nothing was written.
type RateLimitedError struct {
	Op         string
	RetryAfter time.Duration
}

// Error names the time to wait.
func (e *RateLimitedError) Error() string {
	return fmt.Sprintf("%s: the platform's rate limit is reached; try again in %s", e.Op, e.RetryAfter)
}

// TooLargeError reports that a value exceeds Limit bytes.
type TooLargeError struct {
	Key   string
	Size  int
	Limit int
}

// Error names both sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the value of %s has %d bytes; keep it within %d", e.Key, e.Size, e.Limit)
}

// BadRequestError reports that a call or the response to it is malformed.
type BadRequestError struct {
	Op      string
	Message string
}

// Error returns what is wrong.
func (e *BadRequestError) Error() string {
	return fmt.Sprintf("%s: %s; check that the URL is that of a platform or an entry VM", e.Op, e.Message)
}
