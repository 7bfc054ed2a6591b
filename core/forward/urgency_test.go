package forward

import (
	"fmt"
	"testing"
	"time"

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
	if n := len(f.shared.mixes); n > 2 {
		t.Errorf("the requests of %d services are kept, want those of the current one", n)
	}
}

// Guards against urgent requests that don't count as urgent at a VM that has started, or that routers have assigned flows to: it
// receives packets of open flows before it places a flow of the route.
func TestRequestsOnOpenFlowsHavePriority(t *testing.T) {
	f := testForwarder(loadedSnapshot(10, true))
	token := f.snapshot.service().Local[0].Token
	for i := range 30 {
		f.Handle(data(testFlow(i), token, 100, 900), 0)
		f.Handle(ack(testFlow(i), token, 1700), testWork)
	}
	reports := f.TakeLoadReports(time.Second)
	if len(reports) != 1 || reports[0].UrgentWork != reports[0].Work {
		t.Errorf("reports %+v, want all work urgent", reports)
	}
	if n := f.mix(f.snapshot.service().Name).shares(0, 0).total; n < 29 {
		t.Errorf("%.0f of 30 requests count", n)
	}
}

// Guards against requests that count for another service: a route to two services counted all requests for the one that its last new
// flow went to.
func TestRequestsCountForTheirService(t *testing.T) {
	snapshot := loadedSnapshot(4, true)
	second := &Service{Name: "counter", Local: snapshot.service().Local[2:]}
	snapshot.service().Local = snapshot.service().Local[:2]
	for _, target := range second.Local {
		target.Service = second.Name
	}
	route := snapshot.Routes[deskAddr]
	route.Backends, route.TotalWeight = append(route.Backends, Backend{Service: second, Weight: 1}), 2
	f := testForwarder(snapshot)
	f.Handle(syn(testFlow(0), 0), 0)
	for i := range 30 {
		token := second.Local[0].Token
		if i < 10 {
			token = snapshot.service().Local[0].Token
		}
		f.Handle(data(testFlow(i+1), token, 100, 900), 0)
		f.Handle(ack(testFlow(i+1), token, 1700), testWork)
	}
	if a, b := f.mix(snapshot.service().Name).shares(0, 0).total, f.mix(second.Name).shares(0, 0).total; a > 11 || b > 21 || a+b < 28 {
		t.Errorf("%.0f and %.0f requests, want 10 and 20", a, b)
	}
}
