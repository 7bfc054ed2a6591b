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
	// microRounds is the number of pairs of benchmarks. The figure is the median of their ratios, as other
	// work on the machine slows some runs down.
	microRounds = 5
	microSelf   = core.VMName("vm-1")
)

// microFigures measures the time and allocations of routing an established flow, and the memory per flow.
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
	mapPerFlow := mapBytes(keys)
	const mapName = "bare map"
	return []Figure{
		atMost("route-time", "times a map look-up", 3, routed.ratio()).withBaseline(mapName, 1).
			withNote(fmt.Sprintf("median of %d pairs; %.1f ns, map %.1f ns, at %d flows", microRounds,
				routed.route, routed.mapLookup, microFlows)),
		atMost("route-allocations", "allocs", 0, routed.allocs).withBaseline(mapName, 0),
		atMost("flow-state", "B", 128, plain.perFlow).withBaseline(mapName, mapPerFlow).
			withNote("ingress flow table entry and placement on one VM, after all requests have ended"),
		unbounded("flow-state-with-feed", "B", feeds.perFlow).withBaseline(mapName, mapPerFlow).
			withNote("the same, with a live feed per flow"),
	}, nil
}

// stateTable compares the memory per flow of the variants.
func stateTable(*Runner) ([]Comparison, error) {
	keys := microKeys()
	own, err := newMicroVM(keys, false)
	if err != nil {
		return nil, err
	}
	mapPerFlow := mapBytes(keys)
	return []Comparison{{Topic: topicFlows, Measure: "state per flow on a VM that has 300000 flows", Unit: "B",
		Results: []Result{{Mangoweir.Name, own.perFlow}, {HashAlone.Name, 0}, {TablePerVM.Name, mapPerFlow}, {HomeVM.Name, mapPerFlow}}}}, nil
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

// microVM is the traffic shard of a VM that owns all targets and has placed all flows.
type microVM struct {
	shard   *traffic.Shard
	now     time.Duration
	perFlow float64
	queue   []core.Input
}

// newMicroVM returns a VM that has served a request of each flow, with its heap per flow. The requests
// subscribe to a live feed when feeds is true.
func newMicroVM(keys []core.FlowKey, feeds bool) (*microVM, error) {
	v := &microVM{now: time.Hour, shard: traffic.New(traffic.Options{Self: microSelf, Source: 1, ShardCount: 1})}
	snap := microSnapshot()
	v.handle(core.SnapshotPublished{Snapshot: snap})
	for id := range snap.Targets {
		v.handle(core.TakeOver{Target: id, FencingToken: 1, FirstOwner: true})
	}
	start := liveHeap()
	// This gives 4000 new flows a second, as a tick is 50 ms.
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
		if _, owner, ok := v.shard.Route(k, v.now); !ok || owner != microSelf {
			return nil, errors.New("the shard does not route a flow to itself after its request")
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

// microSnapshot returns a snapshot in which one VM owns all targets.
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

// handle processes an input and all inputs that result from it. Targets answer at once.
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

// liveHeap returns the size of the heap after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// mapBytes returns the heap per flow of a plain map from flow to target.
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

// routeTimes holds the nanoseconds per call of Route and per map look-up in one pair of benchmarks, and the
// allocations per call of Route.
type routeTimes struct{ route, mapLookup, allocs float64 }

func (t routeTimes) ratio() float64 { return t.route / t.mapLookup }

// medianPair returns the pair with the median ratio, but with the highest number of allocations of any pair.
func medianPair(pairs []routeTimes) routeTimes {
	slices.SortFunc(pairs, func(a, b routeTimes) int { return cmp.Compare(a.ratio(), b.ratio()) })
	m := pairs[len(pairs)/2]
	for _, p := range pairs {
		m.allocs = max(m.allocs, p.allocs)
	}
	return m
}

// measureRoute compares Route with a look-up in a plain map, for flows in random order.
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
		routeResult := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for n := range b.N {
				if _, _, ok := v.shard.Route(order[n%microFlows], v.now); !ok {
					b.Fatal("Route found no target for a flow")
				}
			}
		})
		mapResult := testing.Benchmark(func(b *testing.B) {
			sum := core.TargetID(0)
			for n := range b.N {
				sum += m[order[n%microFlows]]
			}
			runtime.KeepAlive(sum)
		})
		if routeResult.N == 0 || mapResult.N == 0 {
			return routeTimes{}, errors.New("the benchmark of Route did not run")
		}
		pairs = append(pairs, routeTimes{nsPerOp(routeResult), nsPerOp(mapResult), float64(routeResult.AllocsPerOp())})
	}
	return medianPair(pairs), nil
}

func nsPerOp(r testing.BenchmarkResult) float64 { return float64(r.T.Nanoseconds()) / float64(r.N) }
