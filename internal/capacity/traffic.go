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

const rigPeer = core.VMName("peer")

// trafficRig is one traffic shard whose targets answer at once.
type trafficRig struct {
	shard   *traffic.Shard
	service core.ServiceID
	addrs   map[core.TargetID]netip.AddrPort
	now     time.Duration
	flows   int
}

// newTrafficRig returns a shard of a VM that holds all targets of a service, or none.
func newTrafficRig(targets int, holder bool) *trafficRig {
	cfg := newConfig(1, ClusterOptions{Zones: 1, Services: 1, Targets: targets})
	s := &cfg.Services[0]
	s.Contract = core.Contract{ColdLimit: 1, Ramp: time.Second, Drain: time.Minute, QueueLimit: 64,
		DefaultDeadline: 5 * time.Second}
	for i := range s.Contract.MaxWait {
		s.Contract.MaxWait[i] = time.Second
	}
	r := &trafficRig{service: s.ID, now: time.Hour, addrs: map[core.TargetID]netip.AddrPort{}}
	owner := core.VMName("self")
	if !holder {
		owner = rigPeer
	}
	snap := &core.Snapshot{Self: "self", Zone: zoneName(0), Config: cfg, AuthorityUntil: 1 << 62,
		NewestGeneration: 1, Peers: []core.VMName{rigPeer},
		Services: map[core.ServiceID]*core.ServiceSnapshot{}, Targets: map[core.TargetID]*core.TargetSnapshot{}}
	view := &core.ServiceSnapshot{Service: s}
	for i := range s.Targets {
		t := s.Targets[i]
		// Unequal loads would place flows away from their primaries.
		t.Connections = 1 << 30
		r.addrs[t.ID] = t.Addr
		view.Current.IDs = append(view.Current.IDs, t.ID)
		view.Current.Weights = append(view.Current.Weights, 1)
		snap.Targets[t.ID] = &core.TargetSnapshot{Target: t, Owner: owner, FencingToken: 1, AssignedOwner: owner}
	}
	slices.Sort(view.Current.IDs)
	snap.Services[s.ID] = view
	r.shard = traffic.New(traffic.Options{Self: "self", Source: 1, ShardCount: 1, Seed: 1})
	r.handle(core.SnapshotPublished{Snapshot: snap})
	if holder {
		for _, id := range view.Current.IDs {
			r.handle(core.TakeOver{Target: id, FencingToken: 1, FirstOwner: true})
		}
	}
	return r
}

// handle processes an input and lets a little time pass.
func (r *trafficRig) handle(in core.Input) []core.Action {
	r.now += time.Microsecond
	return r.shard.Handle(in, r.now, nil)
}

// packet sends a packet of a flow through the shard and reports whether a target or a peer got it.
func (r *trafficRig) packet(flow, id int) bool {
	return r.pass(core.ClientRequest{Request: core.Request{Flow: r.key(flow), ID: core.RequestID{Lo: uint64(id)},
		Class: core.ClassRead, Idempotent: true, Deadline: time.Second}})
}

// pass handles an input and what it leads to within the VM. Targets answer at once; the peer that
// holds targets answers callers itself.
func (r *trafficRig) pass(in core.Input) bool {
	sent := false
	for _, a := range r.handle(in) {
		switch a := a.(type) {
		case core.SendTarget:
			r.pass(core.TargetAnswer{From: a.Addr, Flow: a.Request.Flow, Token: a.Token, Status: core.AnswerOK})
			sent = true
		case core.SendPeer:
			sent = a.To == rigPeer || r.pass(core.PeerMessage{From: a.To, Msg: a.Msg}) || sent
		}
	}
	return sent
}

func (r *trafficRig) key(flow int) core.FlowKey {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(flow>>8)|10<<24)
	return core.NewFlowKey(netip.AddrPortFrom(netip.AddrFrom4(b), uint16(flow&0xff)+1024), r.service)
}

// openFlows sends the first packet of n new flows and reports how many went on.
func (r *trafficRig) openFlows(n int) (sent int) {
	for range n {
		if r.packet(r.flows, 1) {
			sent++
		}
		r.flows++
		r.tickEvery()
	}
	return sent
}

// knownPackets sends n packets of known flows.
func (r *trafficRig) knownPackets(n int) (sent int) {
	for i := range n {
		// The step is coprime to the number of flows, so that flows are visited in a mixed order.
		if r.packet(i*7919%r.flows, 2+i) {
			sent++
		}
		r.tickEvery()
	}
	return sent
}

// settle lets time pass without packets, so that only flows remain of the requests.
func (r *trafficRig) settle(d time.Duration) {
	for end := r.now + d; r.now < end; r.now += tickInterval {
		r.handle(core.Tick{})
	}
}

// tickEvery sends a tick when the interval has passed in virtual time.
func (r *trafficRig) tickEvery() {
	if r.now%tickInterval < 2*time.Microsecond {
		r.handle(core.Tick{})
	}
}

// timePackets returns microseconds per packet of a new and of a known flow.
func timePackets(r *trafficRig, opened, packets int) (first, known float64) {
	r.openFlows(opened)
	runtime.GC()
	first = perPacket(packets, r.openFlows)
	runtime.GC()
	known = perPacket(packets, r.knownPackets)
	return first, known
}

func perPacket(n int, run func(int) int) float64 {
	start := cpuTime()
	sent := run(n)
	used := cpuTime() - start
	if sent < n*99/100 {
		panic("capacity: the shard refused packets")
	}
	return float64(used) / float64(time.Microsecond) / float64(n)
}

func measurePackets(uint64) []*Series {
	const packets = 50_000
	var all []*Series
	for _, role := range []struct {
		holder bool
		name   string
	}{{false, "ingress"}, {true, "ingress and holder"}} {
		first := newSeries("", "first packet of a flow, "+role.name, "µs", "flow open")
		known := newSeries("", "packet of a known flow, "+role.name, "µs", "flow open")
		for _, flows := range []int{50_000, 150_000, 300_000} {
			a, b := timePackets(newTrafficRig(14, role.holder), flows, packets)
			first.add(float64(flows), a)
			known.add(float64(flows), b)
		}
		byTargets := newSeries("", "first packet of a flow, "+role.name, "µs", "target of the service")
		for _, n := range []int{3, 14, 56, 224} {
			a, _ := timePackets(newTrafficRig(n, role.holder), packets, packets)
			byTargets.add(float64(n), a)
		}
		all = append(all, first, known, byTargets)
	}
	return all
}
