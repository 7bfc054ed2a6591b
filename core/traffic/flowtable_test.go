package traffic

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"pgregory.net/rapid"
)

// Guards against flows that the table loses or mixes up when others are removed.
func TestFlowTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newFlowTable(rapid.Uint64().Draw(t, "seed"))
		want := map[core.FlowKey]core.TargetID{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			k := testFlow(rapid.IntRange(0, 150).Draw(t, "flow"))
			if rapid.IntRange(0, 2).Draw(t, "op") == 0 {
				table.remove(&k)
				delete(want, k)
				continue
			}
			id := core.TargetID(rapid.Uint32Range(1, 9).Draw(t, "target"))
			table.put(k, id, time.Second)
			want[k] = id
		}
		if table.count != len(want) {
			t.Fatalf("table has %d flows, want %d", table.count, len(want))
		}
		for i := range 151 {
			k := testFlow(i)
			got := core.TargetID(0)
			if e := table.get(&k); e != nil {
				got = e.target
			}
			if got != want[k] {
				t.Fatalf("flow %d is on %d, want %d", i, got, want[k])
			}
		}
		seen := 0
		table.visitAll(func(*flowEntry) { seen++ })
		if seen != len(want) {
			t.Fatalf("visited %d flows, want %d", seen, len(want))
		}
	})
}

// Guards against idle flows that are never removed, active ones that are, and ticks that visit all
// flows.
func TestSweep(t *testing.T) {
	f := newCluster(t, 1, 1)
	s := f.vms["a"]
	for i := range 3 * sweepPerTick {
		k := testFlow(i)
		k.Port = uint16(i)
		s.ingressFlows.put(k, 1, f.now)
	}
	active := testFlow(1)
	active.Port = 1
	f.now += core.FlowIdleTimeout
	s.Route(active, f.now)
	f.tick(2 * time.Second)
	if s.ingressFlows.count != 1 || s.ingressFlows.get(&active) == nil {
		t.Errorf("%d flows are left, want only the active one", s.ingressFlows.count)
	}
	visited := 0
	s.ingressFlows.sweep(100, func(*flowEntry) { visited++ })
	if visited > 100 {
		t.Errorf("a sweep of 100 slots visited %d entries", visited)
	}
}
