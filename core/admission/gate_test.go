package admission

import (
	"math"
	"testing"
	"time"
)

const gateTime = time.Minute

func testGate() *Gate {
	return NewGate(Policy{
		Shares:       []Share{{"a", 1, 0.5}, {"a", 2, 0.3}, {"b", 2, 0.25}},
		Reservations: []Reservation{{"a", 0.2}, {"c", 0.3}},
	}, gateTime)
}

// Guards against limits on flows that the policy doesn't name, and against the limits of another service or priority.
func TestGateAdmits(t *testing.T) {
	g := testGate()
	for _, c := range []struct {
		service  string
		priority int
		draw     float64
		want     bool
	}{
		{"a", 0, 0.999, true}, {"a", 1, 0.499, true}, {"a", 1, 0.5, false}, {"a", 2, 0.2999, true}, {"a", 2, 0.3, false},
		{"a", 3, 0.999, true}, {"b", 1, 0.999, true}, {"b", 2, 0.3, false}, {"c", 2, 0.999, true}, {"d", 2, 0.999, true},
		{"a", 2, math.NaN(), true},
	} {
		if got := g.Admits(c.service, c.priority, c.draw, gateTime); got != c.want {
			t.Errorf("%s, priority %d, draw %v: admitted %v", c.service, c.priority, c.draw, got)
		}
	}
	for service, want := range map[string]float64{"a": 0.2, "b": 0, "c": 0.3, "d": 0} {
		if got := g.ReservedFraction(service, gateTime); got != want {
			t.Errorf("reserved fraction of %s is %v", service, got)
		}
	}
}

// Guards against VMs that keep refusing flows after they lost their reader, against reservations that are lost with it, and
// against a gate from far in the future that never expires.
func TestGateExpires(t *testing.T) {
	g := testGate()
	for _, c := range []struct {
		age      time.Duration
		admits   bool
		fraction float64
	}{
		{0, false, 0.2}, {2 * time.Second, false, 0.2}, {2*time.Second + 1, true, 0.2}, {10 * time.Second, true, 0.2},
		{10*time.Second + 1, true, 0}, {time.Hour, true, 0}, {-10 * time.Millisecond, false, 0.2}, {-time.Hour, true, 0},
		{math.MaxInt64 - gateTime, true, 0}, {math.MinInt64, true, 0},
	} {
		now := gateTime + c.age
		if got := g.Admits("a", 2, 0.9, now); got != c.admits {
			t.Errorf("age %v: admitted %v", c.age, got)
		}
		if got := g.ReservedFraction("a", now); got != c.fraction {
			t.Errorf("age %v: reserved %v", c.age, got)
		}
	}
	var none *Gate
	if !none.Admits("a", 2, 0.9, 0) || none.ReservedFraction("a", 0) != 0 || none.Malformed() != 0 {
		t.Error("a nil gate limits flows")
	}
}

// Guards against absurd entries taking effect, invalidating other entries, or starving a route.
func TestGateIgnoresAbsurdEntries(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	var p Policy
	for _, v := range []float64{nan, inf, -inf, -0.1, 1.1} {
		p.Shares = append(p.Shares, Share{"a", 1, v})
		p.Reservations = append(p.Reservations, Reservation{"a", v})
	}
	p.Shares = append(p.Shares, Share{"a", 1, 0.5}, Share{"a", 1, 0.2}, Share{"a", 2, 0})
	p.Reservations = append(p.Reservations, Reservation{"a", 0.2}, Reservation{"a", 0.4})
	g := NewGate(p, gateTime)
	if g.Malformed() != 12 {
		t.Errorf("%d malformed entries, want 12", g.Malformed())
	}
	if !g.Admits("a", 1, 0.4, gateTime) || g.Admits("a", 1, 0.6, gateTime) || g.ReservedFraction("a", gateTime) != 0.2 {
		t.Error("the valid entries don't hold")
	}
	if !g.Admits("a", 2, floorShare-0.01, gateTime) {
		t.Error("a share of 0 starves its route")
	}
}

// Guards against allocations on the packet path.
func TestGateDoesNotAllocate(t *testing.T) {
	g := testGate()
	n := testing.AllocsPerRun(100, func() {
		if g.Admits("a", 2, 0.9, gateTime) || Reserved(17, g.ReservedFraction("d", gateTime)) {
			t.Error("admitted, or reserved without a reservation")
		}
	})
	if n != 0 {
		t.Errorf("%v allocations per new flow", n)
	}
}

func BenchmarkGate(b *testing.B) {
	g := testGate()
	b.ReportAllocs()
	for b.Loop() {
		g.Admits("a", 2, 0.9, gateTime)
	}
}
