package platform

import "github.com/mangoweir/mangoweir/internal/apicall"

// Types of the errors that calls return.
type (
	ConflictError       = apicall.ConflictError
	UnavailableError    = apicall.UnavailableError
	UnknownOutcomeError = apicall.UnknownOutcomeError
	RateLimitedError    = apicall.RateLimitedError
	TooLargeError       = apicall.TooLargeError
	BadRequestError     = apicall.BadRequestError
)
