package admission

import (
	"math"
	"testing"
	"time"
)

// Guards against a reservation whose targets change with each call or with small changes of the load.
func TestReservationIsStable(t *testing.T) {
	var c Controller
	var now time.Duration
	load := testLoad("a", 0)
	load.UrgentSlots = 12
	first := fractionOf(updates(&c, &now, 1, load), "a")
	if want := reservedPerUrgent * 12 / 80; math.Abs(first-want) > 1e-9 {
		t.Fatalf("fraction %v, want %v at once", first, want)
	}
	for i := range 400 {
		load.UrgentSlots = 12 + math.Sin(float64(i))
		if f := fractionOf(updates(&c, &now, 1, load), "a"); f != first {
			t.Fatalf("call %d: fraction %v, before %v, after a change of the load by less than a tenth", i, f, first)
		}
	}
}

// Guards against a reservation that is gone before the next burst, that never falls, or that passes the limit.
func TestReservationRisesAtOnceAndFallsSlowly(t *testing.T) {
	var c Controller
	var now time.Duration
	load := testLoad("a", 0)
	load.UrgentSlots = 70
	if f := fractionOf(updates(&c, &now, 1, load), "a"); f != maxReserved {
		t.Fatalf("fraction %v, want %v", f, maxReserved)
	}
	load.UrgentSlots = 0
	last, changes := maxReserved, 0
	for range 40 {
		f := fractionOf(updates(&c, &now, 1, load), "a")
		if f != last && math.Abs(f-last) < reservationStep {
			t.Fatalf("change from %v to %v is smaller than a step", last, f)
		}
		if f != last {
			changes++
		}
		last = f
	}
	if math.Abs(last-maxReserved/2) > reservationStep || changes > 13 {
		t.Fatalf("after a half-life: fraction %v with %d changes", last, changes)
	}
	if f := fractionOf(updates(&c, &now, 4*60, load), "a"); f != 0 {
		t.Fatalf("fraction %v 70 s after the last urgent request", f)
	}
}

// Guards against a single target being too large a part of a small service, and against division by zero.
func TestNoReservation(t *testing.T) {
	for _, load := range []Load{
		{Service: "a", Slots: 18, UrgentSlots: 9, Targets: 9, Priorities: []int{0, 1}},
		{Service: "a", Slots: 0, UrgentSlots: 9, Targets: 40, Priorities: []int{0, 1}},
		{Service: "a", Slots: 80, UrgentSlots: 0.1, Targets: 40, Priorities: []int{0, 1}},
	} {
		var c Controller
		var now time.Duration
		// The initial reservation ends with its half-life where it is not needed.
		calls := 4 * 60
		if load.Targets < MinReservedTargets {
			calls = 4
		}
		if p := updates(&c, &now, calls, load); len(p.Reservations) != 0 || c.Malformed() != 0 {
			t.Errorf("%+v: %+v", load, p)
		}
	}
}

// Guards against VMs that disagree on reserved targets after a change of the fraction: a larger fraction has to contain the
// smaller one, and the part has to be the fraction for consecutive tokens too.
func TestReservedIsMonotonic(t *testing.T) {
	const targets = 10000
	for token := range uint32(targets) {
		member := false
		for _, fraction := range []float64{0, 0.05, 0.1, 0.2, 0.5, 1} {
			now := Reserved(token, fraction)
			if member && !now {
				t.Fatalf("target %d left the reservation when it grew to %v", token, fraction)
			}
			member = now
		}
		if Reserved(token, 0) || !Reserved(token, 1) || Reserved(token, math.NaN()) || Reserved(token, -1) {
			t.Fatalf("target %d: wrong at a limit", token)
		}
	}
	for _, fraction := range []float64{0.05, 0.1, 0.2, 0.5} {
		for name, token := range map[string]func(i int) uint32{
			"consecutive": func(i int) uint32 { return uint32(i) },
			"high bits":   func(i int) uint32 { return uint32(i) << 16 },
		} {
			n := 0
			for i := range targets {
				if Reserved(token(i), fraction) {
					n++
				}
			}
			// Four standard deviations of a binomial distribution.
			if d := math.Abs(float64(n) - targets*fraction); d > 4*math.Sqrt(targets*fraction*(1-fraction)) {
				t.Errorf("%s tokens, fraction %v: %d of %d reserved", name, fraction, n, targets)
			}
		}
	}
}
