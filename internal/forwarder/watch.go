package forwarder

import (
	"cmp"
	"context"
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/forward"
)

const (
	// maxWatched bounds the connections that a VM holds to targets. These close idle ones after 12 s, so
	// that 64 make 5 new ones a second. With 333, the busiest of 300 VMs with 0.088 of a core spent 48% of it
	// instead of 28% (sweep).
	maxWatched = 64
	// watchDials and watchDialBurst bound first connections per second. Lost connections are replaced at
	// once: a target that restarts may refuse connections for some milliseconds only.
	watchDials     = 20
	watchDialBurst = 5
	// watchTimeout bounds a connection attempt; a lost first packet is repeated after a second.
	watchTimeout = 1500 * time.Millisecond
	// minWatchRetry and maxWatchRetry bound the pause after an attempt that failed or whose connection was
	// lost within maxWatchRetry; it doubles in between. A process that ends may accept a last connection,
	// and its successor may listen some milliseconds later.
	minWatchRetry = 2 * time.Millisecond
	maxWatchRetry = 300 * time.Millisecond
)

// connection is the result of a connection attempt to a target.
type connection struct {
	target *forward.Target
	// refused is true when its machine refused the connection.
	refused bool
	err     error
}

// watcher holds a connection to each of some targets. The end of a target's process closes it, so that
// the end shows within milliseconds, and without the store. A connection that falls silent shows nothing;
// packets and probes do.
type watcher struct {
	results chan connection
	limit   *rate.Limiter
	// view is the newest view, for neighbours of targets.
	view atomic.Pointer[forward.Snapshot]
	// cancel ends the connections to targets, by token.
	cancel map[forward.Token]context.CancelFunc
}

func newWatcher() *watcher {
	w := &watcher{
		results: make(chan connection), limit: rate.NewLimiter(watchDials, watchDialBurst),
		cancel: map[forward.Token]context.CancelFunc{},
	}
	w.view.Store(&forward.Snapshot{})
	return w
}

// watchable returns the targets of a view that a VM of the given zone may hold connections to: those of its
// own zone, and of more than maxWatched always the same. VMs of other zones send them little, and each
// connection is priced.
func watchable(v *forward.Snapshot, zone core.ZoneName) []*forward.Target {
	var targets []*forward.Target
	for token, t := range v.Targets {
		switch {
		case t.Zone != zone || t.Token != token || !t.Listed || t.Condition == forward.Unusable:
			// Another zone's, an alias, or a target that gets no flows.
		case t.Condition == forward.Draining:
			// Its port closes before its last flows end.
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

// set replaces the targets to hold connections to. Only the control thread calls it.
func (w *watcher) set(targets []*forward.Target) {
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

// watch holds a connection to one target until ctx ends.
func (w *watcher) watch(ctx context.Context, t *forward.Target) {
	if w.limit.Wait(ctx) != nil {
		return
	}
	retry := minWatchRetry
	ended := false
	for ctx.Err() == nil {
		opened := time.Now()
		ended = w.attempt(ctx, t, ended)
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

// attempt connects to a target, tells what that shows and holds the connection until it ends. It takes and
// returns whether the target was seen to have ended.
func (w *watcher) attempt(ctx context.Context, t *forward.Target, ended bool) bool {
	conn, err := (&net.Dialer{Timeout: watchTimeout, KeepAlive: -1}).DialContext(ctx, "tcp", t.Addr.String())
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	if refused && !ended && !anyAccepts(w.view.Load().SameZoneTargets(t)) {
		// The zone may be cut off.
		return false
	}
	if err == nil || refused {
		select {
		case w.results <- connection{target: t, refused: refused, err: err}:
		case <-ctx.Done():
		}
	}
	if err == nil {
		hold(ctx, conn)
		return false
	}
	return ended || refused
}

// hold waits until a connection or ctx ends. Targets send nothing on it.
func hold(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var b [1]byte
	// Why the connection ended does not matter: the next attempt shows whether the process lives.
	_, _ = conn.Read(b[:])
	_ = conn.Close()
}
