package registry

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core/forward"
)

// Guards against new flows to a target that has ended or restarted cold while its entry cannot be read: the
// soak saw up to 77 within a second at a target that bears 8.
func TestObservations(t *testing.T) {
	convey.Convey("Given two targets whose entries stay as they are", t, func() {
		r := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4))
		token := forward.NewToken("i-1", 1000)
		target := r.Snapshot(0).Targets[token]
		convey.Convey("a connection that is accepted is no news", func() {
			_, news := r.ObserveConnection(target, false, time.Second)
			convey.So(news, convey.ShouldBeFalse)
		})
		convey.Convey("one that is refused while the view is old leaves its flows time to end, as it may have drained", func() {
			at := r.FreshUntil() + time.Second
			_, news := r.ObserveConnection(target, true, at)
			convey.So(news, convey.ShouldBeTrue)
			v := r.Snapshot(at)
			convey.So(pools(v)["local"], convey.ShouldResemble, []string{"i-2"})
			convey.So(v.Targets[token].Condition, convey.ShouldEqual, forward.Draining)
			convey.So(r.NextDue(), convey.ShouldEqual, at+forward.DrainExitDelay)
			v = r.Snapshot(at + forward.DrainExitDelay)
			convey.So(v.Targets[token].Condition, convey.ShouldEqual, forward.Exited)
		})
		convey.Convey("one that is refused ends the target", func() {
			ended, news := r.ObserveConnection(target, true, time.Second)
			convey.So(news, convey.ShouldBeTrue)
			v := r.Snapshot(time.Second)
			convey.So(pools(v)["local"], convey.ShouldResemble, []string{"i-2"})
			convey.So(v.Targets[token].Condition, convey.ShouldEqual, forward.Exited)
			convey.Convey("once", func() {
				_, news := r.ObserveConnection(target, true, 2*time.Second)
				convey.So(news, convey.ShouldBeFalse)
				// It comes back from another VM after 100 ms on the way.
				ended.Age = 900 * time.Millisecond
				convey.So(r.ApplyObservation(ended, 2*time.Second), convey.ShouldBeFalse)
			})
			convey.Convey("and makes it cold when it is back, for its cold start", func() {
				back, news := r.ObserveConnection(target, false, 2*time.Second)
				convey.So(news, convey.ShouldBeTrue)
				v := r.Snapshot(2 * time.Second)
				convey.So(pools(v), convey.ShouldResemble, map[string][]string{"local": {"i-2"}, "cold": {"i-1"}})
				convey.So(r.NextDue(), convey.ShouldEqual, 4*time.Second)
				convey.So(pools(r.Snapshot(4 * time.Second))["local"], convey.ShouldResemble, []string{"i-1", "i-2"})
				convey.Convey("also at a VM that hears of it late and out of order", func() {
					other := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4))
					back.Age = 500 * time.Millisecond
					convey.So(other.ApplyObservation(back, 2500*time.Millisecond), convey.ShouldBeTrue)
					ended.Age = 1500 * time.Millisecond
					convey.So(other.ApplyObservation(ended, 2500*time.Millisecond), convey.ShouldBeFalse)
					back.Age -= observationSkew
					convey.So(other.ApplyObservation(back, 2500*time.Millisecond), convey.ShouldBeFalse)
					convey.So(pools(other.Snapshot(3900 * time.Millisecond))["cold"], convey.ShouldResemble, []string{"i-1"})
					convey.So(pools(other.Snapshot(4 * time.Second))["cold"], convey.ShouldBeEmpty)
				})
			})
			convey.Convey("and says nothing of the next lifetime under its id", func() {
				r.Apply(changed(Targets, 11, targetRecord("i-1", 11).with(func(t *Target) { t.StartMillis = 2000 })), 2*time.Second)
				v := r.Snapshot(2 * time.Second)
				convey.So(pools(v)["local"], convey.ShouldResemble, []string{"i-1", "i-2"})
				convey.So(r.Observations(0), convey.ShouldBeEmpty)
			})
			convey.Convey("and keeps it from serving as a last resort when its entry lapses", func() {
				r.Apply(full(Targets, 20, targetRecord("i-2", 4)), 2*time.Second)
				convey.So(pools(r.Snapshot(2 * time.Second))["lapsed"], convey.ShouldBeEmpty)
			})
			convey.Convey("unless it drains: its port closes before its last flows end", func() {
				r.Apply(changed(Targets, 11, targetRecord("i-1", 11).with(func(t *Target) { t.Draining = true })), 2*time.Second)
				convey.So(r.Snapshot(2 * time.Second).Targets[token].Condition, convey.ShouldEqual, forward.Draining)
			})
			convey.Convey("and is told to VMs that subscribe later", func() {
				all := r.Observations(3 * time.Second)
				ended.Age = 2 * time.Second
				convey.So(all, convey.ShouldResemble, []Observation{ended})
			})
		})
	})
}
