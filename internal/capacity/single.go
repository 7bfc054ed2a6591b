package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/control"
	"github.com/mangoweir/mangoweir/internal/platform"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// measureSingle measures one Control that has received one heartbeat of each peer. It reaches sizes that a
// cluster in one process does not.
func measureSingle(uint64) []*Series {
	ticks := newSeries("", "CPU of ticks, no targets", "ms/s", "VM known")
	for _, n := range []int{500, 2000, 5000} {
		ticks.add(float64(n), tickCost(controlWithPeers(0, 0, n)))
	}
	byTarget := newSeries("", "CPU of ticks, 8 members", "ms/s", "target")
	change := newSeries("", "CPU of a change of one peer's holdings, 8 members", "ms", "target")
	for _, n := range []int{300, 1500, 3000} {
		c := controlWithPeers(n, smallClusterVMs, 0)
		byTarget.add(float64(n), tickCost(c))
		change.add(float64(n), changeCost(c))
	}
	byMember := newSeries("", "CPU of a change of one peer's holdings, 300 targets", "ms", "member of the zone")
	for _, n := range []int{8, 50, 200, 600} {
		byMember.add(float64(n), changeCost(controlWithPeers(300, n, 0)))
	}
	list := newSeries("", "CPU of a read of the platform's list, 300 targets", "ms", "VM listed")
	for _, n := range []int{500, 2000, 5000} {
		list.add(float64(n), vmListCost(n))
	}
	return []*Series{ticks, byTarget, change, byMember, list}
}

// controlWithPeers returns a Control with the given numbers of targets, members of its zone and VMs of another
// zone.
func controlWithPeers(targets, members, others int) *control.Control {
	cfg := newConfig(1, ClusterOptions{Zones: 1, Services: (targets + 2) / 3, Targets: targets})
	c := newControl(map[core.Generation]*core.Config{1: cfg}, members)
	if others > 0 {
		c.Handle(core.MembersRead{Zone: zoneName(1), Epoch: 1, Members: newMembers(others)}, time.Hour, nil)
	}
	for i := range max(members, others) {
		c.Handle(core.PeerMessage{From: VMName(i), Msg: newHeartbeat(i)}, time.Hour, nil)
	}
	c.Handle(core.ManifestRead{Generation: 1, Text: cfg.Text}, time.Hour, nil)
	return c
}

// tickCost returns the processor time of ticks in ms per virtual second. It runs for 1.5 s, which ends before
// peers become suspect.
func tickCost(c *control.Control) float64 {
	const duration = 1500 * time.Millisecond
	now := time.Hour
	return bestOf(1, func() {
		for range int(duration / tickInterval) {
			now += tickInterval
			c.Handle(core.Tick{}, now, nil)
		}
	}) / duration.Seconds()
}

// changeCost returns the processor time in ms of a heartbeat whose sender owns another target than before.
func changeCost(c *control.Control) float64 {
	const changes = 20
	var seq uint64 = 1
	now := time.Hour + time.Second/2
	return bestOf(3, func() {
		for range changes {
			seq++
			h := newHeartbeat(0)
			h.Seq = seq
			h.OwnedTargets = []core.OwnedTarget{{Target: core.TargetID(seq), FencingToken: 1}}
			c.Handle(core.PeerMessage{From: VMName(0), Msg: h}, now, nil)
		}
	}) / changes
}

func vmListCost(vms int) float64 {
	c := controlWithPeers(300, smallClusterVMs, 0)
	in := core.VMListRead{}
	for i := range vms {
		in.VMs = append(in.VMs, core.ListedVM{Name: VMName(i), Zone: zoneName(0), Addr: peerAddr(i)})
	}
	c.Handle(in, time.Hour, nil)
	return bestOf(3, func() { c.Handle(in, time.Hour, nil) })
}

// measureSizes measures the sizes of encoded messages and of values on the platform.
func measureSizes(uint64) []*Series {
	push := newSeries("", "MembersPush", "B", "member")
	value := newSeries("", "member list on the platform", "B", "member")
	status := newSeries("", "zone status on the platform", "B", "VM of the zone")
	for _, n := range []int{50, 200, 600} {
		members := newMembers(n)
		push.add(float64(n), messageSize(&core.MembersPush{Zone: zoneName(0), Epoch: 1, Members: members}))
		text, err := platform.EncodeMembers(members)
		mustSucceed(err)
		value.add(float64(n), float64(len(text)))
		vms := make([]core.VMStatus, n)
		for i := range vms {
			vms[i] = core.VMStatus{Name: VMName(i), Zone: zoneName(0), Generation: 1e6, State: core.VMLive, HeartbeatAgeMillis: 100}
		}
		text, err = platform.EncodeStatus(vms)
		mustSucceed(err)
		status.add(float64(n), float64(len(text)))
	}
	zones := newSeries("", "Heartbeat without holdings", "B", "zone")
	for _, n := range []int{3, 10, 25} {
		h := newHeartbeat(0)
		h.Epochs = h.Epochs[:n]
		zones.add(float64(n), messageSize(h))
	}
	ownedTargets := newSeries("", "Heartbeat with 25 zones", "B", "target held")
	for _, n := range []int{2, 5, 25} {
		h := newHeartbeat(0)
		for i := range n {
			h.OwnedTargets = append(h.OwnedTargets, core.OwnedTarget{Target: core.NewTargetID("s", fmt.Sprint(i), ""),
				FencingToken: 1000 << 16, Load: core.TargetLoad{Flows: 3500, InFlight: 4, Limit: 4}})
		}
		ownedTargets.add(float64(n), messageSize(h))
	}
	query := newSeries("", "FlowQuery to all peers", "B", "peer")
	for _, n := range []int{8, 200, 15_000} {
		query.add(float64(n), float64(n)*messageSize(&core.FlowQuery{Flow: newShardHarness(1, true).key(1)}))
	}
	chunk := newSeries("", "HandoverChunk without feeds", "B", "flow")
	for _, n := range []int{50, 200, 1000} {
		m := &core.HandoverChunk{Target: 1 << 30, FencingToken: 1000 << 16}
		for i := range n {
			flow := core.NewFlowKey(peerAddr(i), core.NewServiceID("s"))
			m.Flows = append(m.Flows, core.FlowState{Flow: flow, Target: 1 << 30, Idle: time.Minute})
		}
		chunk.add(float64(n), messageSize(m))
	}
	return []*Series{push, value, status, zones, ownedTargets, query, chunk}
}

func messageSize(m core.Message) float64 {
	data, err := wire.Encode(m, wire.MaxVersion)
	mustSucceed(err)
	return float64(len(data) + messageFraming)
}

func mustSucceed(err error) {
	if err != nil {
		panic("capacity: " + err.Error())
	}
}

// measureCollisions counts the pairs of targets with equal ids, as the mean over 50 sets of names.
func measureCollisions(uint64) []*Series {
	const sets = 50
	s := newSeries("", "pairs of targets with equal ids", "pairs", "target")
	for _, n := range []int{19_000, 38_000, 76_000} {
		pairs := 0
		for set := range sets {
			seen := make(map[core.TargetID]int, n)
			for i := range n {
				id := core.NewTargetID(fmt.Sprintf("service-%d", i/targetsPerService), fmt.Sprintf("target-%d", i), fmt.Sprint(set))
				pairs += seen[id]
				seen[id]++
			}
		}
		s.add(float64(n), float64(pairs)/sets)
	}
	runtime.GC()
	return []*Series{s}
}
