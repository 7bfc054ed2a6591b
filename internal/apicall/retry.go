package apicall

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"
)

// Limits of the delay between attempts. The delay doubles with each attempt and is reduced by up to half at
// random, so that VMs do not all retry at the same time after an outage.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// Do sends a call and retries it after failures where that is safe.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	var unconfirmed error
	for n := 1; ; n++ {
		response, err := c.sendLimited(ctx, call)
		if err == nil {
			return response, nil
		}
		var unknown *UnknownOutcomeError
		if errors.As(err, &unknown) {
			unconfirmed = err
		}
		if n >= cmp.Or(call.Attempts, c.attempts) || !call.repeatable(err) || !sleep(ctx, retryDelay(n, err)) {
			// An earlier attempt with an unknown outcome may have taken effect, even if a later one was
			// refused.
			return nil, cmp.Or(unconfirmed, err)
		}
	}
}

// sendLimited sends a call once, when the client's own rate limit allows it.
func (c *Client) sendLimited(ctx context.Context, call Call) (*Response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		if ctx.Err() != nil {
			return nil, &UnavailableError{Op: call.Op, Err: ctx.Err()}
		}
		// The wait for the rate limit would exceed the context's deadline.
		return nil, &RateLimitedError{Op: call.Op, RetryAfter: c.interval}
	}
	return c.attempt(ctx, call)
}

// repeatable reports whether the call may be sent again after the error.
func (call Call) repeatable(err error) bool {
	var (
		unavailable *UnavailableError
		limited     *RateLimitedError
		unknown     *UnknownOutcomeError
		incomplete  *IncompleteResponseError
	)
	switch {
	case call.Wait > 0:
		return false
	case errors.As(err, &unknown):
		return call.Idempotent
	case errors.As(err, &incomplete):
		// Only reads end in this way.
		return !errors.Is(err, errTooLarge)
	default:
		// After these errors the call has had no effect.
		return errors.As(err, &unavailable) || errors.As(err, &limited) && limited.RetryAfter <= maxBackoff
	}
}

// NoResponse returns the error for a call whose response did not arrive: UnavailableError if the call
// certainly had no effect, and UnknownOutcomeError otherwise.
func (call Call) NoResponse(err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if call.Write && !notSent {
		return &UnknownOutcomeError{Op: call.Op, Err: err}
	}
	return &UnavailableError{Op: call.Op, Err: err}
}

// retryDelay returns the delay after a failed attempt.
func retryDelay(attempt int, err error) time.Duration {
	var limited *RateLimitedError
	if errors.As(err, &limited) {
		return backoff(attempt) + limited.RetryAfter
	}
	return backoff(attempt)
}

func backoff(attempt int) time.Duration {
	d := min(firstBackoff<<(attempt-1), maxBackoff)
	return d - rand.N(d/2)
}

// sleep waits and reports whether the context is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
