package capacity

import (
	"encoding/binary"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/traffic"
)

const harnessPeer = core.VMName("peer")

// shardHarness runs one traffic shard whose targets answer at once.
type shardHarness struct {
	shard   *traffic.Shard
	service core.ServiceID
	addrs   map[core.TargetID]netip.AddrPort
	now     time.Duration
	flows   int
}

// newShardHarness returns a harness for the shard of a VM that owns all targets of a service, or none.
func newShardHarness(targets int, ownsTargets bool) *shardHarness {
	cfg := newConfig(1, ClusterOptions{Zones: 1, Services: 1, Targets: targets})
	s := &cfg.Services[0]
	s.Contract = core.Contract{ColdLimit: 1, Ramp: time.Second, Drain: time.Minute, QueueLimit: 64,
		DefaultDeadline: 5 * time.Second}
	for i := range s.Contract.MaxWait {
		s.Contract.MaxWait[i] = time.Second
	}
	harness := &shardHarness{service: s.ID, now: time.Hour, addrs: map[core.TargetID]netip.AddrPort{}}
	owner := core.VMName("self")
	if !ownsTargets {
		owner = harnessPeer
	}
	snap := &core.Snapshot{Self: "self", Zone: zoneName(0), Config: cfg, AuthorityUntil: 1 << 62,
		NewestGeneration: 1, Peers: []core.VMName{harnessPeer},
		Services: map[core.ServiceID]*core.ServiceSnapshot{}, Targets: map[core.TargetID]*core.TargetSnapshot{}}
	serviceSnap := &core.ServiceSnapshot{Service: s}
	for i := range s.Targets {
		t := s.Targets[i]
		// With a low limit of connections, unequal loads would place flows on targets other than their
		// primaries.
		t.Connections = 1 << 30
		harness.addrs[t.ID] = t.Addr
		serviceSnap.Current.IDs = append(serviceSnap.Current.IDs, t.ID)
		serviceSnap.Current.Weights = append(serviceSnap.Current.Weights, 1)
		snap.Targets[t.ID] = &core.TargetSnapshot{Target: t, Owner: owner, FencingToken: 1, AssignedOwner: owner}
	}
	slices.Sort(serviceSnap.Current.IDs)
	snap.Services[s.ID] = serviceSnap
	harness.shard = traffic.New(traffic.Options{Self: "self", Source: 1, ShardCount: 1, Seed: 1})
	harness.handle(core.SnapshotPublished{Snapshot: snap})
	if ownsTargets {
		for _, id := range serviceSnap.Current.IDs {
			harness.handle(core.TakeOver{Target: id, FencingToken: 1, FirstOwner: true})
		}
	}
	return harness
}

// handle advances virtual time by one microsecond and processes an input.
func (h *shardHarness) handle(in core.Input) []core.Action {
	h.now += time.Microsecond
	return h.shard.Handle(in, h.now, nil)
}

// packet sends a packet of a flow through the shard and reports whether it went on to a target or a peer.
func (h *shardHarness) packet(flow, id int) bool {
	return h.process(core.ClientRequest{Request: core.Request{Flow: h.key(flow), ID: core.RequestID{Lo: uint64(id)},
		Class: core.ClassRead, Idempotent: true, Deadline: time.Second}})
}

// process handles an input and the inputs that result from it within the VM, and reports whether a request went
// on to a target or a peer. Targets answer at once. The peer that owns targets answers clients itself, so
// nothing returns from it.
func (h *shardHarness) process(in core.Input) bool {
	sent := false
	for _, a := range h.handle(in) {
		switch a := a.(type) {
		case core.SendTarget:
			h.process(core.TargetAnswer{From: a.Addr, Flow: a.Request.Flow, Token: a.Token, Status: core.AnswerOK})
			sent = true
		case core.SendPeer:
			sent = a.To == harnessPeer || h.process(core.PeerMessage{From: a.To, Msg: a.Msg}) || sent
		}
	}
	return sent
}

func (h *shardHarness) key(flow int) core.FlowKey {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(flow>>8)|10<<24)
	return core.NewFlowKey(netip.AddrPortFrom(netip.AddrFrom4(b), uint16(flow&0xff)+1024), h.service)
}

// openFlows sends the first packet of n new flows and returns how many went on to a target or a peer.
func (h *shardHarness) openFlows(n int) (sent int) {
	for range n {
		if h.packet(h.flows, 1) {
			sent++
		}
		h.flows++
		h.tickIfDue()
	}
	return sent
}

// knownPackets sends n packets of open flows and returns how many went on to a target or a peer.
func (h *shardHarness) knownPackets(n int) (sent int) {
	for i := range n {
		// 7919 is coprime to the number of flows, so that the packets visit all flows in a mixed order.
		if h.packet(i*7919%h.flows, 2+i) {
			sent++
		}
		h.tickIfDue()
	}
	return sent
}

// settle advances virtual time by d without packets, so that records of requests expire and only flows remain.
func (h *shardHarness) settle(d time.Duration) {
	for end := h.now + d; h.now < end; h.now += tickInterval {
		h.handle(core.Tick{})
	}
}

// tickIfDue sends a tick about once every tickInterval of virtual time.
func (h *shardHarness) tickIfDue() {
	if h.now%tickInterval < 2*time.Microsecond {
		h.handle(core.Tick{})
	}
}

// timePackets opens flows and then returns the microseconds of processor time per first packet of a new flow
// and per packet of an open flow.
func timePackets(h *shardHarness, opened, packets int) (first, known float64) {
	h.openFlows(opened)
	runtime.GC()
	first = perPacket(packets, h.openFlows)
	runtime.GC()
	known = perPacket(packets, h.knownPackets)
	return first, known
}

func perPacket(n int, run func(int) int) float64 {
	start := cpuTime()
	sent := run(n)
	used := cpuTime() - start
	if sent < n*99/100 {
		panic("capacity: the shard passed on fewer than 99% of the packets")
	}
	return float64(used) / float64(time.Microsecond) / float64(n)
}

func measurePackets(uint64) []*Series {
	const packets = 50_000
	var all []*Series
	for _, role := range []struct {
		ownsTargets bool
		name        string
	}{{false, "ingress"}, {true, "ingress and holder"}} {
		first := newSeries("", "first packet of a flow, "+role.name, "µs", "flow open")
		known := newSeries("", "packet of a known flow, "+role.name, "µs", "flow open")
		for _, flows := range []int{50_000, 150_000, 300_000} {
			a, b := timePackets(newShardHarness(14, role.ownsTargets), flows, packets)
			first.add(float64(flows), a)
			known.add(float64(flows), b)
		}
		byTargets := newSeries("", "first packet of a flow, "+role.name, "µs", "target of the service")
		for _, n := range []int{3, 14, 56, 224} {
			a, _ := timePackets(newShardHarness(n, role.ownsTargets), packets, packets)
			byTargets.add(float64(n), a)
		}
		all = append(all, first, known, byTargets)
	}
	return all
}
