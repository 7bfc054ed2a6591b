package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

const (
	// joinDelay is the time for which a VM must be live before it becomes a member.
	joinDelay = time.Second
	// otherZoneRemoval is the silence after which VMs of other zones remove the members of a zone that has
	// no live member. It is long because a zone that is cut off for a short time should keep its members.
	otherZoneRemoval = 30 * time.Second
	// assumeEndedAfter is the silence after which a VM that is not a member replaces members. Members that
	// are cut off keep authority while they receive heartbeats from all members that they have listed. The
	// replacing VM is not listed, so it must only act when all members have almost certainly ended.
	assumeEndedAfter = 5 * time.Minute
	// minorityDelay is the additional silence after which a VM removes members when it receives heartbeats
	// from fewer than half of all members. It is probably cut off itself, and the members that are connected
	// to each other should act first.
	minorityDelay = 4 * time.Second
	// fallbackDelay is the time after which the next VM in rendezvous order tries a change that the
	// preceding VM has not made.
	fallbackDelay = 2 * time.Second
	// membersInterval is the time between two checks of whether member lists need a change.
	membersInterval = 100 * time.Millisecond
)

// zone is the state of a zone, according to the messages and platform responses that this VM has received.
type zone struct {
	name  core.ZoneName
	epoch core.Epoch
	// members is in ascending name order and is never modified in place.
	members []core.Member
	// newest is the newest epoch that was reported.
	newest core.Epoch
	// noListAt is the latest time at which the zone certainly had no member list yet.
	noListAt time.Duration
	// removedAuthorityUntil is the time by which VMs that are no longer members have lost authority.
	removedAuthorityUntil time.Duration
	// bootstrapped is true while no VM other than those in the present list can have been a member.
	bootstrapped bool

	pulling  bool
	pulledAt time.Duration
	// written is the list of the outstanding write, and expected is the epoch that it replaces.
	written  []core.Member
	expected core.Epoch
	// needsRead is true when the list must be read because the outcome of a write is unknown or another
	// VM's write came first.
	needsRead bool
	// changeSince is when the list was first found to need a change.
	changeSince time.Duration
	checkedAt   time.Duration
	// lastHeartbeat is when the last heartbeat of a VM of the zone arrived. probed is true since probedAt
	// while this VM exchanges heartbeats with all members, because none of those that it monitored was
	// live.
	lastHeartbeat time.Duration
	probed        bool
	probedAt      time.Duration
}

// zone returns the state of the named zone and creates it if needed.
func (c *Control) zone(name core.ZoneName) *zone {
	z := c.zones.get(name)
	if z == nil {
		z = &zone{name: name, noListAt: distantPast, removedAuthorityUntil: distantPast, changeSince: distantPast, checkedAt: distantPast}
		c.zones.put(name, z)
	}
	return z
}

// member returns the entry of a VM, and whether there is one.
func (z *zone) member(name core.VMName) (core.Member, bool) {
	i, ok := slices.BinarySearchFunc(z.members, name, func(m core.Member, n core.VMName) int {
		return compare(m.Name, n)
	})
	if !ok {
		return core.Member{}, false
	}
	return z.members[i], true
}

// hasMember reports whether the given process of a VM is a member.
func (z *zone) hasMember(name core.VMName, inc core.Incarnation) bool {
	m, ok := z.member(name)
	return ok && m.Incarnation == inc
}

// selfMember reports whether this VM is a member of its zone.
func (c *Control) selfMember() bool {
	return c.zone(c.opts.Zone).hasMember(c.opts.Self, c.opts.Incarnation)
}

// isMember reports whether any zone's list names the VM.
func (c *Control) isMember(name core.VMName) bool {
	found := false
	c.zones.all(func(_ core.ZoneName, z *zone) bool {
		_, found = z.member(name)
		return !found
	})
	return found
}

// memberIncarnation returns the incarnation of a peer in its zone's list, or 0.
func (c *Control) memberIncarnation(p *peer) core.Incarnation {
	z := c.zones.get(p.zone)
	if z == nil {
		return 0
	}
	m, _ := z.member(p.name)
	return m.Incarnation
}

// epochs returns the installed epochs in zone order.
func (c *Control) epochs() []core.ZoneEpoch {
	out := make([]core.ZoneEpoch, 0, len(c.zones.keys))
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if z.epoch != 0 {
			out = append(out, core.ZoneEpoch{Zone: name, Epoch: z.epoch})
		}
		return true
	})
	return out
}

// sortEpochs sorts epochs by zone.
func sortEpochs(list []core.ZoneEpoch) {
	slices.SortFunc(list, func(a, b core.ZoneEpoch) int { return compare(a.Zone, b.Zone) })
}

// recordEpochs records that epochs exist.
func (c *Control) recordEpochs(list []core.ZoneEpoch) {
	for _, e := range list {
		z := c.zone(e.Zone)
		z.newest = max(z.newest, e.Epoch)
	}
}

// pullMembers requests a newer member list from a peer that has one.
func (c *Control) pullMembers(z *zone) {
	if z.newest <= z.epoch || c.pullPending(z.pulling, z.pulledAt) {
		return
	}
	p := c.randomPeer(func(p *peer) bool { return epochOf(p.epochs, z.name) > z.epoch })
	if p == nil {
		return
	}
	z.pulling = true
	z.pulledAt = c.now
	c.send(p.name, &core.MembersPull{Zone: z.name, Have: z.epoch})
}

// onMembersPull sends the member list to a peer that has an older one.
func (c *Control) onMembersPull(from core.VMName, m *core.MembersPull) {
	z := c.zones.get(m.Zone)
	if z == nil || z.epoch <= m.Have {
		return
	}
	c.send(from, &core.MembersPush{Zone: z.name, Epoch: z.epoch, Members: z.members})
}

// onMembersPush installs a member list that a peer sent.
func (c *Control) onMembersPush(m *core.MembersPush) {
	z := c.zone(m.Zone)
	z.pulling = false
	c.installMembers(z, m.Epoch, m.Members)
}

// onMembersRead installs a member list that was read from the platform.
func (c *Control) onMembersRead(in core.MembersRead) {
	z := c.zone(in.Zone)
	c.callSucceeded(object{objectMembers, in.Zone})
	z.needsRead = false
	if in.Epoch == 0 && z.epoch == 0 {
		z.noListAt = max(z.noListAt, in.StartedAt)
	}
	c.installMembers(z, in.Epoch, in.Members)
}

// onMembersWritten handles the outcome of a conditional write. Unless the write is known to have
// taken effect, the list is read before anything else is written.
func (c *Control) onMembersWritten(in core.MembersWritten) {
	z := c.zone(in.Zone)
	o := object{objectMembers, in.Zone}
	switch in.Outcome {
	case core.WriteDone:
		sentAt := c.callFor(o).sentAt
		c.callSucceeded(o)
		if z.expected == 0 && z.epoch == 0 {
			z.noListAt = max(z.noListAt, sentAt)
		}
		c.installMembers(z, in.Epoch, z.written)
	case core.WriteConflict:
		z.needsRead = true
		c.callFailed(o)
		// The list is read at once, without the delay that follows a failure.
		c.callFor(o).notBefore = c.now
	case core.WriteUnknown:
		z.needsRead = true
		c.callFailed(o)
	}
}

// installMembers puts a newer member list in force. It ignores older ones.
func (c *Control) installMembers(z *zone, epoch core.Epoch, members []core.Member) {
	z.newest = max(z.newest, epoch)
	if epoch <= z.epoch {
		return
	}
	previous := z.members
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b core.Member) int { return compare(a.Name, b.Name) })
	c.updateRemovedAuthority(z, previous, members)
	own, wasMember := z.member(c.opts.Self)
	wasMember = wasMember && own.Incarnation == c.opts.Incarnation
	z.epoch = epoch
	z.members = members
	z.changeSince = distantPast
	for _, m := range members {
		c.ensurePeer(m.Name, z.name, m.Addr)
	}
	c.emit(core.Event{Kind: core.EventEpochInstalled, Zone: z.name, Value: uint64(epoch)})
	if z.name == c.opts.Zone {
		c.onOwnMembership(own, wasMember)
	}
	c.markChanged(changeTopology)
	c.requestEarlyHeartbeat()
	c.recheckPending()
	c.updateOwners()
}

// updateRemovedAuthority computes the time by which VMs that the new list does not name have lost authority.
func (c *Control) updateRemovedAuthority(z *zone, previous, members []core.Member) {
	expiry := c.now + core.ConfirmTTL
	if z.epoch == 0 {
		z.bootstrapped = c.now-z.noListAt <= core.SuspectAfter
		if !z.bootstrapped {
			z.removedAuthorityUntil = expiry
		}
		return
	}
	if c.now-c.authority.confirmedAt > core.SuspectAfter+headsInterval {
		// The list may have changed more than once while this VM was cut off.
		z.removedAuthorityUntil = expiry
		c.recordRemoval(z)
		return
	}
	for _, m := range previous {
		if slices.ContainsFunc(members, func(n core.Member) bool { return n.Name == m.Name && n.Incarnation == m.Incarnation }) {
			continue
		}
		c.recordRemoval(z)
		if p := c.peers.get(m.Name); m.Name == c.opts.Self || p != nil && p.incarnationEnded(m.Incarnation) {
			continue
		}
		z.removedAuthorityUntil = expiry
	}
}

// recordRemoval records that there have been members whose owned targets may never have been announced to
// this VM.
func (c *Control) recordRemoval(z *zone) {
	z.bootstrapped = false
	c.targets.all(func(_ core.TargetID, t *target) bool {
		if t.target.Zone == z.name {
			t.addedIn = 0
		}
		return true
	})
}

// updateMembers writes the member lists that need a change and for which this VM is responsible.
func (c *Control) updateMembers() {
	c.zones.all(func(_ core.ZoneName, z *zone) bool {
		if c.now-z.checkedAt >= membersInterval {
			z.checkedAt = c.now
			c.updateZone(z)
		}
		return true
	})
}

// updateZone writes a zone's member list if it needs a change, or reads it if the result of the last write
// is unclear.
func (c *Control) updateZone(z *zone) {
	o := object{objectMembers, z.name}
	if z.needsRead {
		c.startCall(o, core.ReadMembers{Zone: z.name})
		return
	}
	if c.stop.leaving || z.newest > z.epoch || !c.mayWrite(z) {
		return
	}
	wanted := c.wantedMembers(z)
	if slices.Equal(wanted, z.members) && (z.epoch != 0 || !c.zoneDeclared(z.name)) {
		z.changeSince = distantPast
		return
	}
	if z.changeSince == distantPast {
		z.changeSince = c.now
	}
	if c.now-z.changeSince < c.writeDelay(z) || !c.callAllowed(o) {
		return
	}
	z.written = wanted
	z.expected = z.epoch
	c.startCall(o, core.WriteMembers{Zone: z.name, Expect: z.epoch, Members: wanted})
}

// zoneDeclared reports whether the configuration names the zone.
func (c *Control) zoneDeclared(name core.ZoneName) bool {
	cfg := c.config.current
	return cfg != nil && slices.ContainsFunc(cfg.Zones, func(z core.Zone) bool { return z.Name == name })
}

// writeDelay returns how long this VM waits for others to make a change: a time that follows from its rank
// or, in a fleet in which only some VMs detect the change, one that differs from VM to VM.
func (c *Control) writeDelay(z *zone) time.Duration {
	if len(c.peers.keys) <= maxHeartbeatPeers {
		return time.Duration(c.rankInZone(z.name, saltWriter)) * fallbackDelay
	}
	own := rendezvous.Mix(saltWriter, rendezvous.HashString(string(c.opts.Self)))
	return time.Duration(own % uint64(fallbackDelay))
}

// mayWrite reports whether this VM may change the zone's member list: as one of its members, or as a member
// of another zone in service when none of its members is live. While the platform is silent, all VMs that
// have authority receive heartbeats from the members of zones in service, so no VM that is missing from their
// lists can replace these members. A VM that is not a member only writes a list if the present one names no VM
// that may be alive.
func (c *Control) mayWrite(z *zone) bool {
	if c.now-c.startedAt < joinDelay {
		return false
	}
	if z.name == c.opts.Zone {
		return c.selfMember() || c.allMembersEnded(z)
	}
	if z.epoch == 0 && !c.publication.emptyListsAllowed || !c.selfMember() || c.config.current == nil || c.zoneOut(c.opts.Zone) || c.inMinority() {
		return false
	}
	return !slices.ContainsFunc(z.members, func(m core.Member) bool {
		p := c.peers.get(m.Name)
		return p != nil && c.alive(p)
	})
}

// allMembersEnded reports whether no member of a zone can still be alive.
func (c *Control) allMembersEnded(z *zone) bool {
	return !slices.ContainsFunc(z.members, func(m core.Member) bool {
		if m.Name == c.opts.Self {
			return m.Incarnation > c.opts.Incarnation
		}
		p := c.peers.get(m.Name)
		return p == nil || !p.incarnationEnded(m.Incarnation) && (!p.monitored || c.silence(p) < assumeEndedAfter)
	})
}

// silence returns the time since the last heartbeat of a peer, at most the time since this VM started.
func (c *Control) silence(p *peer) time.Duration { return c.now - max(p.lastHeartbeat, c.startedAt) }

// inMinority reports whether this VM receives heartbeats from fewer than half of all other members that it
// monitors and that may be alive.
func (c *Control) inMinority() bool {
	live, all := 0, 0
	c.zones.all(func(_ core.ZoneName, z *zone) bool {
		for _, m := range z.members {
			p := c.peers.get(m.Name)
			if p == nil || !p.monitored || p.probed || p.incarnationEnded(m.Incarnation) {
				continue
			}
			all++
			if p.live() {
				live++
			}
		}
		return true
	})
	return 2*live < all
}

// wantedMembers returns the list that a zone should have, in ascending name order.
func (c *Control) wantedMembers(z *zone) []core.Member {
	var wanted []core.Member
	for _, m := range z.members {
		if c.keepsMember(z, m) {
			wanted = append(wanted, m)
		}
	}
	afterEmpty := z.epoch != 0 && len(wanted) == 0
	byName := func(a, b core.Member) int { return compare(a.Name, b.Name) }
	slices.SortFunc(wanted, byName)
	kept := wanted
	add := func(name core.VMName, inc core.Incarnation, addr netip.AddrPort) {
		if _, found := slices.BinarySearchFunc(kept, core.Member{Name: name}, byName); !found {
			wanted = append(wanted, core.Member{Name: name, Incarnation: inc, Addr: addr, Joined: z.epoch + 1, JoinedEmptyZone: afterEmpty})
		}
	}
	if z.name == c.opts.Zone {
		add(c.opts.Self, c.opts.Incarnation, c.opts.Addr)
	}
	c.peers.all(func(_ core.VMName, p *peer) bool {
		// A removed member of another zone gets no heartbeats, so this VM would not detect that it is
		// silent.
		visible := p.monitored || z.name == c.opts.Zone
		if p.zone == z.name && visible && p.live() && p.state != core.VMLeaving && c.now-p.liveSince >= joinDelay {
			add(p.name, p.incarnation, p.addr)
		}
		return true
	})
	slices.SortFunc(wanted, byName)
	return wanted
}

// keepsMember reports whether a member stays in its zone's list.
func (c *Control) keepsMember(z *zone, m core.Member) bool {
	if m.Name == c.opts.Self {
		return m.Incarnation >= c.opts.Incarnation
	}
	p := c.peers.get(m.Name)
	if p == nil {
		return true
	}
	if p.incarnationEnded(m.Incarnation) || p.state == core.VMLeaving && p.hasHeartbeat() && len(p.ownedTargets) == 0 {
		return false
	}
	return !p.monitored || c.silence(p) <= c.removalLimit(z)
}

// removalLimit returns the silence after which this VM removes a member.
func (c *Control) removalLimit(z *zone) time.Duration {
	switch {
	case z.name != c.opts.Zone:
		return otherZoneRemoval
	case !c.selfMember():
		return assumeEndedAfter
	case c.inMinority():
		return core.SuspectAfter + minorityDelay
	}
	return core.SuspectAfter
}
