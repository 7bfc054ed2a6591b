package capacity

import (
	"log/slog"
	"net/netip"
	"runtime"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/link"
)

// linkPeriod is the measuring period in real time. Every idle link is pinged several times in it.
const linkPeriod = 5 * time.Second

// measureLinks measures real links on loopback on which nothing is sent. Most links of a large cluster are idle
// in this way, as a VM sends heartbeats to 8 peers only, but has links to all peers that it has found.
func measureLinks(uint64) []*Series {
	sent := newSeries("", "bytes sent by one end of idle links, without TLS", "B/s", "link")
	cpu := newSeries("", "CPU of one end of idle links", "ms/s", "link")
	memory := newSeries("", "heap and stacks of one end", "B", "link")
	goroutines := newSeries("", "goroutines of one end", "goroutines", "link")
	for _, n := range []int{20, 60, 120} {
		m := runLinks(n)
		sent.add(float64(n), m.bytes)
		cpu.add(float64(n), m.cpu)
		memory.add(float64(n), m.memory)
		goroutines.add(float64(n), m.goroutines)
	}
	return []*Series{sent, cpu, memory, goroutines}
}

// linkCost is the cost of one end of all links of a measurement.
type linkCost struct{ bytes, cpu, memory, goroutines float64 }

// runLinks connects one VM with n others. Both ends of each link are in this process, so the costs of the
// process are divided by 2.
func runLinks(n int) linkCost {
	hub := startLinks("hub")
	defer hub.Close()
	peers := make([]*link.Manager, n)
	for i := range peers {
		peers[i] = startLinks(VMName(i))
		defer peers[i].Close()
	}
	memory, goroutines := heapAndStacks(), runtime.NumGoroutine()
	for i, p := range peers {
		hub.Dial(VMName(i), p.Addr())
	}
	for limit := time.Now().Add(linkPeriod); hub.Stats().Links < n; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			panic("capacity: links were not up in time")
		}
	}
	time.Sleep(2 * time.Second)
	before, start := hub.Stats().WireSent, cpuTime()
	time.Sleep(linkPeriod)
	s := linkPeriod.Seconds()
	return linkCost{
		bytes:      float64(hub.Stats().WireSent-before) / s,
		cpu:        float64(cpuTime()-start) / float64(time.Millisecond) / s / 2,
		memory:     (heapAndStacks() - memory) / 2,
		goroutines: float64(runtime.NumGoroutine()-goroutines) / 2,
	}
}

func startLinks(name core.VMName) *link.Manager {
	m, err := link.Start(link.Config{Name: name, Zone: zoneName(0), Incarnation: 1,
		Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: slog.New(slog.DiscardHandler),
		OnMessage: func(core.PeerMessage) {}, OnLink: func(core.LinkEvent) {}})
	mustSucceed(err)
	return m
}

func heapAndStacks() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
