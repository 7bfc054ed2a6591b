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
	if !c.handoverDue(t) || c.handoversInProgress() >= maxHandovers {
		return
	}
	// The token stays below those of takeovers in newer epochs: a VM that was replaced without having been
	// notified must not hand the target over under a higher claim than its successor's.
	state.highestToken++
	state.handover = &handover{to: state.assigned, token: state.highestToken}
	c.sendHandover(t)
	c.emit(core.Event{Kind: core.EventHandoverStarted, VM: state.assigned, Zone: t.target.Zone, Target: t.id})
}

// sendHandover instructs the shard to start the handover in progress, or to repeat it after a timeout.
func (c *Control) sendHandover(t *target) {
	pending := t.ownership.handover
	pending.sentAt = c.now
	c.emit(core.ToShard{Target: t.id, Input: core.StartHandover{Target: t.id, To: pending.to, FencingToken: pending.token}})
}

// checkHandover handles a handover that is not confirmed in time. The receiver may own the target although
// this VM has received no confirmation, so the target is offered to no other VM before the receiver has
// ended or may be replaced.
func (c *Control) checkHandover(t *target) {
	state := &t.ownership
	pending := state.handover
	p := c.peers.get(pending.to)
	switch {
	case p == nil || p.dead:
		c.failHandover(state)
	case c.now-pending.sentAt < handoverTimeout:
	case c.available(p):
		c.sendHandover(t)
	case p.suspect && c.replaceable(p):
		c.failHandover(state)
		state.highestClaim = claim{pending.to, anyIncarnation, pending.token, c.now}
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
// configuration and member list. No handover starts while the time until which a previous owner may act is
// unknown, because the receiver would have no information about that owner.
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

// handoversInProgress returns the number of handovers in progress.
func (c *Control) handoversInProgress() int {
	n := 0
	c.targets.all(func(_ core.TargetID, t *target) bool {
		if t.ownership.handover != nil {
			n++
		}
		return true
	})
	return n
}
