package control

import (
	"github.com/mangoweir/mangoweir/core"
)

// considerRelease hands a target over to the VM that should hold it.
func (c *Control) considerRelease(t *target) {
	h := &t.holding
	if !h.held {
		return
	}
	if h.release != nil {
		c.checkRelease(t)
		return
	}
	if !c.releaseDue(t) || c.releases() >= maxReleases {
		return
	}
	// The number stays below those of takeovers in newer epochs: a VM that was replaced without
	// knowing it must not hand over a better claim than its successor's.
	h.highest++
	h.release = &release{to: h.desired, number: h.highest}
	c.tellRelease(t)
	c.emit(core.Event{Kind: core.EventHandoverStarted, VM: h.desired, Zone: t.target.Zone, Target: t.id})
}

// tellRelease sends the handover under way, once more after a time-out, to the shard.
func (c *Control) tellRelease(t *target) {
	r := t.holding.release
	r.at = c.now
	c.emit(core.ToShard{Target: t.id, Input: core.StartHandover{Target: t.id, To: r.to, FencingToken: r.number}})
}

// checkRelease handles a handover that is not confirmed in time. The receiver may hold the target
// without this VM knowing it, so the target is offered to no other VM before the receiver has ended
// or lost its membership.
func (c *Control) checkRelease(t *target) {
	h := &t.holding
	r := h.release
	p := c.peers.get(r.to)
	switch {
	case p == nil || p.dead:
		c.endRelease(h)
	case c.now-r.at < releaseTimeout:
	case c.available(p):
		c.tellRelease(t)
	case p.suspect && c.replaceable(p):
		c.endRelease(h)
		h.former = claim{r.to, anyIncarnation, r.number, c.now}
		c.takeOver(t, false)
	}
}

// endRelease gives up a handover.
func (c *Control) endRelease(h *holding) {
	h.release = nil
	h.retryAfter = c.now + handoverAfter
	c.emit(core.Event{Kind: core.EventHandoverFailed, VM: c.opts.Self, Value: uint64(h.number)})
}

// releaseDue reports whether a target should be handed over now. The receiver has to know the target
// and its members, and no former holder may be left that the receiver would not know of.
func (c *Control) releaseDue(t *target) bool {
	h := &t.holding
	p := c.peers.get(h.desired)
	if p == nil || !c.available(p) || h.take != nil || c.now < h.retryAfter {
		return false
	}
	if p.watched && (p.generation < c.generation() || epochOf(p.epochs, t.target.Zone) < c.zone(t.target.Zone).epoch) {
		return false
	}
	if c.stop.leaving || c.zoneOut(c.opts.Zone) {
		return true
	}
	// A leaving VM may hand a target over before it is heard to leave; it must not get it back.
	return c.now-max(h.desiredAt, h.heldSince) >= handoverAfter
}

// releases returns the number of handovers under way.
func (c *Control) releases() int {
	n := 0
	c.targets.all(func(_ core.TargetID, t *target) bool {
		if t.holding.release != nil {
			n++
		}
		return true
	})
	return n
}
