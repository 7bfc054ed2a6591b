package registry

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core/forward"
)

// Guards against new flows to a target that has ended or restarted cold while its entry cannot be read. In a
// soak run a target with a limit of 8 new flows per second received up to 77 within a second.
func TestObservations(t *testing.T) {
	convey.Convey("Given two targets whose entries do not change", t, func() {
		r := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4))
		token := forward.NewToken("i-1", 1000)
		target := r.Snapshot(0).Targets[token]
		convey.Convey("an accepted connection changes nothing", func() {
			_, isNew := r.ObserveConnection(target, false, time.Second)
			convey.So(isNew, convey.ShouldBeFalse)
		})
		convey.Convey("a connection refused under a stale snapshot gives the flows DrainExitDelay to end, as the target may have drained", func() {
			at := r.FreshUntil() + time.Second
			_, isNew := r.ObserveConnection(target, true, at)
			convey.So(isNew, convey.ShouldBeTrue)
			snapshot := r.Snapshot(at)
			convey.So(pools(snapshot)["local"], convey.ShouldResemble, []string{"i-2"})
			convey.So(snapshot.Targets[token].Condition, convey.ShouldEqual, forward.Draining)
			convey.So(r.NextDue(), convey.ShouldEqual, at+forward.DrainExitDelay)
			snapshot = r.Snapshot(at + forward.DrainExitDelay)
			convey.So(snapshot.Targets[token].Condition, convey.ShouldEqual, forward.Exited)
		})
		convey.Convey("a refused connection shows that the target has exited", func() {
			ended, isNew := r.ObserveConnection(target, true, time.Second)
			convey.So(isNew, convey.ShouldBeTrue)
			snapshot := r.Snapshot(time.Second)
			convey.So(pools(snapshot)["local"], convey.ShouldResemble, []string{"i-2"})
			convey.So(snapshot.Targets[token].Condition, convey.ShouldEqual, forward.Exited)
			convey.Convey("and is reported only once", func() {
				_, isNew := r.ObserveConnection(target, true, 2*time.Second)
				convey.So(isNew, convey.ShouldBeFalse)
				// The observation returns from another VM after 100 ms in transit.
				ended.Age = 900 * time.Millisecond
				convey.So(r.ApplyObservation(ended, 2*time.Second), convey.ShouldBeFalse)
			})
			convey.Convey("and the target is cold for its cold start when it runs again", func() {
				back, isNew := r.ObserveConnection(target, false, 2*time.Second)
				convey.So(isNew, convey.ShouldBeTrue)
				snapshot := r.Snapshot(2 * time.Second)
				convey.So(pools(snapshot), convey.ShouldResemble, map[string][]string{"local": {"i-2"}, "cold": {"i-1"}})
				convey.So(r.NextDue(), convey.ShouldEqual, 4*time.Second)
				convey.So(pools(r.Snapshot(4 * time.Second))["local"], convey.ShouldResemble, []string{"i-1", "i-2"})
				convey.Convey("also at a VM that receives the observations late and out of order", func() {
					other := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4))
					back.Age = 500 * time.Millisecond
					convey.So(other.ApplyObservation(back, 2500*time.Millisecond), convey.ShouldBeTrue)
					ended.Age = 1500 * time.Millisecond
					convey.So(other.ApplyObservation(ended, 2500*time.Millisecond), convey.ShouldBeFalse)
					back.Age -= minObservationGap
					convey.So(other.ApplyObservation(back, 2500*time.Millisecond), convey.ShouldBeFalse)
					convey.So(pools(other.Snapshot(3900 * time.Millisecond))["cold"], convey.ShouldResemble, []string{"i-1"})
					convey.So(pools(other.Snapshot(4 * time.Second))["cold"], convey.ShouldBeEmpty)
				})
			})
			convey.Convey("but does not apply to the next incarnation with the same id", func() {
				r.Apply(changed(Targets, 11, targetRecord("i-1", 11).with(func(t *Target) { t.StartMillis = 2000 })), 2*time.Second)
				snapshot := r.Snapshot(2 * time.Second)
				convey.So(pools(snapshot)["local"], convey.ShouldResemble, []string{"i-1", "i-2"})
				convey.So(r.Observations(0), convey.ShouldBeEmpty)
			})
			convey.Convey("and the target gets no new flows when its entry expires", func() {
				r.Apply(full(Targets, 20, targetRecord("i-2", 4)), 2*time.Second)
				convey.So(pools(r.Snapshot(2 * time.Second))["expired"], convey.ShouldBeEmpty)
			})
			convey.Convey("unless the target is draining, as its port closes before its last flows end", func() {
				r.Apply(changed(Targets, 11, targetRecord("i-1", 11).with(func(t *Target) { t.Draining = true })), 2*time.Second)
				convey.So(r.Snapshot(2 * time.Second).Targets[token].Condition, convey.ShouldEqual, forward.Draining)
			})
			convey.Convey("and is sent to VMs that subscribe later", func() {
				all := r.Observations(3 * time.Second)
				ended.Age = 2 * time.Second
				convey.So(all, convey.ShouldResemble, []Observation{ended})
			})
		})
	})
}
