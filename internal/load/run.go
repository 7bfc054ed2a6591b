package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoweir/mangoweir/internal/standin/client"
)

// run is a run in progress.
type run struct {
	opts     Options
	clients  []*client.Client
	recorder *recorder
	// begun counts the reads, postings and uploads that were started, skipped those that were not because
	// too many were in progress, and inProgress those that have not ended.
	begun, skipped, inProgress atomic.Int64
	requests                   sync.WaitGroup
}

// Run generates load until the duration has passed or the context ends, and returns the summary of the
// clients' results. It returns an error only when options are out of range or a socket cannot be opened.
func Run(ctx context.Context, opts Options) (Summary, error) {
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return Summary{}, err
	}
	r := &run{opts: opts, recorder: newRecorder()}
	defer r.close()
	if err := r.start(); err != nil {
		return Summary{}, err
	}
	began := time.Now()
	r.send(ctx)
	elapsed := time.Since(began)
	return r.summary(ctx, elapsed), nil
}

// start opens the clients' sockets.
func (r *run) start() error {
	for i := range r.opts.Clients {
		c, err := client.Start(client.Options{
			Name:      fmt.Sprintf("load-%x-%d", r.opts.Seed, i),
			Service:   r.opts.Services[i%len(r.opts.Services)],
			Deadline:  r.opts.Deadline,
			OnOutcome: r.recorder.record,
			Seed:      r.opts.Seed + uint64(i),
		})
		if err != nil {
			return fmt.Errorf("load: %w; use fewer clients or raise the limit of open files", err)
		}
		r.clients = append(r.clients, c)
	}
	return nil
}

// close closes the clients' sockets.
func (r *run) close() {
	for _, c := range r.clients {
		c.Close()
	}
}

// send starts feeds and requests for the duration and waits until those in progress have ended.
func (r *run) send(ctx context.Context) {
	startCtx, cancelStart := context.WithTimeout(ctx, r.opts.Duration)
	defer cancelStart()
	requestCtx, cancelRequests := context.WithTimeout(ctx, r.opts.Duration+r.opts.Deadline)
	defer cancelRequests()
	for _, c := range r.clients[:r.opts.Feeds] {
		r.requests.Go(func() { c.Watch(startCtx) })
	}
	var streams sync.WaitGroup
	r.stream(startCtx, &streams, 0, r.opts.ReadRate, func(c *client.Client) { c.Read(requestCtx) })
	r.stream(startCtx, &streams, 1, r.opts.PostingRate, func(c *client.Client) { c.Post(requestCtx) })
	r.stream(startCtx, &streams, 2, r.opts.UploadRate, func(c *client.Client) { c.Upload(requestCtx, r.opts.UploadSize) })
	streams.Wait()
	<-startCtx.Done()
	r.requests.Wait()
}

// stream starts requests at a rate, with exponentially distributed intervals, whether or not earlier
// requests have ended. Requests whose start is overdue start at once. The id
// makes the random numbers of the streams differ.
func (r *run) stream(ctx context.Context, wg *sync.WaitGroup, id uint64, rate float64, do func(*client.Client)) {
	if rate == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(r.opts.Seed, id))
	wg.Go(func() {
		due := time.Now()
		for {
			due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			if !sleepUntil(ctx, due) || !r.begin(r.clients[rng.IntN(len(r.clients))], do) {
				return
			}
		}
	})
}

// begin starts a request, or skips it above maxInProgress; it returns false when MaxRequests is reached.
func (r *run) begin(c *client.Client, do func(*client.Client)) bool {
	if r.begun.Add(1) > int64(r.opts.MaxRequests) {
		r.begun.Add(-1)
		return false
	}
	if r.inProgress.Add(1) > maxInProgress {
		r.inProgress.Add(-1)
		r.begun.Add(-1)
		r.skipped.Add(1)
		return true
	}
	r.requests.Go(func() {
		defer r.inProgress.Add(-1)
		do(c)
	})
	return true
}

// sleepUntil waits until a time; it returns false when the context ended first.
func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// summary returns the sum of the clients' counts, with an audit when AuditLimit is set.
func (r *run) summary(ctx context.Context, elapsed time.Duration) Summary {
	s := Summary{
		Seed:    r.opts.Seed,
		Clients: len(r.clients),
		Seconds: elapsed.Seconds(),
		Begun:   int(r.begun.Load()),
		Skipped: int(r.skipped.Load()),
	}
	var total client.Stats
	for _, c := range r.clients {
		total.Add(c.Stats())
	}
	r.recorder.fill(&s, &total)
	if r.opts.AuditLimit > 0 {
		audit := r.audit(ctx)
		s.Audit = &audit
	}
	return s
}

// auditTime bounds the duration of the audit.
const auditTime = 30 * time.Second

// audit checks the postings of all clients against the ledger.
func (r *run) audit(ctx context.Context) client.Audit {
	ctx, cancel := context.WithTimeout(ctx, auditTime)
	defer cancel()
	var mu sync.Mutex
	var total client.Audit
	var wg sync.WaitGroup
	for _, c := range r.clients {
		wg.Go(func() {
			a := c.Audit(ctx, r.opts.AuditLimit)
			mu.Lock()
			defer mu.Unlock()
			total.Add(a)
		})
	}
	wg.Wait()
	return total
}
