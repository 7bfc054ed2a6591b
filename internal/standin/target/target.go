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
	// draining and zoneOut are the times at which the target began to drain and its zone was taken out;
	// zero when it does not drain and when the zone is in service.
	draining, zoneOut time.Time
	process
}

// process is the state that a restart loses.
type process struct {
	up   bool
	boot uint64
	// coldSince is when the cold start began; zero when the process started warm.
	coldSince time.Time
	// coldReported is when the target first reported the cold start in an answer; zero before.
	coldReported time.Time
	flows        map[netip.AddrPort]*flow
	work         map[attemptKey]*work
	feeds        map[attemptKey]*feed
	uploads      map[uploadKey]*upload
	// blocks counts the blocks of uploads that arrived.
	blocks  uint64
	answers *answerCache
	nextMID uint16
}

// flow is the target's entry for a client that has sent a request.
type flow struct {
	// vm is the VM that last sent a packet of the client; answers go to it. lastPacketAt is when that
	// packet arrived.
	vm           netip.AddrPort
	lastPacketAt time.Time
}

// attemptKey identifies an attempt of a client's request.
type attemptKey struct {
	client netip.AddrPort
	token  core.AttemptToken
}

// Start opens the target's socket and starts to answer requests. It returns an error when the target
// cannot listen on its address.
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
	t.startProcess(opts.StartCold)
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	t.done.Go(func() { _ = socket.Serve(ctx, t.receive) })
	return t, nil
}

// startProcess starts a new process with empty state and a new boot id.
func (t *Target) startProcess(cold bool) {
	t.process = process{
		up:      true,
		boot:    t.rng.Uint64() | 1,
		flows:   map[netip.AddrPort]*flow{},
		work:    map[attemptKey]*work{},
		feeds:   map[attemptKey]*feed{},
		uploads: map[uploadKey]*upload{},
		answers: newAnswerCache(),
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

// SetDraining sets the draining flag in the target's load reports. While it is set, the target counts the
// new flows that arrive after DrainGrace.
func (t *Target) SetDraining(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = nowIf(on)
}

// SetZoneOut records whether the target's zone is out of service. While it is out, the target counts
// the packets that still arrive; its behavior does not change.
func (t *Target) SetZoneOut(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zoneOut = nowIf(on)
}

// nowIf returns the current time when on is true, and the zero time otherwise.
func nowIf(on bool) time.Time {
	if on {
		return time.Now()
	}
	return time.Time{}
}

// Restart ends the process at once, drops all requests in flight, and starts a cold process after the
// given time.
func (t *Target) Restart(after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restart(after)
}

// TurnCold puts the running process into a cold start without notice and without a restart: it keeps its
// boot id and its requests in flight.
func (t *Target) TurnCold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldSince, t.coldReported = time.Now(), time.Time{}
}

// restart ends the process and starts a cold one after the given time, unless the target is closed
// or runs again by then.
func (t *Target) restart(after time.Duration) {
	t.endProcess()
	time.AfterFunc(after, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.closed && !t.up {
			t.startProcess(true)
		}
	})
}

// endProcess stops the process's timers and drops its state.
func (t *Target) endProcess() {
	for _, w := range t.work {
		w.timer.Stop()
	}
	for _, f := range t.feeds {
		f.timer.Stop()
	}
	t.process = process{answers: newAnswerCache()}
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
