package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// forgetAfter is the silence after which a VM that no list names is forgotten. It is long enough
// for a restarted VM to come back under the same name without a new dial.
const forgetAfter = 60 * time.Second

// peersInterval is the time between two looks at the silence of peers. It is small against
// SuspectAfter and keeps the cost of many peers low.
const peersInterval = 100 * time.Millisecond

// maxPeers bounds the peers that heartbeats of unknown senders can create.
const maxPeers = 20000

// never is a time before any other.
const never = time.Duration(-1 << 62)

// always is a time after any other.
const always = time.Duration(1 << 62)

// peer is what this VM knows about another VM.
type peer struct {
	name core.VMName
	zone core.ZoneName
	addr netip.AddrPort
	hash uint64
	// listed is true when the newest platform list names the VM.
	listed bool
	dialed bool
	linkUp bool

	// incarnation is the newest that was heard; 0 when the VM was never heard.
	incarnation core.Incarnation
	state       core.VMState
	knownSince  time.Duration
	// heardSince is the start of the present period without suspicion.
	heardSince time.Duration
	lastHeard  time.Duration
	suspect    bool
	// watched is true when this VM and the peer exchange heartbeats. Only then does silence mean
	// anything.
	watched bool
	// probed is true when that is so only because its whole zone is silent.
	probed bool
	// deadUpTo is the newest incarnation that is known to have ended; diedAt is when that was
	// learned.
	dead     bool
	deadUpTo core.Incarnation
	diedAt   time.Duration

	generation core.Generation
	epochs     []core.ZoneEpoch
	holdings   []core.OwnedTarget
	// sentNotBefore is a lower bound, on this VM's clock, of when the newest heartbeat was sent.
	sentNotBefore time.Duration
	// confirmedAt is the time of the peer's newest confirmation, or earlier.
	confirmedAt time.Duration

	// deafAt is the last time at which the peer had not heard this VM for deadWithin.
	deafAt time.Duration

	seqOut, seqIn uint64
	// ackedAnnouncement is the newest announcement number that the peer has received.
	ackedAnnouncement uint64
	// sentAt holds the times of the newest heartbeats sent, indexed by sequence number modulo size.
	sentAt [sentLog]sentBeat
}

// meet returns the named peer and creates it if needed. Self has no peer.
func (c *Control) meet(name core.VMName, zone core.ZoneName, addr netip.AddrPort) *peer {
	if name == c.opts.Self || name == "" {
		return nil
	}
	p := c.peers.get(name)
	if p == nil {
		if len(c.peers.keys) >= maxPeers {
			return nil
		}
		p = &peer{
			name: name, hash: rendezvous.HashString(string(name)), knownSince: c.now,
			watched: true, heardSince: c.now, lastHeard: c.now, sentNotBefore: never, confirmedAt: never,
			// Sequence numbers start above those of earlier incarnations, so that a peer's
			// acknowledgement can't refer to a message of an earlier process.
			seqOut: uint64(c.opts.Incarnation) << 24,
		}
		c.peers.put(name, p)
		c.touch(changeStructure)
	}
	if zone != "" {
		p.zone = zone
	}
	c.dial(p, addr)
	return p
}

// dial asks the driver for a link when the peer's address is new.
func (c *Control) dial(p *peer, addr netip.AddrPort) {
	if !addr.IsValid() || (p.dialed && p.addr == addr) {
		return
	}
	if p.dialed {
		c.emit(core.CloseLink{Peer: p.name})
	}
	p.addr = addr
	p.dialed = true
	c.emit(core.Dial{Peer: p.name, Zone: p.zone, Addr: addr})
}

// heard reports whether the peer's present process was ever heard.
func (p *peer) heard() bool { return p.incarnation != 0 && !p.dead }

// live reports whether the peer was heard within SuspectAfter.
func (p *peer) live() bool { return p.heard() && !p.suspect }

// alive reports whether a peer counts as alive: it is heard, or, when it exchanges no heartbeats with
// this VM, its zone's list names it.
func (c *Control) alive(p *peer) bool {
	if p.watched {
		return p.live()
	}
	return !p.dead && c.memberIncarnation(p) != 0
}

// available reports whether a peer counts as able to take over targets.
func (c *Control) available(p *peer) bool { return c.alive(p) && p.state != core.VMLeaving }

// gone reports whether the given incarnation of the VM is known to have ended.
func (p *peer) gone(inc core.Incarnation) bool {
	if p.incarnation > inc {
		return true
	}
	return p.dead && p.deadUpTo >= inc
}

// onLink records what the driver learned about a link.
func (c *Control) onLink(in core.LinkEvent) {
	p := c.peers.get(in.Peer)
	if p == nil {
		if in.State != core.LinkUp {
			return
		}
		if p = c.meet(in.Peer, "", netip.AddrPort{}); p == nil {
			return
		}
	}
	switch in.State {
	case core.LinkUp:
		p.linkUp = true
		c.heartbeat(p)
	case core.LinkDown:
		p.linkUp = false
	case core.LinkRefused:
		c.onRefused(p)
	}
	c.updateHolders()
}

// onRefused takes a refused connection as proof that the peer's process has ended. A process
// listens before it dials, so a link that is up proves that a newer process has started.
func (c *Control) onRefused(p *peer) {
	if p.linkUp || p.dead {
		return
	}
	c.markDead(p, max(p.incarnation, c.memberIncarnation(p)))
}

// markDead records the end of a peer's process.
func (c *Control) markDead(p *peer, upTo core.Incarnation) {
	p.dead = true
	p.deadUpTo = max(p.deadUpTo, upTo)
	p.diedAt = c.now
	c.emit(core.Event{Kind: core.EventPeerDead, VM: p.name, Zone: p.zone})
	c.touch(changeStructure)
}

// updatePeers updates suspicion and forgets VMs that nobody names any more.
func (c *Control) updatePeers() {
	if c.now < c.view.peersAt {
		return
	}
	c.view.peersAt = c.now + peersInterval
	var forgotten []*peer
	c.peers.all(func(_ core.VMName, p *peer) bool {
		silent := c.now - p.lastHeard
		if p.watched && !p.suspect && silent > core.SuspectAfter {
			p.suspect = true
			if p.heard() {
				c.emit(core.Event{Kind: core.EventPeerSuspect, VM: p.name, Zone: p.zone})
			}
			c.touch(changeStructure)
		}
		if silent > forgetAfter && !p.listed && !c.isMember(p.name) && !c.isSeed(p.name) {
			forgotten = append(forgotten, p)
		}
		return true
	})
	c.probeSilentZones()
	// A removed VM is no longer silent once it has lost authority.
	if c.view.last != nil && !slices.Equal(c.silentPeers(), c.view.last.Silent) {
		c.touch(changeView)
	}
	for _, p := range forgotten {
		if p.dialed {
			c.emit(core.CloseLink{Peer: p.name})
		}
		c.peers.remove(p.name)
		c.touch(changeStructure)
	}
}

// isSeed reports whether the settings name the VM.
func (c *Control) isSeed(name core.VMName) bool {
	return slices.ContainsFunc(c.opts.Seeds, func(s core.ListedVM) bool { return s.Name == name })
}

// onVMList takes peers from the platform's list. The list lags, so it is no evidence of life or
// death.
func (c *Control) onVMList(in core.VMListRead) {
	c.succeeded(object{kind: objectVMList})
	c.peers.all(func(_ core.VMName, p *peer) bool {
		p.listed = false
		return true
	})
	vms := slices.Clone(in.VMs)
	slices.SortFunc(vms, func(a, b core.ListedVM) int { return compare(a.Name, b.Name) })
	c.setLeavingHosts(vms)
	hosts := c.targetHosts()
	for _, vm := range vms {
		if hosts[hostKey{zone: vm.Zone, name: string(vm.Name)}] || hosts[hostKey{zone: vm.Zone, addr: vm.Addr}] {
			continue
		}
		if p := c.meet(vm.Name, vm.Zone, vm.Addr); p != nil {
			p.listed = true
		}
	}
}

// checkClock drops the confirmation when the process was paused: another VM may have been given
// authority in the meantime.
func (c *Control) checkClock() {
	gap := c.now - c.lastInput
	c.lastInput = c.now
	if gap <= core.ClockJumpThreshold {
		return
	}
	c.emit(core.Event{Kind: core.EventClockJump, VM: c.opts.Self, Value: uint64(gap / time.Millisecond)})
	c.authority.drop()
	c.authority.paused = true
	c.peers.all(func(_ core.VMName, p *peer) bool {
		// Silence during this VM's own pause says nothing about a peer.
		p.lastHeard = max(p.lastHeard, c.now-core.HeartbeatInterval)
		p.heardSince = max(p.heardSince, c.now)
		p.sentNotBefore = never
		return true
	})
	c.touch(changeStructure)
	c.publish()
}
