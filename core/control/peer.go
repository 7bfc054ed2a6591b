package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// removePeerAfter is the silence after which a VM that no list names is removed. It is long enough for a
// restarted VM to return under the same name without being dialled again.
const removePeerAfter = 60 * time.Second

// peersInterval is the time between two checks for silent peers. It is small compared with SuspectAfter and
// keeps the cost of many peers low.
const peersInterval = 100 * time.Millisecond

// maxPeers bounds the peers that heartbeats of unknown senders can create.
const maxPeers = 20000

// distantPast is earlier than any other time.
const distantPast = time.Duration(-1 << 62)

// distantFuture is later than any other time.
const distantFuture = time.Duration(1 << 62)

// peer is the state of another VM, according to the messages that this VM has received.
type peer struct {
	name core.VMName
	zone core.ZoneName
	addr netip.AddrPort
	hash uint64
	// listed is true when the platform's newest VM list names the VM.
	listed bool
	dialed bool
	linkUp bool

	// incarnation is the newest incarnation from which a heartbeat has arrived; 0 when none has.
	incarnation core.Incarnation
	state       core.VMState
	addedAt     time.Duration
	// liveSince is the start of the present period without suspicion.
	liveSince     time.Duration
	lastHeartbeat time.Duration
	suspect       bool
	// monitored is true when this VM and the peer exchange heartbeats. Only then is silence a sign of a
	// failure.
	monitored bool
	// probed is true when they do so only because the peer's whole zone is silent.
	probed bool
	// dead is true when the peer's process is known to have ended. deadUpTo is the newest incarnation of
	// which this is known; diedAt is when it became known.
	dead     bool
	deadUpTo core.Incarnation
	diedAt   time.Duration

	generation   core.Generation
	epochs       []core.ZoneEpoch
	ownedTargets []core.OwnedTarget
	// sentNotBefore is a lower bound, on this VM's clock, of when the newest heartbeat was sent.
	sentNotBefore time.Duration
	// confirmedAt is the time of the peer's newest confirmation, or an earlier one.
	confirmedAt time.Duration

	// ackOverdueAt is the last time at which the peer had acknowledged no heartbeat that this VM had sent
	// within backupSyncLimit.
	ackOverdueAt time.Duration

	// seqOut and seqIn are the sequence numbers of the newest heartbeats sent and received.
	seqOut, seqIn uint64
	// ackedAnnouncement is the newest announcement number that the peer has received.
	ackedAnnouncement uint64
	// sentHeartbeats holds the newest heartbeats sent, indexed by sequence number modulo size.
	sentHeartbeats [sentHistory]sentHeartbeat
}

// ensurePeer returns the named peer and creates it if needed. It returns nil for this VM itself, and for a
// new peer above maxPeers.
func (c *Control) ensurePeer(name core.VMName, zone core.ZoneName, addr netip.AddrPort) *peer {
	if name == c.opts.Self || name == "" {
		return nil
	}
	p := c.peers.get(name)
	if p == nil {
		if len(c.peers.keys) >= maxPeers {
			return nil
		}
		p = &peer{
			name: name, hash: rendezvous.HashString(string(name)), addedAt: c.now,
			monitored: true, liveSince: c.now, lastHeartbeat: c.now, sentNotBefore: distantPast, confirmedAt: distantPast,
			// Sequence numbers start above those of earlier incarnations, so that a peer's
			// acknowledgement can't refer to a message of an earlier process.
			seqOut: uint64(c.opts.Incarnation) << 24,
		}
		c.peers.put(name, p)
		c.markChanged(changeTopology)
	}
	if zone != "" {
		p.zone = zone
	}
	c.dial(p, addr)
	return p
}

// dial requests a link from the driver when the peer's address is new.
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

// hasHeartbeat reports whether a heartbeat of the peer's present process has arrived.
func (p *peer) hasHeartbeat() bool { return p.incarnation != 0 && !p.dead }

// live reports whether a heartbeat of the peer has arrived within SuspectAfter.
func (p *peer) live() bool { return p.hasHeartbeat() && !p.suspect }

// alive reports whether a peer counts as alive: it is live or, when it exchanges no heartbeats with this
// VM, its zone's list names it.
func (c *Control) alive(p *peer) bool {
	if p.monitored {
		return p.live()
	}
	return !p.dead && c.memberIncarnation(p) != 0
}

// available reports whether a peer counts as able to take over targets.
func (c *Control) available(p *peer) bool { return c.alive(p) && p.state != core.VMLeaving }

// incarnationEnded reports whether the given incarnation of the VM is known to have ended.
func (p *peer) incarnationEnded(inc core.Incarnation) bool {
	if p.incarnation > inc {
		return true
	}
	return p.dead && p.deadUpTo >= inc
}

// onLink handles a change of a link that the driver reports.
func (c *Control) onLink(in core.LinkEvent) {
	p := c.peers.get(in.Peer)
	if p == nil {
		if in.State != core.LinkUp {
			return
		}
		if p = c.ensurePeer(in.Peer, "", netip.AddrPort{}); p == nil {
			return
		}
	}
	switch in.State {
	case core.LinkUp:
		p.linkUp = true
		c.sendHeartbeat(p)
	case core.LinkDown:
		p.linkUp = false
	case core.LinkRefused:
		c.onRefused(p)
	}
	c.updateOwners()
}

// onRefused treats a refused connection as proof that the peer's process has ended. A process listens
// before it dials, so a link that is up proves that a newer process has started.
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
	c.markChanged(changeTopology)
}

// updatePeers updates which peers are suspect and removes VMs that no list names any more.
func (c *Control) updatePeers() {
	if c.now < c.publication.nextPeerCheck {
		return
	}
	c.publication.nextPeerCheck = c.now + peersInterval
	var removed []*peer
	c.peers.all(func(_ core.VMName, p *peer) bool {
		silence := c.now - p.lastHeartbeat
		if p.monitored && !p.suspect && silence > core.SuspectAfter {
			p.suspect = true
			if p.hasHeartbeat() {
				c.emit(core.Event{Kind: core.EventPeerSuspect, VM: p.name, Zone: p.zone})
			}
			c.markChanged(changeTopology)
		}
		if silence > removePeerAfter && !p.listed && !c.isMember(p.name) && !c.isSeed(p.name) {
			removed = append(removed, p)
		}
		return true
	})
	c.probeSilentZones()
	// A removed VM no longer counts as silent once it has lost authority.
	if c.publication.lastSnapshot != nil && !slices.Equal(c.silentPeers(), c.publication.lastSnapshot.Silent) {
		c.markChanged(changeSnapshot)
	}
	for _, p := range removed {
		if p.dialed {
			c.emit(core.CloseLink{Peer: p.name})
		}
		c.peers.remove(p.name)
		c.markChanged(changeTopology)
	}
}

// isSeed reports whether the VM is one of the seeds.
func (c *Control) isSeed(name core.VMName) bool {
	return slices.ContainsFunc(c.opts.Seeds, func(s core.ListedVM) bool { return s.Name == name })
}

// onVMList adds the entry VMs of the platform's VM list as peers. The list lags behind, so it does not show
// whether a VM is alive.
func (c *Control) onVMList(in core.VMListRead) {
	c.callSucceeded(object{kind: objectVMList})
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
		if p := c.ensurePeer(vm.Name, vm.Zone, vm.Addr); p != nil {
			p.listed = true
		}
	}
}

// checkClock discards the confirmations when the process was paused: another VM may have got authority in
// the meantime.
func (c *Control) checkClock() {
	gap := c.now - c.lastInput
	c.lastInput = c.now
	if gap <= core.ClockJumpThreshold {
		return
	}
	c.emit(core.Event{Kind: core.EventClockJump, VM: c.opts.Self, Value: uint64(gap / time.Millisecond)})
	c.authority.clearConfirmations()
	c.authority.paused = true
	c.peers.all(func(_ core.VMName, p *peer) bool {
		// Silence during this VM's own pause is no sign that a peer has failed.
		p.lastHeartbeat = max(p.lastHeartbeat, c.now-core.HeartbeatInterval)
		p.liveSince = max(p.liveSince, c.now)
		p.sentNotBefore = distantPast
		return true
	})
	c.markChanged(changeTopology)
	c.publish()
}
