package registry

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core/forward"
)

// Guards against flows that are reset for good because a VM has learned from another zone that a target ended, and has left that
// zone's feed before the target's return.
func TestObservationOfEndIsForgotten(t *testing.T) {
	convey.Convey("Given a VM that has learned from another one that a target ended", t, func() {
		r := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4))
		token := forward.NewToken("i-1", 1000)
		const at = time.Second
		convey.So(r.ApplyObservation(Observation{ID: "i-1", Token: token, Ended: true}, at), convey.ShouldBeTrue)
		check := func(now time.Duration, condition forward.Condition, local ...string) {
			snapshot := rebuild(r, now)
			convey.So(snapshot.Targets[token].Condition, convey.ShouldEqual, condition)
			convey.So(pools(snapshot)["local"], convey.ShouldResemble, local)
		}
		check(at, forward.Exited, "i-2")
		convey.Convey("its flows go on after observationTTL, and it gets new ones once the store would have removed its entry", func() {
			convey.So(r.NextDue(), convey.ShouldEqual, at+observationTTL)
			convey.So(r.TakeForgotten(), convey.ShouldBeEmpty)
			check(at+observationTTL, forward.Unusable, "i-2")
			convey.So(r.TakeForgotten(), convey.ShouldResemble, []string{"i-1"})
			convey.So(r.NextDue(), convey.ShouldEqual, at+r.leaseTime())
			check(at+r.leaseTime(), forward.Ready, "i-1", "i-2")
		})
		convey.Convey("a renewal keeps it, and is passed on without being a change", func() {
			renewedAt := at + renewalInterval
			convey.So(r.ApplyObservation(Observation{ID: "i-1", Token: token, Ended: true}, renewedAt), convey.ShouldBeFalse)
			convey.So(r.Renewals(renewedAt), convey.ShouldResemble, []Observation{{ID: "i-1", Token: token, Ended: true}})
			convey.So(r.Renewals(renewedAt), convey.ShouldBeEmpty)
			check(at+observationTTL, forward.Exited, "i-2")
			check(renewedAt+observationTTL, forward.Unusable, "i-2")
		})
		convey.Convey("a removal of the entry confirms it", func() {
			r.Apply(changed(Targets, 12, removed("i-1", 12)), at+time.Second)
			check(at+time.Second, forward.Exited, "i-2")
			check(at+time.Second+goneRetention-time.Millisecond, forward.Exited, "i-2")
			convey.Convey("until the entry returns", func() {
				r.Apply(changed(Targets, 13, targetRecord("i-1", 13)), at+observationTTL)
				check(at+r.leaseTime(), forward.Ready, "i-1", "i-2")
			})
		})
		convey.Convey("it is sent to others only while it is in force", func() {
			convey.So(len(r.Observations(at+observationTTL-time.Millisecond)), convey.ShouldEqual, 1)
			convey.So(r.Observations(at+observationTTL), convey.ShouldBeEmpty)
		})
		convey.Convey("a message that arrives too late does not bring it back", func() {
			late := Observation{ID: "i-1", Token: token, Ended: true, Age: observationTTL}
			convey.So(r.ApplyObservation(late, at+2*observationTTL), convey.ShouldBeFalse)
			check(at+2*observationTTL, forward.Ready, "i-1", "i-2")
		})
		convey.Convey("a later observation counts again", func() {
			later := at + 2*observationTTL
			convey.So(r.ApplyObservation(Observation{ID: "i-1", Token: token, Ended: true}, later), convey.ShouldBeTrue)
			// The snapshot is stale by then.
			check(later+forward.DrainExitDelay, forward.Exited, "i-2")
		})
		convey.Convey("the return of the target ends it at once, and a VM that still has it learns of the return", func() {
			other := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4))
			other.ApplyObservation(Observation{ID: "i-1", Token: token, Ended: true, Age: time.Second}, at+time.Second)
			r.ApplyObservation(Observation{ID: "i-1", Token: token}, at+100*time.Millisecond)
			now := at + 2500*time.Millisecond
			convey.So(rebuild(r, now).Targets[token].Condition, convey.ShouldEqual, forward.Ready)
			for _, o := range r.Observations(now) {
				other.ApplyObservation(o, now)
			}
			convey.So(rebuild(other, now).Targets[token].Condition, convey.ShouldEqual, forward.Ready)
		})
	})
}

// Guards against an observation that is forgotten while a VM still makes it.
func TestObservationsAreRenewed(t *testing.T) {
	convey.Convey("A VM whose connections to a target are refused renews its observation", t, func() {
		r := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4))
		target := r.Snapshot(0).Targets[forward.NewToken("i-1", 1000)]
		changes, renewals := 0, 0
		for now := time.Second; now < 10*time.Second; now += 300 * time.Millisecond {
			if _, changed := r.ObserveConnection(target, true, now); changed {
				changes++
			}
			renewals += len(r.Renewals(now))
			convey.So(rebuild(r, now).Targets[target.Token].Condition, convey.ShouldEqual, forward.Exited)
		}
		convey.So(changes, convey.ShouldEqual, 1)
		convey.So(renewals, convey.ShouldBeBetweenOrEqual, 6, 9)
	})
}
