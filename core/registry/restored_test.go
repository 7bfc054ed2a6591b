package registry

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core/forward"
)

// inEra returns the update as one of a history of the store, with all its records.
func (u Update) inEra(era uint64) Update {
	u.AsOf.Era = era
	records := make([]Record, len(u.Records))
	for i, rec := range u.Records {
		rec.Revision.Era = era
		records[i] = rec
	}
	u.Records = records
	return u
}

// restorableRegistry returns a Registry that has all kinds from the first history of a store, as of revision 30.
func restorableRegistry(targets ...Record) *Registry {
	r := New(zoneA, testLimits)
	r.Apply(full(Targets, 30, targets...).inEra(1), 0)
	r.Apply(full(Configs, 30, configRecord(15, 30, deskAddr)).inEra(1), 0)
	r.Apply(full(ZonesOut, 30).inEra(1), 0)
	return r
}

// snapshotAt returns a snapshot even if nothing has changed.
func snapshotAt(r *Registry, now time.Duration) *forward.Snapshot {
	r.ReleaseHeld(now)
	r.changed = true
	return r.Snapshot(now)
}

// localAt returns the ids of the targets of the own zone that get new flows.
func localAt(r *Registry, now time.Duration) []string { return pools(snapshotAt(r, now))["local"] }

func drain(t *Target) { t.Draining = true }

// Guards against changes that never come into force after the store was restored: its revisions are given out again, so that a
// list has a lower number than the data that it replaces, and a change has the number of another one (issue 24).
func TestRevisionsOfLaterHistoryAreNewer(t *testing.T) {
	convey.Convey("Given targets as of revision 30 of the first history", t, func() {
		r := restorableRegistry(targetRecord("i-1", 3), targetRecord("i-2", 28))
		r.Apply(full(Targets, 26, targetRecord("i-1", 3), targetRecord("i-2", 26)).inEra(2), time.Second)
		convey.So(r.AsOf(Targets), convey.ShouldEqual, Revision{Era: 2, Number: 26})
		convey.Convey("changes with numbers that were given out before are applied", func() {
			r.Apply(changed(Targets, 28, targetRecord("i-1", 27).with(drain), targetRecord("i-2", 28).with(drain)).inEra(2), time.Second)
			convey.So(localAt(r, time.Second), convey.ShouldBeEmpty)
			r.Apply(changed(Configs, 29, configRecord(17, 29, deskAddr)).inEra(1), time.Second)
			convey.So(r.ConfigVersion(), convey.ShouldEqual, 17)
		})
		convey.Convey("late lists and changes of the earlier history change nothing, whatever their numbers", func() {
			for _, late := range []Update{full(Targets, 40), changed(Targets, 40, removed("i-1", 40)), full(Targets, 40, targetRecord("i-3", 35))} {
				changes := r.Apply(late.inEra(1), 2*time.Second)
				convey.So(changes[0].Event, convey.ShouldEqual, "ignored older update")
			}
			convey.So(r.AsOf(Targets), convey.ShouldEqual, Revision{Era: 2, Number: 26})
			convey.So(localAt(r, 5*time.Second), convey.ShouldResemble, []string{"i-1", "i-2"})
		})
		convey.Convey("data of VMs with an earlier release, which sends no history, changes nothing either", func() {
			r.Apply(full(Targets, 99).inEra(0), 2*time.Second)
			convey.So(localAt(r, 5*time.Second), convey.ShouldResemble, []string{"i-1", "i-2"})
		})
		convey.Convey("changes of a later history are not applied to the objects of this one", func() {
			r.Apply(changed(Targets, 50, removed("i-1", 50)).inEra(3), 2*time.Second)
			convey.So(r.AsOf(Targets), convey.ShouldEqual, Revision{Era: 2, Number: 26})
			convey.So(localAt(r, 5*time.Second), convey.ShouldResemble, []string{"i-1", "i-2"})
		})
	})
}

// Guards against targets that are lost, or get new flows again, because of what a restored store lacks or has again.
func TestEntriesOfRestoredStore(t *testing.T) {
	const at = 10 * time.Second
	convey.Convey("After the store was restored", t, func() {
		convey.Convey("a target whose entry is missing is used for the time in which it is written again, and then gone", func() {
			r := restorableRegistry(targetRecord("i-1", 3), targetRecord("i-2", 28))
			r.Apply(full(Targets, 26, targetRecord("i-1", 3)).inEra(2), at)
			convey.So(localAt(r, at+rewriteTime-1), convey.ShouldResemble, []string{"i-1", "i-2"})
			convey.So(r.NextDue(), convey.ShouldEqual, at+rewriteTime)
			convey.Convey("it is gone", func() {
				convey.So(localAt(r, at+rewriteTime), convey.ShouldResemble, []string{"i-1"})
				c, _ := conditionOf(snapshotAt(r, at+rewriteTime+goneRetention/2), "i-2", 1000)
				convey.So(c, convey.ShouldEqual, forward.Gone)
			})
			convey.Convey("unless it is written again", func() {
				r.Apply(changed(Targets, 27, targetRecord("i-2", 27)).inEra(2), at+time.Second)
				convey.So(localAt(r, at+time.Minute), convey.ShouldResemble, []string{"i-1", "i-2"})
			})
			convey.Convey("or the store is restored once more, which gives it the same time again", func() {
				r.Apply(full(Targets, 25, targetRecord("i-1", 3)).inEra(3), at+2*time.Second)
				convey.So(localAt(r, at+2*time.Second+rewriteTime-1), convey.ShouldResemble, []string{"i-1", "i-2"})
				convey.So(localAt(r, at+2*time.Second+rewriteTime), convey.ShouldResemble, []string{"i-1"})
			})
			convey.Convey("another list of the same history does not remove it earlier", func() {
				r.Apply(full(Targets, 27, targetRecord("i-1", 3)).inEra(2), at+time.Second)
				convey.So(localAt(r, at+rewriteTime-1), convey.ShouldResemble, []string{"i-1", "i-2"})
			})
		})
		convey.Convey("a target that drains gets no new flows, although the copy is older than its drain", func() {
			r := restorableRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4))
			r.Apply(changed(Targets, 31, targetRecord("i-1", 31).with(drain)).inEra(1), at-time.Second)
			r.Apply(full(Targets, 26, targetRecord("i-1", 3), targetRecord("i-2", 4)).inEra(2), at)
			convey.So(localAt(r, at+time.Minute), convey.ShouldResemble, []string{"i-2"})
			convey.Convey("also at a VM that starts with the data of this one", func() {
				started := restorableRegistry()
				started.Apply(r.Export(Targets), at)
				convey.So(localAt(started, at+time.Minute), convey.ShouldResemble, []string{"i-2"})
			})
		})
		convey.Convey("a target that has drained and left does not return", func() {
			r := restorableRegistry(targetRecord("i-1", 3).with(drain), targetRecord("i-2", 4))
			r.Apply(changed(Targets, 32, removed("i-1", 32)).inEra(1), at-time.Second)
			r.Apply(full(Targets, 26, targetRecord("i-1", 3), targetRecord("i-2", 4)).inEra(2), at)
			convey.So(localAt(r, at+time.Minute), convey.ShouldResemble, []string{"i-2"})
		})
		convey.Convey("a target whose entry had expired is used again only when the store has kept its entry for longer than a target that is gone", func() {
			r := restorableRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4))
			r.Apply(changed(Targets, 32, removed("i-1", 32)).inEra(1), at-5*time.Second)
			r.Apply(full(Targets, 26, targetRecord("i-1", 3), targetRecord("i-2", 4)).inEra(2), at)
			convey.So(localAt(r, at+3*testLimits.Heartbeat), convey.ShouldResemble, []string{"i-2"})
			convey.Convey("a repeated list does not change that", func() {
				r.Apply(full(Targets, 26, targetRecord("i-1", 3), targetRecord("i-2", 4)).inEra(2), at+time.Second)
				convey.So(localAt(r, at+2*time.Second), convey.ShouldResemble, []string{"i-2"})
			})
			convey.Convey("its entry expires again", func() {
				r.Apply(changed(Targets, 27, removed("i-1", 27)).inEra(2), at+3*testLimits.Heartbeat)
				convey.So(localAt(r, at+time.Minute), convey.ShouldResemble, []string{"i-2"})
			})
			convey.Convey("it is still there", func() {
				convey.So(localAt(r, at+r.leaseTime()), convey.ShouldResemble, []string{"i-1", "i-2"})
			})
		})
		convey.Convey("an earlier incarnation does not replace the present one", func() {
			later := targetRecord("i-1", 29).with(func(t *Target) { t.StartMillis = 2000 })
			r := restorableRegistry(later)
			r.Apply(full(Targets, 26, targetRecord("i-1", 3)).inEra(2), at)
			c, _ := conditionOf(snapshotAt(r, at), "i-1", 2000)
			convey.So(c, convey.ShouldEqual, forward.Ready)
			r.Apply(changed(Targets, 27, later).inEra(2), at+time.Second)
			convey.So(localAt(r, at+time.Minute), convey.ShouldResemble, []string{"i-1"})
		})
		convey.Convey("a target stays cold, although the copy is older than its cold start", func() {
			cold := targetRecord("i-1", 29).with(func(t *Target) { t.ColdRemaining = 4 * time.Second })
			r := restorableRegistry(targetRecord("i-1", 3))
			r.Apply(changed(Targets, 31, cold).inEra(1), at-time.Second)
			r.Apply(full(Targets, 26, targetRecord("i-1", 3)).inEra(2), at)
			convey.So(localAt(r, at+2*time.Second), convey.ShouldBeEmpty)
			convey.So(localAt(r, at+3*time.Second), convey.ShouldResemble, []string{"i-1"})
		})
		convey.Convey("the flows of a target that refuses connections get DrainExitDelay to end, as its drain may be lost with the history", func() {
			r := restorableRegistry(targetRecord("i-1", 3))
			r.Apply(full(Targets, 26, targetRecord("i-1", 3)).inEra(2), at)
			r.Confirm(Configs, at)
			r.Confirm(ZonesOut, at)
			token := forward.NewToken("i-1", 1000)
			r.ObserveConnection(snapshotAt(r, at).Targets[token], true, at+time.Second)
			convey.So(snapshotAt(r, at+time.Second).Targets[token].Condition, convey.ShouldEqual, forward.Draining)
			convey.So(snapshotAt(r, at+time.Second+forward.DrainExitDelay).Targets[token].Condition, convey.ShouldEqual, forward.Exited)
		})
		convey.Convey("a VM that starts takes over what another one has kept, and for no longer", func() {
			r := restorableRegistry(targetRecord("i-1", 3), targetRecord("i-2", 28))
			r.Apply(full(Targets, 26, targetRecord("i-1", 3)).inEra(2), at)
			started := New(zoneA, testLimits)
			started.Apply(full(Configs, 26, configRecord(15, 26, deskAddr)).inEra(2), at)
			started.Apply(r.Export(Targets), at+time.Second)
			convey.So(localAt(started, at+time.Second), convey.ShouldResemble, []string{"i-1", "i-2"})
			convey.So(localAt(started, at+time.Second+rewriteTime), convey.ShouldResemble, []string{"i-1"})
		})
	})
}

// Guards against zones that return into service, or leave it, because of what a restored store lacks or has again, and
// against objects that operators do not write again and that hold for ever.
func TestZonesOutOfRestoredStore(t *testing.T) {
	const at = 10 * time.Second
	zoneOut := func(revision uint64) Record { return Record{Name: string(zoneA), Revision: rev(revision)} }
	isOut := func(r *Registry, now time.Duration) bool {
		r.ReleaseHeld(now)
		_, out := r.zonesOut[zoneA]
		return out
	}
	convey.Convey("After the store was restored", t, func() {
		r := restorableRegistry(targetRecord("i-1", 3))
		convey.Convey("a zone out of service whose object is missing stays out for the time in which it is written again", func() {
			r.Apply(changed(ZonesOut, 31, zoneOut(31)).inEra(1), at-time.Second)
			r.Apply(full(ZonesOut, 26).inEra(2), at)
			convey.So(isOut(r, at+rewriteTime-1), convey.ShouldBeTrue)
			convey.Convey("and longer when it is", func() {
				r.Apply(changed(ZonesOut, 27, zoneOut(27)).inEra(2), at+time.Second)
				convey.So(isOut(r, at+time.Minute), convey.ShouldBeTrue)
				r.Apply(changed(ZonesOut, 28, removed(string(zoneA), 28)).inEra(2), at+time.Minute)
				convey.So(isOut(r, at+time.Minute), convey.ShouldBeFalse)
			})
			convey.Convey("and then returns with cold targets", func() {
				convey.So(isOut(r, at+rewriteTime), convey.ShouldBeFalse)
				convey.So(pools(snapshotAt(r, at+rewriteTime))["cold"], convey.ShouldResemble, []string{"i-1"})
			})
		})
		convey.Convey("a zone that this VM has not known as out leaves service at once, as it may have been taken out seconds before", func() {
			r.Apply(full(ZonesOut, 26, zoneOut(24)).inEra(2), at)
			convey.So(isOut(r, at), convey.ShouldBeTrue)
		})
		convey.Convey("a zone in service that the copy has as out leaves service only after that time", func() {
			r.Apply(changed(ZonesOut, 31, zoneOut(20)).inEra(1), time.Second)
			r.Apply(changed(ZonesOut, 32, removed(string(zoneA), 32)).inEra(1), 2*time.Second)
			r.Apply(full(ZonesOut, 26, zoneOut(20)).inEra(2), at)
			convey.So(isOut(r, at+rewriteTime-1), convey.ShouldBeFalse)
			convey.Convey("or not at all when operators take it back again", func() {
				r.Apply(changed(ZonesOut, 27, removed(string(zoneA), 27)).inEra(2), at+time.Second)
				convey.So(isOut(r, at+time.Minute), convey.ShouldBeFalse)
			})
			convey.Convey("or at once when operators take it out again", func() {
				r.Apply(changed(ZonesOut, 27, zoneOut(27)).inEra(2), at+time.Second)
				convey.So(isOut(r, at+time.Second), convey.ShouldBeTrue)
			})
			convey.Convey("or at once if the object is another one", func() {
				r.Apply(full(ZonesOut, 26, zoneOut(24)).inEra(3), at+time.Second)
				convey.So(isOut(r, at+time.Second), convey.ShouldBeTrue)
			})
			convey.Convey("as the store says so", func() {
				convey.So(isOut(r, at+rewriteTime), convey.ShouldBeTrue)
			})
		})
	})
}

// Guards against a configuration that goes back to that of the copy, and against one that a VM misses because only an earlier
// history has it.
func TestConfigurationOfRestoredStore(t *testing.T) {
	convey.Convey("Given configuration 15 of a history that the store has lost", t, func() {
		r := restorableRegistry()
		changes := r.Apply(full(Configs, 26, configRecord(11, 25, deskAddr)).inEra(2), time.Second)
		convey.So(r.ConfigVersion(), convey.ShouldEqual, 15)
		convey.So(changes[0].Event, convey.ShouldEqual, "kept a configuration that is newer than that of the store")
		convey.Convey("the next version comes into force, whatever its revision", func() {
			r.Apply(changed(Configs, 27, configRecord(17, 27, deskAddr)).inEra(2), time.Second)
			convey.So(r.ConfigVersion(), convey.ShouldEqual, 17)
		})
		convey.Convey("a VM that has only read the copy takes it over from a VM that has not read it yet", func() {
			started := New(zoneA, testLimits)
			started.Apply(full(Configs, 26, configRecord(11, 25, deskAddr)).inEra(2), 0)
			started.Apply(restorableRegistry().Export(Configs), time.Second)
			convey.So(started.ConfigVersion(), convey.ShouldEqual, 15)
			convey.So(started.AsOf(Configs), convey.ShouldEqual, Revision{Era: 2, Number: 26})
		})
	})
}

// Guards against new flows to an address that a later target has: packets to the earlier target are lost there.
func TestEntryOfEarlierTargetAtAddress(t *testing.T) {
	convey.Convey("The entry of a target whose address has a later owner gets no new flows", t, func() {
		earlier := targetRecord("i-1", 3)
		later := targetRecord("i-2", 29).with(func(t *Target) { t.Addr, t.StartMillis = earlier.Target.Addr, 2000 })
		r := restorableRegistry(later)
		r.Apply(full(Targets, 26, earlier).inEra(2), time.Second)
		convey.So(localAt(r, time.Second), convey.ShouldResemble, []string{"i-2"})
	})
}
