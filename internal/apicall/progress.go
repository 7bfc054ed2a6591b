package apicall

import (
	"context"
	"io"
	"time"
)

// maxBodyTimeouts is the longest time that the body of a response may take, as a multiple of the timeout. It bounds
// responses that arrive byte by byte.
const maxBodyTimeouts = 4

// progressDeadline cancels a call when no byte of the response arrives in time. A fixed time for the whole response would
// fail a large response over a slow link however often it is requested.
type progressDeadline struct {
	timer   *time.Timer
	cancel  context.CancelCauseFunc
	timeout time.Duration
	// last is the latest time to which the deadline is extended.
	last time.Time
}

// newProgressDeadline returns a context that ends when the response does not begin within first. timeout is the time
// between two extensions.
func newProgressDeadline(ctx context.Context, first, timeout time.Duration) (context.Context, *progressDeadline) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &progressDeadline{cancel: cancel, timeout: timeout, last: time.Now().Add(first + maxBodyTimeouts*timeout)}
	d.timer = time.AfterFunc(first, func() { cancel(context.DeadlineExceeded) })
	return ctx, d
}

// extend moves the deadline, after a part of the response has arrived.
func (d *progressDeadline) extend() {
	if d.timer.Stop() {
		d.timer.Reset(min(d.timeout, time.Until(d.last)))
	}
}

// cause returns the reason for which the context has ended, or err if it has not.
func (d *progressDeadline) cause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (d *progressDeadline) stop() {
	d.timer.Stop()
	d.cancel(context.Canceled)
}

// progressReader extends a deadline with each part that it reads.
type progressReader struct {
	io.Reader
	deadline *progressDeadline
}

// Read reads the next part.
func (r *progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.deadline.extend()
	}
	return n, err
}
