package traffic

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against more requests in flight at a target than its limit, and against a ramp that grows
// without answers or ignores a restart.
func TestLimit(t *testing.T) {
	Convey("Given a cold target", t, func() {
		f := newCluster(t, 1, 1)
		o := f.owned(1)
		Convey("it gets one request at a time", func() {
			for i := range 4 {
				f.request("a", read(i, 1))
			}
			So(f.requests(), ShouldHaveLength, 1)
			f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
			So(f.requests(), ShouldHaveLength, 2)
		})
		Convey("the limit grows in steps over the ramp, only with successful answers", func() {
			f.tick(4 * time.Second)
			So(o.admission.limit, ShouldEqual, 1)
			limits := map[int]bool{}
			for i := range 40 {
				f.request("a", read(1, i))
				f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
				f.tick(100 * time.Millisecond)
				limits[o.admission.limit] = true
			}
			So(o.admission.limit, ShouldEqual, 4)
			So(o.admission.cold, ShouldBeFalse)
			So(len(limits), ShouldEqual, 4)
			So(f.countEvents(core.EventTargetWarm), ShouldEqual, 1)
		})
		Convey("it gets nothing without authority", func() {
			f.authority = 0
			f.publish()
			f.request("a", read(1, 1))
			So(f.requests(), ShouldBeEmpty)
			f.tick(blockedWait)
			So(f.refusals, ShouldHaveLength, 1)
			So(f.refusals[0].Reason, ShouldEqual, core.ReasonNoAuthority)
		})
		Convey("it gets nothing while a previous owner may act", func() {
			f.in("a", core.DropTarget{Target: 1, Owner: "x", FencingToken: 2})
			f.in("a", core.TakeOver{Target: 1, FencingToken: 3, PreviousOwnerUntil: f.now + 300*time.Millisecond, PreviousOwnerEndedBy: f.now})
			f.request("a", read(1, 1))
			f.tick(250 * time.Millisecond)
			So(f.requests(), ShouldBeEmpty)
			f.tick(100 * time.Millisecond)
			So(f.requests(), ShouldHaveLength, 1)
		})
	})
	Convey("Given a warm target", t, func() {
		f := newCluster(t, 1, 1)
		f.warm()
		o := f.owned(1)
		Convey("a shed halves the limit and repeated sheds make it cold", func() {
			f.vms["a"].retryBudget = 0
			for i := range 3 {
				f.request("a", read(1, i))
				f.answerAttempt(f.lastRequest(), core.AnswerShed, "")
				So(o.admission.limit, ShouldEqual, []int{2, 1, 1}[i])
			}
			So(o.admission.cold, ShouldBeTrue)
			f.in("a", core.TargetProbe{Target: 1, OK: true, Load: &core.LoadReport{Slots: 4}})
			So(o.admission.limit, ShouldEqual, 1)
		})
		Convey("a new boot id, a cold report and a probe that succeeds after failed ones make it cold", func() {
			answer := func(l core.LoadReport) {
				f.request("a", read(1, int(f.now)))
				a := answerTo(f.lastRequest(), core.AnswerOK, "")
				a.Load = &l
				f.in("a", a)
			}
			answer(core.LoadReport{BootID: 1, Slots: 4})
			So(o.admission.cold, ShouldBeFalse)
			answer(core.LoadReport{BootID: 2, Slots: 4})
			So(o.admission.cold, ShouldBeTrue)
			f.warm()
			answer(core.LoadReport{BootID: 2, Slots: 4, Cold: true})
			So(o.admission.cold, ShouldBeTrue)
			f.warm()
			for range probesUntilRestart {
				f.in("a", core.TargetProbe{Target: 1})
			}
			f.in("a", core.TargetProbe{Target: 1, OK: true})
			So(o.admission.cold, ShouldBeTrue)
		})
		Convey("a pause of the process ends authority until the next snapshot", func() {
			f.now += core.ClockJumpThreshold + time.Second
			// The request may have waited during the pause until the records of its other copies
			// expired.
			f.request("a", posting(1, 1))
			So(f.requests(), ShouldBeEmpty)
			So(f.refusals, ShouldBeEmpty)
			f.now += discardAfterPause
			f.request("a", posting(1, 1))
			So(f.requests(), ShouldBeEmpty)
			So(f.refusals[0].Reason, ShouldEqual, core.ReasonNoAuthority)
			So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
			f.publish()
			f.request("a", posting(1, 2))
			So(f.requests(), ShouldHaveLength, 1)
		})
		Convey("a snapshot from before a pause gives no authority", func() {
			old := f.snapshot("a")
			f.now += core.ClockJumpThreshold + time.Second
			f.in("a", core.SnapshotPublished{Snapshot: old})
			f.now += discardAfterPause
			f.request("a", posting(1, 1))
			So(f.requests(), ShouldBeEmpty)
		})
		Convey("load is reported when it changes, at most every 250 ms", func() {
			f.loads = nil
			for i := range 10 {
				f.request("a", read(i, 1))
				f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
				f.tick(50 * time.Millisecond)
			}
			So(len(f.loads), ShouldBeBetween, 1, 4)
			f.tick(time.Second)
			f.loads = nil
			f.tick(time.Second)
			So(f.loads, ShouldBeEmpty)
		})
	})
}

// Guards against unbounded queues, ignored priorities and late refusals.
func TestQueue(t *testing.T) {
	Convey("Given a cold target with a request in flight", t, func() {
		f := newCluster(t, 1, 1)
		f.request("a", read(0, 1))
		Convey("requests are sent by class, then by deadline, uploads last", func() {
			late := read(1, 11)
			late.Deadline = 4 * time.Second
			early := read(2, 12)
			early.Deadline = 2 * time.Second
			for _, r := range []core.Request{upload(5, 15), posting(3, 13), late, early, subscribe(4, 14)} {
				f.request("a", r)
			}
			var order []uint64
			for range 5 {
				f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
				order = append(order, f.lastRequest().Request.ID.Lo)
			}
			So(order, ShouldResemble, []uint64{14, 12, 11, 13, 15})
		})
		Convey("a full queue refuses at once, and a higher class displaces a lower one", func() {
			for i := range 9 {
				f.request("a", posting(i+1, 1))
			}
			So(f.refusals, ShouldHaveLength, 1)
			So(f.refusals[0].Reason, ShouldEqual, core.ReasonOverload)
			So(f.refusals[0].Run, ShouldEqual, core.NotRun)
			So(f.refusals[0].RetryAfter, ShouldBeGreaterThan, 0)
			f.request("a", subscribe(20, 1))
			So(f.refusals, ShouldHaveLength, 2)
			So(f.refusals[1].Class, ShouldEqual, core.ClassPosting)
		})
		Convey("a request is refused at once when its wait exceeds its deadline or class limit", func() {
			f.owned(1).admission.meanTime = time.Second
			r := read(1, 1)
			r.Deadline = 500 * time.Millisecond
			f.request("a", r)
			So(f.refusals, ShouldHaveLength, 1)
			f.config.Services[0].Contract.MaxWait[core.ClassRead] = 1500 * time.Millisecond
			f.publish()
			f.request("a", read(2, 1))
			f.request("a", read(3, 1))
			So(f.refusals, ShouldHaveLength, 2)
		})
		Convey("a refused non-idempotent request is refused again when it is repeated, and not run later", func() {
			for i := range 9 {
				f.request("a", posting(i+1, 1))
			}
			So(f.refusals, ShouldHaveLength, 1)
			for range 9 {
				f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
			}
			n := len(f.requests())
			f.request("a", posting(9, 1))
			So(f.requests(), ShouldHaveLength, n)
			So(f.refusals, ShouldHaveLength, 2)
			So(f.refusals[1].Run, ShouldEqual, core.NotRun)
		})
		Convey("idempotent requests are not refused as not run, because VMs without authority serve them as well", func() {
			for i := range 9 {
				f.request("a", read(i+1, 1))
			}
			So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
		})
	})
	Convey("Given a warm target, uploads leave one slot free and wait for others", t, func() {
		f := newCluster(t, 1, 1)
		f.warm()
		for i := range 6 {
			f.request("a", upload(i, 1))
		}
		So(f.requests(), ShouldHaveLength, 3)
		f.request("a", read(10, 1))
		So(f.requests(), ShouldHaveLength, 4)
		f.request("a", read(11, 1))
		f.answerAttempt(f.requests()[0], core.AnswerOK, "")
		So(f.lastRequest().Request.Class, ShouldEqual, core.ClassRead)
	})
}

// Guards against packets to a target that must not get any.
func TestCheckBeforeSending(t *testing.T) {
	block := map[string]func(f *cluster){
		"zone out":   func(f *cluster) { f.targets[1].ZoneOut = true },
		"quarantine": func(f *cluster) { f.targets[1].NotBefore = f.now + time.Hour },
		"drained": func(f *cluster) {
			f.targets[1].Removed = true
			f.targets[1].RemovedAt = f.now - time.Minute
		},
		"gone":    func(f *cluster) { delete(f.targets, 1) },
		"service": func(f *cluster) { f.targets[1].Target.Service = 99 },
	}
	for name, change := range block {
		Convey(fmt.Sprintf("Given queued requests, a target that changes to %s gets none of them", name), t, func() {
			f := newCluster(t, 1, 1)
			f.request("a", read(1, 1))
			f.request("a", read(1, 2))
			f.request("a", posting(2, 1))
			So(f.requests(), ShouldHaveLength, 1)
			change(f)
			f.publish()
			f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
			f.request("a", read(1, 3))
			f.tick(6 * time.Second)
			So(f.requests(), ShouldHaveLength, 1)
			So(f.refusals, ShouldHaveLength, 3)
		})
	}
	Convey("Given a known newer generation, new requests wait, then only idempotent ones are sent", t, func() {
		f := newCluster(t, 1, 1)
		f.newestGeneration = 5
		f.publish()
		f.request("a", read(1, 1))
		So(f.requests(), ShouldBeEmpty)
		f.tick(newerGenerationWait)
		So(f.requests(), ShouldHaveLength, 1)
		f.request("a", posting(2, 1))
		So(f.refusals, ShouldHaveLength, 1)
	})
}

// Guards against imbalance and against flows beyond a target's limit.
func TestPlacement(t *testing.T) {
	Convey("Given 14 warm targets on 3 VMs", t, func() {
		f := newCluster(t, 3, 14)
		f.warm()
		place := func(n int) {
			for i := range n {
				f.request(f.names[i%3], read(i, 1))
				f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
				if i%20 == 0 {
					f.tick(250 * time.Millisecond)
					f.publish()
				}
			}
		}
		Convey("flows are spread evenly and stay where they are", func() {
			place(1400)
			most, total := 0, 0
			for id := core.TargetID(1); id <= 14; id++ {
				n := f.owned(id).placedFlows()
				most = max(most, n)
				total += n
			}
			So(total, ShouldEqual, 1400)
			So(float64(most)/100, ShouldBeLessThanOrEqualTo, 1.10)
			at := map[core.FlowKey]core.TargetID{}
			for _, s := range f.requests() {
				if earlier, ok := at[s.Request.Flow]; ok {
					So(s.Target, ShouldEqual, earlier)
				}
				at[s.Request.Flow] = s.Target
			}
			for i := range 200 {
				f.request(f.names[(i+1)%3], read(i, 2))
				So(f.lastRequest().Target, ShouldEqual, at[testFlow(i)])
				f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
			}
		})
		Convey("a target at its flow limit gets no more flows", func() {
			for id := range f.targets {
				f.targets[id].Target.Connections = 10
			}
			f.publish()
			place(140)
			for id := core.TargetID(1); id <= 14; id++ {
				So(f.owned(id).placedFlows(), ShouldBeLessThanOrEqualTo, 10)
			}
			f.tick(300 * time.Millisecond)
			f.publish()
			f.request("a", read(999, 1))
			So(f.refusals[len(f.refusals)-1].Reason, ShouldEqual, core.ReasonNoTarget)
		})
	})
}
