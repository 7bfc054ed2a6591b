package bench

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/traffic"
)

const (
	microFlows   = 300_000
	microTargets = 14
	microService = core.ServiceID(7)
	// microRounds is the number of pairs of benchmarks; the median of their ratios counts, as other
	// work on the machine slows single runs down.
	microRounds = 5
	microSelf   = core.VMName("vm-1")
)

// microFigures measures the decision for an established flow and the state per flow.
func microFigures(*Runner) ([]Figure, error) {
	keys := microKeys()
	routed, err := measureRoute(keys)
	if err != nil {
		return nil, err
	}
	plain, err := newMicroVM(keys, false)
	if err != nil {
		return nil, err
	}
	feeds, err := newMicroVM(keys, true)
	if err != nil {
		return nil, err
	}
	table := mapBytes(keys)
	const mapName = "bare map"
	return []Figure{
		atMost("route-time", "times a map look-up", 3, routed.ratio()).against(mapName, 1).
			noted(fmt.Sprintf("median of %d pairs; %.1f ns, map %.1f ns, at %d flows", microRounds,
				routed.route, routed.table, microFlows)),
		atMost("route-allocations", "allocs", 0, routed.allocs).against(mapName, 0),
		atMost("flow-state", "B", 128, plain.perFlow).against(mapName, table).
			noted("ingress note and placement on one VM, after all requests have ended"),
		stated("flow-state-with-feed", "B", feeds.perFlow).against(mapName, table).
			noted("the same, with a live feed per flow"),
	}, nil
}

// stateTable compares the state per flow of the variants.
func stateTable(*Runner) ([]Comparison, error) {
	keys := microKeys()
	own, err := newMicroVM(keys, false)
	if err != nil {
		return nil, err
	}
	table := mapBytes(keys)
	return []Comparison{{Topic: topicFlows, Measure: "state per flow on a VM that has 300000 flows", Unit: "B",
		Results: []Result{{Mangoweir.Name, own.perFlow}, {HashAlone.Name, 0}, {TablePerVM.Name, table}, {HomeVM.Name, table}}}}, nil
}

// microKeys returns distinct flows.
func microKeys() []core.FlowKey {
	keys := make([]core.FlowKey, microFlows)
	for i := range keys {
		var ip [4]byte
		binary.BigEndian.PutUint32(ip[:], 0x0a000000+uint32(i))
		keys[i] = core.NewFlowKey(netip.AddrPortFrom(netip.AddrFrom4(ip), 4000), microService)
	}
	return keys
}

// microVM is a traffic shard that holds all targets and knows all flows.
type microVM struct {
	shard   *traffic.Shard
	now     time.Duration
	perFlow float64
	queue   []core.Input
}

// newMicroVM returns a shard that has served a request of each flow, and its heap per flow.
func newMicroVM(keys []core.FlowKey, feeds bool) (*microVM, error) {
	v := &microVM{now: time.Hour, shard: traffic.New(traffic.Options{Self: microSelf, Source: 1, ShardCount: 1})}
	snap := microSnapshot()
	v.handle(core.SnapshotPublished{Snapshot: snap})
	for id := range snap.Targets {
		v.handle(core.TakeOver{Target: id, FencingToken: 1, FirstOwner: true})
	}
	start := liveHeap()
	// 4000 new flows a second, with a tick every 50 ms.
	const perTick = 200
	for i, k := range keys {
		v.handle(core.ClientRequest{Request: microRequest(k, feeds)})
		if i%perTick == 0 {
			v.tick()
		}
	}
	for end := v.now + 2*core.RequestLifetime; v.now < end; {
		v.tick()
	}
	v.queue = nil
	v.perFlow = float64(liveHeap()-start) / float64(len(keys))
	for _, k := range keys {
		if _, holder, ok := v.shard.Route(k, v.now); !ok || holder != microSelf {
			return nil, errors.New("a flow is not known after its request")
		}
	}
	return v, nil
}

func microRequest(k core.FlowKey, feed bool) core.Request {
	r := core.Request{Flow: k, ID: core.RequestID{Lo: 1}, Class: core.ClassRead, Idempotent: true,
		Deadline: core.MaxDeadline}
	if feed {
		r.Class, r.Method, r.Payload = core.ClassFeed, core.MethodSubscribe, []byte("subscribe")
	}
	return r
}

// microSnapshot returns a view in which one VM holds all targets.
func microSnapshot() *core.Snapshot {
	service := core.Service{ID: microService, Contract: core.Contract{ColdLimit: 1,
		Ramp: time.Second, DefaultDeadline: 5 * time.Second}}
	snap := &core.Snapshot{Self: microSelf, Incarnation: 1, NewestGeneration: 1,
		AuthorityUntil: 1000 * time.Hour, Targets: map[core.TargetID]*core.TargetSnapshot{}}
	var set core.TargetSet
	for i := range microTargets {
		t := core.Target{ID: core.TargetID(i + 1), Service: microService, Zone: "zone-a", Slots: 4,
			Connections: microFlows, Weight: 1, Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 3, 0, byte(i)}), 5683)}
		service.Targets = append(service.Targets, t)
		set.IDs = append(set.IDs, t.ID)
		set.Weights = append(set.Weights, t.Weight)
		snap.Targets[t.ID] = &core.TargetSnapshot{Target: t, Owner: microSelf, AssignedOwner: microSelf, FencingToken: 1}
	}
	snap.Config = &core.Config{Generation: 1, Zones: []core.Zone{{Name: "zone-a"}}, Services: []core.Service{service}}
	snap.Services = map[core.ServiceID]*core.ServiceSnapshot{microService: {Service: &snap.Config.Services[0], Current: set}}
	return snap
}

func (v *microVM) tick() {
	v.now += 50 * time.Millisecond
	v.handle(core.Tick{})
}

// handle processes an input and everything that follows from it; targets answer at once.
func (v *microVM) handle(in core.Input) {
	v.queue = append(v.queue[:0], in)
	for i := 0; i < len(v.queue); i++ {
		for _, a := range v.shard.Handle(v.queue[i], v.now, nil) {
			switch a := a.(type) {
			case core.SendPeer:
				v.queue = append(v.queue, core.PeerMessage{From: microSelf, Msg: a.Msg})
			case core.SendTarget:
				v.queue = append(v.queue, microAnswer(a))
			}
		}
	}
}

func microAnswer(a core.SendTarget) core.TargetAnswer {
	answer := core.TargetAnswer{From: a.Addr, Flow: a.Request.Flow, Token: a.Token}
	if a.Request.Method == core.MethodSubscribe {
		answer.Status = core.AnswerNotification
	}
	return answer
}

// liveHeap returns the heap in use after a collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// mapBytes returns the heap per flow of a bare map from flow to target.
func mapBytes(keys []core.FlowKey) float64 {
	start := liveHeap()
	m := bareMap(keys)
	end := liveHeap()
	runtime.KeepAlive(m)
	return float64(end-start) / float64(len(keys))
}

func bareMap(keys []core.FlowKey) map[core.FlowKey]core.TargetID {
	m := map[core.FlowKey]core.TargetID{}
	for i, k := range keys {
		m[k] = core.TargetID(1 + i%microTargets)
	}
	return m
}

// routeTimes are the nanoseconds per decision in one pair of benchmarks.
type routeTimes struct{ route, table, allocs float64 }

func (t routeTimes) ratio() float64 { return t.route / t.table }

// middle returns the pair with the median ratio, and the highest number of allocations of any pair.
func middle(pairs []routeTimes) routeTimes {
	slices.SortFunc(pairs, func(a, b routeTimes) int { return cmp.Compare(a.ratio(), b.ratio()) })
	m := pairs[len(pairs)/2]
	for _, p := range pairs {
		m.allocs = max(m.allocs, p.allocs)
	}
	return m
}

// measureRoute compares Route with a look-up in a bare map, for flows in random order.
func measureRoute(keys []core.FlowKey) (routeTimes, error) {
	v, err := newMicroVM(keys, false)
	if err != nil {
		return routeTimes{}, err
	}
	m := bareMap(keys)
	order := append([]core.FlowKey(nil), keys...)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	var pairs []routeTimes
	for range microRounds {
		r := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for n := range b.N {
				if _, _, ok := v.shard.Route(order[n%microFlows], v.now); !ok {
					b.Fatal("flow is not known")
				}
			}
		})
		t := testing.Benchmark(func(b *testing.B) {
			sum := core.TargetID(0)
			for n := range b.N {
				sum += m[order[n%microFlows]]
			}
			runtime.KeepAlive(sum)
		})
		if r.N == 0 || t.N == 0 {
			return routeTimes{}, errors.New("the benchmark of Route did not run")
		}
		pairs = append(pairs, routeTimes{nsPerOp(r), nsPerOp(t), float64(r.AllocsPerOp())})
	}
	return middle(pairs), nil
}

func nsPerOp(r testing.BenchmarkResult) float64 { return float64(r.T.Nanoseconds()) / float64(r.N) }
