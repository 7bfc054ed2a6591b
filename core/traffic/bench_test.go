package traffic

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

const benchFlows = 300_000

// benchShard returns a shard with benchFlows flow table entries, and their keys in random order.
func benchShard(b testing.TB) (*Shard, []core.FlowKey) {
	f := newCluster(b, 1, 14)
	s := f.vms["a"]
	keys := benchKeys()
	for i, k := range keys {
		s.ingressFlows.put(k, core.TargetID(1+i%14), f.now)
	}
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	return s, keys
}

func benchKeys() []core.FlowKey {
	keys := make([]core.FlowKey, benchFlows)
	for i := range keys {
		keys[i] = testFlow(i)
		keys[i].Port = uint16(4000 + i>>16)
	}
	return keys
}

// BenchmarkRoute and BenchmarkMap compare the decision for a packet of an established flow with the
// simplest variant, a look-up in a bare map.
func BenchmarkRoute(b *testing.B) {
	s, keys := benchShard(b)
	now := time.Hour
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if _, _, ok := s.Route(keys[i%benchFlows], now); !ok {
			b.Fatal("flow is not known")
		}
	}
}

func BenchmarkMap(b *testing.B) {
	m := map[core.FlowKey]core.TargetID{}
	keys := benchKeys()
	for i, k := range keys {
		m[k] = core.TargetID(1 + i%14)
	}
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	b.ReportAllocs()
	b.ResetTimer()
	sum := core.TargetID(0)
	for i := range b.N {
		sum += m[keys[i%benchFlows]]
	}
	benchSum = sum
}

var benchSum core.TargetID

// heapAfter returns the heap in use after a garbage collection.
func heapAfter() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureFlowBytes measures the heap that the state of flows takes, as flow table entries of the
// ingress VM and as placements on the targets, for one VM that owns all targets.
func measureFlowBytes(t testing.TB) (ingress, both float64) {
	f := newCluster(t, 1, 14)
	s := f.vms["a"]
	keys := benchKeys()
	start := heapAfter()
	for i, k := range keys {
		s.ingressFlows.put(k, core.TargetID(1+i%14), f.now)
	}
	middle := heapAfter()
	for i, k := range keys {
		s.owned[core.TargetID(1+i%14)].setFlow(k, core.TargetID(1+i%14), f.now)
	}
	end := heapAfter()
	runtime.KeepAlive(s)
	runtime.KeepAlive(keys)
	return float64(middle-start) / benchFlows, float64(end-start) / benchFlows
}

// BenchmarkFlowBytes reports the heap per flow.
func BenchmarkFlowBytes(b *testing.B) {
	for range b.N {
		ingress, both := measureFlowBytes(b)
		b.ReportMetric(ingress, "note-B/flow")
		b.ReportMetric(both, "B/flow")
	}
}

// Guards against allocations for established flows and against state that grows beyond its bound.
func TestRouteCost(t *testing.T) {
	s, keys := benchShard(t)
	i := 0
	allocs := testing.AllocsPerRun(1000, func() {
		s.Route(keys[i], time.Hour)
		i++
	})
	if allocs != 0 {
		t.Errorf("Route allocates %v times", allocs)
	}
	if _, both := measureFlowBytes(t); both > 128 {
		t.Errorf("a flow takes %.1f bytes, more than 128", both)
	}
}
