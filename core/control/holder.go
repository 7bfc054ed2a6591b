package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

const (
	// handoverAfter is the time for which another VM has to be desired before a target is handed
	// to it; shorter times hand over to VMs that only appear briefly.
	handoverAfter = time.Second
	// maxReleases bounds the handovers that a VM has under way, so that a membership change does
	// not stop admission for many targets at once.
	maxReleases = 4
	// releaseTimeout is the time after which a handover without a report counts as failed.
	releaseTimeout = 3 * time.Second
	// unheldGrace is the time for which nobody may announce a target before it is taken over from
	// a live VM; a handover takes at most a second and is announced with the next heartbeat.
	unheldGrace = 1500 * time.Millisecond
	// unwatchedGrace is the same when members exist whose announcements this VM does not get. They
	// hand the target over as soon as they see that this VM is desired.
	unwatchedGrace = 5 * time.Second
	// dropGrace is the time for which a handover's sender leaves it to the shard to notice that
	// the receiver holds the target.
	dropGrace = 1500 * time.Millisecond
	// foreignAfter is the time after the start before a VM writes an empty list for a zone that
	// never had a member. The list tells the zone's first members that others may hold its targets.
	foreignAfter = 10 * time.Second
	// deadWithin is the time since the last heartbeat within which a refused connection shows that
	// the backup knows all records.
	deadWithin = 1500 * time.Millisecond
)

// claim is a VM's announcement that it holds a target.
type claim struct {
	vm          core.VMName
	incarnation core.Incarnation
	number      core.FencingToken
	heardAt     time.Duration
}

// anyIncarnation stands for the unknown incarnation of a VM that a shard handed a target to: the
// message may have reached a process that this VM has not heard yet.
const anyIncarnation = ^core.Incarnation(0)

// ended reports whether the process that made the claim is known to have ended.
func (c *Control) ended(n claim) bool {
	p := c.peers.get(n.vm)
	if p == nil {
		return false
	}
	if n.incarnation == anyIncarnation {
		return p.dead && p.diedAt >= n.heardAt
	}
	return p.gone(n.incarnation)
}

// beats reports whether the claim replaces another one. Equal numbers arise when two VMs take over
// at the same time; the name decides.
func (a claim) beats(b claim) bool {
	if a.number != b.number {
		return a.number > b.number
	}
	return a.vm != "" && (b.vm == "" || a.vm < b.vm)
}

// holding is what control knows about who holds a target.
type holding struct {
	// held is true while this VM holds the target, since heldSince and under number.
	held      bool
	heldSince time.Duration
	number    core.FencingToken
	// dropped is the highest number under which this VM had to drop the target.
	dropped core.FencingToken
	// highest is the highest number heard of.
	highest core.FencingToken
	// claim is the best present claim of a peer; former the best ever heard.
	claim, former claim
	// unheldSince is when the last live claim ended.
	unheldSince time.Duration

	electors []elector
	// foreign is true when VMs of other zones hold the target; wasForeign when they ever did.
	foreign, wasForeign bool
	// settledAt is the time by which VMs that held the target under another electorate have lost
	// authority.
	settledAt time.Duration
	desired   core.VMName
	desiredAt time.Duration
	backup    core.VMName
	// pair is the present holder and backup; lastPair the one before the last holder was lost.
	pair, lastPair pairing

	take       *takeover
	release    *release
	retryAfter time.Duration
}

// pairing is a holder with its backup.
type pairing struct {
	holder, backup core.VMName
	number         core.FencingToken
	since          time.Duration
}

// elector is a VM that may hold a target.
type elector struct {
	name        core.VMName
	incarnation core.Incarnation
	// peer is nil for this VM.
	peer  *peer
	score uint64
}

// release is a handover under way.
type release struct {
	to     core.VMName
	number core.FencingToken
	at     time.Duration
}

// gone reports whether the elector's process is known to have ended.
func (e elector) gone() bool { return e.peer != nil && e.peer.gone(e.incarnation) }

// tickHolders calls updateHolders when something changed or time may have.
func (c *Control) tickHolders() {
	if c.view.refreshed == c.view.structure && c.now < c.view.holdersAt {
		return
	}
	c.view.holdersAt = c.now + targetsInterval
	c.updateHolders()
}

// updateHolders decides for all targets who should hold them and acts on it.
func (c *Control) updateHolders() {
	if c.config.current == nil {
		return
	}
	c.refreshHoldings()
	c.targets.all(func(_ core.TargetID, t *target) bool {
		c.checkDrop(t)
		c.considerTakeOver(t)
		c.settleTakeOver(t)
		c.considerRelease(t)
		return true
	})
}

// refreshHoldings recomputes claims and electors after a change of structure.
func (c *Control) refreshHoldings() {
	if c.now-c.startedAt > foreignAfter && !c.view.foreignTime {
		c.view.foreignTime = true
		c.touch(changeStructure)
	}
	if c.view.refreshed == c.view.structure {
		return
	}
	c.view.refreshed = c.view.structure
	claims := c.bestClaims()
	c.targets.all(func(id core.TargetID, t *target) bool {
		c.refreshHolding(t, claims[id])
		return true
	})
}

// bestClaims returns the best claim of a peer for each target.
func (c *Control) bestClaims() map[core.TargetID]claim {
	claims := make(map[core.TargetID]claim)
	c.peers.all(func(_ core.VMName, p *peer) bool {
		if !p.heard() {
			return true
		}
		for _, h := range p.holdings {
			n := claim{p.name, p.incarnation, h.FencingToken, p.lastHeard}
			if n.beats(claims[h.Target]) {
				claims[h.Target] = n
			}
		}
		return true
	})
	return claims
}

// refreshHolding recomputes what depends on peers and members for one target.
func (c *Control) refreshHolding(t *target, best claim) {
	h := &t.holding
	if h.claim.vm != "" && best.vm == "" {
		h.unheldSince = c.now
	}
	h.claim = best
	h.highest = max(h.highest, best.number)
	if best.beats(h.former) {
		h.former = best
	}
	c.refreshElectorate(t)
	desired := c.desired(t)
	if desired != h.desired {
		h.desired = desired
		h.desiredAt = c.now
	}
	h.backup = c.backup(t)
	c.notePair(t)
}

// notePair remembers since when a target has the same holder and backup.
func (c *Control) notePair(t *target) {
	h := &t.holding
	next := pairing{h.claim.vm, h.backup, h.claim.number, h.pair.since}
	if next == h.pair {
		return
	}
	if h.pair.holder != "" {
		h.lastPair = h.pair
	}
	next.since = c.now
	h.pair = next
}

// refreshElectorate works out which VMs may hold a target, best first.
func (c *Control) refreshElectorate(t *target) {
	h := &t.holding
	foreign := c.foreign(t.target.Zone)
	if foreign != h.foreign || foreign && h.electors == nil {
		h.settledAt = c.now + core.ConfirmTTL
	}
	h.foreign = foreign
	h.wasForeign = h.wasForeign || foreign
	h.electors = h.electors[:0]
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if foreign == (name == t.target.Zone) || foreign && c.zoneOut(name) {
			return true
		}
		for _, m := range z.members {
			h.electors = append(h.electors, c.elector(t, m.Name, m.Incarnation))
		}
		return true
	})
	sortElectors(h.electors)
}

// elector returns a VM as elector of a target.
func (c *Control) elector(t *target, name core.VMName, inc core.Incarnation) elector {
	e := elector{name: name, incarnation: inc, peer: c.peers.get(name)}
	e.score = rendezvous.Mix(t.key, rendezvous.HashString(string(name)))
	return e
}

// sortElectors sorts best first.
func sortElectors(list []elector) { slices.SortFunc(list, compareElectors) }

// compareElectors orders electors best first.
func compareElectors(a, b elector) int {
	if n := cmp.Compare(b.score, a.score); n != 0 {
		return n
	}
	return compare(a.name, b.name)
}

// foreign reports whether VMs of other zones hold the targets of a zone: it was taken out of service
// or no VM of it is left.
func (c *Control) foreign(name core.ZoneName) bool {
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
		if p := c.peers.get(m.Name); p == nil || !p.gone(m.Incarnation) {
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

// wide reports whether VMs of other zones may hold the target: they did, or the zone's list was empty
// before its present members joined.
func (c *Control) wide(t *target) bool {
	if t.holding.wasForeign {
		return true
	}
	return slices.ContainsFunc(c.zone(t.target.Zone).members, func(m core.Member) bool { return m.JoinedEmptyZone })
}

// canHold reports whether an elector can be given a target. A later process of a member counts: it
// becomes holder by handover while the platform is down.
func (c *Control) canHold(e elector) bool {
	if e.name == c.opts.Self {
		return !c.stop.leaving
	}
	return e.peer != nil && c.available(e.peer)
}

// desired returns the VM that should hold a target. VMs that are no members yet are desired only
// when no member is available, so that a rolling replacement works while the platform is down.
func (c *Control) desired(t *target) core.VMName {
	for _, e := range t.holding.electors {
		if c.canHold(e) {
			return e.name
		}
	}
	if t.holding.foreign {
		return ""
	}
	var best elector
	consider := func(e elector) {
		if (best.name == "" || compareElectors(e, best) < 0) && c.canHold(e) {
			best = e
		}
	}
	if c.opts.Zone == t.target.Zone {
		consider(c.elector(t, c.opts.Self, c.opts.Incarnation))
	}
	c.peers.all(func(name core.VMName, p *peer) bool {
		if p.zone == t.target.Zone {
			consider(c.elector(t, name, p.incarnation))
		}
		return true
	})
	return best.name
}

// holder returns the VM that holds a target as far as this VM knows.
func (c *Control) holder(t *target) claim {
	h := &t.holding
	if h.held {
		return claim{vm: c.opts.Self, number: h.number}
	}
	if p := c.peers.get(h.former.vm); p != nil && p.live() && h.former.beats(h.claim) &&
		c.now-h.former.heardAt < unheldGrace && !c.ended(h.former) {
		return h.former
	}
	return h.claim
}

// backup returns the VM that keeps copies of the holder's records: the first available elector that
// is not the holder.
func (c *Control) backup(t *target) core.VMName {
	holder := c.holder(t).vm
	if holder == "" {
		holder = t.holding.desired
	}
	for _, e := range t.holding.electors {
		if e.name != holder && c.canHold(e) {
			return e.name
		}
	}
	return ""
}

// noteHoldings takes over which targets a peer announces.
func (c *Control) noteHoldings(p *peer, list []core.OwnedTarget) {
	same := slices.EqualFunc(p.holdings, list, func(a, b core.OwnedTarget) bool {
		return a.Target == b.Target && a.FencingToken == b.FencingToken
	})
	p.holdings = list
	for _, announced := range list {
		if t := c.targets.get(announced.Target); t != nil {
			c.noteClaim(t, claim{p.name, p.incarnation, announced.FencingToken, c.now}, announced.Load)
		}
	}
	if !same {
		c.hasNews()
		c.touch(changeStructure)
		c.updateHolders()
	}
}

// noteClaim takes over a peer's claim to a target and the load that it announces.
func (c *Control) noteClaim(t *target, n claim, load core.TargetLoad) {
	h := &t.holding
	h.highest = max(h.highest, n.number)
	if n.vm == h.former.vm || n.beats(h.former) {
		h.former = n
	}
	if n.vm == h.claim.vm && !h.held {
		c.setLoad(t, load)
	}
}

// setLoad takes over the load of a target.
func (c *Control) setLoad(t *target, load core.TargetLoad) {
	if load == t.load {
		return
	}
	leaving := load.Draining != t.load.Draining
	t.load = load
	c.touch(changeLoad)
	if leaving {
		c.touch(changeView)
		c.updateSets()
	}
}

// ownHoldings returns the targets that this VM announces.
func (c *Control) ownHoldings() []core.OwnedTarget {
	var list []core.OwnedTarget
	c.targets.all(func(id core.TargetID, t *target) bool {
		if t.holding.held {
			list = append(list, core.OwnedTarget{Target: id, FencingToken: t.holding.number, Load: t.load})
		}
		return true
	})
	return list
}

// holdsAny reports whether this VM holds a target.
func (c *Control) holdsAny() bool {
	found := false
	c.targets.all(func(_ core.TargetID, t *target) bool {
		found = t.holding.held
		return !found
	})
	return found
}

// onLoadChanged takes over the load that a shard reports.
func (c *Control) onLoadChanged(r core.LoadChanged) {
	if t := c.targets.get(r.Target); t != nil && t.holding.held {
		c.setLoad(t, r.Load)
	}
}

// onHolderChanged takes over which VM a shard says holds a target.
func (c *Control) onHolderChanged(r core.OwnerChanged) {
	t := c.targets.get(r.Target)
	if t == nil {
		c.config.early[r.Target] = r
		return
	}
	h := &t.holding
	h.highest = max(h.highest, r.FencingToken)
	if r.Owner == c.opts.Self {
		c.noteOwnHolding(t, r.FencingToken)
	} else if !h.held || r.FencingToken >= h.number {
		c.noteLostHolding(h, r)
	}
	c.touch(changeStructure)
	c.hasNews()
	c.updateHolders()
}

// noteOwnHolding records that a shard of this VM holds a target. A target received by handover can be
// used at once if its sender was certainly its rightful holder.
func (c *Control) noteOwnHolding(t *target, number core.FencingToken) {
	h := &t.holding
	if h.held && number < h.number {
		return
	}
	if number <= h.dropped || !h.held && number < h.highest {
		// The report was under way when the shard was told to drop the target, or a repeated handover
		// arrived after the target had been handed on.
		c.drop(t, h.former)
		return
	}
	received := !h.held || number > h.number
	if h.release != nil {
		c.endRelease(h)
	}
	h.held = true
	h.number = number
	if !received {
		return
	}
	h.heldSince = c.now
	c.emit(core.Event{Kind: core.EventHandoverDone, VM: c.opts.Self, Target: t.id, Value: uint64(number)})
	h.take = nil
	if h.claim.beats(claim{vm: c.opts.Self, number: number}) {
		c.drop(t, h.claim)
		return
	}
	if !c.rightful(t) {
		c.prove(t)
	}
}

// rightful reports whether the VM that handed a target over had authority over it. A VM that was cut
// off may not know that another one has replaced it.
func (c *Control) rightful(t *target) bool {
	h := &t.holding
	p := c.peers.get(h.former.vm)
	if p == nil || h.claim.vm != "" && h.claim.vm != p.name {
		return false
	}
	if h.foreign {
		return !slices.ContainsFunc(h.electors, func(e elector) bool {
			return c.heardUntil(core.Member{Name: e.name, Incarnation: e.incarnation}) <= c.now
		})
	}
	if !c.mayBeMember(p, p.incarnation) {
		return false
	}
	return p.confirmedAt+core.ConfirmTTL > c.now || c.outageAuthority() > c.now
}

// noteLostHolding records that no shard of this VM holds a target any more.
func (c *Control) noteLostHolding(h *holding, r core.OwnerChanged) {
	h.held = false
	h.take = nil
	h.release = nil
	h.unheldSince = c.now
	n := claim{r.Owner, anyIncarnation, r.FencingToken, c.now}
	if r.Owner != "" && n.beats(h.former) {
		h.former = n
	}
}

// checkDrop gives up a target that another VM holds under a better claim.
func (c *Control) checkDrop(t *target) {
	h := &t.holding
	if !h.held || !h.claim.beats(claim{vm: c.opts.Self, number: h.number}) {
		return
	}
	if r := h.release; r != nil && r.to == h.claim.vm && c.now-r.at < dropGrace {
		return
	}
	c.drop(t, h.claim)
}

// drop tells the shard that another VM holds the target.
func (c *Control) drop(t *target, by claim) {
	h := &t.holding
	h.dropped = max(h.dropped, h.number)
	h.held = false
	h.take = nil
	h.release = nil
	c.emit(core.ToShard{Target: t.id, Input: core.DropTarget{Target: t.id, Owner: by.vm, FencingToken: by.number}})
	c.touch(changeStructure)
	c.hasNews()
}
