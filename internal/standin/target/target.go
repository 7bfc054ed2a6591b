package target

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
)

// Target is a running target. It is safe for concurrent use.
type Target struct {
	opts   Options
	socket *carrier.Socket
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	behavior Behavior
	stats    Stats
	closed   bool
	// draining and zoneOut are the times since which they are in force; zero when they are not.
	draining, zoneOut time.Time
	process
}

// process is the state that a restart loses.
type process struct {
	up   bool
	boot uint64
	// coldSince is when the cold start began; zero when the target began warm.
	coldSince time.Time
	// coldTold is when the first answer reported the cold start.
	coldTold time.Time
	flows    map[netip.AddrPort]*flow
	work     map[workKey]*work
	feeds    map[workKey]*feed
	uploads  map[uploadKey]*upload
	// blocks counts the blocks of uploads.
	blocks   uint64
	answered *answers
	nextMID  uint16
}

// flow is a caller that has sent a request.
type flow struct {
	// vm is the address that last sent a packet for the caller.
	vm   netip.AddrPort
	seen time.Time
}

// workKey identifies an attempt.
type workKey struct {
	caller netip.AddrPort
	token  core.AttemptToken
}

// Start opens the target's socket and starts to answer.
func Start(opts Options) (*Target, error) {
	opts = opts.withDefaults()
	socket, err := carrier.Listen(opts.Addr)
	if err != nil {
		return nil, fmt.Errorf("target %s: %w", opts.Name, err)
	}
	t := &Target{
		opts:   opts,
		socket: socket,
		rng:    rand.New(rand.NewPCG(opts.Seed, 0x746172)),
	}
	t.boots(opts.StartCold)
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	t.done.Go(func() { _ = socket.Serve(ctx, t.receive) })
	return t, nil
}

// boots begins a new process.
func (t *Target) boots(cold bool) {
	t.process = process{
		up:       true,
		boot:     t.rng.Uint64() | 1,
		flows:    map[netip.AddrPort]*flow{},
		work:     map[workKey]*work{},
		feeds:    map[workKey]*feed{},
		uploads:  map[uploadKey]*upload{},
		answered: newAnswers(),
	}
	if cold {
		t.coldSince = time.Now()
	}
}

// Addr returns the address that the target listens on.
func (t *Target) Addr() netip.AddrPort { return t.socket.Addr() }

// Name returns the target's name.
func (t *Target) Name() string { return t.opts.Name }

// Zone returns the target's zone.
func (t *Target) Zone() string { return t.opts.Zone }

// SetBehavior replaces the target's behavior.
func (t *Target) SetBehavior(b Behavior) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.behavior = b
}

// SetDraining sets the draining flag of the target's answers.
func (t *Target) SetDraining(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = since(on)
}

// SetZoneOut tells the target that its zone was taken out, so that it counts packets that still come.
// Its behavior does not change.
func (t *Target) SetZoneOut(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zoneOut = since(on)
}

// since returns now when on is true.
func since(on bool) time.Time {
	if on {
		return time.Now()
	}
	return time.Time{}
}

// Restart ends the process at once, with all work in flight, and starts it cold after the given time.
func (t *Target) Restart(after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stop(after)
}

// TurnCold makes the running process cold without notice: it keeps its boot id and its work.
func (t *Target) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldSince, t.coldTold = time.Now(), time.Time{}
}

// stop ends the process; it is back, cold, after the given time.
func (t *Target) stop(after time.Duration) {
	t.endProcess()
	time.AfterFunc(after, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.closed && !t.up {
			t.boots(true)
		}
	})
}

// endProcess drops all state of the process.
func (t *Target) endProcess() {
	for _, w := range t.work {
		w.timer.Stop()
	}
	for _, f := range t.feeds {
		f.timer.Stop()
	}
	t.process = process{answered: newAnswers()}
}

// Close stops the target and waits for its goroutines.
func (t *Target) Close() {
	t.mu.Lock()
	t.closed = true
	t.endProcess()
	t.mu.Unlock()
	t.cancel()
	_ = t.socket.Close()
	t.done.Wait()
}
