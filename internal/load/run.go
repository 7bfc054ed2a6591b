package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoweir/mangoweir/internal/standin/caller"
)

// run is a run in progress.
type run struct {
	opts     Options
	callers  []*caller.Client
	recorder *recorder
	// begun counts what was started or skipped, inProgress what has not ended.
	begun, skipped, inProgress atomic.Int64
	work                       sync.WaitGroup
}

// Run sends load until the duration has passed or the context ends, and returns what the callers saw.
// It fails only when the options are out of range or a socket cannot be opened.
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

// start opens the callers' sockets.
func (r *run) start() error {
	for i := range r.opts.Clients {
		c, err := caller.Start(caller.Options{
			Name:      fmt.Sprintf("load-%x-%d", r.opts.Seed, i),
			Service:   r.opts.Services[i%len(r.opts.Services)],
			Deadline:  r.opts.Deadline,
			OnOutcome: r.recorder.record,
			Seed:      r.opts.Seed + uint64(i),
		})
		if err != nil {
			return fmt.Errorf("load: %w; use fewer callers or raise the limit of open files", err)
		}
		r.callers = append(r.callers, c)
	}
	return nil
}

// close closes the callers' sockets.
func (r *run) close() {
	for _, c := range r.callers {
		c.Close()
	}
}

// send begins requests for the duration and waits for those in progress.
func (r *run) send(ctx context.Context) {
	begin, endBegin := context.WithTimeout(ctx, r.opts.Duration)
	defer endBegin()
	finish, endFinish := context.WithTimeout(ctx, r.opts.Duration+r.opts.Deadline)
	defer endFinish()
	for _, c := range r.callers[:r.opts.Feeds] {
		r.work.Go(func() { c.Watch(begin) })
	}
	var streams sync.WaitGroup
	r.stream(begin, &streams, 0, r.opts.ReadRate, func(c *caller.Client) { c.Read(finish) })
	r.stream(begin, &streams, 1, r.opts.PostingRate, func(c *caller.Client) { c.Post(finish) })
	r.stream(begin, &streams, 2, r.opts.UploadRate, func(c *caller.Client) { c.Upload(finish, r.opts.UploadSize) })
	streams.Wait()
	<-begin.Done()
	r.work.Wait()
}

// stream begins requests at a rate, with exponentially distributed pauses, whether or not earlier ones
// have ended. Requests that are due at the same time begin together.
func (r *run) stream(ctx context.Context, wg *sync.WaitGroup, id uint64, rate float64, do func(*caller.Client)) {
	if rate == 0 {
		return
	}
	rng := rand.New(rand.NewPCG(r.opts.Seed, id))
	wg.Go(func() {
		due := time.Now()
		for {
			due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			if !sleepUntil(ctx, due) || !r.begin(r.callers[rng.IntN(len(r.callers))], do) {
				return
			}
		}
	})
}

// begin starts a request; it reports false when the maximum is reached.
func (r *run) begin(c *caller.Client, do func(*caller.Client)) bool {
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
	r.work.Go(func() {
		defer r.inProgress.Add(-1)
		do(c)
	})
	return true
}

// sleepUntil waits until a time; it reports false when the context ended.
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

// summary sums up the callers' counts and asks the ledger.
func (r *run) summary(ctx context.Context, elapsed time.Duration) Summary {
	s := Summary{
		Seed:    r.opts.Seed,
		Clients: len(r.callers),
		Seconds: elapsed.Seconds(),
		Begun:   int(r.begun.Load()),
		Skipped: int(r.skipped.Load()),
	}
	var total caller.Stats
	for _, c := range r.callers {
		total.Add(c.Stats())
	}
	r.recorder.fill(&s, &total)
	if r.opts.AuditLimit > 0 {
		audit := r.audit(ctx)
		s.Audit = &audit
	}
	return s
}

// auditTime bounds the time for asking the ledger.
const auditTime = 30 * time.Second

// audit asks the ledger about the postings of all callers.
func (r *run) audit(ctx context.Context) caller.Audit {
	ctx, cancel := context.WithTimeout(ctx, auditTime)
	defer cancel()
	var mu sync.Mutex
	var total caller.Audit
	var wg sync.WaitGroup
	for _, c := range r.callers {
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
