package control

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// takeover is a takeover during which previous owners may still act.
type takeover struct {
	token     core.FencingToken
	startedAt time.Duration
	// firstOwner is true when no VM can have owned the target before.
	firstOwner bool
	// reverify is true when this VM already owned the target and only has to verify that no other VM does.
	reverify bool
	// announcement is the number of the first heartbeat content that announces the takeover.
	announcement uint64
}

// newTakeover returns a takeover that heartbeats announce from now on.
func (c *Control) newTakeover(token core.FencingToken) *takeover {
	c.heartbeats.announcement++
	return &takeover{token: token, startedAt: c.now, announcement: c.heartbeats.announcement}
}

// nextToken returns the fencing token of a takeover.
func (c *Control) nextToken(t *target) core.FencingToken {
	const countBits = 16
	base := core.FencingToken(c.zone(t.target.Zone).epoch) << countBits
	return max(t.ownership.highestToken+1, base)
}

// takeOverIfDue takes over a target that no VM owns and that is assigned to this VM.
func (c *Control) takeOverIfDue(t *target) {
	state := &t.ownership
	if state.owned || state.assigned != c.opts.Self || c.stop.leaving || !c.selfMember() {
		return
	}
	firstOwner := c.isFirstOwner(t)
	if !firstOwner && !c.ownerLost(t) || !c.noCandidateAhead(t) {
		return
	}
	c.takeOver(t, firstOwner)
}

// takeOver makes this VM the owner of a target and sends the shard the takeover, with the time until which a
// previous owner may still act.
func (c *Control) takeOver(t *target, firstOwner bool) {
	state := &t.ownership
	inSync := c.backupInSync(t)
	state.takeover = c.newTakeover(c.nextToken(t))
	state.takeover.firstOwner = firstOwner
	state.owned = true
	state.ownedSince = c.now
	state.token = state.takeover.token
	state.highestToken = state.token
	c.emit(core.Event{Kind: core.EventTakeOver, VM: state.highestClaim.vm, Zone: t.target.Zone, Target: t.id, Value: uint64(state.token)})
	if until, endedBy, ok := c.previousOwnersUntil(t); ok {
		c.sendTakeOver(t, until, endedBy, inSync)
		state.takeover = nil
	} else {
		c.sendTakeOver(t, core.PreviousOwnerUntilUnknown, core.PreviousOwnerUntilUnknown, false)
	}
	c.markChanged(changeTopology)
	c.requestEarlyHeartbeat()
}

// sendTakeOver sends a takeover, or new times of one, to the shard.
func (c *Control) sendTakeOver(t *target, until, endedBy time.Duration, inSync bool) {
	firstOwner := t.ownership.takeover != nil && t.ownership.takeover.firstOwner
	c.emit(core.ToShard{Target: t.id, Input: core.TakeOver{
		Target: t.id, FencingToken: t.ownership.token, FirstOwner: firstOwner,
		PreviousOwnerUntil: until, PreviousOwnerEndedBy: endedBy, BackupInSync: inSync,
	}})
}

// isFirstOwner reports whether no VM can have owned the target before: the target is new in a configuration
// that arrived after this VM had an older one, or its zone has just got its first member list; this VM is
// the first candidate; and all other candidates have the member list from which this follows.
func (c *Control) isFirstOwner(t *target) bool {
	state := &t.ownership
	if state.highestToken != 0 || state.crossZone || c.mayBeCrossZone(t) || len(state.candidates) == 0 {
		return false
	}
	if state.candidates[0].name != c.opts.Self || t.addedIn == 0 && !c.zone(t.target.Zone).bootstrapped {
		return false
	}
	for _, cand := range state.candidates[1:] {
		if cand.peer == nil || !c.agreesOnOwner(t, cand.peer) {
			return false
		}
	}
	return true
}

// ownerLost reports whether the target has lost its owner: the owner has ended, it is suspect and may be
// replaced, or no VM has announced the target for the grace time.
func (c *Control) ownerLost(t *target) bool {
	state := &t.ownership
	if p := c.peers.get(state.currentClaim.vm); p != nil {
		return p.suspect && c.replaceable(p)
	}
	if c.claimEnded(state.highestClaim) {
		return true
	}
	grace := unclaimedGrace
	if slices.ContainsFunc(state.candidates, func(cand candidate) bool { return cand.peer != nil && !cand.peer.monitored }) {
		grace = unmonitoredGrace
	}
	return c.now-max(state.unclaimedSince, state.assignedAt) >= grace
}

// replaceable reports whether a suspect VM may be replaced: its removal from its zone's list has confirmed the
// suspicion, or lists can't be changed.
func (c *Control) replaceable(p *peer) bool {
	return !c.zone(p.zone).hasMember(p.name, p.incarnation) || c.platformSilent()
}

// noCandidateAhead reports whether no candidate before this VM may own or take over the target, and all
// other candidates have sent heartbeats or have been silent for long enough.
func (c *Control) noCandidateAhead(t *target) bool {
	ahead := true
	for _, cand := range t.ownership.candidates {
		if cand.name == c.opts.Self {
			ahead = false
			continue
		}
		if cand.ended() {
			continue
		}
		if cand.peer == nil || cand.peer.monitored && !cand.peer.hasHeartbeat() && !cand.peer.suspect {
			return false
		}
		if ahead && !(cand.peer.live() && cand.peer.state == core.VMLeaving) && !(cand.peer.suspect && c.replaceable(cand.peer)) {
			return false
		}
	}
	return !ahead
}

// completeTakeOver sends the shard the time until which previous owners may act, once that is known.
func (c *Control) completeTakeOver(t *target) {
	state := &t.ownership
	if state.takeover == nil || !state.owned {
		return
	}
	until, endedBy, ok := c.previousOwnersUntil(t)
	if !ok {
		return
	}
	c.sendTakeOver(t, until, endedBy, false)
	state.takeover = nil
}

// previousOwnersUntil returns the time until which a previous owner may still have authority and the latest
// time at which one can have acted. ok is false while these times are unknown: there may be an owner that
// has not acknowledged the takeover and is not known to have ended or been removed.
func (c *Control) previousOwnersUntil(t *target) (until, endedBy time.Duration, ok bool) {
	state := &t.ownership
	if state.takeover.firstOwner {
		return 0, 0, true
	}
	until = c.removedCandidatesUntil(t)
	lastOwner, ok := c.lastOwnerUntil(t)
	if !ok {
		return 0, 0, false
	}
	until = max(until, lastOwner)
	for _, cand := range c.possibleOwners(t) {
		if !c.ackNotNeeded(t, cand) {
			return 0, 0, false
		}
	}
	if until <= c.now {
		until = 0
	}
	return until, c.previousOwnerEndedBy(t, until), true
}

// removedCandidatesUntil returns the time by which VMs that are no longer candidates have lost authority.
func (c *Control) removedCandidatesUntil(t *target) time.Duration {
	until := max(c.zone(t.target.Zone).removedAuthorityUntil, t.ownership.previousAuthorityUntil)
	if c.mayBeCrossZone(t) {
		c.zones.all(func(_ core.ZoneName, z *zone) bool {
			until = max(until, z.removedAuthorityUntil)
			return true
		})
	}
	return until
}

// lastOwnerUntil returns the time until which the last known owner may have authority, and whether that is
// known.
func (c *Control) lastOwnerUntil(t *target) (time.Duration, bool) {
	state := &t.ownership
	if state.highestClaim.vm == "" || state.highestClaim.vm == c.opts.Self {
		return distantPast, true
	}
	p := c.peers.get(state.highestClaim.vm)
	if c.claimEnded(state.highestClaim) || p != nil && c.acknowledged(p, state.takeover) {
		return distantPast, true
	}
	if p != nil && p.zone == t.target.Zone && state.crossZone {
		// VMs of a zone taken out of service lose authority when they install that configuration, or when
		// their confirmation expires.
		return state.previousAuthorityUntil, true
	}
	if p != nil && c.mayBeMember(p, state.highestClaim.incarnation) || c.authority.confirmedAt < state.takeover.startedAt {
		return 0, false
	}
	until := state.takeover.startedAt + core.SuspectAfter
	if p != nil {
		until = max(until, c.zone(p.zone).removedAuthorityUntil)
	}
	return until, true
}

// mayBeMember reports whether a process, whose incarnation may be unknown, may be a member.
func (c *Control) mayBeMember(p *peer, inc core.Incarnation) bool {
	m, ok := c.zone(p.zone).member(p.name)
	return ok && (inc == anyIncarnation || m.Incarnation == inc)
}

// possibleOwners returns the VMs that may own a target without having announced it to this VM.
func (c *Control) possibleOwners(t *target) []candidate {
	state := &t.ownership
	if !c.mayBeCrossZone(t) {
		return state.candidates
	}
	var list []candidate
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if c.zoneOut(name) {
			return true
		}
		for _, m := range z.members {
			list = append(list, c.newCandidate(t, m.Name, m.Incarnation))
		}
		return true
	})
	return list
}

// ackNotNeeded reports whether a takeover needs no further acknowledgement of a VM: the VM is known not to
// own the target, or is not monitored and one of more than maxTakeoverAcks possible owners.
func (c *Control) ackNotNeeded(t *target, cand candidate) bool {
	state := &t.ownership
	if cand.name == c.opts.Self || cand.ended() {
		return true
	}
	if cand.peer == nil {
		return false
	}
	if c.acknowledged(cand.peer, state.takeover) || c.agreesOnOwner(t, cand.peer) {
		return true
	}
	return !cand.peer.monitored && len(c.possibleOwners(t)) > maxTakeoverAcks
}

// acknowledged reports whether a peer has received a heartbeat that announced the takeover. The peer has
// then dropped the target, or this VM drops it because the peer has a higher claim.
func (c *Control) acknowledged(p *peer, announced *takeover) bool {
	return p.ackedAnnouncement >= announced.announcement
}

// agreesOnOwner reports whether a peer certainly leaves the target to this VM: this VM is the first
// candidate that may be alive, and the peer has the same member list. If the peer takes the target over
// nevertheless, it needs this VM's acknowledgement before it uses authority.
func (c *Control) agreesOnOwner(t *target, p *peer) bool {
	state := &t.ownership
	if state.crossZone || c.mayBeCrossZone(t) || !p.live() || state.takeover != nil && state.takeover.reverify {
		return false
	}
	for _, cand := range state.candidates {
		if cand.name == c.opts.Self {
			break
		}
		if !cand.ended() {
			return false
		}
	}
	z := c.zone(t.target.Zone)
	return epochOf(p.epochs, z.name) >= z.epoch &&
		!slices.ContainsFunc(p.ownedTargets, func(a core.OwnedTarget) bool { return a.Target == t.id })
}

// previousOwnerEndedBy returns the latest time at which a previous owner can have acted.
func (c *Control) previousOwnerEndedBy(t *target, until time.Duration) time.Duration {
	state := &t.ownership
	p := c.peers.get(state.highestClaim.vm)
	if p != nil && c.claimEnded(state.highestClaim) && until == 0 {
		return p.diedAt
	}
	return max(until, state.takeover.startedAt)
}

// backupInSync reports whether this VM has copies of all records of the previous owner: it was the backup
// for the lifetime of a record, the owner could reach it all the time, and the owner's end was proven within
// backupSyncLimit of its last heartbeat.
func (c *Control) backupInSync(t *target) bool {
	state := &t.ownership
	p := c.peers.get(state.highestClaim.vm)
	if p == nil || !p.dead || p.incarnation != state.highestClaim.incarnation || state.highestClaim.vm == "" {
		return false
	}
	since := p.diedAt - core.RequestLifetime
	last := state.previousPair
	backed := last.owner == state.highestClaim.vm && last.token == state.highestClaim.token && last.backup == c.opts.Self
	return backed && last.since <= since && p.ackOverdueAt <= since && p.diedAt-p.lastHeartbeat <= backupSyncLimit
}

// reverifyOwned suspends all targets that this VM owns until it is certain that no VM took them over while
// this VM was not a member.
func (c *Control) reverifyOwned() {
	c.targets.all(func(_ core.TargetID, t *target) bool {
		if t.ownership.owned {
			c.verifyOwnership(t)
		}
		return true
	})
}

// verifyOwnership suspends an owned target until it is certain that no other VM owns it.
func (c *Control) verifyOwnership(t *target) {
	state := &t.ownership
	state.takeover = c.newTakeover(state.token)
	state.takeover.reverify = true
	c.sendTakeOver(t, core.PreviousOwnerUntilUnknown, core.PreviousOwnerUntilUnknown, false)
}
