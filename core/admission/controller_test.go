package admission

import (
	"math"
	"reflect"
	"testing"
	"time"
)

func testLoad(service string, rejected float64) Load {
	return Load{Service: service, Slowness: 2, Rejected: rejected, Slots: 80, UrgentSlots: 0, Targets: 40, Priorities: []int{0, 1, 2}}
}

// updates calls Update n times with the same loads and returns the last policy.
func updates(c *Controller, now *time.Duration, n int, loads ...Load) Policy {
	var p Policy
	for range n {
		*now += updateInterval
		p = c.Update(loads, *now)
	}
	return p
}

func shareOf(p Policy, service string, priority int) float64 {
	for _, s := range p.Shares {
		if s.Service == service && s.Priority == priority {
			return s.Admitted
		}
	}
	return 1
}

func fractionOf(p Policy, service string) float64 {
	for _, r := range p.Reservations {
		if r.Service == service {
			return r.Fraction
		}
	}
	return 0
}

// Guards against less urgent routes keeping their share while a less urgent one could still give way, against shares under the
// floor, and against limits on the most urgent route.
func TestLeastUrgentGivesWayFirst(t *testing.T) {
	var c Controller
	var now time.Duration
	for i := range 40 {
		p := updates(&c, &now, 1, testLoad("a", 0.3))
		if s := shareOf(p, "a", 0); s != 1 {
			t.Fatalf("call %d: share of the most urgent priority is %v", i, s)
		}
		if shareOf(p, "a", 1) < 1 && shareOf(p, "a", 2) != floorShare {
			t.Fatalf("call %d: priority 1 gave way before priority 2 was at its floor: %+v", i, p)
		}
	}
	p := c.Update([]Load{testLoad("a", 0.3)}, now)
	if shareOf(p, "a", 1) != floorShare || shareOf(p, "a", 2) != floorShare {
		t.Fatalf("shares after 10 s of rejections: %+v, want floors", p.Shares)
	}
}

// Guards against shares that fall by more than a half in a call, or not faster when more is rejected.
func TestShareFallsWithRejections(t *testing.T) {
	last := 1.0
	for _, rejected := range []float64{0.03, 0.1, 0.2, 0.5, 1} {
		var c Controller
		var now time.Duration
		share := shareOf(updates(&c, &now, 1, testLoad("a", rejected)), "a", 2)
		if share < 1-maxCut || share > last || share == 1 {
			t.Errorf("%v rejected: share %v after one call, before %v", rejected, share, last)
		}
		last = share
	}
}

// Guards against a second call at the same time, or a time that goes back, counting as another interval.
func TestTimeStandsStill(t *testing.T) {
	var c Controller
	first := c.Update([]Load{testLoad("a", 0.3)}, time.Second)
	for _, now := range []time.Duration{time.Second, 0, -time.Hour} {
		if p := c.Update([]Load{testLoad("a", 0.3)}, now); !reflect.DeepEqual(p, first) {
			t.Errorf("at %v: %+v, want %+v", now, p, first)
		}
	}
}

// Guards against refusing flows while capacity is free, and against raising a less urgent share before a more urgent one.
func TestSharesRiseWithinTwoSeconds(t *testing.T) {
	var c Controller
	var now time.Duration
	updates(&c, &now, 40, testLoad("a", 0.3))
	if p := updates(&c, &now, 4, testLoad("a", 0.01)); shareOf(p, "a", 1) != floorShare {
		t.Fatalf("shares changed between the thresholds: %+v", p)
	}
	for end := now + 2*time.Second; now < end; {
		p := updates(&c, &now, 1, testLoad("a", 0.004))
		if shareOf(p, "a", 2) > floorShare && shareOf(p, "a", 1) < 1 {
			t.Fatalf("priority 2 rose before priority 1 was at 1: %+v", p)
		}
	}
	if p := c.Update([]Load{testLoad("a", 0)}, now); len(p.Shares) != 0 {
		t.Fatalf("2 s after the last rejection: %+v", p)
	}
}

// Guards against a service without reports keeping its limits forever, and against state that is never freed.
func TestServiceWithoutLoad(t *testing.T) {
	var c Controller
	var now time.Duration
	load := testLoad("a", 0.3)
	load.UrgentSlots = 20
	updates(&c, &now, 40, load)
	if p := updates(&c, &now, 8); shareOf(p, "a", 2) != floorShare {
		t.Fatalf("share changed while the last load was valid: %+v", p)
	}
	if p := updates(&c, &now, 9); len(p.Shares) != 0 || len(p.Reservations) != 1 {
		t.Fatalf("4 s after the last load: %+v", p)
	}
	updates(&c, &now, 4*120)
	if len(c.services) != 0 {
		t.Fatalf("state of %d services after 2 min without loads", len(c.services))
	}
}

// Guards against the shortage of one service limiting the flows of another one.
func TestServicesAreIndependent(t *testing.T) {
	var c, alone Controller
	var now, nowAlone time.Duration
	for i := range 30 {
		b := testLoad("b", float64(i%7)/50)
		b.UrgentSlots = float64(i)
		p := updates(&c, &now, 1, testLoad("a", 0.5), b)
		want := updates(&alone, &nowAlone, 1, b)
		if shareOf(p, "b", 2) != shareOf(want, "b", 2) || fractionOf(p, "b") != fractionOf(want, "b") {
			t.Fatalf("call %d: %+v, want for b %+v", i, p, want)
		}
	}
	quiet := testLoad("b", 0)
	if p := updates(&c, &now, 8, testLoad("a", 0.5), quiet); shareOf(p, "b", 1) != 1 || shareOf(p, "a", 1) != floorShare {
		t.Fatalf("a short, b not: %+v", p)
	}
}

// Guards against limits and reservations for services that have nothing to prefer.
func TestSinglePriority(t *testing.T) {
	var c Controller
	var now time.Duration
	for _, priorities := range [][]int{nil, {3}, {3, 3}} {
		load := testLoad("a", 1)
		load.UrgentSlots, load.Priorities = 80, priorities
		if p := updates(&c, &now, 8, load); !reflect.DeepEqual(p, Policy{}) {
			t.Errorf("priorities %v: %+v", priorities, p)
		}
	}
}

// Guards against shares that stay with priorities that a configuration removed or made the most urgent.
func TestPrioritiesChange(t *testing.T) {
	var c Controller
	var now time.Duration
	load := testLoad("a", 0.5)
	updates(&c, &now, 20, load)
	load.Priorities, load.Rejected = []int{1, 2}, 0.01
	if p := updates(&c, &now, 1, load); shareOf(p, "a", 1) != 1 || shareOf(p, "a", 2) != floorShare {
		t.Fatalf("after priority 0 was removed: %+v", p)
	}
	load.Priorities = []int{1, 3}
	if p := updates(&c, &now, 1, load); len(p.Shares) != 0 {
		t.Fatalf("after priority 2 was replaced: %+v", p)
	}
}

// Guards against absurd figures changing a decision or invalidating other loads, and against the order of priorities mattering.
func TestAbsurdLoads(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	absurd := []func(*Load){
		func(l *Load) { l.Rejected = nan },
		func(l *Load) { l.Rejected = inf },
		func(l *Load) { l.Rejected = -0.1 },
		func(l *Load) { l.Rejected = 1.01 },
		func(l *Load) { l.Slots = nan },
		func(l *Load) { l.Slots = inf },
		func(l *Load) { l.Slots = -1 },
		func(l *Load) { l.UrgentSlots = nan },
		func(l *Load) { l.UrgentSlots = inf },
		func(l *Load) { l.UrgentSlots = -1 },
		func(l *Load) { l.Targets = -1 },
		func(l *Load) { l.Service = "" },
	}
	var c, want Controller
	var now, nowWant time.Duration
	good, bad := testLoad("a", 0.1), testLoad("b", 0.1)
	good.UrgentSlots, bad.UrgentSlots = 10, 10
	good.Slowness = nan // for display only
	updates(&c, &now, 4, good, bad)
	updates(&want, &nowWant, 4, good, bad)
	for i, spoil := range absurd {
		spoiled := bad
		spoiled.UrgentSlots, spoiled.Rejected = 70, 0.9
		spoil(&spoiled)
		before := c.Malformed()
		p := updates(&c, &now, 1, spoiled, good, testLoad("a", 1)) // the second load of a service is ignored too
		w := updates(&want, &nowWant, 1, good)
		if !reflect.DeepEqual(p, w) || c.Malformed() != before+2 {
			t.Errorf("case %d: %+v, want %+v; %d malformed", i, p, w, c.Malformed()-before)
		}
		updates(&c, &now, 1, good, bad)
		updates(&want, &nowWant, 1, good, bad)
	}

	unsorted := testLoad("a", 0.3)
	unsorted.Priorities = []int{2, 0, 1, 2, 0}
	var u, sorted Controller
	now, nowWant = 0, 0
	for range 12 {
		p, w := updates(&u, &now, 1, unsorted), updates(&sorted, &nowWant, 1, testLoad("a", 0.3))
		if !reflect.DeepEqual(p, w) {
			t.Fatalf("unsorted priorities: %+v, want %+v", p, w)
		}
	}
	if !reflect.DeepEqual(unsorted.Priorities, []int{2, 0, 1, 2, 0}) {
		t.Error("Update changed the caller's priorities")
	}
	huge := Load{Service: "h", Rejected: 1, Slots: 5e-324, UrgentSlots: math.MaxFloat64, Targets: math.MaxInt, Priorities: []int{math.MinInt, math.MaxInt}}
	if f := fractionOf(updates(&u, &now, 1, huge), "h"); f != maxReserved {
		t.Errorf("huge load: fraction %v", f)
	}
}
