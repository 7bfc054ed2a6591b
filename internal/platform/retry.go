package platform

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Bounds of the wait between attempts. The wait doubles with each attempt and is cut by up to half
// at random, so that VMs do not return in step after an outage.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// do sends a call, and again after failures where that is safe.
func (c *Client) do(ctx context.Context, in call) (*answer, error) {
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
func (c *Client) limited(ctx context.Context, in call) (*answer, error) {
	if err := c.limiter.Wait(ctx); err != nil {
		if ctx.Err() != nil {
			return nil, &UnavailableError{Op: in.op, Err: ctx.Err()}
		}
		// The turn would come after the context's deadline.
		return nil, &RateLimitedError{Op: in.op, RetryAfter: c.interval}
	}
	return c.attempt(ctx, in)
}

// repeatable reports whether the call may be sent again after the error.
func (in call) repeatable(err error) bool {
	var (
		unavailable *UnavailableError
		limited     *RateLimitedError
		unknown     *UnknownOutcomeError
	)
	switch {
	case in.wait > 0:
		return false
	case errors.As(err, &unknown):
		return in.repeat
	default:
		// Neither error comes after an effect.
		return errors.As(err, &unavailable) || errors.As(err, &limited) && limited.RetryAfter <= maxBackoff
	}
}

// lost returns the error of a call whose answer did not arrive.
func (in call) lost(err error) error {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	if in.write && !notSent {
		return &UnknownOutcomeError{Op: in.op, Err: err}
	}
	return &UnavailableError{Op: in.op, Err: err}
}

// verdict returns the error that an answer carries, or nil.
func (in call) verdict(a *answer) error {
	if a.status < 300 {
		return nil
	}
	var body errorBody
	if json.Unmarshal(a.body, &body) != nil || body.Error.Kind == "" {
		return in.foreign(a.status)
	}
	e := body.Error
	switch e.Kind {
	case kindNotFound:
		if in.method == http.MethodGet {
			return nil
		}
	case kindConflict:
		return &ConflictError{Key: in.key, Expected: in.expect, Version: e.Version}
	case kindTooLarge:
		return &TooLargeError{Key: in.key, Size: len(in.body)}
	case kindRateLimited:
		return &RateLimitedError{Op: in.op, RetryAfter: time.Duration(e.RetryAfterMillis) * time.Millisecond}
	case kindUnavailable:
		return &UnavailableError{Op: in.op, Err: errors.New(e.Message)}
	case kindUnknown:
		return in.lost(errors.New(e.Message))
	}
	return &BadRequestError{Op: in.op, Message: e.Message}
}

// foreign returns the error of an answer that is not in the API's shape, such as a gateway's.
func (in call) foreign(status int) error {
	err := fmt.Errorf("status %d without an explanation", status)
	if status >= 500 {
		return in.lost(err)
	}
	return &BadRequestError{Op: in.op, Message: err.Error()}
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
