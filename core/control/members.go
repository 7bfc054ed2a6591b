package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

const (
	// joinAfter is the time for which a VM has to be heard before it becomes a member.
	joinAfter = time.Second
	// foreignRemoval is the silence after which VMs of other zones remove the members of a zone of
	// which no member is heard. It is long, as a zone that is cut off for a short time should keep
	// its members.
	foreignRemoval = 30 * time.Second
	// lostAfter is the silence after which a VM that no member knows replaces members. Members that
	// are cut off keep authority while they hear all members that they know, and they do not know
	// this VM, so it must only act when all are as good as certain to have ended.
	lostAfter = 5 * time.Minute
	// minorityDelay is the additional silence after which a VM removes members when it hears less
	// than half of all members. It is probably cut off itself, and those that hear each other
	// should act first.
	minorityDelay = 4 * time.Second
	// deputyDelay is the time after which the next VM in rendezvous order tries a change that the
	// VM before it has not made.
	deputyDelay = 2 * time.Second
	// membersInterval is the time between two looks at whether member lists need a change.
	membersInterval = 100 * time.Millisecond
)

// zone is what this VM knows about a zone.
type zone struct {
	name  core.ZoneName
	epoch core.Epoch
	// members is in ascending name order and never changed in place.
	members []core.Member
	// newest is the newest epoch heard of.
	newest core.Epoch
	// noneAt is the latest time at which the zone was known to have no member list yet.
	noneAt time.Duration
	// settledAt is the time by which VMs that are no longer members have lost authority.
	settledAt time.Duration
	// bootstrapped is true while no VM can have been a member but those in the present list.
	bootstrapped bool

	pulling  bool
	pulledAt time.Duration
	// written is the list of the outstanding write, and expected the epoch it replaces.
	written  []core.Member
	expected core.Epoch
	// readBack is true when the outcome of a write is not known or another VM won.
	readBack bool
	// changeSince is when the list was first found to need a change.
	changeSince time.Duration
	checkedAt   time.Duration
	// heardAt is when a VM of the zone was heard last. probed is true since probedAt while this VM
	// exchanges heartbeats with all members, as none of those that it did so with was heard.
	heardAt  time.Duration
	probed   bool
	probedAt time.Duration
}

// zone returns the state of the named zone and creates it if needed.
func (c *Control) zone(name core.ZoneName) *zone {
	z := c.zones.get(name)
	if z == nil {
		z = &zone{name: name, noneAt: never, settledAt: never, changeSince: never, checkedAt: never}
		c.zones.put(name, z)
	}
	return z
}

// member returns the entry of a VM.
func (z *zone) member(name core.VMName) (core.Member, bool) {
	i, ok := slices.BinarySearchFunc(z.members, name, func(m core.Member, n core.VMName) int {
		return compare(m.Name, n)
	})
	if !ok {
		return core.Member{}, false
	}
	return z.members[i], true
}

// has reports whether a VM's process is a member.
func (z *zone) has(name core.VMName, inc core.Incarnation) bool {
	m, ok := z.member(name)
	return ok && m.Incarnation == inc
}

// selfMember reports whether this VM is a member of its zone.
func (c *Control) selfMember() bool {
	return c.zone(c.opts.Zone).has(c.opts.Self, c.opts.Incarnation)
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

// sortEpochs sorts by zone.
func sortEpochs(list []core.ZoneEpoch) {
	slices.SortFunc(list, func(a, b core.ZoneEpoch) int { return compare(a.Zone, b.Zone) })
}

// noteEpochs records that epochs exist.
func (c *Control) noteEpochs(list []core.ZoneEpoch) {
	for _, e := range list {
		z := c.zone(e.Zone)
		z.newest = max(z.newest, e.Epoch)
	}
}

// pullMembers asks a peer that has a newer list.
func (c *Control) pullMembers(z *zone) {
	if z.newest <= z.epoch || c.waiting(z.pulling, z.pulledAt) {
		return
	}
	p := c.drawPeer(func(p *peer) bool { return epochOf(p.epochs, z.name) > z.epoch })
	if p == nil {
		return
	}
	z.pulling = true
	z.pulledAt = c.now
	c.send(p.name, &core.MembersPull{Zone: z.name, Have: z.epoch})
}

// onMembersPull answers a peer that asks for a newer list.
func (c *Control) onMembersPull(from core.VMName, m *core.MembersPull) {
	z := c.zones.get(m.Zone)
	if z == nil || z.epoch <= m.Have {
		return
	}
	c.send(from, &core.MembersPush{Zone: z.name, Epoch: z.epoch, Members: z.members})
}

// onMembersPush installs a list that a peer sent.
func (c *Control) onMembersPush(m *core.MembersPush) {
	z := c.zone(m.Zone)
	z.pulling = false
	c.installMembers(z, m.Epoch, m.Members)
}

// onMembersRead installs a list that the platform returned.
func (c *Control) onMembersRead(in core.MembersRead) {
	z := c.zone(in.Zone)
	c.succeeded(object{objectMembers, in.Zone})
	z.readBack = false
	if in.Epoch == 0 && z.epoch == 0 {
		z.noneAt = max(z.noneAt, in.StartedAt)
	}
	c.installMembers(z, in.Epoch, in.Members)
}

// onMembersWritten handles the outcome of a conditional write. Unless it is known to have taken
// effect, the list is read before anything else is written.
func (c *Control) onMembersWritten(in core.MembersWritten) {
	z := c.zone(in.Zone)
	o := object{objectMembers, in.Zone}
	switch in.Outcome {
	case core.WriteDone:
		sentAt := c.callFor(o).sentAt
		c.succeeded(o)
		if z.expected == 0 && z.epoch == 0 {
			z.noneAt = max(z.noneAt, sentAt)
		}
		c.installMembers(z, in.Epoch, z.written)
	case core.WriteConflict:
		z.readBack = true
		c.failed(o)
		// The list is read at once; only the next write is delayed.
		c.callFor(o).notBefore = c.now
	case core.WriteUnknown:
		z.readBack = true
		c.failed(o)
	}
}

// installMembers puts a newer list in force. Older ones are ignored.
func (c *Control) installMembers(z *zone, epoch core.Epoch, members []core.Member) {
	z.newest = max(z.newest, epoch)
	if epoch <= z.epoch {
		return
	}
	previous := z.members
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b core.Member) int { return compare(a.Name, b.Name) })
	c.settle(z, previous, members)
	own, wasMember := z.member(c.opts.Self)
	wasMember = wasMember && own.Incarnation == c.opts.Incarnation
	z.epoch = epoch
	z.members = members
	z.changeSince = never
	for _, m := range members {
		c.meet(m.Name, z.name, m.Addr)
	}
	c.emit(core.Event{Kind: core.EventEpochInstalled, Zone: z.name, Value: uint64(epoch)})
	if z.name == c.opts.Zone {
		c.noteOwnMembership(own, wasMember)
	}
	c.touch(changeStructure)
	c.hasNews()
	c.recheckPending()
	c.updateHolders()
}

// settle works out by when VMs that the new list does not name have lost authority.
func (c *Control) settle(z *zone, previous, members []core.Member) {
	lost := c.now + core.ConfirmTTL
	if z.epoch == 0 {
		z.bootstrapped = c.now-z.noneAt <= core.SuspectAfter
		if !z.bootstrapped {
			z.settledAt = lost
		}
		return
	}
	if c.now-c.authority.confirmedAt > core.SuspectAfter+headsInterval {
		// Lists may have come and gone while this VM was cut off.
		z.settledAt = lost
		c.noteLost(z)
		return
	}
	for _, m := range previous {
		if slices.ContainsFunc(members, func(n core.Member) bool { return n.Name == m.Name && n.Incarnation == m.Incarnation }) {
			continue
		}
		c.noteLost(z)
		if p := c.peers.get(m.Name); m.Name == c.opts.Self || p != nil && p.gone(m.Incarnation) {
			continue
		}
		z.settledAt = lost
	}
}

// noteLost records that VMs have been members whose holdings may never have been heard of.
func (c *Control) noteLost(z *zone) {
	z.bootstrapped = false
	c.targets.all(func(_ core.TargetID, t *target) bool {
		if t.target.Zone == z.name {
			t.since = 0
		}
		return true
	})
}

// updateMembers writes the member lists that need a change and that this VM is responsible for.
func (c *Control) updateMembers() {
	c.zones.all(func(_ core.ZoneName, z *zone) bool {
		if c.now-z.checkedAt >= membersInterval {
			z.checkedAt = c.now
			c.updateZone(z)
		}
		return true
	})
}

// updateZone writes one member list if it needs a change.
func (c *Control) updateZone(z *zone) {
	o := object{objectMembers, z.name}
	if z.readBack {
		c.start(o, core.ReadMembers{Zone: z.name})
		return
	}
	if c.stop.leaving || z.newest > z.epoch || !c.mayWrite(z) {
		return
	}
	wanted := c.wantedMembers(z)
	if slices.Equal(wanted, z.members) && (z.epoch != 0 || !c.declared(z.name)) {
		z.changeSince = never
		return
	}
	if z.changeSince == never {
		z.changeSince = c.now
	}
	if c.now-z.changeSince < c.turn(z) || !c.callAllowed(o) {
		return
	}
	z.written = wanted
	z.expected = z.epoch
	c.start(o, core.WriteMembers{Zone: z.name, Expect: z.epoch, Members: wanted})
}

// declared reports whether the configuration names the zone.
func (c *Control) declared(name core.ZoneName) bool {
	cfg := c.config.current
	return cfg != nil && slices.ContainsFunc(cfg.Zones, func(z core.Zone) bool { return z.Name == name })
}

// turn returns how long this VM leaves a change to others: by its rank, or, in a fleet where only some
// VMs hear of the change, a time that differs from VM to VM.
func (c *Control) turn(z *zone) time.Duration {
	if len(c.peers.keys) <= maxHeartbeatPeers {
		return time.Duration(c.rankInZone(z.name, saltWriter)) * deputyDelay
	}
	own := rendezvous.Mix(saltWriter, rendezvous.HashString(string(c.opts.Self)))
	return time.Duration(own % uint64(deputyDelay))
}

// mayWrite reports whether this VM may change the zone's list: as one of its members, or as a member
// of another zone in service when no member is heard. Members of zones in service are heard by all
// VMs that have authority while the platform is silent, so they can't be replaced by VMs that they
// do not know. A VM that is no member only writes a list that names no VM that may be alive.
func (c *Control) mayWrite(z *zone) bool {
	if c.now-c.startedAt < joinAfter {
		return false
	}
	if z.name == c.opts.Zone {
		return c.selfMember() || c.deserted(z)
	}
	if z.epoch == 0 && !c.view.foreignTime || !c.selfMember() || c.config.current == nil || c.zoneOut(c.opts.Zone) || c.inMinority() {
		return false
	}
	return !slices.ContainsFunc(z.members, func(m core.Member) bool {
		p := c.peers.get(m.Name)
		return p != nil && c.alive(p)
	})
}

// deserted reports whether no member of a zone can still be alive.
func (c *Control) deserted(z *zone) bool {
	return !slices.ContainsFunc(z.members, func(m core.Member) bool {
		if m.Name == c.opts.Self {
			return m.Incarnation > c.opts.Incarnation
		}
		p := c.peers.get(m.Name)
		return p == nil || !p.gone(m.Incarnation) && (!p.watched || c.silence(p) < lostAfter)
	})
}

// silence returns the time since a peer was heard, as far as this VM has listened.
func (c *Control) silence(p *peer) time.Duration { return c.now - max(p.lastHeard, c.startedAt) }

// inMinority reports whether this VM hears less than half of all other members that may be alive.
func (c *Control) inMinority() bool {
	heard, all := 0, 0
	c.zones.all(func(_ core.ZoneName, z *zone) bool {
		for _, m := range z.members {
			p := c.peers.get(m.Name)
			if p == nil || !p.watched || p.probed || p.gone(m.Incarnation) {
				continue
			}
			all++
			if p.live() {
				heard++
			}
		}
		return true
	})
	return 2*heard < all
}

// wantedMembers returns the list that a zone should have, in ascending name order.
func (c *Control) wantedMembers(z *zone) []core.Member {
	var wanted []core.Member
	for _, m := range z.members {
		if c.stays(z, m) {
			wanted = append(wanted, m)
		}
	}
	founders := z.epoch != 0 && len(wanted) == 0
	byName := func(a, b core.Member) int { return compare(a.Name, b.Name) }
	slices.SortFunc(wanted, byName)
	stayed := wanted
	add := func(name core.VMName, inc core.Incarnation, addr netip.AddrPort) {
		if _, found := slices.BinarySearchFunc(stayed, core.Member{Name: name}, byName); !found {
			wanted = append(wanted, core.Member{Name: name, Incarnation: inc, Addr: addr, Joined: z.epoch + 1, JoinedEmptyZone: founders})
		}
	}
	if z.name == c.opts.Zone {
		add(c.opts.Self, c.opts.Incarnation, c.opts.Addr)
	}
	c.peers.all(func(_ core.VMName, p *peer) bool {
		// A removed member of another zone gets no heartbeats, so that this VM would not see that it is silent.
		known := p.watched || z.name == c.opts.Zone
		if p.zone == z.name && known && p.live() && p.state != core.VMLeaving && c.now-p.heardSince >= joinAfter {
			add(p.name, p.incarnation, p.addr)
		}
		return true
	})
	slices.SortFunc(wanted, byName)
	return wanted
}

// stays reports whether a member remains in its zone's list.
func (c *Control) stays(z *zone, m core.Member) bool {
	if m.Name == c.opts.Self {
		return m.Incarnation >= c.opts.Incarnation
	}
	p := c.peers.get(m.Name)
	if p == nil {
		return true
	}
	if p.gone(m.Incarnation) || p.state == core.VMLeaving && p.heard() && len(p.holdings) == 0 {
		return false
	}
	return !p.watched || c.silence(p) <= c.removalLimit(z)
}

// removalLimit returns the silence after which this VM removes a member.
func (c *Control) removalLimit(z *zone) time.Duration {
	switch {
	case z.name != c.opts.Zone:
		return foreignRemoval
	case !c.selfMember():
		return lostAfter
	case c.inMinority():
		return core.SuspectAfter + minorityDelay
	}
	return core.SuspectAfter
}
