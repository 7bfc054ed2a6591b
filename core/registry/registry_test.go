package registry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core/forward"
)

// conditionOf returns the condition of an incarnation in a snapshot; Gone and false when it has none.
func conditionOf(snapshot *forward.Snapshot, id string, startMillis int64) (forward.Condition, bool) {
	t := snapshot.Targets[forward.NewToken(id, startMillis)]
	if t == nil {
		return forward.Gone, false
	}
	return t.Condition, true
}

// Guards against a return to an older configuration from a source that lags behind, or from a late response.
func TestConfigVersionNeverDecreases(t *testing.T) {
	convey.Convey("Given a configuration in force", t, func() {
		r := testRegistry()
		other := netip.MustParseAddrPort("198.18.0.2:443")
		r.Apply(changed(Configs, 20, configRecord(4, 20, deskAddr, other)), 0)
		convey.So(r.ConfigVersion(), convey.ShouldEqual, 4)
		convey.Convey("older updates change nothing", func() {
			r.Apply(full(Configs, 10, configRecord(1, 5, deskAddr)), 0)
			r.Apply(changed(Configs, 30, configRecord(3, 25, deskAddr)), 0)
			convey.So(r.ConfigVersion(), convey.ShouldEqual, 4)
		})
		convey.Convey("an unreadable configuration changes nothing and is reported", func() {
			changes := r.Apply(changed(Configs, 30, Record{Name: ConfigName, Revision: rev(30), Unreadable: "odd"}), 0)
			convey.So(changes[0].Event, convey.ShouldEqual, "unreadable")
			convey.So(r.ConfigVersion(), convey.ShouldEqual, 4)
		})
		convey.Convey("a dropped route stays dropped until a configuration has it again", func() {
			r.Apply(changed(Configs, 30, configRecord(7, 30, deskAddr)), 0)
			convey.So(r.Snapshot(0).DroppedRoutes, convey.ShouldContainKey, endpoint(other))
			r.Apply(changed(Configs, 40, configRecord(9, 40, deskAddr, other)), 0)
			convey.So(r.Snapshot(0).DroppedRoutes, convey.ShouldBeEmpty)
		})
	})
}

// Guards against new flows to targets that were removed or are draining, and against resets of flows of targets
// that still run.
func TestRemovedAndDrainingTargets(t *testing.T) {
	convey.Convey("Given two ready targets", t, func() {
		r := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4))
		convey.So(pools(r.Snapshot(0))["local"], convey.ShouldResemble, []string{"i-1", "i-2"})
		convey.Convey("a draining target is removed from the pools and keeps its flows", func() {
			r.Apply(changed(Targets, 11, targetRecord("i-1", 11).with(func(t *Target) { t.Draining = true })), time.Second)
			snapshot := r.Snapshot(time.Second)
			convey.So(pools(snapshot)["local"], convey.ShouldResemble, []string{"i-2"})
			c, _ := conditionOf(snapshot, "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Draining)
			convey.Convey("and is gone DrainExitDelay after the removal of its entry", func() {
				r.Apply(changed(Targets, 12, removed("i-1", 12)), 2*time.Second)
				c, _ = conditionOf(r.Snapshot(2*time.Second), "i-1", 1000)
				convey.So(c, convey.ShouldEqual, forward.Draining)
				convey.So(r.NextDue(), convey.ShouldEqual, 2*time.Second+forward.DrainExitDelay)
				c, _ = conditionOf(r.Snapshot(3*time.Second), "i-1", 1000)
				convey.So(c, convey.ShouldEqual, forward.Gone)
			})
		})
		convey.Convey("a target whose entry expires is used last until entryReturnTime has passed", func() {
			r.Apply(full(Targets, 20, targetRecord("i-2", 4)), time.Second)
			snapshot := r.Snapshot(time.Second)
			convey.So(pools(snapshot)["expired"], convey.ShouldResemble, []string{"i-1"})
			c, _ := conditionOf(r.Snapshot(time.Second+entryReturnTime), "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Gone)
			convey.Convey("and gets new flows again when its entry returns", func() {
				r.Apply(changed(Targets, 21, targetRecord("i-1", 21)), 2*time.Second)
				convey.So(pools(r.Snapshot(2 * time.Second))["local"], convey.ShouldResemble, []string{"i-1", "i-2"})
			})
			convey.Convey("and is discarded after goneRetention", func() {
				_, found := conditionOf(r.Snapshot(time.Second+goneRetention), "i-1", 1000)
				convey.So(found, convey.ShouldBeFalse)
			})
		})
		convey.Convey("the old token leads to a new incarnation with the same id", func() {
			r.Apply(changed(Targets, 11, targetRecord("i-1", 11).with(func(t *Target) { t.StartMillis = 2000 })), time.Second)
			snapshot := r.Snapshot(time.Second)
			next := snapshot.Targets[forward.NewToken("i-1", 2000)]
			convey.So(next.Condition, convey.ShouldEqual, forward.Ready)
			convey.So(snapshot.Targets[forward.NewToken("i-1", 1000)], convey.ShouldEqual, next)
		})
		convey.Convey("a target that started later at the same address replaces it, one that started earlier does not", func() {
			addr := targetRecord("i-1", 1).Target.Addr
			r.Apply(changed(Targets, 11, targetRecord("i-3", 11).with(func(t *Target) { t.Addr, t.StartMillis = addr, 500 })), 0)
			c, _ := conditionOf(r.Snapshot(0), "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Ready)
			r.Apply(changed(Targets, 12, targetRecord("i-4", 12).with(func(t *Target) { t.Addr, t.StartMillis = addr, 3000 })), 0)
			snapshot := r.Snapshot(0)
			convey.So(pools(snapshot)["local"], convey.ShouldResemble, []string{"i-2", "i-4"})
			c, _ = conditionOf(snapshot, "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Unusable)
			r.Apply(changed(Targets, 13, removed("i-1", 13)), 0)
			c, _ = conditionOf(r.Snapshot(0), "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Gone)
		})
		convey.Convey("a target whose entry becomes unreadable gets no new flows, keeps its own and does not affect others", func() {
			r.Apply(changed(Targets, 11, Record{Name: "i-1", Revision: rev(11), Unreadable: "odd"}), 0)
			snapshot := r.Snapshot(0)
			convey.So(pools(snapshot)["local"], convey.ShouldResemble, []string{"i-2"})
			c, _ := conditionOf(snapshot, "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Unusable)
			convey.So(r.Apply(changed(Targets, 12, Record{Name: "i-9", Revision: rev(12), Unreadable: "odd"}), 0)[0].Event,
				convey.ShouldEqual, "unreadable")
		})
	})
}

// Guards against updates that arrive late or twice, such as those of a second source.
func TestOlderUpdatesChangeNothing(t *testing.T) {
	convey.Convey("Given a draining target", t, func() {
		r := testRegistry(targetRecord("i-1", 3))
		r.Apply(changed(Targets, 30, targetRecord("i-1", 25).with(func(t *Target) { t.Draining = true })), 0)
		convey.Convey("neither an older list nor an older change makes it ready again", func() {
			convey.So(r.Apply(full(Targets, 20, targetRecord("i-1", 3)), 0)[0].Event, convey.ShouldEqual, "ignored older update")
			convey.So(r.Apply(changed(Targets, 31, targetRecord("i-1", 24)), 0), convey.ShouldBeEmpty)
			c, _ := conditionOf(r.Snapshot(0), "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Draining)
		})
	})
}

// Guards against new flows to a zone that is out of service, and against a burst on its cold targets when it
// returns.
func TestZonesOutAndBack(t *testing.T) {
	convey.Convey("Given targets in two zones", t, func() {
		r := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4).with(func(t *Target) { t.Zone = zoneB }))
		r.Apply(changed(ZonesOut, 11, Record{Name: string(zoneA), Revision: rev(11)}), 0)
		convey.So(pools(r.Snapshot(0)), convey.ShouldResemble, map[string][]string{"remote": {"i-2"}})
		convey.Convey("a zone that returns counts as cold until its targets have had time to renew their entries", func() {
			r.Apply(changed(ZonesOut, 20, removed(string(zoneA), 20)), time.Second)
			r.Apply(changed(Targets, 20), time.Second)
			convey.So(pools(r.Snapshot(time.Second))["cold"], convey.ShouldResemble, []string{"i-1"})
			due := r.NextDue()
			convey.So(due, convey.ShouldEqual, time.Second+2*testLimits.Heartbeat+2*time.Second)
			convey.So(pools(r.Snapshot(due))["local"], convey.ShouldResemble, []string{"i-1"})
		})
		// Without this a returning zone carries little of the load for a cold start longer than its targets are cold.
		convey.Convey("it counts as cold for two heartbeats while the store confirms the entries", func() {
			r.Apply(changed(ZonesOut, 20, removed(string(zoneA), 20)), time.Second)
			r.Apply(changed(Targets, 20), time.Second)
			renewed := time.Second + 2*testLimits.Heartbeat
			for at := time.Second; at < renewed; at += 500 * time.Millisecond {
				for kind := range Kind(NumKinds) {
					r.Confirm(kind, at)
				}
				convey.So(pools(r.Snapshot(at))["cold"], convey.ShouldResemble, []string{"i-1"})
			}
			r.Confirm(Targets, renewed)
			convey.So(pools(r.Snapshot(renewed))["local"], convey.ShouldResemble, []string{"i-1"})
		})
		convey.Convey("an entry that shows in that time that its target is cold counts as well", func() {
			r.Apply(changed(ZonesOut, 20, removed(string(zoneA), 20)), time.Second)
			cold := targetRecord("i-1", 21).with(func(t *Target) { t.ColdRemaining = 5 * time.Second })
			r.Apply(changed(Targets, 21, cold), 2*time.Second)
			renewed := time.Second + 2*testLimits.Heartbeat
			for kind := range Kind(NumKinds) {
				r.Confirm(kind, renewed)
			}
			convey.So(pools(r.Snapshot(renewed))["cold"], convey.ShouldResemble, []string{"i-1"})
		})
		convey.Convey("a gap in the confirmations may hide an entry that shows a cold target", func() {
			r.Apply(changed(ZonesOut, 20, removed(string(zoneA), 20)), time.Second)
			r.Apply(changed(Targets, 20), time.Second)
			at := time.Second + freshTime + 2*testLimits.Heartbeat
			for kind := range Kind(NumKinds) {
				r.Confirm(kind, at)
			}
			convey.So(at, convey.ShouldBeGreaterThan, time.Second+r.zoneColdTime())
			r.Apply(changed(ZonesOut, 30, Record{Name: string(zoneA), Revision: rev(30)}), at)
			r.Apply(changed(ZonesOut, 40, removed(string(zoneA), 40)), at)
			r.Apply(changed(Targets, 40), at)
			later := at + freshTime + time.Millisecond
			r.Confirm(Targets, later)
			r.Confirm(ZonesOut, later)
			r.Confirm(Configs, later)
			convey.So(pools(r.Snapshot(later))["cold"], convey.ShouldResemble, []string{"i-1"})
		})
		convey.Convey("it counts as cold until the targets have been read again after its return", func() {
			r.Apply(changed(ZonesOut, 20, removed(string(zoneA), 20)), time.Second)
			convey.So(pools(r.Snapshot(time.Minute))["cold"], convey.ShouldResemble, []string{"i-1"})
		})
		convey.Convey("a full update without the zone takes it back into service as well", func() {
			r.Apply(full(ZonesOut, 30), time.Second)
			convey.So(pools(r.Snapshot(time.Second))["cold"], convey.ShouldResemble, []string{"i-1"})
		})
	})
}

// Guards against cold targets that a VM takes for warm because it started after their zone was taken back into
// service and before their entries showed that they are cold: 9 instead of 5 flows a second in a zone of 3 VMs.
func TestReturnedZoneIsKnownAfterStart(t *testing.T) {
	convey.Convey("Given a VM that has read that a zone was taken back", t, func() {
		r := testRegistry(targetRecord("i-1", 3))
		r.Apply(changed(ZonesOut, 11, Record{Name: string(zoneA), Revision: rev(11)}), 0)
		r.Apply(changed(ZonesOut, 20, removed(string(zoneA), 20)), time.Second)
		r.Apply(changed(Targets, 20), time.Second)
		now := 1500 * time.Millisecond
		returned := r.ReturnedZones(now)
		convey.So(returned, convey.ShouldResemble, []ReturnedZone{{Zone: zoneA, Age: 500 * time.Millisecond, Revision: rev(20)}})
		start := func() *Registry {
			started := New(zoneA, testLimits)
			for _, z := range returned {
				started.ApplyReturnedZone(z, now)
			}
			for kind := range Kind(NumKinds) {
				started.Apply(r.Export(kind), now)
			}
			return started
		}
		convey.Convey("a VM that starts treats the zone's targets as cold, for as long as the other one", func() {
			started := start()
			convey.So(pools(started.Snapshot(now))["cold"], convey.ShouldResemble, []string{"i-1"})
			end := time.Second + started.zoneColdTime()
			convey.So(pools(started.Snapshot(end))["local"], convey.ShouldResemble, []string{"i-1"})
		})
		convey.Convey("a VM that has read the zones out of service ignores what another one reports", func() {
			started := start()
			started.ApplyReturnedZone(ReturnedZone{Zone: zoneB, Revision: rev(20)}, now)
			convey.So(len(started.returningZones), convey.ShouldEqual, 1)
		})
	})
}

// Guards against more new flows to cold targets than their budget.
func TestColdTargets(t *testing.T) {
	convey.Convey("A cold target of the VM's own zone has a budget, and one of another zone gets no flows", t, func() {
		cold := func(t *Target) { t.ColdRemaining = 1500 * time.Millisecond }
		r := testRegistry(targetRecord("i-1", 3).with(cold),
			targetRecord("i-2", 4).with(func(t *Target) { cold(t); t.Zone = zoneB }))
		snapshot := r.Snapshot(0)
		convey.So(pools(snapshot), convey.ShouldResemble, map[string][]string{"cold": {"i-1"}})
		service := snapshot.Routes[endpoint(deskAddr)].Backends[0].Service
		convey.So(service.ColdLimit, convey.ShouldEqual, 2*1.5+5)
		convey.So(r.NextDue(), convey.ShouldEqual, 1500*time.Millisecond)
		convey.So(pools(r.Snapshot(1500*time.Millisecond)), convey.ShouldResemble,
			map[string][]string{"local": {"i-1"}, "remote": {"i-2"}})
	})
}

// Guards against a snapshot that counts as fresh although the store has not confirmed it.
func TestFreshness(t *testing.T) {
	convey.Convey("A snapshot is fresh while every kind was confirmed less than freshTime ago", t, func() {
		r := New(zoneA, testLimits)
		r.Confirm(Targets, time.Hour)
		convey.So(r.FreshUntil(), convey.ShouldEqual, 0)
		r = testRegistry()
		r.Confirm(Targets, 2*time.Second)
		r.Confirm(ZonesOut, 3*time.Second)
		convey.So(r.FreshUntil(), convey.ShouldEqual, freshTime)
		r.Confirm(Configs, time.Second)
		convey.So(r.FreshUntil(), convey.ShouldEqual, time.Second+freshTime)
	})
}

// Guards against a subscriber whose snapshot differs from that of the VM that it subscribes to.
func TestExportRestoresSnapshot(t *testing.T) {
	convey.Convey("A Registry that applies an export has the same snapshot", t, func() {
		a := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4).with(func(t *Target) { t.Draining = true }),
			targetRecord("i-3", 5).with(func(t *Target) { t.ColdRemaining = time.Second }))
		a.Apply(changed(ZonesOut, 12, Record{Name: string(zoneB), Revision: rev(12)}), 0)
		b := New(zoneA, testLimits)
		for kind := range Kind(NumKinds) {
			b.Apply(a.Export(kind), a.ConfirmedAt(kind))
			convey.So(b.AsOf(kind), convey.ShouldEqual, a.AsOf(kind))
		}
		convey.So(pools(b.Snapshot(500*time.Millisecond)), convey.ShouldResemble, pools(a.Snapshot(500*time.Millisecond)))
		convey.So(b.NextDue(), convey.ShouldEqual, a.NextDue())
	})
}

// Guards against a target that counts as warm too early at a VM that subscribes late. In a soak run a target
// with a limit of 8 new flows per second got 11 within a second at the end of its cold start.
func TestExportKeepsColdTimes(t *testing.T) {
	convey.Convey("Cold starts end at the same time, however long after the last confirmation an export is made", t, func() {
		a := testRegistry(targetRecord("i-1", 3).with(func(t *Target) { t.ColdRemaining = 2 * time.Second }))
		a.Confirm(Targets, 200*time.Millisecond)
		const now = 1200 * time.Millisecond
		b := New(zoneA, testLimits)
		for kind := range Kind(NumKinds) {
			b.Apply(a.Export(kind), a.ConfirmedAt(kind))
		}
		snapshot := b.Snapshot(now)
		convey.So(snapshot.Targets[forward.NewToken("i-1", 1000)].ColdUntil, convey.ShouldEqual, 2*time.Second)
	})
}

// Guards against check-config naming the wrong one of two routes with the same address as without effect.
func TestLastRouteOfAddressCounts(t *testing.T) {
	r := testRegistry()
	next := configRecord(2, 11, deskAddr, deskAddr)
	next.Config.Routes[0].Name, next.Config.Routes[1].Name = "first", "last"
	r.Apply(changed(Configs, 11, next), 0)
	if route := r.Snapshot(0).Routes[endpoint(deskAddr)]; route == nil || route.Name != "last" {
		t.Errorf("got route %+v, want the last one", route)
	}
}
