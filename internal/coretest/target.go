package coretest

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// notifyInterval is the time between two messages of a live feed.
const notifyInterval = time.Second

// Target is the fake of a target: slots, a cold start, feeds, and a ledger of what ran.
type Target struct {
	Target core.Target
	// ServiceTime is the mean time a request occupies a slot.
	ServiceTime time.Duration
	// ColdLimit is what the target bears when cold; WarmUp is the time until it bears its slots.
	ColdLimit int
	WarmUp    time.Duration
	// Faults.
	ShedAll, NoLoad, Silent, Gone bool
	// AnswerDelay and DuplicateAnswers disturb its answers.
	AnswerDelay      time.Duration
	DuplicateAnswers bool

	// Done counts requests that ran; PeakCold and ColdOverruns describe work while cold.
	Done, Shed, ColdOverruns uint64
	// FlowsSeen maps each flow to its first request.
	FlowsSeen map[core.FlowKey]time.Duration

	w       *Cluster
	boot    uint64
	bootAt  time.Duration
	inUse   int
	running map[core.AttemptToken]bool
	feeds   map[core.FlowKey]*feed
}

// feed is a registration of a live feed at a target.
type feed struct {
	vm    core.VMName
	token core.AttemptToken
	flow  core.FlowKey
	// id is the newest registration's, which messages of the feed answer.
	id core.RequestID
}

// AddTarget starts a target's process; warm says that it started long ago.
func (w *Cluster) AddTarget(t core.Target, contract core.Contract, serviceTime time.Duration, warm bool) *Target {
	tt := &Target{Target: t, ServiceTime: serviceTime, ColdLimit: contract.ColdLimit,
		WarmUp: contract.Ramp, FlowsSeen: map[core.FlowKey]time.Duration{}, w: w}
	tt.Restart()
	if warm {
		tt.bootAt = w.now - tt.WarmUp
	}
	w.targets[t.Addr] = tt
	return tt
}

// TargetAt returns the target process at an address of the configuration.
func (w *Cluster) TargetAt(t core.Target) *Target { return w.targets[t.Addr] }

// Restart replaces the target's process by a cold one; feeds and work in flight are lost.
func (t *Target) Restart() {
	t.boot++
	t.bootAt = t.w.now
	t.inUse = 0
	t.running = map[core.AttemptToken]bool{}
	t.feeds = map[core.FlowKey]*feed{}
}

// Capacity returns the number of requests that the target bears now.
func (t *Target) Capacity() int {
	up := t.w.now - t.bootAt
	if up >= t.WarmUp {
		return t.Target.Slots
	}
	extra := float64(t.Target.Slots-t.ColdLimit) * float64(up) / float64(t.WarmUp)
	return min(t.ColdLimit+int(extra), t.Target.Slots)
}

// sendTarget carries a VM's message to the process at the address, after checking promises.
func (w *Cluster) sendTarget(m *machine, a core.SendTarget) {
	t := w.targets[a.Addr]
	if t == nil || t.Gone {
		return
	}
	if w.severed(m, string(t.Target.Zone), t.Target.Zone) {
		return
	}
	w.After(targetLatency, func() { t.receive(m, a) })
}

// receive handles a message at the target.
func (t *Target) receive(m *machine, a core.SendTarget) {
	w := t.w
	if a.Request.Flow.Service != t.Target.Service {
		w.violate("packet of service %d reached %s", a.Request.Flow.Service, t.Target.Name)
		w.Stats.WrongService++
		return
	}
	w.checkZoneOut(m, t)
	if t.Silent {
		return
	}
	if a.Kind == core.SendCancel {
		t.cancel(m, a)
		return
	}
	t.checkLeaving(a.Request)
	limit := t.Capacity()
	cold := limit < t.Target.Slots
	if t.inUse >= limit {
		if cold {
			t.ColdOverruns++
			w.violate("cold target %s has %d in flight, bears %d", t.Target.Name, t.inUse+1, limit)
		}
		t.Shed++
		t.answer(m, a, core.AnswerShed, 0)
		return
	}
	if t.ShedAll {
		t.Shed++
		t.answer(m, a, core.AnswerShed, 0)
		return
	}
	if _, seen := t.FlowsSeen[a.Request.Flow]; !seen {
		t.FlowsSeen[a.Request.Flow] = w.now
	}
	t.inUse++
	t.running[a.Token] = true
	boot := t.boot
	took := time.Duration(float64(t.ServiceTime) * (0.5 + w.Rand.Float64()))
	w.After(took, func() {
		if t.boot == boot && t.running[a.Token] {
			t.finish(m, a)
		}
	})
}

// finish ends a request that ran.
func (t *Target) finish(m *machine, a core.SendTarget) {
	delete(t.running, a.Token)
	t.inUse--
	t.Done++
	t.w.executed(t, a.Request)
	status := core.AnswerOK
	switch a.Request.Method {
	case core.MethodSubscribe:
		t.subscribe(m, a)
		status = core.AnswerNotification
	case core.MethodUnsubscribe:
		delete(t.feeds, a.Request.Flow)
	}
	t.answer(m, a, status, t.AnswerDelay)
	if t.DuplicateAnswers {
		t.answer(m, a, status, t.AnswerDelay+t.ServiceTime*5)
	}
}

// cancel withdraws a request that has not finished.
func (t *Target) cancel(m *machine, a core.SendTarget) {
	if !t.running[a.Token] {
		return
	}
	delete(t.running, a.Token)
	t.inUse--
	t.answer(m, a, core.AnswerCancelled, 0)
}

// subscribe registers a feed, replacing an earlier entry of the same caller.
func (t *Target) subscribe(m *machine, a core.SendTarget) {
	f := t.feeds[a.Request.Flow]
	fresh := f == nil
	if fresh {
		f = &feed{flow: a.Request.Flow}
		t.feeds[a.Request.Flow] = f
	}
	f.vm, f.token, f.id = m.info.Name, a.Token, a.Request.ID
	if fresh {
		t.notifyLater(f, t.boot)
	}
}

// notifyLater sends the next message of a feed.
func (t *Target) notifyLater(f *feed, boot uint64) {
	t.w.After(notifyInterval, func() {
		if t.boot != boot || t.feeds[f.flow] != f {
			return
		}
		if m := t.w.vms[f.vm]; !t.Silent && !t.Gone {
			a := core.SendTarget{Token: f.token, Request: core.Request{Flow: f.flow, ID: f.id}}
			t.answer(m, a, core.AnswerNotification, 0)
		}
		t.notifyLater(f, boot)
	})
}

// answer sends an answer to the VM that sent the attempt.
func (t *Target) answer(m *machine, a core.SendTarget, status core.AnswerStatus, delay time.Duration) {
	if t.Gone || t.w.severed(m, string(t.Target.Zone), t.Target.Zone) {
		return
	}
	var load *core.LoadReport
	if !t.NoLoad && t.Target.ReportsLoad {
		load = &core.LoadReport{InUse: uint16(t.inUse), Slots: uint16(t.Target.Slots),
			Cold: t.Capacity() < t.Target.Slots, BootID: t.boot}
	}
	in := core.TargetAnswer{From: t.Target.Addr, Flow: a.Request.Flow, Token: a.Token, Status: status,
		Load: load, Payload: t.payload(a.Request)}
	inc := m.inc
	t.w.After(targetLatency+delay, func() {
		if m.inc == inc {
			t.w.input(m.info.Name, in)
		}
	})
}

// payload names the target and the request, for the caller to check.
func (t *Target) payload(r core.Request) []byte {
	var b []byte
	b = binary.LittleEndian.AppendUint32(b, uint32(t.Target.ID))
	b = binary.LittleEndian.AppendUint64(b, r.ID.Hi)
	return binary.LittleEndian.AppendUint64(b, r.ID.Lo)
}

// checkZoneOut records packets to a zone that was taken out, from VMs that could know.
func (w *Cluster) checkZoneOut(m *machine, t *Target) {
	since, gen, out := w.zoneOut(t.Target.Zone)
	if !out || w.now-since <= core.ZoneOutGrace || !w.updatedPeerInReach(m, gen) {
		return
	}
	w.Stats.ZoneOutPackets++
	w.violate("%s sent a packet to %s, out since %v", m.info.Name, t.Target.Zone, since)
}

// zoneOut returns since when, and by which generation, a zone is out without interruption.
func (w *Cluster) zoneOut(zone core.ZoneName) (since time.Duration, gen core.Generation, out bool) {
	p := &w.Platform
	for g := p.generation; g > 0 && p.configs[g].ZoneState(zone) == core.ZoneOut; g-- {
		since, gen, out = p.acceptedAt[g], g, true
	}
	return since, gen, out
}

// peerUpdateTime is the time in which a VM takes a generation over from a peer that has it.
const peerUpdateTime = 2 * time.Second

// updatedPeerInReach reports whether a VM has a generation, or can reach a VM that has had it for
// peerUpdateTime. After an outage of the platform the first VM may get it long after its acceptance.
func (w *Cluster) updatedPeerInReach(m *machine, gen core.Generation) bool {
	if m.gen >= gen {
		return true
	}
	for _, n := range w.order {
		p := w.vms[n]
		since, ok := p.hasSince(gen)
		ok = ok && w.now-since > peerUpdateTime
		if p != m && p.alive && !p.paused && ok && !w.severed(m, string(n), p.info.Zone) {
			return true
		}
	}
	return false
}

// checkLeaving records new flows at a target that has been draining for more than the grace.
func (t *Target) checkLeaving(r core.Request) {
	w := t.w
	if _, seen := t.FlowsSeen[r.Flow]; seen {
		return
	}
	since, leaving := w.leavingSince(t.Target.ID)
	if leaving && w.now-since > core.ZoneOutGrace {
		w.Stats.LeavingTargetFlows++
		w.violate("new flow reached leaving target %s", t.Target.Name)
	}
}

// leavingSince returns since when a target drains or is removed by the newest configurations.
func (w *Cluster) leavingSince(id core.TargetID) (since time.Duration, leaving bool) {
	p := &w.Platform
	for g := p.generation; g > 0; g-- {
		if active(p.configs[g], id) {
			return since, leaving
		}
		since, leaving = p.acceptedAt[g], true
	}
	return since, leaving
}

// active reports whether a configuration lets a target take new flows.
func active(c *core.Config, id core.TargetID) bool {
	for i := range c.Services {
		for _, t := range c.Services[i].Targets {
			if t.ID == id {
				return t.State == core.TargetActive
			}
		}
	}
	return false
}

// sortedTargets returns the targets in the order of their addresses.
func (w *Cluster) sortedTargets() []*Target {
	list := make([]*Target, 0, len(w.targets))
	for _, t := range w.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *Target) int { return a.Target.Addr.Compare(b.Target.Addr) })
	return list
}
