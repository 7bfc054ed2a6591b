package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

const (
	// reachCheckInterval is how often a VM that cannot serve checks whether it reaches targets of other zones.
	reachCheckInterval = 300 * time.Millisecond
	// reachChecks is the number of targets that one check tries: some may be down.
	reachChecks = 3
)

// updateServing reports the VM as not ready while it cannot serve. If no VM of a zone is ready, routers send the
// zone's packets to other zones.
func (t *traffic) updateServing(now time.Duration) {
	if t.shared.cannotServe.Load() || !t.forwarder.CannotServe(now) {
		return
	}
	t.shared.cannotServe.Store(true)
	t.log.logger.Warn("readiness changed", "cannot_serve", true)
	go t.awaitReach()
}

// awaitReach waits until a target of another zone accepts connections or a target of the own zone may get new
// flows, and wakes the traffic thread.
func (t *traffic) awaitReach() {
	for !t.reachable(t.shared.snapshot.Load().RemoteTargets()) {
		time.Sleep(reachCheckInterval)
	}
	t.reached.Store(true)
	t.prober.wake()
}

// reachable reports whether one of some targets of other zones accepts connections, or there are none because the
// own zone has targets.
func (t *traffic) reachable(targets []*forward.Target) bool {
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return len(targets) == 0 || anyAccepts(t.prober.dial, targets[:min(len(targets), reachChecks)])
}

// handleReached reports the VM as ready again after awaitReach has ended.
func (t *traffic) handleReached() {
	if !t.reached.CompareAndSwap(true, false) {
		return
	}
	t.forwarder.SetRemoteReachable()
	t.shared.cannotServe.Store(false)
	t.log.logger.Warn("readiness changed", "cannot_serve", false)
}
