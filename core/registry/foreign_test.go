package registry

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core/forward"
)

// withService returns a change of an entry to another service at the address of another entry.
func withService(service string, at Record) func(*Target) {
	return func(t *Target) { t.Service, t.Addr, t.StartMillis = service, at.Target.Addr, 5000 }
}

// rebuild returns a snapshot even if nothing has changed since the last one.
func rebuild(r *Registry, at time.Duration) *forward.Snapshot {
	r.changed = true
	return r.Snapshot(at)
}

// Guards against resets of a running target's flows because another writer's entry, of a service that no configuration has,
// has the target's address.
func TestForeignEntryAtAddressOfTarget(t *testing.T) {
	convey.Convey("Given a target with an entry of its own", t, func() {
		host := targetRecord("i-1", 3)
		foreign := targetRecord("i-9", 11).with(withService("sidecar", host))
		r := testRegistry(host, targetRecord("i-2", 4))
		usable := func(r *Registry, at time.Duration) {
			snapshot := rebuild(r, at)
			convey.So(pools(snapshot)["local"], convey.ShouldResemble, []string{"i-1", "i-2"})
			c, _ := conditionOf(snapshot, "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Ready)
		}
		convey.Convey("a foreign entry at its address changes nothing", func() {
			r.Apply(changed(Targets, 11, foreign), time.Second)
			usable(r, time.Second)
			convey.Convey("nor does it when it changes, is removed, or the target's own entry is written again", func() {
				r.Apply(changed(Targets, 12, targetRecord("i-9", 12).with(withService("agent", host))), time.Second)
				usable(r, time.Second)
				r.Apply(changed(Targets, 13, targetRecord("i-1", 13).with(func(t *Target) { t.Slots = 5 })), time.Second)
				usable(r, time.Second)
				r.Apply(changed(Targets, 14, removed("i-9", 14)), time.Second)
				usable(r, time.Second)
			})
			convey.Convey("nor does it at a VM that receives both entries from this one", func() {
				other := New(zoneA, testLimits)
				for kind := range Kind(NumKinds) {
					other.Apply(r.Export(kind), r.ConfirmedAt(kind))
				}
				usable(other, time.Second)
			})
		})
		convey.Convey("a foreign entry that was there first changes nothing", func() {
			r = testRegistry(targetRecord("i-9", 2).with(withService("sidecar", host)), targetRecord("i-2", 4))
			r.Apply(changed(Targets, 11, targetRecord("i-1", 11)), time.Second)
			usable(r, time.Second)
		})
		convey.Convey("a foreign entry with the same number under another name changes nothing", func() {
			same := foreign
			same.Name = "agent-1"
			r.Apply(changed(Targets, 11, same.with(func(t *Target) { t.NumericID = 1 })), time.Second)
			usable(r, time.Second)
		})
		convey.Convey("a foreign entry gets no flows and no connections of this VM", func() {
			r.Apply(changed(Targets, 11, foreign), time.Second)
			t := r.Snapshot(time.Second).Targets[forward.NewToken("i-9", 5000)]
			convey.So(t, convey.ShouldBeNil)
		})
	})
}

// Guards against a target that is lost for its flows because another writer has overwritten its entry with one of a service that
// no configuration has.
func TestForeignEntryUnderIDOfTarget(t *testing.T) {
	convey.Convey("Given a target whose entry another writer has overwritten", t, func() {
		host := targetRecord("i-1", 3)
		r := testRegistry(host, targetRecord("i-2", 4))
		r.Apply(changed(Targets, 11, targetRecord("i-1", 11).with(withService("sidecar", targetRecord("i-7", 1)))), time.Second)
		snapshot := r.Snapshot(time.Second)
		convey.So(pools(snapshot)["local"], convey.ShouldResemble, []string{"i-2"})
		convey.Convey("its flows go on at its own address", func() {
			target := snapshot.Targets[forward.NewToken("i-1", 1000)]
			convey.So(target.Condition, convey.ShouldEqual, forward.Unusable)
			convey.So(target.Addr, convey.ShouldEqual, host.Target.Addr)
			convey.So(target.Service, convey.ShouldEqual, "desk")
		})
		convey.Convey("it gets new flows again when it has written its entry", func() {
			r.Apply(changed(Targets, 12, targetRecord("i-1", 12)), 2*time.Second)
			convey.So(pools(r.Snapshot(2 * time.Second))["local"], convey.ShouldResemble, []string{"i-1", "i-2"})
		})
		convey.Convey("a VM that starts meanwhile does not send its flows to the other address, nor reset them", func() {
			started := New(zoneA, testLimits)
			for kind := range Kind(NumKinds) {
				started.Apply(r.Export(kind), time.Second)
			}
			snapshot := started.Snapshot(time.Second)
			convey.So(pools(snapshot)["local"], convey.ShouldResemble, []string{"i-2"})
			convey.So(snapshot.Targets[forward.NewToken("i-1", 5000)], convey.ShouldBeNil)
			convey.So(snapshot.UnreadableEntries, convey.ShouldEqual, 1)
			started.Apply(changed(Targets, 12, targetRecord("i-1", 12)), 2*time.Second)
			convey.So(pools(started.Snapshot(2 * time.Second))["local"], convey.ShouldResemble, []string{"i-1", "i-2"})
		})
	})
}

// Guards against an entry that is dropped for good because it was read before the configuration that has its service.
func TestEntryOfLaterService(t *testing.T) {
	config := func(version, revision uint64, services ...string) Record {
		rec := configRecord(version, revision, deskAddr)
		rec.Config.Services, rec.Config.Routes[0].Backends = nil, nil
		for _, name := range services {
			rec.Config.Services = append(rec.Config.Services, Service{Name: name, ColdStart: 2 * time.Second, ColdPerSecond: 2})
			rec.Config.Routes[0].Backends = append(rec.Config.Routes[0].Backends, Backend{Service: name, Weight: 1})
		}
		return rec
	}
	backend := func(snapshot *forward.Snapshot, i int) []*forward.Target {
		return snapshot.Routes[endpoint(deskAddr)].Backends[i].Service.Local
	}
	convey.Convey("Given the entry of a service that the configuration does not have yet", t, func() {
		r := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4).with(func(t *Target) { t.Service = "counter" }))
		r.Apply(changed(Targets, 11, targetRecord("i-3", 11).with(func(t *Target) {
			t.Service, t.ColdRemaining = "counter", 2*time.Second
		})), time.Second)
		convey.So(pools(r.Snapshot(time.Second))["local"], convey.ShouldResemble, []string{"i-1"})
		convey.Convey("its target gets flows when a configuration has the service, and is as cold as its entry shows", func() {
			r.Apply(changed(Configs, 12, config(2, 12, "desk", "counter")), 1500*time.Millisecond)
			snapshot := r.Snapshot(1500 * time.Millisecond)
			convey.So(len(backend(snapshot, 1)), convey.ShouldEqual, 1)
			convey.So(snapshot.Routes[endpoint(deskAddr)].Backends[1].Service.Cold[0].ColdUntil, convey.ShouldEqual, 3*time.Second)
			convey.So(len(backend(r.Snapshot(3*time.Second), 1)), convey.ShouldEqual, 2)
		})
		convey.Convey("a list that repeats it is no news, and makes it no colder", func() {
			repeated := targetRecord("i-3", 11).with(func(t *Target) { t.Service, t.ColdRemaining = "counter", 2*time.Second })
			other := targetRecord("i-2", 4).with(func(t *Target) { t.Service = "counter" })
			convey.So(r.Apply(full(Targets, 12, targetRecord("i-1", 3), other, repeated), 2*time.Second), convey.ShouldBeEmpty)
			r.Apply(changed(Configs, 13, config(2, 13, "desk", "counter")), 2*time.Second)
			convey.So(r.targets["i-3"].coldUntil, convey.ShouldEqual, 3*time.Second)
		})
		convey.Convey("a list without it removes it", func() {
			r.Apply(full(Targets, 12, targetRecord("i-1", 3)), time.Second)
			r.Apply(changed(Configs, 13, config(2, 13, "desk", "counter")), 2*time.Second)
			convey.So(backend(r.Snapshot(2*time.Second), 1), convey.ShouldBeEmpty)
		})
		convey.Convey("a VM that receives it from this one has it, too", func() {
			other := New(zoneA, testLimits)
			for kind := range Kind(NumKinds) {
				other.Apply(r.Export(kind), r.ConfirmedAt(kind))
			}
			other.Apply(changed(Configs, 12, config(2, 12, "desk", "counter")), 4*time.Second)
			convey.So(len(backend(other.Snapshot(4*time.Second), 1)), convey.ShouldEqual, 2)
		})
		convey.Convey("the flows of its target go on when a later configuration does not have the service any more", func() {
			r.Apply(changed(Configs, 12, config(2, 12, "desk", "counter")), 4*time.Second)
			r.Apply(changed(Configs, 13, config(3, 13, "desk")), 5*time.Second)
			target := r.Snapshot(5 * time.Second).Targets[forward.NewToken("i-2", 1000)]
			convey.So(target.Condition, convey.ShouldEqual, forward.Unusable)
			r.Apply(changed(Configs, 14, config(4, 14, "desk", "counter")), 6*time.Second)
			convey.So(len(backend(r.Snapshot(6*time.Second), 1)), convey.ShouldEqual, 2)
		})
	})
}

// Guards against resets of the flows of a target that has an entry of its own because a later target has the same address.
func TestTargetsAtOneAddress(t *testing.T) {
	convey.Convey("Given two targets with one address, of which i-3 started later", t, func() {
		addr := targetRecord("i-1", 1).Target.Addr
		later := targetRecord("i-3", 11).with(func(t *Target) { t.Addr, t.StartMillis = addr, 3000 })
		r := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4))
		convey.So(r.Apply(changed(Targets, 11, later), time.Second)[0].Detail, convey.ShouldEqual, "has the address of i-1")
		condition := func(at time.Duration) forward.Condition {
			c, _ := conditionOf(rebuild(r, at), "i-1", 1000)
			return c
		}
		convey.Convey("only the later one gets new flows, and both keep theirs", func() {
			convey.So(pools(r.Snapshot(time.Second))["local"], convey.ShouldResemble, []string{"i-2", "i-3"})
			convey.So(condition(time.Second), convey.ShouldEqual, forward.Unusable)
		})
		convey.Convey("the earlier one is gone as soon as its entry is removed", func() {
			r.Apply(changed(Targets, 12, removed("i-1", 12)), 2*time.Second)
			convey.So(condition(2*time.Second), convey.ShouldEqual, forward.Gone)
		})
		convey.Convey("the earlier one gets flows again when the later one leaves or moves", func() {
			r.Apply(changed(Targets, 12, targetRecord("i-3", 12).with(func(t *Target) { t.StartMillis = 3000 })), 2*time.Second)
			convey.So(pools(r.Snapshot(2 * time.Second))["local"], convey.ShouldResemble, []string{"i-1", "i-2", "i-3"})
			r.Apply(changed(Targets, 13, later), 2*time.Second)
			r.Apply(changed(Targets, 14, removed("i-3", 14)), 3*time.Second)
			convey.So(condition(3*time.Second), convey.ShouldEqual, forward.Ready)
		})
		convey.Convey("an entry without usable content does not count", func() {
			r.Apply(changed(Targets, 12, Record{Name: "i-3", Revision: rev(12), Unreadable: "odd"}), 2*time.Second)
			convey.So(condition(2*time.Second), convey.ShouldEqual, forward.Ready)
		})
	})
}
