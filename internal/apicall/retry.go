package apicall

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"
)

// Bounds of the wait between attempts. The wait doubles with each attempt and is cut by up to half
// at random, so that VMs do not return in step after an outage.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// Do sends a call, and again after failures where that is safe.
func (c *Client) Do(ctx context.Context, in Call) (*Response, error) {
	var inDoubt error
	for n := 1; ; n++ {
		a, err := c.limited(ctx, in)
		if err == nil {
			return a, nil
		}
		var unknown *UnknownOutcomeError
		if errors.As(err, &unknown) {
			inDoubt = err
		}
		if n >= c.attempts || !in.repeatable(err) || !sleep(ctx, pause(n, err)) {
			// A later attempt that was refused does not undo an earlier one.
			return nil, cmp.Or(inDoubt, err)
		}
	}
}

// limited sends a call once, when the client's own rate allows it.
func (c *Client) limited(ctx context.Context, in Call) (*Response, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		if ctx.Err() != nil {
			return nil, &UnavailableError{Op: in.Op, Err: ctx.Err()}
		}
		// The turn would come after the context's deadline.
		return nil, &RateLimitedError{Op: in.Op, RetryAfter: c.interval}
	}
	return c.attempt(ctx, in)
}

// repeatable reports whether the call may be sent again after the error.
func (in Call) repeatable(err error) bool {
	var (
		unavailable *UnavailableError
		limited     *RateLimitedError
		unknown     *UnknownOutcomeError
	)
	switch {
	case in.Wait > 0:
		return false
	case errors.As(err, &unknown):
		return in.Idempotent
	default:
		// Neither error comes after an effect.
		return errors.As(err, &unavailable) || errors.As(err, &limited) && limited.RetryAfter <= maxBackoff
	}
}

// NoResponse returns the error of a call whose answer did not arrive.
func (in Call) NoResponse(err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if in.Write && !notSent {
		return &UnknownOutcomeError{Op: in.Op, Err: err}
	}
	return &UnavailableError{Op: in.Op, Err: err}
}

// pause returns the time to wait after an attempt.
func pause(attempt int, err error) time.Duration {
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
