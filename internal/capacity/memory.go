package capacity

import (
	"net/netip"
	"runtime"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

func newMembers(n int) []core.Member {
	list := make([]core.Member, 0, n)
	for i := range n {
		list = append(list, core.Member{Name: VMName(i), Incarnation: 1, Addr: peerAddr(i), Joined: 1})
	}
	return list
}

func peerAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(i >> 8), byte(i)}), 7000)
}

func measureMemory(uint64) []*Series {
	return append([]*Series{memoryOfFlows(true), memoryOfFlows(false), memoryOfTargets(),
		memoryOfVMs(), memoryOfMembers()}, memoryOfConfig()...)
}

// memoryOfFlows measures the memory of flows on a VM that receives their packets and owns their targets, or
// only receives the packets.
func memoryOfFlows(ownsTargets bool) *Series {
	s := newSeries("", "memory of flows at a VM that only receives them", "B", "flow")
	if ownsTargets {
		s.Cost = "memory of flows at a VM that receives and holds them"
	}
	for _, n := range []int{100_000, 200_000, 300_000} {
		h := newShardHarness(14, ownsTargets)
		before := liveHeap()
		h.openFlows(n)
		h.settle(2 * core.RequestLifetime)
		s.add(float64(n), liveHeap()-before)
		runtime.KeepAlive(h)
	}
	return s
}

// memoryOfTargets measures the memory of the control state and the snapshot of a VM in a zone of 8 VMs, by
// number of targets.
func memoryOfTargets() *Series {
	s := newSeries("", "memory of targets in control, 8 members", "B", "target")
	for _, n := range []int{300, 1500, 3000} {
		s.add(float64(n), memoryOfInstall(n, smallClusterVMs))
	}
	return s
}

// memoryOfMembers measures the memory that grows with the product of targets and members.
func memoryOfMembers() *Series {
	s := newSeries("", "memory of 1000 targets in control", "B", "member of the zone")
	for _, n := range []int{8, 50, 200} {
		s.add(float64(n), memoryOfInstall(1000, n))
	}
	return s
}

func memoryOfInstall(targets, members int) float64 {
	cfg := newConfig(1, ClusterOptions{Zones: 1, Services: (targets + 2) / 3, Targets: targets})
	c := newControl(map[core.Generation]*core.Config{1: cfg}, members)
	before := liveHeap()
	out := c.Handle(core.ManifestRead{Generation: 1, Text: cfg.Text}, time.Hour, nil)
	used := liveHeap() - before
	runtime.KeepAlive(out)
	runtime.KeepAlive(c)
	runtime.KeepAlive(cfg)
	return used
}

// memoryOfVMs measures the memory of peers that have sent a heartbeat with the epochs of 25 zones.
func memoryOfVMs() *Series {
	s := newSeries("", "memory of VMs in control, no targets", "B", "VM known")
	for _, n := range []int{500, 2000, 5000} {
		c := newControl(nil, 0)
		before := liveHeap()
		c.Handle(core.MembersRead{Zone: zoneName(0), Epoch: 1, Members: newMembers(n)}, time.Hour, nil)
		for i := range n {
			c.Handle(core.PeerMessage{From: VMName(i), Msg: newHeartbeat(i)}, time.Hour, nil)
		}
		s.add(float64(n), liveHeap()-before)
		runtime.KeepAlive(c)
	}
	return s
}

func newHeartbeat(i int) *core.Heartbeat {
	const zones = 25
	h := &core.Heartbeat{Zone: zoneName(0), Addr: peerAddr(i), Incarnation: 1, Seq: 1, State: core.VMLive,
		ConfirmAge: core.NoConfirm}
	for z := range zones {
		h.Epochs = append(h.Epochs, core.ZoneEpoch{Zone: zoneName(z), Epoch: 1})
	}
	return h
}

// memoryOfConfig measures the memory of a decoded configuration and the memory allocated to decode it.
func memoryOfConfig() []*Series {
	kept := newSeries("", "memory of a decoded configuration with its text", "B", "KB of text")
	allocated := newSeries("", "memory allocated while decoding", "B", "KB of text")
	for _, kb := range []int{64, 256, 512, 1000} {
		before := liveHeap()
		text, _ := ManifestText(kb * kilobyte)
		var m0, m1 runtime.MemStats
		runtime.ReadMemStats(&m0)
		cfg := mustDecode(1, text)
		runtime.ReadMemStats(&m1)
		x := float64(len(text)) / kilobyte
		kept.add(x, liveHeap()-before)
		allocated.add(x, float64(m1.TotalAlloc-m0.TotalAlloc))
		runtime.KeepAlive(cfg)
	}
	return []*Series{kept, allocated}
}
