package forwarder

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed"
)

// updateWatchedTargets chooses the targets to keep connections to. A VM that subscribes to its zone's reader
// connects only to targets that were reported to have ended. The reader sends its own observations, but a reader
// that started after such a report does not have it, and therefore does not report that the target is back.
func (c *control) updateWatchedTargets() {
	if c.snapshot == nil {
		return
	}
	targets := watchableTargets(c.snapshot, c.settings.Zone)
	withoutFeed := c.state.Role != feed.Subscribed && c.shared.clock.now()-c.noFeedSince >= watchDelay
	if c.state.Role != feed.Reading && !withoutFeed {
		targets = slices.DeleteFunc(targets, func(t *forward.Target) bool { return t.Condition != forward.Exited })
	}
	c.watcher.setTargets(targets)
}

// maxResultAge is the age from which a refused connection is ignored: this process was paused, and the target may run again. The
// watcher tries again within maxWatchRetry.
const maxResultAge = 500 * time.Millisecond

// handleConnection handles the result of a connection attempt to a target.
func (c *control) handleConnection(result connectionResult) {
	if result.refused && time.Since(result.at) > maxResultAge {
		return
	}
	now := c.shared.clock.now()
	observation, changed := c.registry.ObserveConnection(result.target, result.refused, now)
	transition, counter := "returned", c.metrics.returned
	switch {
	case changed && result.refused:
		transition, counter = "ended", c.metrics.ended
	case !changed && !result.refused && c.restarts.ConnectionEnded(result.previousAge, len(c.watcher.cancel), now):
		transition, counter = "restarted", c.metrics.restarted
		observation, changed = c.registry.ObserveRestart(result.target, now)
	}
	if !changed {
		return
	}
	counter.Inc()
	c.log.Info("a target "+transition, "target", result.target.ID, "zone", string(result.target.Zone),
		"connection_age_ms", result.previousAge.Milliseconds(), "error", result.err)
	c.broadcast(feed.Message{Observations: []registry.Observation{observation}})
	c.publish()
}

// handleObservations applies the observations of another VM and sends the new ones to the subscribers.
func (c *control) handleObservations(observations []registry.Observation) {
	var applied []registry.Observation
	now := c.shared.clock.now()
	for _, o := range observations {
		if !c.registry.ApplyObservation(o, now) {
			continue
		}
		applied = append(applied, o)
		c.log.Info("another VM saw a target", "target", o.ID, "ended", o.Ended,
			"age_ms", o.Age.Milliseconds())
	}
	if len(applied) > 0 {
		c.broadcast(feed.Message{Observations: applied})
	}
}

// handleFailures handles failures of targets that this VM or a subscriber observed: the zone's reader pools them,
// and VMs that receive its feed send them on towards it. Other VMs discard them: two VMs that borrow from each
// other would exchange them endlessly.
func (c *control) handleFailures(failures []forward.TargetFailures) {
	switch {
	case c.state.Role == feed.Subscribed:
		c.source.ReportFailures(failures)
	case c.state.Role == feed.Reading && c.snapshot != nil:
		now := c.shared.clock.now()
		c.outliers.Add(failures, now)
		c.handleEjections(c.outliers.Eject(c.snapshot, now), "failures")
		c.publish()
	}
}

// handleUnreachable takes a target out of placement that refuses connections like all others of its zone.
func (c *control) handleUnreachable(t *forward.Target) {
	ejection := registry.Ejection{ID: t.ID, Token: t.Token, Remaining: registry.UnreachableEjection}
	c.handleEjections([]registry.Ejection{ejection}, "unreachable")
	c.publish()
}

// handleEjections takes targets out of placement and sends the new ejections to the subscribers.
func (c *control) handleEjections(ejections []registry.Ejection, cause string) {
	var applied []registry.Ejection
	now := c.shared.clock.now()
	for _, e := range ejections {
		if !c.registry.ApplyEjection(e, now) {
			continue
		}
		applied = append(applied, e)
		c.metrics.ejected.Inc()
		c.log.Info("ejected a target", "target", e.ID, "remaining_ms", e.Remaining.Milliseconds(), "cause", cause)
	}
	if len(applied) > 0 {
		c.broadcast(feed.Message{Ejections: applied})
	}
}
