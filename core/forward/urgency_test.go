package forward

import (
	"fmt"
	"testing"

	"github.com/mangoweir/mangoweir/core/admission"
)

// Guards against flows of the most urgent route that are kept off the reserved targets because hardly any others are sent.
func TestMostUrgentRouteIsNotConfined(t *testing.T) {
	policy := admission.Policy{Reservations: []admission.Reservation{{Service: "desk", Fraction: 0.3}}}
	snapshot := loadedSnapshot(40, true)
	f := testForwarder(snapshot)
	f.SetLoad(nil, admission.NewGate(policy, 0))
	recordRequests(f, 0, 95, 0)
	recordRequests(f, 2, 5, 0)
	_, targets := placements(f, 2000, 0)
	reserved := 0
	for token, n := range targets {
		if admission.Reserved(uint32(token), 0.3) {
			reserved += n
		}
	}
	if reserved < 300 {
		t.Errorf("%d of 2,000 flows of the most urgent route go to the reserved targets, want 300 at least", reserved)
	}
}

// Guards against routes that become urgent because no more urgent one sends requests, although all others are more urgent or more
// urgent ones do send.
func TestUrgencyByRequests(t *testing.T) {
	for name, test := range map[string]struct {
		priority    int
		leastUrgent bool
		requests    map[int]int
		want        bool
	}{
		"the most urgent route, nearly alone":                {0, false, map[int]int{0: 95, 2: 5}, true},
		"a route whose more urgent ones send nothing":        {1, false, map[int]int{1: 95, 2: 5}, true},
		"a route beside a few more urgent requests":          {1, false, map[int]int{0: 5, 1: 95}, false},
		"the least urgent route, alone":                      {2, true, map[int]int{2: 100}, false},
		"the least urgent route with others":                 {2, true, map[int]int{0: 50, 2: 50}, false},
		"the least urgent route while there are no requests": {2, true, nil, false},
	} {
		f := testForwarder(loadedSnapshot(10, false))
		route := f.snapshot.Routes[deskAddr]
		route.Priority, route.LeastUrgent = test.priority, test.leastUrgent
		for priority, n := range test.requests {
			recordRequests(f, priority, n, 0)
		}
		if got := f.urgent(route, f.snapshot.service(), 0); got != test.want {
			t.Errorf("%s: urgent is %t", name, got)
		}
	}
}

// Guards against state that grows with the services of all configurations so far.
func TestMixesOfRemovedServicesEnd(t *testing.T) {
	f := testForwarder(loadedSnapshot(2, true))
	for i := range 100 {
		snapshot := loadedSnapshot(2, true)
		snapshot.service().Name = fmt.Sprintf("desk-%d", i)
		f.Install(snapshot)
		placements(f, 1, 0)
	}
	if n := len(f.shared.priorities); n > 2 {
		t.Errorf("the requests of %d services are kept, want those of the current one", n)
	}
}
