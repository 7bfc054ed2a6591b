package forwarder

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/forward"
)

const (
	// maxWatched is the maximum number of connections that a VM keeps to targets. Targets close idle
	// connections after 12 s, so that 64 cause about 5 new ones per second. With 333 connections, the busiest
	// of 300 VMs, which has 0.088 of a core, used 48% of it instead of 28%.
	maxWatched = 64
	// watchDialRate and watchDialBurst limit the first connections to targets, per second. Lost connections
	// are replaced immediately: a target that restarts may refuse connections for only some milliseconds.
	watchDialRate  = 20
	watchDialBurst = 5
	// watchTimeout is the timeout of a connection attempt. TCP retransmits a lost first packet after a second.
	watchTimeout = 1500 * time.Millisecond
	// minWatchRetry and maxWatchRetry are the limits of the delay after an attempt that failed or whose
	// connection was lost within maxWatchRetry; it doubles with each such attempt. A process that ends may
	// still accept a last connection, and its successor may listen only some milliseconds later.
	minWatchRetry = 2 * time.Millisecond
	maxWatchRetry = 300 * time.Millisecond
)

// connectionResult is the result of a connection attempt to a target.
type connectionResult struct {
	target *forward.Target
	// refused is true when the target's machine refused the connection.
	refused bool
	// at is when the attempt ended.
	at time.Time
	// previousAge is the age at which the connection before this one ended, or 0.
	previousAge time.Duration
	err         error
}

// watcher keeps a connection to each of a set of targets. The end of a target's process closes its
// connection, so that the end is detected within milliseconds and without the store. A target that becomes
// silent is not detected in this way, but by its flows' packets and by probes.
type watcher struct {
	dial    dialFunc
	results chan connectionResult
	// unreachable receives targets whose machine refuses connections like all others of their zone that were
	// tried.
	unreachable chan *forward.Target
	limit       *rate.Limiter
	// snapshot is the newest snapshot, from which the other targets of a target's zone are taken.
	snapshot atomic.Pointer[forward.Snapshot]
	// cancel contains the functions that end the connections to targets, by token.
	cancel map[forward.Token]context.CancelFunc
}

func newWatcher() *watcher {
	w := &watcher{
		dial:    dialTCP,
		results: make(chan connectionResult), unreachable: make(chan *forward.Target), limit: rate.NewLimiter(watchDialRate, watchDialBurst),
		cancel: map[forward.Token]context.CancelFunc{},
	}
	w.snapshot.Store(&forward.Snapshot{})
	return w
}

// watchableTargets returns the targets of a snapshot to which a VM of the given zone may keep connections:
// those of its own zone, up to maxWatched and always the same ones. Targets of other zones are left out, since
// a VM sends them few packets and each connection adds to the cost of the deployment.
func watchableTargets(snapshot *forward.Snapshot, zone core.ZoneName) []*forward.Target {
	var targets []*forward.Target
	for token, t := range snapshot.Targets {
		switch {
		case t.Zone != zone || t.Token != token || !t.Listed || t.Condition == forward.Unusable:
			// The target is in another zone or gets no flows, or the token is an alias for it.
		case t.Condition == forward.Draining:
			// A draining target closes its port before its last flows end.
		default:
			targets = append(targets, t)
		}
	}
	if len(targets) > maxWatched {
		slices.SortFunc(targets, func(a, b *forward.Target) int { return cmp.Compare(a.Token, b.Token) })
		targets = targets[:maxWatched]
	}
	return targets
}

// setTargets replaces the set of targets to keep connections to. Only the control thread calls it.
func (w *watcher) setTargets(targets []*forward.Target) {
	kept := make(map[forward.Token]context.CancelFunc, len(targets))
	for _, t := range targets {
		if cancel, ok := w.cancel[t.Token]; ok {
			kept[t.Token] = cancel
			delete(w.cancel, t.Token)
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		kept[t.Token] = cancel
		go w.watch(ctx, t)
	}
	for _, cancel := range w.cancel {
		cancel()
	}
	w.cancel = kept
}

// watch keeps a connection to one target until ctx ends.
func (w *watcher) watch(ctx context.Context, t *forward.Target) {
	if w.limit.Wait(ctx) != nil {
		return
	}
	retry := minWatchRetry
	var before attemptEnd
	for ctx.Err() == nil {
		opened := time.Now()
		before = w.attempt(ctx, t, before)
		if time.Since(opened) >= maxWatchRetry {
			retry = minWatchRetry
			continue
		}
		select {
		case <-time.After(retry):
		case <-ctx.Done():
		}
		retry = min(2*retry, maxWatchRetry)
	}
}

// attemptEnd is how a connection attempt ended.
type attemptEnd struct {
	// exited is true while the target's process counts as ended.
	exited bool
	// age is the age at which the connection ended; 0 if the attempt failed.
	age time.Duration
}

// attempt connects to a target, reports the result and keeps the connection until it ends. before is how the
// previous attempt ended.
func (w *watcher) attempt(ctx context.Context, t *forward.Target, before attemptEnd) attemptEnd {
	conn, err := w.dial(ctx, t.Addr.String(), watchTimeout)
	refused := portClosed(err)
	if refused && !before.exited && !anyListens(w.dial, w.snapshot.Load().SameZoneTargets(t)) {
		// Not the target but its whole zone may be cut off.
		select {
		case w.unreachable <- t:
		case <-ctx.Done():
		}
		return attemptEnd{}
	}
	if err == nil || refused {
		select {
		case w.results <- connectionResult{target: t, refused: refused, at: time.Now(), previousAge: before.age, err: err}:
		case <-ctx.Done():
		}
	}
	if err == nil {
		opened := time.Now()
		waitForClose(ctx, conn)
		return attemptEnd{age: time.Since(opened)}
	}
	return attemptEnd{exited: before.exited || refused}
}

// waitForClose waits until a connection or ctx ends. Targets send no data on the connection.
func waitForClose(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var b [1]byte
	// The error is not needed: the next attempt shows whether the process still runs.
	_, _ = conn.Read(b[:])
	_ = conn.Close()
}
