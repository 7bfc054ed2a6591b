package coretest

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// notifyInterval is the time between two messages of a live feed.
const notifyInterval = time.Second

// Target is a fake target process with slots, a cold start and feeds.
type Target struct {
	Target core.Target
	// ServiceTime is the mean time for which a request occupies a slot.
	ServiceTime time.Duration
	// ColdLimit is the capacity right after a start; it rises to the slots within WarmUp.
	ColdLimit int
	WarmUp    time.Duration
	// Faults: the target sheds all requests, reports no load, does not respond, or no longer exists.
	ShedAll, NoLoad, Silent, Gone bool
	// AnswerDelay delays all answers; DuplicateAnswers makes the target send each answer twice.
	AnswerDelay      time.Duration
	DuplicateAnswers bool

	// Done counts requests that ran, Shed those that were refused, and ColdOverruns those that arrived above
	// the capacity of the cold target.
	Done, Shed, ColdOverruns uint64
	// FlowsSeen maps each flow to the time of its first request.
	FlowsSeen map[core.FlowKey]time.Duration

	cluster   *Cluster
	bootID    uint64
	startedAt time.Duration
	inUse     int
	running   map[core.AttemptToken]bool
	feeds     map[core.FlowKey]*feed
}

// feed is a registration of a live feed at a target.
type feed struct {
	vm    core.VMName
	token core.AttemptToken
	flow  core.FlowKey
	// id is the request id of the newest registration; messages of the feed carry it.
	id core.RequestID
}

// AddTarget starts a target's process. With warm it has already been running for its warm-up time.
func (c *Cluster) AddTarget(t core.Target, contract core.Contract, serviceTime time.Duration, warm bool) *Target {
	process := &Target{Target: t, ServiceTime: serviceTime, ColdLimit: contract.ColdLimit,
		WarmUp: contract.Ramp, FlowsSeen: map[core.FlowKey]time.Duration{}, cluster: c}
	process.Restart()
	if warm {
		process.startedAt = c.now - process.WarmUp
	}
	c.targets[t.Addr] = process
	return process
}

// TargetAt returns the target process at an address of the configuration.
func (c *Cluster) TargetAt(t core.Target) *Target { return c.targets[t.Addr] }

// Restart replaces the target's process by a cold one; feeds and requests in flight are lost.
func (t *Target) Restart() {
	t.bootID++
	t.startedAt = t.cluster.now
	t.inUse = 0
	t.running = map[core.AttemptToken]bool{}
	t.feeds = map[core.FlowKey]*feed{}
}

// Capacity returns the number of concurrent requests that the target sustains at the current time.
func (t *Target) Capacity() int {
	uptime := t.cluster.now - t.startedAt
	if uptime >= t.WarmUp {
		return t.Target.Slots
	}
	extra := float64(t.Target.Slots-t.ColdLimit) * float64(uptime) / float64(t.WarmUp)
	return min(t.ColdLimit+int(extra), t.Target.Slots)
}

// sendTarget delivers a VM's message to the target process at the address.
func (c *Cluster) sendTarget(m *machine, attempt core.SendTarget) {
	t := c.targets[attempt.Addr]
	if t == nil || t.Gone {
		return
	}
	if c.partitioned(m, string(t.Target.Zone), t.Target.Zone) {
		return
	}
	c.After(targetLatency, func() { t.receive(m, attempt) })
}

// receive checks the guarantees of the core for a message that reached the target, and handles the message.
func (t *Target) receive(m *machine, attempt core.SendTarget) {
	c := t.cluster
	if attempt.Request.Flow.Service != t.Target.Service {
		c.recordViolation("packet of service %d reached %s", attempt.Request.Flow.Service, t.Target.Name)
		c.Stats.WrongService++
		return
	}
	c.checkZoneOut(m, t)
	if t.Silent {
		return
	}
	if attempt.Kind == core.SendCancel {
		t.cancel(m, attempt)
		return
	}
	t.checkDraining(attempt.Request)
	limit := t.Capacity()
	cold := limit < t.Target.Slots
	if t.inUse >= limit {
		if cold {
			t.ColdOverruns++
			c.recordViolation("cold target %s has %d requests in flight, capacity %d", t.Target.Name, t.inUse+1, limit)
		}
		t.Shed++
		t.answer(m, attempt, core.AnswerShed, 0)
		return
	}
	if t.ShedAll {
		t.Shed++
		t.answer(m, attempt, core.AnswerShed, 0)
		return
	}
	if _, seen := t.FlowsSeen[attempt.Request.Flow]; !seen {
		t.FlowsSeen[attempt.Request.Flow] = c.now
	}
	t.inUse++
	t.running[attempt.Token] = true
	bootID := t.bootID
	duration := time.Duration(float64(t.ServiceTime) * (0.5 + c.Rand.Float64()))
	c.After(duration, func() {
		if t.bootID == bootID && t.running[attempt.Token] {
			t.finish(m, attempt)
		}
	})
}

// finish ends a request that ran.
func (t *Target) finish(m *machine, attempt core.SendTarget) {
	delete(t.running, attempt.Token)
	t.inUse--
	t.Done++
	t.cluster.recordRun(t, attempt.Request)
	status := core.AnswerOK
	switch attempt.Request.Method {
	case core.MethodSubscribe:
		t.subscribe(m, attempt)
		status = core.AnswerNotification
	case core.MethodUnsubscribe:
		delete(t.feeds, attempt.Request.Flow)
	}
	t.answer(m, attempt, status, t.AnswerDelay)
	if t.DuplicateAnswers {
		t.answer(m, attempt, status, t.AnswerDelay+t.ServiceTime*5)
	}
}

// cancel cancels a request that has not finished.
func (t *Target) cancel(m *machine, attempt core.SendTarget) {
	if !t.running[attempt.Token] {
		return
	}
	delete(t.running, attempt.Token)
	t.inUse--
	t.answer(m, attempt, core.AnswerCancelled, 0)
}

// subscribe registers a feed, or replaces an earlier registration of the same flow.
func (t *Target) subscribe(m *machine, attempt core.SendTarget) {
	f := t.feeds[attempt.Request.Flow]
	isNew := f == nil
	if isNew {
		f = &feed{flow: attempt.Request.Flow}
		t.feeds[attempt.Request.Flow] = f
	}
	f.vm, f.token, f.id = m.info.Name, attempt.Token, attempt.Request.ID
	if isNew {
		t.scheduleNotification(f, t.bootID)
	}
}

// scheduleNotification schedules the next message of a feed, which schedules its successor.
func (t *Target) scheduleNotification(f *feed, bootID uint64) {
	t.cluster.After(notifyInterval, func() {
		if t.bootID != bootID || t.feeds[f.flow] != f {
			return
		}
		if m := t.cluster.vms[f.vm]; !t.Silent && !t.Gone {
			attempt := core.SendTarget{Token: f.token, Request: core.Request{Flow: f.flow, ID: f.id}}
			t.answer(m, attempt, core.AnswerNotification, 0)
		}
		t.scheduleNotification(f, bootID)
	})
}

// answer sends an answer to the VM that sent the attempt.
func (t *Target) answer(m *machine, attempt core.SendTarget, status core.AnswerStatus, delay time.Duration) {
	if t.Gone || t.cluster.partitioned(m, string(t.Target.Zone), t.Target.Zone) {
		return
	}
	var load *core.LoadReport
	if !t.NoLoad && t.Target.ReportsLoad {
		load = &core.LoadReport{InUse: uint16(t.inUse), Slots: uint16(t.Target.Slots),
			Cold: t.Capacity() < t.Target.Slots, BootID: t.bootID}
	}
	in := core.TargetAnswer{From: t.Target.Addr, Flow: attempt.Request.Flow, Token: attempt.Token, Status: status,
		Load: load, Payload: t.payload(attempt.Request)}
	incarnation := m.incarnation
	t.cluster.After(targetLatency+delay, func() {
		if m.incarnation == incarnation {
			t.cluster.handleInput(m.info.Name, in)
		}
	})
}

// payload encodes the ids of the target and the request, which the client checks.
func (t *Target) payload(r core.Request) []byte {
	var b []byte
	b = binary.LittleEndian.AppendUint32(b, uint32(t.Target.ID))
	b = binary.LittleEndian.AppendUint64(b, r.ID.Hi)
	return binary.LittleEndian.AppendUint64(b, r.ID.Lo)
}

// checkZoneOut records a violation for a packet to a zone that was taken out, unless it arrived within
// ZoneOutGrace or the VM had no way to get the configuration.
func (c *Cluster) checkZoneOut(m *machine, t *Target) {
	since, gen, out := c.zoneOut(t.Target.Zone)
	if !out || c.now-since <= core.ZoneOutGrace || !c.updatedPeerReachable(m, gen) {
		return
	}
	c.Stats.ZoneOutPackets++
	c.recordViolation("%s sent a packet to %s, out since %v", m.info.Name, t.Target.Zone, since)
}

// zoneOut returns whether a zone is out and, if so, since when and since which generation without interruption.
func (c *Cluster) zoneOut(zone core.ZoneName) (since time.Duration, gen core.Generation, out bool) {
	p := &c.Platform
	for g := p.generation; g > 0 && p.configs[g].ZoneState(zone) == core.ZoneOut; g-- {
		since, gen, out = p.acceptedAt[g], g, true
	}
	return since, gen, out
}

// peerUpdateTime is the time within which a VM must get a generation from a peer that has it.
const peerUpdateTime = 2 * time.Second

// updatedPeerReachable reports whether a VM has a generation, or can reach a VM that has had it for
// peerUpdateTime. After an outage of the platform the first VM may get the generation long after the platform
// accepted it.
func (c *Cluster) updatedPeerReachable(m *machine, gen core.Generation) bool {
	if m.generation >= gen {
		return true
	}
	for _, n := range c.startOrder {
		p := c.vms[n]
		since, ok := p.installedSince(gen)
		ok = ok && c.now-since > peerUpdateTime
		if p != m && p.alive && !p.paused && ok && !c.partitioned(m, string(n), p.info.Zone) {
			return true
		}
	}
	return false
}

// checkDraining records a violation for a new flow at a target that has been draining for more than
// ZoneOutGrace.
func (t *Target) checkDraining(r core.Request) {
	c := t.cluster
	if _, seen := t.FlowsSeen[r.Flow]; seen {
		return
	}
	since, draining := c.drainingSince(t.Target.ID)
	if draining && c.now-since > core.ZoneOutGrace {
		c.Stats.DrainingTargetFlows++
		c.recordViolation("new flow reached draining target %s", t.Target.Name)
	}
}

// drainingSince returns since when a target has been draining or removed without interruption, and whether it
// is.
func (c *Cluster) drainingSince(id core.TargetID) (since time.Duration, draining bool) {
	p := &c.Platform
	for g := p.generation; g > 0; g-- {
		if acceptsNewFlows(p.configs[g], id) {
			return since, draining
		}
		since, draining = p.acceptedAt[g], true
	}
	return since, draining
}

// acceptsNewFlows reports whether a target is active in a configuration.
func acceptsNewFlows(config *core.Config, id core.TargetID) bool {
	for i := range config.Services {
		for _, t := range config.Services[i].Targets {
			if t.ID == id {
				return t.State == core.TargetActive
			}
		}
	}
	return false
}

// sortedTargets returns the targets in the order of their addresses.
func (c *Cluster) sortedTargets() []*Target {
	list := make([]*Target, 0, len(c.targets))
	for _, t := range c.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *Target) int { return a.Target.Addr.Compare(b.Target.Addr) })
	return list
}
