package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

const (
	// maxHeartbeatPeers bounds the peers that regularly get heartbeats, so that the cost is constant.
	maxHeartbeatPeers = 8
	// zoneRings is the number of ring orders of the VMs of a zone, and fleetRings the number of those of
	// all VMs. With more than maxHeartbeatPeers peers, a VM exchanges heartbeats with its two neighbours in
	// each ring. Rings are symmetric, so heartbeats are acknowledged, and several rings in different orders
	// keep the number of hops logarithmic.
	zoneRings  = 3
	fleetRings = 1
	// maxProbed bounds the members of a silent zone to which all VMs that miss the zone's heartbeats send
	// heartbeats. This costs each of these VMs 12 KB/s while the zone is silent. The loss of a larger zone
	// is not detected.
	maxProbed = 32
	// maxTakeoverAcks bounds the VMs that must acknowledge a takeover. In a larger zone only monitored
	// VMs and the previous owner must.
	maxTakeoverAcks = 32
	// sentHistory is the number of sent heartbeats whose times are kept per peer. It covers more than
	// SuspectAfter at the highest rate of heartbeats.
	sentHistory = 32
	// earlyBurst bounds early heartbeats, which are sent before the interval ends in order to spread a
	// change. One more is allowed after each earlyRefill.
	earlyBurst  = 3
	earlyRefill = 2 * time.Second
	// earlyGap is the least time between an early heartbeat and the one before it.
	earlyGap = 100 * time.Millisecond
)

// heartbeatState is the schedule of heartbeats.
type heartbeatState struct {
	nextAt time.Duration
	lastAt time.Duration
	// earlyRequested is true when peers should receive a change before the interval ends.
	earlyRequested  bool
	earlyTokensUsed int
	refilledAt      time.Duration
	// announcement counts the takeovers that heartbeats announce.
	announcement uint64
	receivers    []*peer
	// receiversVersion is the topology version for which receivers were chosen.
	receiversVersion uint64
}

// sentHeartbeat is the sequence number, time and announcement number of a sent heartbeat.
type sentHeartbeat struct {
	seq          uint64
	at           time.Duration
	announcement uint64
}

// requestEarlyHeartbeat requests heartbeats before the interval ends.
func (c *Control) requestEarlyHeartbeat() { c.heartbeats.earlyRequested = true }

// sendHeartbeats sends heartbeats when the interval has ended or an early heartbeat is due.
func (c *Control) sendHeartbeats() {
	if !c.heartbeatDue() {
		return
	}
	c.heartbeats.earlyRequested = false
	c.heartbeats.lastAt = c.now
	c.heartbeats.nextAt = c.now + core.HeartbeatInterval
	for _, p := range c.heartbeatPeers() {
		c.sendHeartbeat(p)
	}
	c.probeTakeoverPeers()
}

// probeTakeoverPeers sends heartbeats to the peers that get none regularly but whose acknowledgement a
// takeover needs.
func (c *Control) probeTakeoverPeers() {
	var receivers []*peer
	c.targets.all(func(_ core.TargetID, t *target) bool {
		if t.ownership.owned && t.ownership.takeover != nil {
			receivers = c.addUnacknowledged(receivers, t)
		}
		return len(receivers) < maxHeartbeatPeers
	})
	for _, p := range receivers {
		c.sendHeartbeat(p)
	}
}

// addUnacknowledged adds the peers that are not monitored and must still acknowledge the takeover of a
// target, up to maxHeartbeatPeers.
func (c *Control) addUnacknowledged(receivers []*peer, t *target) []*peer {
	candidates := []*peer{c.peers.get(t.ownership.highestClaim.vm)}
	if list := c.possibleOwners(t); len(list) <= maxTakeoverAcks {
		for _, cand := range list {
			candidates = append(candidates, cand.peer)
		}
	}
	for _, p := range candidates {
		if p == nil || p.monitored || len(receivers) >= maxHeartbeatPeers || c.acknowledged(p, t.ownership.takeover) {
			continue
		}
		if !slices.Contains(receivers, p) {
			receivers = append(receivers, p)
		}
	}
	return receivers
}

// replyToProbe replies to a heartbeat of a peer that gets none regularly, so that the peer receives this VM's
// acknowledgement. The peer has just sent a heartbeat itself and sends nothing back.
func (c *Control) replyToProbe(p *peer) {
	sent := p.sentHeartbeats[p.seqOut%sentHistory]
	if !p.monitored && (sent.seq != p.seqOut || c.now-sent.at >= core.HeartbeatInterval-earlyGap) {
		c.sendHeartbeat(p)
	}
}

// heartbeatDue reports whether heartbeats must be sent now. A token bucket limits the early ones.
func (c *Control) heartbeatDue() bool {
	schedule := &c.heartbeats
	for schedule.earlyTokensUsed > 0 && c.now-schedule.refilledAt >= earlyRefill {
		schedule.earlyTokensUsed--
		schedule.refilledAt += earlyRefill
	}
	if c.now >= schedule.nextAt {
		return true
	}
	if !schedule.earlyRequested || schedule.earlyTokensUsed >= earlyBurst || c.now-schedule.lastAt < earlyGap {
		return false
	}
	if schedule.earlyTokensUsed == 0 {
		schedule.refilledAt = c.now
	}
	schedule.earlyTokensUsed++
	return true
}

// sendHeartbeat sends one heartbeat to a peer.
func (c *Control) sendHeartbeat(p *peer) {
	p.seqOut++
	p.sentHeartbeats[p.seqOut%sentHistory] = sentHeartbeat{p.seqOut, c.now, c.heartbeats.announcement}
	c.send(p.name, &core.Heartbeat{
		Zone:         c.opts.Zone,
		Addr:         c.opts.Addr,
		Incarnation:  c.opts.Incarnation,
		Seq:          p.seqOut,
		AckSeq:       p.seqIn,
		State:        c.ownState(),
		Generation:   c.generation(),
		Epochs:       c.epochs(),
		ConfirmAge:   c.confirmAge(),
		OwnedTargets: c.ownedTargets(),
	})
}

// ownState returns the state that this VM announces.
func (c *Control) ownState() core.VMState {
	switch {
	case c.stop.leaving:
		return core.VMLeaving
	case c.selfMember():
		return core.VMLive
	}
	return core.VMJoining
}

// heartbeatPeers returns the peers that regularly get heartbeats.
func (c *Control) heartbeatPeers() []*peer {
	if c.heartbeats.receiversVersion != c.publication.topologyVersion || c.heartbeats.receivers == nil {
		c.heartbeats.receivers = c.chooseReceivers()
		c.heartbeats.receiversVersion = c.publication.topologyVersion
		c.markMonitored(c.heartbeats.receivers)
	}
	return c.heartbeats.receivers
}

// markMonitored marks the peers from which heartbeats are expected. The silence of a newly marked peer
// counts from now.
func (c *Control) markMonitored(receivers []*peer) {
	c.peers.all(func(_ core.VMName, p *peer) bool {
		monitored := p.dead || slices.Contains(receivers, p)
		if monitored && !p.monitored {
			p.lastHeartbeat = c.now
			p.liveSince = c.now
		}
		if !monitored {
			// The state that the peer announced is no longer kept up to date.
			p.suspect = false
			p.ownedTargets = nil
		}
		p.monitored = monitored
		return true
	})
}

// chooseReceivers returns all peers of a small fleet, and ring neighbours in a larger one. It skips dead
// peers, because a restarted process announces itself by its own heartbeat, and peers that still have neither a
// link nor a heartbeat removePeerAfter after they were added.
func (c *Control) chooseReceivers() []*peer {
	var all, zone []*peer
	c.peers.all(func(_ core.VMName, p *peer) bool {
		if p.dead || !p.linkUp && !p.hasHeartbeat() && c.now-p.addedAt > removePeerAfter {
			return true
		}
		all = append(all, p)
		if p.zone == c.opts.Zone {
			zone = append(zone, p)
		}
		return true
	})
	if len(all) <= maxHeartbeatPeers {
		return all
	}
	var chosen []*peer
	for ring := range uint64(zoneRings) {
		chosen = c.addNeighbours(chosen, zone, ring)
	}
	for ring := range uint64(fleetRings) {
		chosen = c.addNeighbours(chosen, all, zoneRings+ring)
	}
	chosen = c.addProbed(chosen, all)
	slices.SortFunc(chosen, func(a, b *peer) int { return compare(a.name, b.name) })
	return chosen
}

// addProbed adds the members of probed zones.
func (c *Control) addProbed(chosen, peers []*peer) []*peer {
	for _, p := range peers {
		z := c.zones.get(p.zone)
		p.probed = z != nil && z.probed && c.isMember(p.name) && !slices.Contains(chosen, p)
		if p.probed {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// probeSilentZones starts heartbeats to all members of another zone when none of its monitored members is
// live, and ends them when one is. In a fleet in which each VM monitors only some of the others, no VM
// would otherwise detect that a whole zone is lost.
func (c *Control) probeSilentZones() {
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		silent := name != c.opts.Zone && len(z.members) <= maxProbed && len(c.peers.keys) > maxHeartbeatPeers && c.zoneSilent(z)
		if silent != z.probed {
			z.probed, z.probedAt = silent, c.now
			c.markChanged(changeTopology)
		}
		return true
	})
}

// zoneSilent reports whether this VM expects heartbeats from members of a zone but receives none.
func (c *Control) zoneSilent(z *zone) bool {
	if z.probed {
		return z.lastHeartbeat <= z.probedAt && len(z.members) > 0
	}
	silent := false
	for _, m := range z.members {
		p := c.peers.get(m.Name)
		if p == nil || !p.monitored {
			continue
		}
		if !p.suspect && !p.incarnationEnded(m.Incarnation) {
			return false
		}
		silent = true
	}
	return silent
}

// addNeighbours adds the successor and predecessor of this VM in a ring of peers.
func (c *Control) addNeighbours(chosen, peers []*peer, ring uint64) []*peer {
	if len(peers) == 0 {
		return chosen
	}
	self := rendezvous.Mix(ring, rendezvous.HashString(string(c.opts.Self)))
	distance := func(p *peer) uint64 { return rendezvous.Mix(ring, p.hash) - self }
	next := slices.MinFunc(peers, func(a, b *peer) int { return cmp.Compare(distance(a), distance(b)) })
	prev := slices.MaxFunc(peers, func(a, b *peer) int { return cmp.Compare(distance(a), distance(b)) })
	for _, p := range []*peer{next, prev} {
		if !slices.Contains(chosen, p) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// onHeartbeat handles a heartbeat of a peer.
func (c *Control) onHeartbeat(from core.VMName, m *core.Heartbeat) {
	p := c.ensurePeer(from, m.Zone, m.Addr)
	if p == nil || !c.acceptHeartbeat(p, m) {
		return
	}
	wasLive := p.live()
	if z := c.zones.get(m.Zone); z != nil {
		z.lastHeartbeat = c.now
	}
	c.recordHeartbeat(p, m)
	c.recordAck(p, m)
	c.recordOwnedTargets(p, m.OwnedTargets)
	c.recordGeneration(m.Generation)
	c.recordEpochs(m.Epochs)
	c.onRelayedConfirmation(p, m)
	if !wasLive {
		c.markChanged(changeTopology)
	}
	c.updatePulls()
	c.replyToProbe(p)
}

// acceptHeartbeat reports whether a heartbeat is to be processed: its process has not ended, and no newer
// heartbeat has arrived before it.
func (c *Control) acceptHeartbeat(p *peer, m *core.Heartbeat) bool {
	switch {
	case m.Incarnation < p.incarnation:
		return false
	case m.Incarnation == p.incarnation && m.Seq <= p.seqIn:
		return false
	case p.dead && m.Incarnation <= p.deadUpTo:
		// Heartbeats of a process that has ended may still arrive. A link that came up later shows that the
		// process was wrongly considered ended after a refused connection.
		return p.linkUp && c.now-p.diedAt > core.SuspectAfter
	}
	return true
}

// recordHeartbeat updates the state of a peer from its heartbeat.
func (c *Control) recordHeartbeat(p *peer, m *core.Heartbeat) {
	if m.Incarnation != p.incarnation {
		if p.incarnation != 0 && !p.dead {
			c.markDead(p, p.incarnation)
		}
		p.incarnation = m.Incarnation
		p.ackedAnnouncement = 0
		p.ownedTargets = nil
		p.liveSince = c.now
		c.markChanged(changeTopology)
	}
	if p.suspect || p.dead {
		c.emit(core.Event{Kind: core.EventPeerBack, VM: p.name, Zone: p.zone})
		p.liveSince = c.now
	}
	if p.state != m.State {
		c.markChanged(changeTopology)
	}
	p.dead = false
	p.suspect = false
	p.lastHeartbeat = c.now
	p.seqIn = m.Seq
	p.state = m.State
	p.generation = m.Generation
	p.epochs = m.Epochs
}

// recordAck derives the earliest time at which the peer can have sent this heartbeat: the time at which this VM
// sent the heartbeat that the peer acknowledges. Unlike an assumed transit time, this bound holds however long
// the message was in transit.
func (c *Control) recordAck(p *peer, m *core.Heartbeat) {
	sent := p.sentHeartbeats[m.AckSeq%sentHistory]
	if sent.seq == m.AckSeq && m.AckSeq != 0 {
		p.sentNotBefore = max(p.sentNotBefore, sent.at)
		p.ackedAnnouncement = max(p.ackedAnnouncement, sent.announcement)
	}
	if c.now-p.sentNotBefore > backupSyncLimit {
		p.ackOverdueAt = c.now
	}
}

// epochOf returns the epoch of a zone in a list, or 0.
func epochOf(list []core.ZoneEpoch, zone core.ZoneName) core.Epoch {
	for _, e := range list {
		if e.Zone == zone {
			return e.Epoch
		}
	}
	return 0
}

// compare orders names.
func compare[T cmp.Ordered](a, b T) int { return cmp.Compare(a, b) }
