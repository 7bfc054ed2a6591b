package forward

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core/admission"
	"github.com/mangoweir/mangoweir/core/targetload"
)

const (
	testWork      = 60 * time.Millisecond
	testObjective = 800 * time.Millisecond
)

// loadedSnapshot returns testSnapshot(n) with load groups and a latency objective.
func loadedSnapshot(n int, urgent bool) *Snapshot {
	snapshot := testSnapshot(n)
	for _, t := range snapshot.Targets {
		t.LoadGroup, t.FlowToken = LoadGroup(t.Service, t.Zone), t.Token
	}
	snapshot.Routes[deskAddr].SetLatencyObjective(testObjective, urgent)
	if !urgent {
		snapshot.Routes[deskAddr].Priority = 2
	}
	return snapshot
}

// recordRequests records requests to the same service with a priority.
func recordRequests(f *Forwarder, priority, requests int, now time.Duration) {
	for range requests {
		f.mix(f.snapshot.service().Name).add(priority, now)
	}
}

// learnWork makes a Forwarder know the work of a request, by fast responses.
func learnWork(f *Forwarder) {
	r := f.routeLoad(deskAddr)
	for range 5 {
		r.work.Add(testWork)
	}
	r.responseSize.value, r.responseTime.value = 800, float64(testWork)
}

// groupLoad returns a summary in which a group of targets has the given slowness.
func groupLoad(zone string, slowness, rejected float64) targetload.Summary {
	return targetload.Summary{Services: []targetload.ServiceLoad{{Service: "desk@" + zone, Slowness: slowness, Rejected: rejected, Slots: 80}}}
}

// placements returns the number of new flows by zone and by target.
func placements(f *Forwarder, flows int, now time.Duration) (zones map[string]int, targets map[Token]int) {
	zones, targets = map[string]int{}, map[Token]int{}
	for i := range flows {
		flow := testFlow(1000 + i)
		if d := f.Handle(syn(flow, 0), now); d.Action == Forward {
			zones[string(d.Target.Zone)]++
			targets[d.Target.Token]++
			f.removeFlow(flow)
		}
	}
	return zones, targets
}

// Guards against the load of a zone whose callers ask too much while other zones have free capacity: a VM of a large zone never
// has three flows waiting for one target (v-burst on cm-craftmart-grown: .87 in the full zone, 1.0 in the others).
func TestFlowsLeaveFullZone(t *testing.T) {
	for name, test := range map[string]struct {
		local, remote float64
		min, max      int
	}{
		"idle zones":                        {1, 1, 0, 0},
		"a short queue within the margin":   {2, 1, 0, 0},
		"a full zone beside an idle one":    {6, 1, 400, 800},
		"a full zone beside a fuller one":   {6, 8, 0, 0},
		"a full zone beside a less loaded":  {6, 3, 100, 500},
		"an extremely slow zone keeps some": {50, 1, 800, 960},
	} {
		f := testForwarder(loadedSnapshot(40, true))
		learnWork(f)
		summary := groupLoad("zone-a", test.local, 0)
		summary.Services = append(summary.Services, groupLoad("zone-b", test.remote, 0).Services...)
		f.SetLoad(targetload.NewTable(summary, 0), nil)
		zones, _ := placements(f, 1000, 0)
		if n := zones["zone-b"]; n < test.min || n > test.max {
			t.Errorf("%s: %d of 1,000 flows leave the zone, want %d to %d", name, n, test.min, test.max)
		}
	}
}

// Guards against slow targets that get as many new flows as fast ones: 40% of the targets were six times slower on uneven-servers.
func TestSlowTargetsGetFewFlows(t *testing.T) {
	snapshot := loadedSnapshot(10, true)
	f := testForwarder(snapshot)
	summary := groupLoad("zone-a", 1, 0)
	slow := map[Token]bool{}
	for _, target := range snapshot.service().Local[:4] {
		slow[target.Token] = true
		summary.Targets = append(summary.Targets, targetload.TargetLoad{ID: targetload.ID(target.Token), Slowness: 6})
	}
	f.SetLoad(targetload.NewTable(summary, 0), nil)
	_, targets := placements(f, 2000, 0)
	n := 0
	for token, flows := range targets {
		if slow[token] {
			n += flows
		}
	}
	// Four targets at a sixth of the speed are 10% of the capacity of the ten.
	if n == 0 || n > 200 {
		t.Errorf("%d of 2,000 flows go to the slow targets, want 1 to 200", n)
	}
}

// Guards against full targets that count as failing, are ejected and so take capacity from a service that is short of it.
func TestRejectionIsNoFailure(t *testing.T) {
	convey.Convey("Given a request that gets a short and fast response", t, func() {
		f := testForwarder(loadedSnapshot(10, true))
		learnWork(f)
		target := f.snapshot.service().Local[0]
		respond := func() {
			f.Handle(data(testFlow(1), target.Token, 100, 900), 0)
			f.Handle(ack(testFlow(1), target.Token, 1040), 20*time.Millisecond)
		}
		convey.Convey("at a loaded target it is a rejection, and the target is avoided", func() {
			summary := groupLoad("zone-a", 1, 0)
			summary.Targets = []targetload.TargetLoad{{ID: targetload.ID(target.Token), Slowness: 4}}
			f.SetLoad(targetload.NewTable(summary, 0), nil)
			respond()
			convey.So(f.TakeFailures(time.Second), convey.ShouldBeEmpty)
			reports := f.TakeLoadReports(time.Second)
			convey.So(reports, convey.ShouldHaveLength, 1)
			convey.So(reports[0].Rejected, convey.ShouldEqual, 1)
			_, targets := placements(f, 200, 50*time.Millisecond)
			convey.So(targets[target.Token], convey.ShouldEqual, 0)
		})
		convey.Convey("at a target without a queue it is a failure", func() {
			f.SetLoad(targetload.NewTable(groupLoad("zone-a", 1, 0), 0), nil)
			respond()
			convey.So(f.TakeFailures(time.Second), convey.ShouldHaveLength, 1)
		})
		convey.Convey("without a summary it is a failure, as before", func() {
			respond()
			convey.So(f.TakeFailures(time.Second), convey.ShouldHaveLength, 1)
		})
	})
}

// Guards against urgent requests that find full targets because less urgent long flows were placed on all of them, and against
// urgent flows that are confined to the reserved targets.
func TestReservedTargets(t *testing.T) {
	const fraction = 0.3
	policy := admission.Policy{Reservations: []admission.Reservation{{Service: "desk", Fraction: fraction}}}
	share := func(urgent bool) float64 {
		snapshot := loadedSnapshot(40, urgent)
		f := testForwarder(snapshot)
		f.SetLoad(nil, admission.NewGate(policy, 0))
		recordRequests(f, 1, 1000, 0)
		recordRequests(f, 2, 1000, 0)
		_, targets := placements(f, 2000, 0)
		reserved, all := 0, 0
		for _, target := range snapshot.service().Local {
			all += targets[target.Token]
			if admission.Reserved(uint32(target.Token), fraction) {
				reserved += targets[target.Token]
			}
		}
		return float64(reserved) / float64(all)
	}
	if s := share(false); s > 0.05 {
		t.Errorf("%.2f of the less urgent flows go to reserved targets, want 0.05 at most", s)
	}
	if s := share(true); s < 0.15 || s > 0.5 {
		t.Errorf("%.2f of the urgent flows go to reserved targets, want about %.2f", s, fraction)
	}
}

// Guards against less urgent flows that flood the reserved targets because all others are full (197 to 762 new flows a second on 24
// reserved targets on least-urgent-presses).
func TestReservedTargetsWhileOthersAreFull(t *testing.T) {
	const fraction = 0.3
	snapshot := loadedSnapshot(40, false)
	f := testForwarder(snapshot)
	summary := groupLoad("zone-a", 1, 0.5)
	for _, target := range snapshot.service().Local {
		if !admission.Reserved(uint32(target.Token), fraction) {
			summary.Targets = append(summary.Targets, targetload.TargetLoad{ID: targetload.ID(target.Token), Slowness: 10})
			f.load(target.Token).fullUntil = time.Second
		}
	}
	f.SetLoad(targetload.NewTable(summary, 0), admission.NewGate(admission.Policy{Reservations: []admission.Reservation{{Service: "desk", Fraction: fraction}}}, 0))
	recordRequests(f, 1, 1000, 0)
	recordRequests(f, 2, 1000, 0)
	_, targets := placements(f, 2000, 0)
	reserved, all := 0, 0
	for token, n := range targets {
		all += n
		if admission.Reserved(uint32(token), fraction) {
			reserved += n
		}
	}
	if reserved > all/10 {
		t.Errorf("%d of %d less urgent flows go to reserved targets, want a tenth at most", reserved, all)
	}
}

// Guards against less urgent flows that take the capacity that urgent ones need, and against a policy that outlives its sender.
func TestLessUrgentFlowsGiveWay(t *testing.T) {
	policy := admission.Policy{Shares: []admission.Share{{Service: "desk", Priority: 2, Admitted: 0.25}, {Service: "desk", Priority: 1, Admitted: 0.25}}}
	for name, test := range map[string]struct {
		priority int
		requests map[int]int
		now      time.Duration
		min, max int
	}{
		"less urgent":            {2, map[int]int{1: 300, 2: 700}, time.Second, 200, 300},
		"urgent":                 {1, map[int]int{1: 300, 2: 700}, time.Second, 1000, 1000},
		"less urgent in a flood": {2, map[int]int{1: 20, 2: 5000}, time.Second, 200, 300},
		"urgent in a flood":      {1, map[int]int{1: 20, 2: 5000}, time.Second, 1000, 1000},
		// Operators check routes with a few requests of the most urgent priority.
		"urgent beside a few more urgent ones":   {1, map[int]int{0: 30, 1: 300, 2: 700}, time.Second, 1000, 1000},
		"less urgent, without the zone's reader": {2, map[int]int{1: 300, 2: 700}, 10 * time.Second, 1000, 1000},
	} {
		snapshot := loadedSnapshot(10, true)
		snapshot.Routes[deskAddr].Priority = test.priority
		snapshot.service().Remote = nil
		f := testForwarder(snapshot)
		f.SetLoad(nil, admission.NewGate(policy, 0))
		for priority, requests := range test.requests {
			recordRequests(f, priority, requests, test.now)
		}
		zones, _ := placements(f, 1000, test.now)
		if n := zones["zone-a"] + zones["zone-b"]; n < test.min || n > test.max {
			t.Errorf("%s: %d of 1,000 flows are placed, want %d to %d", name, n, test.min, test.max)
		}
	}
}

// Guards against flows that are refused in the zone with the most callers while other zones have capacity, and against flows that are
// sent to a zone that rejects them.
func TestFlowsThatGiveWayGoElsewhere(t *testing.T) {
	policy := admission.Policy{Shares: []admission.Share{{Service: "desk", Priority: 2, Admitted: 0.1}}}
	for name, test := range map[string]struct {
		slowness, rejected float64
		min, max           int
	}{
		"an idle zone":        {1, 0, 350, 550},
		"a loaded zone":       {4, 0, 0, 0},
		"a zone that rejects": {1, 0.1, 0, 0},
	} {
		f := testForwarder(loadedSnapshot(40, false))
		summary := groupLoad("zone-b", test.slowness, test.rejected)
		f.SetLoad(targetload.NewTable(summary, 0), admission.NewGate(policy, 0))
		recordRequests(f, 1, 300, 0)
		recordRequests(f, 2, 700, 0)
		zones, _ := placements(f, 1000, 0)
		if n := zones["zone-b"]; n < test.min || n > test.max {
			t.Errorf("%s: %d of 1,000 flows go there, want %d to %d", name, n, test.min, test.max)
		}
	}
}

// Guards against traffic between zones, which is charged for, in deployments without latency objectives: they are served as before.
func TestFlowsStayWithoutLatencyObjective(t *testing.T) {
	f := testForwarder(loadedSnapshot(40, true))
	f.snapshot.Routes[deskAddr].SetLatencyObjective(0, true)
	learnWork(f)
	summary := groupLoad("zone-a", 1.5, 0)
	summary.Services = append(summary.Services, groupLoad("zone-b", 1, 0).Services...)
	f.SetLoad(targetload.NewTable(summary, 0), nil)
	if zones, _ := placements(f, 1000, 0); zones["zone-b"] > 0 {
		t.Errorf("%d of 1,000 flows leave the zone, want none", zones["zone-b"])
	}
}
