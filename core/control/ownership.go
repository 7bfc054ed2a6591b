package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

const (
	// handoverDelay is the time for which another VM must be the assigned owner before a target is handed
	// over to it. Shorter times hand targets over to VMs that appear only briefly.
	handoverDelay = time.Second
	// maxHandovers bounds the handovers that a VM has in progress, so that a membership change does not
	// stop admission for many targets at once.
	maxHandovers = 4
	// handoverTimeout is the time after which a handover without a report is sent again or fails.
	handoverTimeout = 3 * time.Second
	// unclaimedGrace is the time without an announcement of a target after which the target is taken over
	// although its last owner may be alive. A handover takes at most a second and is announced with the next
	// heartbeat.
	unclaimedGrace = 1500 * time.Millisecond
	// unmonitoredGrace replaces unclaimedGrace when there are members whose announcements this VM does not
	// receive. They hand the target over as soon as they detect that this VM is the assigned owner.
	unmonitoredGrace = 5 * time.Second
	// dropGrace is the time for which the sender of a handover leaves it to its shard to detect that the
	// receiver owns the target.
	dropGrace = 1500 * time.Millisecond
	// emptyListAfter is the time after the start before a VM writes an empty list for a zone that never had
	// a member. The list shows the zone's first members that VMs of other zones may own its targets.
	emptyListAfter = 10 * time.Second
	// backupSyncLimit is the time since the last heartbeat within which a refused connection shows that the
	// backup has all records.
	backupSyncLimit = 1500 * time.Millisecond
)

// claim is a VM's announcement that it owns a target.
type claim struct {
	vm          core.VMName
	incarnation core.Incarnation
	token       core.FencingToken
	receivedAt  time.Duration
}

// anyIncarnation stands for the unknown incarnation of a VM to which a shard handed a target over. The
// message may have reached a process of which this VM has received no heartbeat yet.
const anyIncarnation = ^core.Incarnation(0)

// claimEnded reports whether the process that made the claim is known to have ended.
func (c *Control) claimEnded(cl claim) bool {
	p := c.peers.get(cl.vm)
	if p == nil {
		return false
	}
	if cl.incarnation == anyIncarnation {
		return p.dead && p.diedAt >= cl.receivedAt
	}
	return p.incarnationEnded(cl.incarnation)
}

// supersedes reports whether the claim replaces another one. Two VMs that take over at the same time use
// equal tokens; the lower name wins.
func (cl claim) supersedes(other claim) bool {
	if cl.token != other.token {
		return cl.token > other.token
	}
	return cl.vm != "" && (other.vm == "" || cl.vm < other.vm)
}

// ownership is the state that decides which VM owns a target.
type ownership struct {
	// owned is true while this VM owns the target, since ownedSince and under token.
	owned      bool
	ownedSince time.Duration
	token      core.FencingToken
	// droppedToken is the highest token under which this VM had to drop the target.
	droppedToken core.FencingToken
	// highestToken is the highest token that was used or announced for the target.
	highestToken core.FencingToken
	// currentClaim is the highest claim that a peer announces at present; highestClaim is the highest one
	// ever received.
	currentClaim, highestClaim claim
	// unclaimedSince is when the last live claim ended.
	unclaimedSince time.Duration

	candidates []candidate
	// crossZone is true when VMs of other zones own the target; wasCrossZone is true when they ever did.
	crossZone, wasCrossZone bool
	// previousAuthorityUntil is the time by which VMs that owned the target under another set of candidates
	// have lost authority.
	previousAuthorityUntil time.Duration
	assigned               core.VMName
	assignedAt             time.Duration
	backup                 core.VMName
	// pair is the present owner and backup; previousPair is the last pair before it that had an owner.
	pair, previousPair ownerPair

	takeover       *takeover
	handover       *handover
	nextHandoverAt time.Duration
}

// ownerPair is an owner with its backup.
type ownerPair struct {
	owner, backup core.VMName
	token         core.FencingToken
	since         time.Duration
}

// candidate is a VM that may own a target.
type candidate struct {
	name        core.VMName
	incarnation core.Incarnation
	// peer is nil for this VM and for a VM that is not among the peers.
	peer  *peer
	score uint64
}

// handover is a handover in progress; sentAt is when the shard was last instructed to perform it.
type handover struct {
	to     core.VMName
	token  core.FencingToken
	sentAt time.Duration
}

// ended reports whether the candidate's process is known to have ended.
func (c candidate) ended() bool { return c.peer != nil && c.peer.incarnationEnded(c.incarnation) }

// updateOwnersIfDue calls updateOwners after a topology change and otherwise once per targetsInterval.
func (c *Control) updateOwnersIfDue() {
	if c.publication.ownershipVersion == c.publication.topologyVersion && c.now < c.publication.nextOwnerCheck {
		return
	}
	c.publication.nextOwnerCheck = c.now + targetsInterval
	c.updateOwners()
}

// updateOwners decides which VM should own each target, and starts the drops, takeovers and handovers that
// are due.
func (c *Control) updateOwners() {
	if c.config.current == nil {
		return
	}
	c.refreshOwnership()
	c.targets.all(func(_ core.TargetID, t *target) bool {
		c.dropIfSuperseded(t)
		c.takeOverIfDue(t)
		c.completeTakeOver(t)
		c.handOverIfDue(t)
		return true
	})
}

// refreshOwnership recomputes claims and candidates after a topology change.
func (c *Control) refreshOwnership() {
	if c.now-c.startedAt > emptyListAfter && !c.publication.emptyListsAllowed {
		c.publication.emptyListsAllowed = true
		c.markChanged(changeTopology)
	}
	if c.publication.ownershipVersion == c.publication.topologyVersion {
		return
	}
	c.publication.ownershipVersion = c.publication.topologyVersion
	claims := c.highestClaims()
	c.targets.all(func(id core.TargetID, t *target) bool {
		c.refreshTargetOwnership(t, claims[id])
		return true
	})
}

// highestClaims returns the highest claim of a peer for each target.
func (c *Control) highestClaims() map[core.TargetID]claim {
	claims := make(map[core.TargetID]claim)
	c.peers.all(func(_ core.VMName, p *peer) bool {
		if !p.hasHeartbeat() {
			return true
		}
		for _, owned := range p.ownedTargets {
			cl := claim{p.name, p.incarnation, owned.FencingToken, p.lastHeartbeat}
			if cl.supersedes(claims[owned.Target]) {
				claims[owned.Target] = cl
			}
		}
		return true
	})
	return claims
}

// refreshTargetOwnership recomputes the state of one target that depends on peers and members.
func (c *Control) refreshTargetOwnership(t *target, current claim) {
	state := &t.ownership
	if state.currentClaim.vm != "" && current.vm == "" {
		state.unclaimedSince = c.now
	}
	state.currentClaim = current
	state.highestToken = max(state.highestToken, current.token)
	if current.supersedes(state.highestClaim) {
		state.highestClaim = current
	}
	c.refreshCandidates(t)
	assigned := c.assignedOwner(t)
	if assigned != state.assigned {
		state.assigned = assigned
		state.assignedAt = c.now
	}
	state.backup = c.backup(t)
	c.recordPair(t)
}

// recordPair records since when a target has had the same owner and backup.
func (c *Control) recordPair(t *target) {
	state := &t.ownership
	next := ownerPair{state.currentClaim.vm, state.backup, state.currentClaim.token, state.pair.since}
	if next == state.pair {
		return
	}
	if state.pair.owner != "" {
		state.previousPair = state.pair
	}
	next.since = c.now
	state.pair = next
}

// refreshCandidates determines which VMs may own a target, best first.
func (c *Control) refreshCandidates(t *target) {
	state := &t.ownership
	crossZone := c.zoneOwnedByOthers(t.target.Zone)
	if crossZone != state.crossZone || crossZone && state.candidates == nil {
		state.previousAuthorityUntil = c.now + core.ConfirmTTL
	}
	state.crossZone = crossZone
	state.wasCrossZone = state.wasCrossZone || crossZone
	state.candidates = state.candidates[:0]
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if crossZone == (name == t.target.Zone) || crossZone && c.zoneOut(name) {
			return true
		}
		for _, m := range z.members {
			state.candidates = append(state.candidates, c.newCandidate(t, m.Name, m.Incarnation))
		}
		return true
	})
	sortCandidates(state.candidates)
}

// newCandidate returns a VM as a candidate for a target.
func (c *Control) newCandidate(t *target, name core.VMName, inc core.Incarnation) candidate {
	cand := candidate{name: name, incarnation: inc, peer: c.peers.get(name)}
	cand.score = rendezvous.Mix(t.key, rendezvous.HashString(string(name)))
	return cand
}

// sortCandidates sorts candidates, best first.
func sortCandidates(list []candidate) { slices.SortFunc(list, compareCandidates) }

// compareCandidates orders candidates by descending score, and by name if scores are equal.
func compareCandidates(a, b candidate) int {
	if n := cmp.Compare(b.score, a.score); n != 0 {
		return n
	}
	return compare(a.name, b.name)
}

// zoneOwnedByOthers reports whether VMs of other zones own the targets of a zone: it was taken out of
// service, or none of its VMs is left.
func (c *Control) zoneOwnedByOthers(name core.ZoneName) bool {
	if c.zoneOut(name) {
		return true
	}
	if name == c.opts.Zone {
		return false
	}
	z := c.zone(name)
	if z.epoch == 0 {
		return false
	}
	for _, m := range z.members {
		if p := c.peers.get(m.Name); p == nil || !p.incarnationEnded(m.Incarnation) {
			return false
		}
	}
	none := true
	c.peers.all(func(_ core.VMName, p *peer) bool {
		none = p.zone != name || !c.alive(p)
		return none
	})
	return none
}

// mayBeCrossZone reports whether VMs of other zones may own the target: they did before, or the zone's
// member list was empty before its present members joined.
func (c *Control) mayBeCrossZone(t *target) bool {
	if t.ownership.wasCrossZone {
		return true
	}
	return slices.ContainsFunc(c.zone(t.target.Zone).members, func(m core.Member) bool { return m.JoinedEmptyZone })
}

// canOwn reports whether a target can be given to a candidate. A later process of a member qualifies, too: it
// becomes the owner by handover while the platform is down.
func (c *Control) canOwn(cand candidate) bool {
	if cand.name == c.opts.Self {
		return !c.stop.leaving
	}
	return cand.peer != nil && c.available(cand.peer)
}

// assignedOwner returns the VM that should own a target. A VM that is not a member yet is assigned only when
// no member is available, so that a rolling replacement works while the platform is down.
func (c *Control) assignedOwner(t *target) core.VMName {
	for _, cand := range t.ownership.candidates {
		if c.canOwn(cand) {
			return cand.name
		}
	}
	if t.ownership.crossZone {
		return ""
	}
	var best candidate
	consider := func(cand candidate) {
		if (best.name == "" || compareCandidates(cand, best) < 0) && c.canOwn(cand) {
			best = cand
		}
	}
	if c.opts.Zone == t.target.Zone {
		consider(c.newCandidate(t, c.opts.Self, c.opts.Incarnation))
	}
	c.peers.all(func(name core.VMName, p *peer) bool {
		if p.zone == t.target.Zone {
			consider(c.newCandidate(t, name, p.incarnation))
		}
		return true
	})
	return best.name
}

// currentOwner returns the claim of the VM that owns a target, according to the announcements that this VM
// has received.
func (c *Control) currentOwner(t *target) claim {
	state := &t.ownership
	if state.owned {
		return claim{vm: c.opts.Self, token: state.token}
	}
	if p := c.peers.get(state.highestClaim.vm); p != nil && p.live() && state.highestClaim.supersedes(state.currentClaim) &&
		c.now-state.highestClaim.receivedAt < unclaimedGrace && !c.claimEnded(state.highestClaim) {
		return state.highestClaim
	}
	return state.currentClaim
}

// backup returns the VM that keeps copies of the owner's records, the first available candidate that is not
// the owner, or an empty name.
func (c *Control) backup(t *target) core.VMName {
	owner := c.currentOwner(t).vm
	if owner == "" {
		owner = t.ownership.assigned
	}
	for _, cand := range t.ownership.candidates {
		if cand.name != owner && c.canOwn(cand) {
			return cand.name
		}
	}
	return ""
}

// recordOwnedTargets records which targets a peer announces as its own.
func (c *Control) recordOwnedTargets(p *peer, announcedTargets []core.OwnedTarget) {
	same := slices.EqualFunc(p.ownedTargets, announcedTargets, func(a, b core.OwnedTarget) bool {
		return a.Target == b.Target && a.FencingToken == b.FencingToken
	})
	p.ownedTargets = announcedTargets
	for _, announced := range announcedTargets {
		if t := c.targets.get(announced.Target); t != nil {
			c.recordClaim(t, claim{p.name, p.incarnation, announced.FencingToken, c.now}, announced.Load)
		}
	}
	if !same {
		c.requestEarlyHeartbeat()
		c.markChanged(changeTopology)
		c.updateOwners()
	}
}

// recordClaim records a peer's claim to a target and the load that it announces.
func (c *Control) recordClaim(t *target, cl claim, load core.TargetLoad) {
	state := &t.ownership
	state.highestToken = max(state.highestToken, cl.token)
	if cl.vm == state.highestClaim.vm || cl.supersedes(state.highestClaim) {
		state.highestClaim = cl
	}
	if cl.vm == state.currentClaim.vm && !state.owned {
		c.setLoad(t, load)
	}
}

// setLoad records the load of a target.
func (c *Control) setLoad(t *target, load core.TargetLoad) {
	if load == t.load {
		return
	}
	drainingChanged := load.Draining != t.load.Draining
	t.load = load
	c.markChanged(changeLoad)
	if drainingChanged {
		c.markChanged(changeSnapshot)
		c.updateTargetSets()
	}
}

// ownedTargets returns the targets that this VM announces as its own.
func (c *Control) ownedTargets() []core.OwnedTarget {
	var list []core.OwnedTarget
	c.targets.all(func(id core.TargetID, t *target) bool {
		if t.ownership.owned {
			list = append(list, core.OwnedTarget{Target: id, FencingToken: t.ownership.token, Load: t.load})
		}
		return true
	})
	return list
}

// ownsAny reports whether this VM owns a target.
func (c *Control) ownsAny() bool {
	found := false
	c.targets.all(func(_ core.TargetID, t *target) bool {
		found = t.ownership.owned
		return !found
	})
	return found
}

// onLoadChanged handles a shard's report of a target's load.
func (c *Control) onLoadChanged(r core.LoadChanged) {
	if t := c.targets.get(r.Target); t != nil && t.ownership.owned {
		c.setLoad(t, r.Load)
	}
}

// onOwnerChanged handles a shard's report of which VM owns a target.
func (c *Control) onOwnerChanged(r core.OwnerChanged) {
	t := c.targets.get(r.Target)
	if t == nil {
		c.config.earlyReports[r.Target] = r
		return
	}
	state := &t.ownership
	state.highestToken = max(state.highestToken, r.FencingToken)
	if r.Owner == c.opts.Self {
		c.onTargetAcquired(t, r.FencingToken)
	} else if !state.owned || r.FencingToken >= state.token {
		c.onTargetLost(state, r)
	}
	c.markChanged(changeTopology)
	c.requestEarlyHeartbeat()
	c.updateOwners()
}

// onTargetAcquired records that a shard of this VM owns a target. A target received by handover can be used
// at once if its sender certainly had authority over it; otherwise the ownership must be verified.
func (c *Control) onTargetAcquired(t *target, token core.FencingToken) {
	state := &t.ownership
	if state.owned && token < state.token {
		return
	}
	if token <= state.droppedToken || !state.owned && token < state.highestToken {
		// The shard sent the report before the instruction to drop the target reached it, or a repeated
		// handover arrived after the target had been handed on.
		c.dropTarget(t, state.highestClaim)
		return
	}
	received := !state.owned || token > state.token
	if state.handover != nil {
		c.failHandover(state)
	}
	state.owned = true
	state.token = token
	if !received {
		return
	}
	state.ownedSince = c.now
	c.emit(core.Event{Kind: core.EventHandoverDone, VM: c.opts.Self, Target: t.id, Value: uint64(token)})
	state.takeover = nil
	if state.currentClaim.supersedes(claim{vm: c.opts.Self, token: token}) {
		c.dropTarget(t, state.currentClaim)
		return
	}
	if !c.senderHadAuthority(t) {
		c.verifyOwnership(t)
	}
}

// senderHadAuthority reports whether the VM that handed a target over had authority over it. A VM that was
// cut off may have been replaced by another one without having been notified.
func (c *Control) senderHadAuthority(t *target) bool {
	state := &t.ownership
	p := c.peers.get(state.highestClaim.vm)
	if p == nil || state.currentClaim.vm != "" && state.currentClaim.vm != p.name {
		return false
	}
	if state.crossZone {
		return !slices.ContainsFunc(state.candidates, func(cand candidate) bool {
			return c.allowsAuthorityUntil(core.Member{Name: cand.name, Incarnation: cand.incarnation}) <= c.now
		})
	}
	if !c.mayBeMember(p, p.incarnation) {
		return false
	}
	return p.confirmedAt+core.ConfirmTTL > c.now || c.authorityFromPeers() > c.now
}

// onTargetLost records that no shard of this VM owns a target any more.
func (c *Control) onTargetLost(state *ownership, r core.OwnerChanged) {
	state.owned = false
	state.takeover = nil
	state.handover = nil
	state.unclaimedSince = c.now
	cl := claim{r.Owner, anyIncarnation, r.FencingToken, c.now}
	if r.Owner != "" && cl.supersedes(state.highestClaim) {
		state.highestClaim = cl
	}
}

// dropIfSuperseded drops a target that another VM owns under a higher claim.
func (c *Control) dropIfSuperseded(t *target) {
	state := &t.ownership
	if !state.owned || !state.currentClaim.supersedes(claim{vm: c.opts.Self, token: state.token}) {
		return
	}
	if pending := state.handover; pending != nil && pending.to == state.currentClaim.vm && c.now-pending.sentAt < dropGrace {
		return
	}
	c.dropTarget(t, state.currentClaim)
}

// dropTarget instructs the shard to drop a target that another VM, the successor, owns.
func (c *Control) dropTarget(t *target, successor claim) {
	state := &t.ownership
	state.droppedToken = max(state.droppedToken, state.token)
	state.owned = false
	state.takeover = nil
	state.handover = nil
	c.emit(core.ToShard{Target: t.id, Input: core.DropTarget{Target: t.id, Owner: successor.vm, FencingToken: successor.token}})
	c.markChanged(changeTopology)
	c.requestEarlyHeartbeat()
}
