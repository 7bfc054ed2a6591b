package caller

import (
	"context"
	"sync"
	"time"
)

// Plan is what a caller does. Intervals of 0 switch an activity off.
type Plan struct {
	Feed        bool
	ReadEvery   time.Duration
	PostEvery   time.Duration
	UploadEvery time.Duration
	// UploadSize is the size of uploads in bytes; default 200 KB.
	UploadSize int
}

// Run follows a plan until the context ends. Activities run side by side; each starts after a random
// part of its interval and waits for the end of a request before the next.
func (c *Client) Run(ctx context.Context, p Plan) {
	if p.UploadSize <= 0 {
		p.UploadSize = 200_000
	}
	var wg sync.WaitGroup
	if p.Feed {
		wg.Go(func() { c.Watch(ctx) })
	}
	c.every(ctx, &wg, p.ReadEvery, func() {
		if out := c.Read(ctx); out.Status != Answered {
			c.comeBack(ctx, out)
		}
	})
	c.every(ctx, &wg, p.PostEvery, func() { c.Post(ctx) })
	c.every(ctx, &wg, p.UploadEvery, func() { c.Upload(ctx, p.UploadSize) })
	wg.Wait()
}

// every starts an activity.
func (c *Client) every(ctx context.Context, wg *sync.WaitGroup, interval time.Duration, do func()) {
	if interval <= 0 {
		return
	}
	c.mu.Lock()
	offset := time.Duration(c.rng.Int64N(int64(interval)))
	c.mu.Unlock()
	wg.Go(func() {
		if !sleep(ctx, offset) {
			return
		}
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for ctx.Err() == nil {
			do()
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	})
}
