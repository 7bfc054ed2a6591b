package control

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// takeover is a takeover whose former holders may still act.
type takeover struct {
	number core.FencingToken
	at     time.Duration
	// first is true when no VM can have held the target before.
	first bool
	// again is true when the target was held before and only has to be proven.
	again bool
	// announcement is the number of the first heartbeat content that names the takeover.
	announcement uint64
}

// newTakeover returns a takeover that is announced from now on.
func (c *Control) newTakeover(number core.FencingToken) *takeover {
	c.beats.announcement++
	return &takeover{number: number, at: c.now, announcement: c.beats.announcement}
}

// nextNumber returns the holding number of a takeover.
func (c *Control) nextNumber(t *target) core.FencingToken {
	const countBits = 16
	base := core.FencingToken(c.zone(t.target.Zone).epoch) << countBits
	return max(t.holding.highest+1, base)
}

// considerTakeOver takes a target that nobody holds and that this VM should hold.
func (c *Control) considerTakeOver(t *target) {
	h := &t.holding
	if h.held || h.desired != c.opts.Self || c.stop.leaving || !c.selfMember() {
		return
	}
	first := c.isFirst(t)
	if !first && !c.abandoned(t) || !c.nobodyAhead(t) {
		return
	}
	c.takeOver(t, first)
}

// takeOver tells the shard to hold a target, and for how long a former holder may still act.
func (c *Control) takeOver(t *target, first bool) {
	h := &t.holding
	inSync := c.backupInSync(t)
	h.take = c.newTakeover(c.nextNumber(t))
	h.take.first = first
	h.held = true
	h.heldSince = c.now
	h.number = h.take.number
	h.highest = h.number
	c.emit(core.Event{Kind: core.EventTakeOver, VM: h.former.vm, Zone: t.target.Zone, Target: t.id, Value: uint64(h.number)})
	if until, diedBy, ok := c.formerUntil(t); ok {
		c.tellTakeOver(t, until, diedBy, inSync)
		h.take = nil
	} else {
		c.tellTakeOver(t, core.PreviousOwnerUntilUnknown, core.PreviousOwnerUntilUnknown, false)
	}
	c.touch(changeStructure)
	c.hasNews()
}

// tellTakeOver sends a takeover, or new times of one, to the shard.
func (c *Control) tellTakeOver(t *target, until, diedBy time.Duration, inSync bool) {
	first := t.holding.take != nil && t.holding.take.first
	c.emit(core.ToShard{Target: t.id, Input: core.TakeOver{
		Target: t.id, FencingToken: t.holding.number, FirstOwner: first,
		PreviousOwnerUntil: until, PreviousOwnerEndedBy: diedBy, BackupInSync: inSync,
	}})
}

// isFirst reports whether no VM can have held the target before: it is new in a configuration that
// this VM saw arrive, or its zone has just got its first list, this VM comes first, and all others
// know the list that says so.
func (c *Control) isFirst(t *target) bool {
	h := &t.holding
	if h.highest != 0 || h.foreign || c.wide(t) || len(h.electors) == 0 {
		return false
	}
	if h.electors[0].name != c.opts.Self || t.since == 0 && !c.zone(t.target.Zone).bootstrapped {
		return false
	}
	for _, e := range h.electors[1:] {
		if e.peer == nil || !c.agrees(t, e.peer) {
			return false
		}
	}
	return true
}

// abandoned reports whether the target's holder is gone, or cut off and no longer a member, or, while
// the platform is silent and can't remove it, suspect.
func (c *Control) abandoned(t *target) bool {
	h := &t.holding
	if p := c.peers.get(h.claim.vm); p != nil {
		return p.suspect && c.replaceable(p)
	}
	if c.ended(h.former) {
		return true
	}
	grace := unheldGrace
	if slices.ContainsFunc(h.electors, func(e elector) bool { return e.peer != nil && !e.peer.watched }) {
		grace = unwatchedGrace
	}
	return c.now-max(h.unheldSince, h.desiredAt) >= grace
}

// replaceable reports whether a suspect VM may be replaced: the writer of its zone's list has agreed
// by removing it, or lists can't be changed.
func (c *Control) replaceable(p *peer) bool {
	return !c.zone(p.zone).has(p.name, p.incarnation) || c.platformSilent()
}

// nobodyAhead reports whether no VM before this one in the target's order may hold or take it, and
// all others have been heard or are silent for long enough.
func (c *Control) nobodyAhead(t *target) bool {
	ahead := true
	for _, e := range t.holding.electors {
		if e.name == c.opts.Self {
			ahead = false
			continue
		}
		if e.gone() {
			continue
		}
		if e.peer == nil || e.peer.watched && !e.peer.heard() && !e.peer.suspect {
			return false
		}
		if ahead && !(e.peer.live() && e.peer.state == core.VMLeaving) && !(e.peer.suspect && c.replaceable(e.peer)) {
			return false
		}
	}
	return !ahead
}

// settleTakeOver tells the shard until when former holders may act, once that is known.
func (c *Control) settleTakeOver(t *target) {
	h := &t.holding
	if h.take == nil || !h.held {
		return
	}
	until, diedBy, ok := c.formerUntil(t)
	if !ok {
		return
	}
	c.tellTakeOver(t, until, diedBy, false)
	h.take = nil
}

// formerUntil returns the time until which a former holder may still have authority and the latest
// time at which it can have acted. It is not ok while that can't be told: some VM may hold the
// target that neither has heard of the takeover nor is known to have ended or been removed.
func (c *Control) formerUntil(t *target) (until, diedBy time.Duration, ok bool) {
	h := &t.holding
	if h.take.first {
		return 0, 0, true
	}
	until = c.settledAt(t)
	former, ok := c.formerHolder(t)
	if !ok {
		return 0, 0, false
	}
	until = max(until, former)
	for _, e := range c.possibleHolders(t) {
		if !c.excused(t, e) {
			return 0, 0, false
		}
	}
	if until <= c.now {
		until = 0
	}
	return until, c.formerDiedBy(t, until), true
}

// settledAt returns the time by which VMs that are no longer electors have lost authority.
func (c *Control) settledAt(t *target) time.Duration {
	settled := max(c.zone(t.target.Zone).settledAt, t.holding.settledAt)
	if c.wide(t) {
		c.zones.all(func(_ core.ZoneName, z *zone) bool {
			settled = max(settled, z.settledAt)
			return true
		})
	}
	return settled
}

// formerHolder returns the time until which the last known holder may have authority.
func (c *Control) formerHolder(t *target) (time.Duration, bool) {
	h := &t.holding
	if h.former.vm == "" || h.former.vm == c.opts.Self {
		return never, true
	}
	p := c.peers.get(h.former.vm)
	if c.ended(h.former) || p != nil && c.acknowledged(p, h.take) {
		return never, true
	}
	if p != nil && p.zone == t.target.Zone && h.foreign {
		// VMs of a zone taken out lose authority when they learn of it, or with their confirmation.
		return h.settledAt, true
	}
	if p != nil && c.mayBeMember(p, h.former.incarnation) || c.authority.confirmedAt < h.take.at {
		return 0, false
	}
	settled := h.take.at + core.SuspectAfter
	if p != nil {
		settled = max(settled, c.zone(p.zone).settledAt)
	}
	return settled, true
}

// mayBeMember reports whether a process, of which the incarnation may be unknown, is a member.
func (c *Control) mayBeMember(p *peer, inc core.Incarnation) bool {
	m, ok := c.zone(p.zone).member(p.name)
	return ok && (inc == anyIncarnation || m.Incarnation == inc)
}

// possibleHolders returns the VMs that may hold a target without this VM knowing it.
func (c *Control) possibleHolders(t *target) []elector {
	h := &t.holding
	if !c.wide(t) {
		return h.electors
	}
	var list []elector
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if c.zoneOut(name) {
			return true
		}
		for _, m := range z.members {
			list = append(list, c.elector(t, m.Name, m.Incarnation))
		}
		return true
	})
	return list
}

// excused reports whether a VM is known not to hold the target.
func (c *Control) excused(t *target, e elector) bool {
	h := &t.holding
	if e.name == c.opts.Self || e.gone() {
		return true
	}
	if e.peer == nil {
		return false
	}
	if c.acknowledged(e.peer, h.take) || c.agrees(t, e.peer) {
		return true
	}
	return !e.peer.watched && len(c.possibleHolders(t)) > maxProven
}

// acknowledged reports whether a peer has received a heartbeat that announced the takeover. It has
// dropped the target then, or this VM drops it because the peer has a better claim.
func (c *Control) acknowledged(p *peer, take *takeover) bool {
	return p.ackedAnnouncement >= take.announcement
}

// agrees reports whether a peer is known to leave the target to this VM: this VM is the first in the
// target's order that may be alive, and the peer knows the same members. A peer that takes the
// target nevertheless needs this VM's acknowledgement before it uses authority.
func (c *Control) agrees(t *target, p *peer) bool {
	h := &t.holding
	if h.foreign || c.wide(t) || !p.live() || h.take != nil && h.take.again {
		return false
	}
	for _, e := range h.electors {
		if e.name == c.opts.Self {
			break
		}
		if !e.gone() {
			return false
		}
	}
	z := c.zone(t.target.Zone)
	return epochOf(p.epochs, z.name) >= z.epoch &&
		!slices.ContainsFunc(p.holdings, func(a core.OwnedTarget) bool { return a.Target == t.id })
}

// formerDiedBy returns the latest time at which a former holder can have acted.
func (c *Control) formerDiedBy(t *target, until time.Duration) time.Duration {
	h := &t.holding
	p := c.peers.get(h.former.vm)
	if p != nil && c.ended(h.former) && until == 0 {
		return p.diedAt
	}
	return max(until, h.take.at)
}

// backupInSync reports whether this VM has copies of all records of the former holder: it was the
// backup for as long as records live, the holder could reach it all the time, and the holder's end
// was proven at once.
func (c *Control) backupInSync(t *target) bool {
	h := &t.holding
	p := c.peers.get(h.former.vm)
	if p == nil || !p.dead || p.incarnation != h.former.incarnation || h.former.vm == "" {
		return false
	}
	since := p.diedAt - core.RequestLifetime
	last := h.lastPair
	backed := last.holder == h.former.vm && last.number == h.former.number && last.backup == c.opts.Self
	return backed && last.since <= since && p.deafAt <= since && p.diedAt-p.lastHeard <= deadWithin
}

// proveAgain puts all targets that this VM holds on hold until it is known that no VM took them over
// while this VM was no member.
func (c *Control) proveAgain() {
	c.targets.all(func(_ core.TargetID, t *target) bool {
		if t.holding.held {
			c.prove(t)
		}
		return true
	})
}

// prove puts a held target on hold until it is known that no other VM holds it.
func (c *Control) prove(t *target) {
	h := &t.holding
	h.take = c.newTakeover(h.number)
	h.take.again = true
	c.tellTakeOver(t, core.PreviousOwnerUntilUnknown, core.PreviousOwnerUntilUnknown, false)
}
