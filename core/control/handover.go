package control

import (
	"github.com/mangoweir/mangoweir/core"
)

// handOverIfDue hands a target over to its assigned owner.
func (c *Control) handOverIfDue(t *target) {
	state := &t.ownership
	if !state.owned {
		return
	}
	if state.handover != nil {
		c.checkHandover(t)
		return
	}
	if !c.handoverDue(t) || c.handovers() >= maxHandovers {
		return
	}
	// The token stays below those of takeovers in newer epochs: a VM that was replaced without having been
	// notified must not hand over a higher claim than that of its successor.
	state.highestToken++
	state.handover = &handover{to: state.assigned, token: state.highestToken}
	c.sendHandover(t)
	c.emit(core.Event{Kind: core.EventHandoverStarted, VM: state.assigned, Zone: t.target.Zone, Target: t.id})
}

// sendHandover sends the handover in progress to the shard, and again after a timeout.
func (c *Control) sendHandover(t *target) {
	r := t.ownership.handover
	r.at = c.now
	c.emit(core.ToShard{Target: t.id, Input: core.StartHandover{Target: t.id, To: r.to, FencingToken: r.token}})
}

// checkHandover handles a handover that is not confirmed in time. The receiver may own the target although
// this VM has received no confirmation, so the target is offered to no other VM before the receiver has
// ended or lost its membership.
func (c *Control) checkHandover(t *target) {
	state := &t.ownership
	r := state.handover
	p := c.peers.get(r.to)
	switch {
	case p == nil || p.dead:
		c.failHandover(state)
	case c.now-r.at < handoverTimeout:
	case c.available(p):
		c.sendHandover(t)
	case p.suspect && c.replaceable(p):
		c.failHandover(state)
		state.highestClaim = claim{r.to, anyIncarnation, r.token, c.now}
		c.takeOver(t, false)
	}
}

// failHandover ends a handover as failed.
func (c *Control) failHandover(state *ownership) {
	state.handover = nil
	state.nextHandoverAt = c.now + handoverDelay
	c.emit(core.Event{Kind: core.EventHandoverFailed, VM: c.opts.Self, Value: uint64(state.token)})
}

// handoverDue reports whether a target should be handed over now. The receiver must have the target's
// configuration and member list, and no previous owner may be left of which the receiver would have no
// information.
func (c *Control) handoverDue(t *target) bool {
	state := &t.ownership
	p := c.peers.get(state.assigned)
	if p == nil || !c.available(p) || state.takeover != nil || c.now < state.nextHandoverAt {
		return false
	}
	if p.monitored && (p.generation < c.generation() || epochOf(p.epochs, t.target.Zone) < c.zone(t.target.Zone).epoch) {
		return false
	}
	if c.stop.leaving || c.zoneOut(c.opts.Zone) {
		return true
	}
	// A leaving VM may hand a target over before its heartbeats announce that it leaves; the target must
	// not go back to it.
	return c.now-max(state.assignedAt, state.ownedSince) >= handoverDelay
}

// handovers returns the number of handovers in progress.
func (c *Control) handovers() int {
	n := 0
	c.targets.all(func(_ core.TargetID, t *target) bool {
		if t.ownership.handover != nil {
			n++
		}
		return true
	})
	return n
}
