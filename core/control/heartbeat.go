package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

const (
	// maxHeartbeatPeers bounds the peers that get heartbeats, so that the cost is constant.
	maxHeartbeatPeers = 8
	// zoneRings is the number of ring orders of the VMs of a zone, and fleetRings of all VMs, that
	// each contribute two neighbours when there are more than maxHeartbeatPeers peers. Rings are
	// symmetric, so heartbeats are acknowledged, and several rings in different orders keep the
	// number of hops logarithmic.
	zoneRings  = 3
	fleetRings = 1
	// maxProbed bounds the members of a silent zone that get heartbeats from all VMs that miss it, 12 KB/s
	// of each while the zone is silent. The loss of a larger zone is not noticed.
	maxProbed = 32
	// maxProven bounds the VMs that have to acknowledge a takeover. In a larger zone only watched
	// VMs and the former holder do.
	maxProven = 32
	// sentLog is the number of sent heartbeats whose times are remembered per peer. It covers
	// more than SuspectAfter at the highest rate of heartbeats.
	sentLog = 32
	// earlyBurst bounds heartbeats ahead of time, which spread news; one more is allowed after
	// earlyRefill.
	earlyBurst  = 3
	earlyRefill = 2 * time.Second
	// earlyGap is the least time between two heartbeats ahead of time.
	earlyGap = 100 * time.Millisecond
)

// heartbeatState is the schedule of heartbeats.
type heartbeatState struct {
	nextAt time.Duration
	lastAt time.Duration
	// news is true when something changed that peers should hear before the next interval.
	news     bool
	spent    int
	refilled time.Duration
	// announcement counts the takeovers that heartbeats announce.
	announcement uint64
	receivers    []*peer
	// chosenFor is the structure version that receivers were chosen for.
	chosenFor uint64
}

// sentBeat is the time at which a heartbeat was sent.
type sentBeat struct {
	seq          uint64
	at           time.Duration
	announcement uint64
}

// hasNews asks for heartbeats ahead of time.
func (c *Control) hasNews() { c.beats.news = true }

// sendHeartbeats sends heartbeats when the interval has passed or there is news.
func (c *Control) sendHeartbeats() {
	if !c.heartbeatDue() {
		return
	}
	c.beats.news = false
	c.beats.lastAt = c.now
	c.beats.nextAt = c.now + core.HeartbeatInterval
	for _, p := range c.heartbeatPeers() {
		c.heartbeat(p)
	}
	c.probe()
}

// probe sends heartbeats to peers outside the usual ones whose acknowledgement a takeover needs.
func (c *Control) probe() {
	var asked []*peer
	c.targets.all(func(_ core.TargetID, t *target) bool {
		if t.holding.held && t.holding.take != nil {
			asked = c.addUnacknowledged(asked, t)
		}
		return len(asked) < maxHeartbeatPeers
	})
	for _, p := range asked {
		c.heartbeat(p)
	}
}

// addUnacknowledged adds the unwatched peers that have to acknowledge the takeover of a target.
func (c *Control) addUnacknowledged(asked []*peer, t *target) []*peer {
	candidates := []*peer{c.peers.get(t.holding.former.vm)}
	if list := c.possibleHolders(t); len(list) <= maxProven {
		for _, e := range list {
			candidates = append(candidates, e.peer)
		}
	}
	for _, p := range candidates {
		if p == nil || p.watched || len(asked) >= maxHeartbeatPeers || c.acknowledged(p, t.holding.take) {
			continue
		}
		if !slices.Contains(asked, p) {
			asked = append(asked, p)
		}
	}
	return asked
}

// answerProbe answers a heartbeat of a peer that gets none regularly, so that it learns what this VM
// has heard. The prober has just sent one itself and does not answer the answer.
func (c *Control) answerProbe(p *peer) {
	sent := p.sentAt[p.seqOut%sentLog]
	if !p.watched && (sent.seq != p.seqOut || c.now-sent.at >= core.HeartbeatInterval-earlyGap) {
		c.heartbeat(p)
	}
}

// heartbeatDue decides about heartbeats ahead of time with a token bucket.
func (c *Control) heartbeatDue() bool {
	b := &c.beats
	for b.spent > 0 && c.now-b.refilled >= earlyRefill {
		b.spent--
		b.refilled += earlyRefill
	}
	if c.now >= b.nextAt {
		return true
	}
	if !b.news || b.spent >= earlyBurst || c.now-b.lastAt < earlyGap {
		return false
	}
	if b.spent == 0 {
		b.refilled = c.now
	}
	b.spent++
	return true
}

// heartbeat sends one heartbeat to a peer.
func (c *Control) heartbeat(p *peer) {
	p.seqOut++
	p.sentAt[p.seqOut%sentLog] = sentBeat{p.seqOut, c.now, c.beats.announcement}
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
		OwnedTargets: c.ownHoldings(),
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

// heartbeatPeers returns the peers that get heartbeats.
func (c *Control) heartbeatPeers() []*peer {
	if c.beats.chosenFor != c.view.structure || c.beats.receivers == nil {
		c.beats.receivers = c.chooseReceivers()
		c.beats.chosenFor = c.view.structure
		c.watch(c.beats.receivers)
	}
	return c.beats.receivers
}

// watch marks the peers from which heartbeats are expected. Silence counts from when that begins.
func (c *Control) watch(receivers []*peer) {
	c.peers.all(func(_ core.VMName, p *peer) bool {
		watched := p.dead || slices.Contains(receivers, p)
		if watched && !p.watched {
			p.lastHeard = c.now
			p.heardSince = c.now
		}
		if !watched {
			// What the peer announced is no longer kept up to date.
			p.suspect = false
			p.holdings = nil
		}
		p.watched = watched
		return true
	})
}

// chooseReceivers returns all peers of a small fleet, and ring neighbours in a larger one. Dead
// peers are skipped; a restarted process makes itself known by its own heartbeat.
func (c *Control) chooseReceivers() []*peer {
	var all, zone []*peer
	c.peers.all(func(_ core.VMName, p *peer) bool {
		if p.dead || !p.linkUp && !p.heard() && c.now-p.knownSince > forgetAfter {
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

// addProbed adds the members of zones that are probed.
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

// probeSilentZones begins heartbeats to all members of another zone when none of those that this VM
// exchanges them with is heard, and ends them when one is. In a fleet in which each VM hears only some
// others, nobody would find otherwise that a whole zone is lost.
func (c *Control) probeSilentZones() {
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		silent := name != c.opts.Zone && len(z.members) <= maxProbed && len(c.peers.keys) > maxHeartbeatPeers && c.zoneSilent(z)
		if silent != z.probed {
			z.probed, z.probedAt = silent, c.now
			c.touch(changeStructure)
		}
		return true
	})
}

// zoneSilent reports whether this VM exchanges heartbeats with members of a zone and hears none.
func (c *Control) zoneSilent(z *zone) bool {
	if z.probed {
		return z.heardAt <= z.probedAt && len(z.members) > 0
	}
	silent := false
	for _, m := range z.members {
		p := c.peers.get(m.Name)
		if p == nil || !p.watched {
			continue
		}
		if !p.suspect && !p.gone(m.Incarnation) {
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
	place := func(p *peer) uint64 { return rendezvous.Mix(ring, p.hash) - self }
	next := slices.MinFunc(peers, func(a, b *peer) int { return cmp.Compare(place(a), place(b)) })
	prev := slices.MaxFunc(peers, func(a, b *peer) int { return cmp.Compare(place(a), place(b)) })
	for _, p := range []*peer{next, prev} {
		if !slices.Contains(chosen, p) {
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// onHeartbeat takes over what a peer announces.
func (c *Control) onHeartbeat(from core.VMName, m *core.Heartbeat) {
	p := c.meet(from, m.Zone, m.Addr)
	if p == nil || !c.acceptHeartbeat(p, m) {
		return
	}
	wasLive := p.live()
	if z := c.zones.get(m.Zone); z != nil {
		z.heardAt = c.now
	}
	c.noteLife(p, m)
	c.noteAck(p, m)
	c.noteHoldings(p, m.OwnedTargets)
	c.noteGeneration(m.Generation)
	c.noteEpochs(m.Epochs)
	c.noteConfirmation(p, m)
	if !wasLive {
		c.touch(changeStructure)
	}
	c.updatePulls()
	c.answerProbe(p)
}

// acceptHeartbeat refuses heartbeats of ended processes and those overtaken by newer ones.
func (c *Control) acceptHeartbeat(p *peer, m *core.Heartbeat) bool {
	switch {
	case m.Incarnation < p.incarnation:
		return false
	case m.Incarnation == p.incarnation && m.Seq <= p.seqIn:
		return false
	case p.dead && m.Incarnation <= p.deadUpTo:
		// Heartbeats may still arrive from a process that has ended. A link that came up later
		// shows that the refusal was wrong.
		return p.linkUp && c.now-p.diedAt > core.SuspectAfter
	}
	return true
}

// noteLife records that the peer's process is alive.
func (c *Control) noteLife(p *peer, m *core.Heartbeat) {
	if m.Incarnation != p.incarnation {
		if p.incarnation != 0 && !p.dead {
			c.markDead(p, p.incarnation)
		}
		p.incarnation = m.Incarnation
		p.ackedAnnouncement = 0
		p.holdings = nil
		p.heardSince = c.now
		c.touch(changeStructure)
	}
	if p.suspect || p.dead {
		c.emit(core.Event{Kind: core.EventPeerBack, VM: p.name, Zone: p.zone})
		p.heardSince = c.now
	}
	if p.state != m.State {
		c.touch(changeStructure)
	}
	p.dead = false
	p.suspect = false
	p.lastHeard = c.now
	p.seqIn = m.Seq
	p.state = m.State
	p.generation = m.Generation
	p.epochs = m.Epochs
}

// noteAck derives from the acknowledged heartbeat when the peer can have sent this one at the
// earliest: after it received a heartbeat that this VM sent. Unlike an assumed time of transit this
// holds however long the message was under way.
func (c *Control) noteAck(p *peer, m *core.Heartbeat) {
	sent := p.sentAt[m.AckSeq%sentLog]
	if sent.seq == m.AckSeq && m.AckSeq != 0 {
		p.sentNotBefore = max(p.sentNotBefore, sent.at)
		p.ackedAnnouncement = max(p.ackedAnnouncement, sent.announcement)
	}
	if c.now-p.sentNotBefore > deadWithin {
		p.deafAt = c.now
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
