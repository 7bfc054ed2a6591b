package targetload

import (
	"math"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// report is a report of n responses with a work of 10 ms each.
func report(id ID, n uint32, slowness float64) Report {
	work := time.Duration(n) * 10 * time.Millisecond
	return Report{ID: id, Responses: n, Work: work, Took: time.Duration(slowness * float64(work))}
}

func reports(n int, slowness float64) []Report {
	all := make([]Report, n)
	for i := range all {
		all[i] = report(ID(i), 10, slowness)
	}
	return all
}

func testGroups(n int, service string) Groups {
	groups := make(Groups)
	for i := range n {
		groups[ID(i)] = Group{Service: service, Slots: 2}
	}
	return groups
}

// Guards against summaries that miss slow or full targets, or that keep what is no longer true.
func TestPool(t *testing.T) {
	const start = 100 * time.Second
	convey.Convey("Given a pool with reports of ten targets of which one is slow", t, func() {
		var p Pool
		groups := testGroups(10, "desk")
		p.Add(reports(9, 1.2), start)
		p.Add([]Report{report(9, 10, 6)}, start)

		convey.Convey("The slow target is listed, and the service has the slowness of its best targets", func() {
			s := p.Summarize(groups, start)
			convey.So(s.Targets, convey.ShouldHaveLength, 1)
			convey.So(s.Targets[0].ID, convey.ShouldEqual, 9)
			convey.So(s.Targets[0].Slowness, convey.ShouldAlmostEqual, 6, 0.01)
			convey.So(s.Services, convey.ShouldHaveLength, 1)
			convey.So(s.Services[0].Slowness, convey.ShouldAlmostEqual, 1.2, 0.01)
			convey.So(s.Services[0].Slots, convey.ShouldEqual, 20)
			convey.So(s.Services[0].Rejected, convey.ShouldEqual, 0)
		})
		convey.Convey("Without further reports its slowness decays towards the service, with a half-life of 2 s", func() {
			at := start + recentReports + 2*time.Second
			p.Add(reports(9, 1.2), at)
			convey.So(p.Summarize(groups, at).Targets[0].Slowness, convey.ShouldAlmostEqual, (6+1.2)/2, 0.05)
		})
		convey.Convey("It is no longer listed when it responds like others", func() {
			p.Add(reports(10, 1.2), start+2*time.Second)
			convey.So(p.Summarize(groups, start+2*time.Second).Targets, convey.ShouldBeEmpty)
		})
		convey.Convey("Targets without reports for 10 s are forgotten", func() {
			s := p.Summarize(groups, start+10*time.Second+1)
			convey.So(s, convey.ShouldResemble, Summary{})
			convey.So(p.targets, convey.ShouldBeEmpty)
		})
		convey.Convey("A rejection of a full target counts ten times its work, and the target is listed", func() {
			p.Add([]Report{{ID: 3, Responses: 10, Rejected: 1000, Took: 500 * time.Millisecond, Work: 10100 * time.Millisecond}}, start)
			s := p.Summarize(groups, start)
			convey.So(s.Targets[0].ID, convey.ShouldEqual, 3)
			convey.So(s.Targets[0].Slowness, convey.ShouldBeBetween, 9.5, 10.5)
			convey.So(s.Services[0].Rejected, convey.ShouldAlmostEqual, 1000./1110, 0.001)
		})
		convey.Convey("A target that answers only errors, or errors beside responses without a queue, is not full", func() {
			p.Add([]Report{{ID: 3, Rejected: 1000, UrgentRejected: 100, Work: 10 * time.Second}}, start)
			p.Add([]Report{{ID: 4, Responses: 100, Rejected: 100, Took: 1200 * time.Millisecond, Work: 2 * time.Second}}, start)
			s := p.Summarize(groups, start)
			for _, target := range s.Targets {
				convey.So(target.ID, convey.ShouldEqual, 9)
			}
			convey.So(s.Services[0].Rejected, convey.ShouldEqual, 0)
			convey.So(s.Services[0].UrgentRejected, convey.ShouldEqual, 0)
		})
		convey.Convey("When most targets are full, they are compared with the few that are not", func() {
			for id := range ID(9) {
				if id > 0 {
					p.Add([]Report{{ID: id, Responses: 100, Rejected: 100, Took: 6 * time.Second, Work: 2 * time.Second}}, start)
				}
			}
			p.Add([]Report{report(0, 100, 1)}, start)
			s := p.Summarize(groups, start)
			convey.So(s.Targets, convey.ShouldHaveLength, 9)
			convey.So(s.Services[0].Slowness, convey.ShouldBeLessThan, 1.5)
			convey.So(s.Services[0].Rejected, convey.ShouldBeGreaterThan, 0.3)
			convey.So(s.Services[0].UrgentRejected, convey.ShouldEqual, 0)
		})
		convey.Convey("Rejections of urgent requests are counted apart", func() {
			p.Add([]Report{{ID: 3, Responses: 90, UrgentResponses: 9, Rejected: 10, UrgentRejected: 1, Took: 3 * time.Second, Work: time.Second}}, start)
			s := p.Summarize(groups, start)
			convey.So(s.Services[0].UrgentRejected, convey.ShouldAlmostEqual, 0.1, 0.001)
		})
		convey.Convey("The slots of a service follow a new map of targets", func() {
			p.Summarize(groups, start)
			convey.So(p.Summarize(testGroups(30, "desk"), start).Services[0].Slots, convey.ShouldEqual, 60)
		})
		convey.Convey("A target without work is unknown", func() {
			p.Add([]Report{{ID: 5, Rejected: 1}, {ID: 6, Responses: 1, Took: time.Minute}}, start+10*time.Second)
			s := p.Summarize(groups, start+10*time.Second)
			for _, target := range s.Targets {
				convey.So(target.ID, convey.ShouldNotEqual, 6)
			}
			var unknown Pool
			unknown.Add([]Report{{ID: 5, Rejected: 1}}, start)
			s = unknown.Summarize(groups, start)
			convey.So(s.Targets, convey.ShouldBeEmpty)
			convey.So(s.Services, convey.ShouldResemble, []ServiceLoad{{Service: "desk", Slowness: 1, Slots: 20}})
		})
		convey.Convey("A clock that goes back changes nothing", func() {
			convey.So(p.Summarize(groups, start-time.Hour), convey.ShouldResemble, p.Summarize(groups, start))
		})
	})
	convey.Convey("A summary lists the 64 slowest targets", t, func() {
		var p Pool
		p.Add(reports(300, 1), start)
		for i := range ID(100) {
			p.Add([]Report{report(i, 100, 10+float64(i))}, start)
		}
		s := p.Summarize(testGroups(300, "desk"), start)
		convey.So(s.Targets, convey.ShouldHaveLength, 64)
		convey.So(s.Targets[0].ID, convey.ShouldEqual, 99)
		convey.So(s.Targets[63].ID, convey.ShouldEqual, 36)
	})
	convey.Convey("Urgent slots are the urgent work per second with 3 and with 100 VMs", t, func() {
		for _, vms := range []int{3, 100} {
			var p Pool
			groups := testGroups(10, "desk")
			// 5 slots: each VM reports its part of 5 s of urgent work each second.
			work := 5 * time.Second / time.Duration(vms)
			for i := range 20 * vms {
				at := start + time.Duration(i)*time.Second/time.Duration(vms)
				p.Add([]Report{{ID: ID(i % 10), Responses: 100, Took: 2 * work, Work: 2 * work, UrgentWork: work}}, at)
			}
			s := p.Summarize(groups, start+20*time.Second)
			t.Logf("%d VMs: %.2f urgent slots", vms, s.Services[0].UrgentSlots)
			convey.So(s.Services[0].UrgentSlots, convey.ShouldBeBetween, 4.3, 5.7)
		}
	})
}

// Guards against reports of one faulty VM that change what is known of targets, or that fill the memory.
func TestAbsurdReports(t *testing.T) {
	const start = 100 * time.Second
	convey.Convey("Given a pool with ordinary reports", t, func() {
		var p Pool
		groups := testGroups(10, "desk")
		p.Add(reports(10, 1.2), start)
		before := p.Summarize(groups, start)

		convey.Convey("Absurd reports change nothing and are counted, valid ones beside them are taken", func() {
			absurd := []Report{
				{ID: 1},
				{ID: 1, Took: time.Second},
				{ID: 1, Responses: 1, Took: -1, Work: 1},
				{ID: 1, Responses: 1, Took: 1, Work: -1},
				{ID: 1, Responses: 1, Took: 1, Work: 1, UrgentWork: -1},
				{ID: 1, Responses: 1, Took: 1, Work: 1, UrgentWork: 2},
				{ID: 1, Responses: 1, Took: math.MaxInt64, Work: 1},
				{ID: 1, Responses: 1, Took: 1, Work: math.MaxInt64},
				{ID: 1, Responses: math.MaxUint32, Rejected: math.MaxUint32, Took: math.MaxInt64, Work: math.MaxInt64},
				{ID: 1, Rejected: math.MaxUint32, Work: time.Second},
				{ID: 1, Rejected: 1, Took: time.Second, Work: time.Second},
			}
			p.Add(absurd, start)
			malformed, _ := p.Discarded()
			convey.So(malformed, convey.ShouldEqual, len(absurd))
			convey.So(p.Summarize(groups, start), convey.ShouldResemble, before)
			p.Add(append(absurd, report(4, 100, 6)), start)
			convey.So(p.Summarize(groups, start).Targets, convey.ShouldHaveLength, 1)
		})
		convey.Convey("The largest valid reports leave all values finite", func() {
			n := uint32(maxRequests)
			for range 1000 {
				p.Add([]Report{{ID: 1, Responses: n, Took: time.Duration(n) * maxTook, Work: 1}}, start)
			}
			for _, target := range p.Summarize(groups, start).Targets {
				convey.So(target.Slowness, convey.ShouldBeBetweenOrEqual, 0, maxSlowness)
			}
		})
		convey.Convey("Unknown targets are counted and forgotten with the next summary", func() {
			for i := range ID(2 * maxTargets) {
				p.Add([]Report{report(1000+i, 1, 50)}, start)
			}
			convey.So(len(p.targets), convey.ShouldEqual, maxTargets)
			convey.So(p.Summarize(groups, start), convey.ShouldResemble, before)
			convey.So(p.targets, convey.ShouldHaveLength, 10)
			malformed, unknown := p.Discarded()
			convey.So(malformed+unknown, convey.ShouldEqual, 2*maxTargets)
		})
	})
}

// Guards against services that are measured against each other.
func TestServicesAreIndependent(t *testing.T) {
	convey.Convey("A service whose requests are all slow does not hide a slow target of another", t, func() {
		var p Pool
		groups := testGroups(20, "desk")
		for id := range ID(10) {
			groups[id] = Group{Service: "archive", Slots: 4}
		}
		p.Add(reports(10, 8), time.Second)
		p.Add(reports(20, 1)[10:], time.Second)
		p.Add([]Report{report(15, 100, 5), {ID: 16, Responses: 10, Rejected: 10, Took: 500 * time.Millisecond, Work: 200 * time.Millisecond}}, time.Second)
		s := p.Summarize(groups, time.Second)
		convey.So(s.Services, convey.ShouldHaveLength, 2)
		convey.So(s.Services[0].Service, convey.ShouldEqual, "archive")
		convey.So(s.Services[0].Slowness, convey.ShouldAlmostEqual, 8, 0.01)
		convey.So(s.Services[0].Slots, convey.ShouldEqual, 40)
		convey.So(s.Services[0].Rejected, convey.ShouldEqual, 0)
		convey.So(s.Services[1].Slowness, convey.ShouldAlmostEqual, 1, 0.01)
		convey.So(s.Targets, convey.ShouldHaveLength, 2)
		convey.So([]ID{s.Targets[0].ID, s.Targets[1].ID}, convey.ShouldResemble, []ID{16, 15})
	})
}
