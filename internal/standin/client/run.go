package client

import (
	"context"
	"sync"
	"time"
)

// Plan lists a client's activities and their intervals. An interval of 0 disables its activity.
type Plan struct {
	Feed        bool
	ReadEvery   time.Duration
	PostEvery   time.Duration
	UploadEvery time.Duration
	// UploadSize is the size of an upload in bytes; default 200,000.
	UploadSize int
}

// Run executes a plan until the context ends. Activities run concurrently. Each starts after a random
// part of its interval and begins a request only when its previous one has ended.
func (c *Client) Run(ctx context.Context, p Plan) {
	if p.UploadSize <= 0 {
		p.UploadSize = 200_000
	}
	var wg sync.WaitGroup
	if p.Feed {
		wg.Go(func() { c.Watch(ctx) })
	}
	c.startActivity(ctx, &wg, p.ReadEvery, func() {
		if out := c.Read(ctx); out.Status != Answered {
			c.waitToRetry(ctx, out)
		}
	})
	c.startActivity(ctx, &wg, p.PostEvery, func() { c.Post(ctx) })
	c.startActivity(ctx, &wg, p.UploadEvery, func() { c.Upload(ctx, p.UploadSize) })
	wg.Wait()
}

// startActivity calls do at an interval until the context ends, first after a random part of the interval.
func (c *Client) startActivity(ctx context.Context, wg *sync.WaitGroup, interval time.Duration, do func()) {
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
