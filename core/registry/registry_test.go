package registry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core/forward"
)

// conditionOf returns the condition of a lifetime in the view; Gone with ok false when it is unknown.
func conditionOf(v *forward.Snapshot, id string, born int64) (forward.Condition, bool) {
	t := v.Targets[forward.NewToken(id, born)]
	if t == nil {
		return forward.Gone, false
	}
	return t.Condition, true
}

// Guards against a configuration that reverts: a source that lags, or a late answer, has older ones.
func TestConfigNeverGoesBack(t *testing.T) {
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
		convey.Convey("an unreadable one changes nothing and is reported", func() {
			changes := r.Apply(changed(Configs, 30, Record{Name: ConfigName, Revision: 30, Unreadable: "odd"}), 0)
			convey.So(changes[0].Event, convey.ShouldEqual, "unreadable")
			convey.So(r.ConfigVersion(), convey.ShouldEqual, 4)
		})
		convey.Convey("a route that is dropped stays dropped until a configuration has it again", func() {
			r.Apply(changed(Configs, 30, configRecord(7, 30, deskAddr)), 0)
			convey.So(r.Snapshot(0).DroppedRoutes, convey.ShouldContainKey, endpoint(other))
			r.Apply(changed(Configs, 40, configRecord(9, 40, deskAddr, other)), 0)
			convey.So(r.Snapshot(0).DroppedRoutes, convey.ShouldBeEmpty)
		})
	})
}

// Guards against new flows to targets that leave, and against resets of those that did not.
func TestTargetsThatLeave(t *testing.T) {
	convey.Convey("Given a ready target", t, func() {
		r := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4))
		convey.So(pools(r.Snapshot(0))["local"], convey.ShouldResemble, []string{"i-1", "i-2"})
		convey.Convey("a draining one leaves the pools and keeps its flows", func() {
			r.Apply(changed(Targets, 11, targetRecord("i-1", 11).with(func(t *Target) { t.Draining = true })), time.Second)
			v := r.Snapshot(time.Second)
			convey.So(pools(v)["local"], convey.ShouldResemble, []string{"i-2"})
			c, _ := conditionOf(v, "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Draining)
			convey.Convey("and is gone a second after its entry", func() {
				r.Apply(changed(Targets, 12, removed("i-1", 12)), 2*time.Second)
				c, _ = conditionOf(r.Snapshot(2*time.Second), "i-1", 1000)
				convey.So(c, convey.ShouldEqual, forward.Draining)
				convey.So(r.NextDue(), convey.ShouldEqual, 2*time.Second+forward.DrainExitDelay)
				c, _ = conditionOf(r.Snapshot(3*time.Second), "i-1", 1000)
				convey.So(c, convey.ShouldEqual, forward.Gone)
			})
		})
		convey.Convey("one whose entry lapses is a last resort until the store would have it back", func() {
			r.Apply(full(Targets, 20, targetRecord("i-2", 4)), time.Second)
			v := r.Snapshot(time.Second)
			convey.So(pools(v)["lapsed"], convey.ShouldResemble, []string{"i-1"})
			c, _ := conditionOf(r.Snapshot(time.Second+lapseReturn), "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Gone)
			convey.Convey("and serves again when its entry returns", func() {
				r.Apply(changed(Targets, 21, targetRecord("i-1", 21)), 2*time.Second)
				convey.So(pools(r.Snapshot(2 * time.Second))["local"], convey.ShouldResemble, []string{"i-1", "i-2"})
			})
			convey.Convey("and is forgotten after a minute", func() {
				_, known := conditionOf(r.Snapshot(time.Second+goneMemory), "i-1", 1000)
				convey.So(known, convey.ShouldBeFalse)
			})
		})
		convey.Convey("a new lifetime under its id takes over the old token, and answers for its flows", func() {
			r.Apply(changed(Targets, 11, targetRecord("i-1", 11).with(func(t *Target) { t.StartMillis = 2000 })), time.Second)
			v := r.Snapshot(time.Second)
			next := v.Targets[forward.NewToken("i-1", 2000)]
			convey.So(next.Condition, convey.ShouldEqual, forward.Ready)
			convey.So(v.Targets[forward.NewToken("i-1", 1000)], convey.ShouldEqual, next)
		})
		convey.Convey("a later target at its address ends it, an earlier one does not", func() {
			addr := targetRecord("i-1", 1).Target.Addr
			r.Apply(changed(Targets, 11, targetRecord("i-3", 11).with(func(t *Target) { t.Addr, t.StartMillis = addr, 500 })), 0)
			c, _ := conditionOf(r.Snapshot(0), "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Ready)
			r.Apply(changed(Targets, 12, targetRecord("i-4", 12).with(func(t *Target) { t.Addr, t.StartMillis = addr, 3000 })), 0)
			c, _ = conditionOf(r.Snapshot(0), "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Gone)
		})
		convey.Convey("an entry that turns unreadable gets no new flows, hides no other and keeps its flows", func() {
			r.Apply(changed(Targets, 11, Record{Name: "i-1", Revision: 11, Unreadable: "odd"}), 0)
			v := r.Snapshot(0)
			convey.So(pools(v)["local"], convey.ShouldResemble, []string{"i-2"})
			c, _ := conditionOf(v, "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Unusable)
			convey.So(r.Apply(changed(Targets, 12, Record{Name: "i-9", Revision: 12, Unreadable: "odd"}), 0)[0].Event,
				convey.ShouldEqual, "unreadable")
		})
	})
}

// Guards against updates that arrive late or twice, as from a second source.
func TestOlderUpdatesChangeNothing(t *testing.T) {
	convey.Convey("Given a target that drains", t, func() {
		r := testRegistry(targetRecord("i-1", 3))
		r.Apply(changed(Targets, 30, targetRecord("i-1", 25).with(func(t *Target) { t.Draining = true })), 0)
		convey.Convey("neither an older list nor an older change revives it", func() {
			convey.So(r.Apply(full(Targets, 20, targetRecord("i-1", 3)), 0)[0].Event, convey.ShouldEqual, "ignored older update")
			convey.So(r.Apply(changed(Targets, 31, targetRecord("i-1", 24)), 0), convey.ShouldBeEmpty)
			c, _ := conditionOf(r.Snapshot(0), "i-1", 1000)
			convey.So(c, convey.ShouldEqual, forward.Draining)
		})
	})
}

// Guards against new flows to a zone that is out, and against a burst on cold targets when it returns.
func TestZonesOutAndBack(t *testing.T) {
	convey.Convey("Given targets in two zones", t, func() {
		r := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4).with(func(t *Target) { t.Zone = zoneB }))
		r.Apply(changed(ZonesOut, 11, Record{Name: string(zoneA), Revision: 11}), 0)
		convey.So(pools(r.Snapshot(0)), convey.ShouldResemble, map[string][]string{"remote": {"i-2"}})
		convey.Convey("a zone that returns is cold until its targets had time to say that they are", func() {
			r.Apply(changed(ZonesOut, 20, removed(string(zoneA), 20)), time.Second)
			r.Apply(changed(Targets, 20), time.Second)
			convey.So(pools(r.Snapshot(time.Second))["cold"], convey.ShouldResemble, []string{"i-1"})
			due := r.NextDue()
			convey.So(due, convey.ShouldEqual, time.Second+2*testLimits.Heartbeat+2*time.Second)
			convey.So(pools(r.Snapshot(due))["local"], convey.ShouldResemble, []string{"i-1"})
		})
		convey.Convey("however long that takes, it is cold while the targets were read before its return", func() {
			r.Apply(changed(ZonesOut, 20, removed(string(zoneA), 20)), time.Second)
			convey.So(pools(r.Snapshot(time.Minute))["cold"], convey.ShouldResemble, []string{"i-1"})
		})
		convey.Convey("a list without the zone brings it back as well", func() {
			r.Apply(full(ZonesOut, 30), time.Second)
			convey.So(pools(r.Snapshot(time.Second))["cold"], convey.ShouldResemble, []string{"i-1"})
		})
	})
}

// Guards against the use of cold targets beyond their budget.
func TestColdTargets(t *testing.T) {
	convey.Convey("A cold target of the zone has a budget, one of another zone gets nothing", t, func() {
		cold := func(t *Target) { t.ColdRemaining = 1500 * time.Millisecond }
		r := testRegistry(targetRecord("i-1", 3).with(cold),
			targetRecord("i-2", 4).with(func(t *Target) { cold(t); t.Zone = zoneB }))
		v := r.Snapshot(0)
		convey.So(pools(v), convey.ShouldResemble, map[string][]string{"cold": {"i-1"}})
		service := v.Routes[endpoint(deskAddr)].Backends[0].Service
		convey.So(service.ColdLimit, convey.ShouldEqual, 2*1.5+5)
		convey.So(r.NextDue(), convey.ShouldEqual, 1500*time.Millisecond)
		convey.So(pools(r.Snapshot(1500*time.Millisecond)), convey.ShouldResemble,
			map[string][]string{"local": {"i-1"}, "remote": {"i-2"}})
	})
}

// Guards against a VM that trusts a view that the store has not confirmed.
func TestFreshness(t *testing.T) {
	convey.Convey("A view is current while every kind was confirmed a short time ago", t, func() {
		r := New(zoneA, testLimits)
		r.Confirm(Targets, time.Hour)
		convey.So(r.FreshUntil(), convey.ShouldEqual, 0)
		r = testRegistry()
		r.Confirm(Targets, 2*time.Second)
		r.Confirm(ZonesOut, 3*time.Second)
		convey.So(r.FreshUntil(), convey.ShouldEqual, freshFor)
		r.Confirm(Configs, time.Second)
		convey.So(r.FreshUntil(), convey.ShouldEqual, time.Second+freshFor)
	})
}

// Guards against a subscriber that ends up with another view than the VM it subscribes to.
func TestExportRebuildsTheView(t *testing.T) {
	convey.Convey("A Registry that applies an export has the same view", t, func() {
		a := testRegistry(targetRecord("i-1", 3), targetRecord("i-2", 4).with(func(t *Target) { t.Draining = true }),
			targetRecord("i-3", 5).with(func(t *Target) { t.ColdRemaining = time.Second }))
		a.Apply(changed(ZonesOut, 12, Record{Name: string(zoneB), Revision: 12}), 0)
		b := New(zoneA, testLimits)
		for kind := range Kind(NumKinds) {
			b.Apply(a.Export(kind), a.ConfirmedAt(kind))
			convey.So(b.AsOf(kind), convey.ShouldEqual, a.AsOf(kind))
		}
		convey.So(pools(b.Snapshot(500*time.Millisecond)), convey.ShouldResemble, pools(a.Snapshot(500*time.Millisecond)))
		convey.So(b.NextDue(), convey.ShouldEqual, a.NextDue())
	})
}

// Guards against a target that counts as warm too early at a VM that subscribes late: in the soak one got
// 11 new flows within a second at the end of its cold start, and bears 8.
func TestExportKeepsColdTimes(t *testing.T) {
	convey.Convey("However long after the store's last word an export is made, cold starts end as they did", t, func() {
		a := testRegistry(targetRecord("i-1", 3).with(func(t *Target) { t.ColdRemaining = 2 * time.Second }))
		a.Confirm(Targets, 200*time.Millisecond)
		const now = 1200 * time.Millisecond
		b := New(zoneA, testLimits)
		for kind := range Kind(NumKinds) {
			b.Apply(a.Export(kind), a.ConfirmedAt(kind))
		}
		v := b.Snapshot(now)
		convey.So(v.Targets[forward.NewToken("i-1", 1000)].ColdUntil, convey.ShouldEqual, 2*time.Second)
	})
}
