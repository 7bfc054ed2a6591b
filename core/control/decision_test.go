package control_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
)

// Guards against use of authority after a pause, during which another VM may have got it.
func TestClockJump(t *testing.T) {
	t.Parallel()
	Convey("Given a VM with authority", t, func() {
		w := newFleet(5, 3)
		v := w.vms[0]
		So(v.snapshot.AuthorityUntil, ShouldBeGreaterThan, w.now)
		Convey("after a gap of more than a second it first publishes a snapshot without authority", func() {
			out := v.control.Handle(core.Tick{}, w.now+1100*time.Millisecond, nil)
			first, ok := firstSnapshot(out)
			So(ok, ShouldBeTrue)
			So(first.AuthorityUntil, ShouldBeLessThanOrEqualTo, w.now)
		})
		Convey("after a gap of less than a second it keeps authority", func() {
			out := v.control.Handle(core.Tick{}, w.now+900*time.Millisecond, nil)
			first, ok := firstSnapshot(out)
			So(!ok || first.AuthorityUntil > w.now+900*time.Millisecond, ShouldBeTrue)
		})
	})
}

func firstSnapshot(out []core.Action) (*core.Snapshot, bool) {
	for _, a := range out {
		if p, ok := a.(core.PublishSnapshot); ok {
			return p.Snapshot, true
		}
	}
	return nil, false
}

// Guards against authority that ends in an outage of the platform, or that outlasts the reach of the
// other members.
func TestOutage(t *testing.T) {
	t.Parallel()
	Convey("Given 6 VMs and a platform that has been down for 20 s", t, func() {
		w := newFleet(6, 6)
		w.platform.down = true
		w.advance(20 * time.Second)
		Convey("all VMs keep authority while they hear each other", func() {
			So(w.settled(), ShouldEqual, "")
		})
		Convey("a killed VM is replaced with authority, as its end is proven", func() {
			w.vms[2].kill()
			w.advance(3 * time.Second)
			So(w.settled(), ShouldEqual, "")
		})
		Convey("a silent VM costs the others their authority", func() {
			w.vms[2].paused = true
			w.advance(3 * time.Second)
			So(w.vms[0].snapshot.AuthorityUntil, ShouldBeLessThanOrEqualTo, w.now)
		})
		Convey("reads are few and return with jitter", func() {
			w.platform.calls = 0
			w.advance(20 * time.Second)
			So(w.platform.calls, ShouldBeLessThan, 6*40)
			w.platform.down = false
			w.platform.calls = 0
			w.advance(time.Second)
			So(w.platform.calls, ShouldBeLessThan, 6*5)
			w.advance(5 * time.Second)
			So(w.settled(), ShouldEqual, "")
		})
		Convey("all VMs can be replaced one after the other", func() {
			for _, v := range w.vms {
				v.handle(core.Stop{})
				v.report(core.ShardDrained{})
				w.advance(5 * time.Second)
				So(v.drained, ShouldBeTrue)
				So(v.holds, ShouldBeEmpty)
				v.kill()
				v.start()
				w.advance(5 * time.Second)
			}
			// A VM that starts during an outage waits ConfirmTTL for holders that it can't know of.
			w.advance(core.ConfirmTTL)
			So(w.settled(), ShouldEqual, "")
		})
	})
}

// Guards against targets of a zone taken out that stay with its VMs or still accept flows, and
// against a zone that does not get its targets back.
func TestZoneOut(t *testing.T) {
	t.Parallel()
	Convey("Given 6 VMs whose first zone is taken out", t, func() {
		w := newFleet(7, 6)
		next := copyConfig(w.configs[1])
		next.Zones[0].State = core.ZoneOut
		w.accept(next)
		w.advance(5 * time.Second)
		So(w.settled(), ShouldEqual, "")
		for _, target := range targetsOf(next) {
			view := w.vms[5].snapshot.Targets[target.ID]
			holder := w.vm(view.Owner)
			So(holder.zone, ShouldNotEqual, zones[0])
			So(view.ZoneOut, ShouldEqual, target.Zone == zones[0])
			So(slices.Contains(w.current(target), target.ID), ShouldEqual, target.Zone != zones[0])
		}
		Convey("its targets go back when it returns", func() {
			back := copyConfig(next)
			back.Zones[0].State = core.ZoneIn
			w.accept(back)
			w.advance(6 * time.Second)
			So(w.settled(), ShouldEqual, "")
			for _, target := range targetsOf(back) {
				So(w.vm(w.holders(target.ID)[0]).zone, ShouldEqual, target.Zone)
			}
		})
	})
}

// current returns the ids of the targets of a target's service that accept flows.
func (w *world) current(t core.Target) []core.TargetID {
	return w.vms[5].snapshot.Services[t.Service].Current.IDs
}

// Guards against flows of removed targets that are cut off, against histories that grow without
// change, and against packets to an address that has just moved to another service.
func TestTargetSets(t *testing.T) {
	t.Parallel()
	Convey("Given a fleet with 18 targets", t, func() {
		w := newFleet(8, 3)
		v := w.vms[0]
		service := w.configs[1].Services[0].ID
		gone := w.configs[1].Services[0].Targets[0]
		So(v.snapshot.Services[service].PreviousSets, ShouldBeEmpty)
		Convey("a change that leaves the accepting targets alone adds no former set", func() {
			next := copyConfig(w.configs[1])
			next.Services[0].Contract.QueueLimit = 7
			w.accept(next)
			w.advance(2 * time.Second)
			So(v.snapshot.Services[service].PreviousSets, ShouldBeEmpty)
		})
		Convey("a removed target leaves the current set and is kept for its drain time", func() {
			next := copyConfig(w.configs[1])
			next.Services[0].Targets = next.Services[0].Targets[1:]
			moved := next.Services[1].Targets[0]
			moved.Addr, moved.ID = gone.Addr, moved.ID+1
			next.Services[1].Targets = append(next.Services[1].Targets, moved)
			w.accept(next)
			w.advance(2 * time.Second)
			views := v.snapshot.Services
			So(views[service].Current.IDs, ShouldNotContain, gone.ID)
			So(views[service].PreviousSets, ShouldHaveLength, 1)
			So(views[service].PreviousSets[0].Set.IDs, ShouldContain, gone.ID)
			So(v.snapshot.Targets[gone.ID].Removed, ShouldBeTrue)
			So(views[moved.Service].Current.IDs, ShouldNotContain, moved.ID)
			w.advance(core.AddressQuarantine)
			So(v.snapshot.Services[moved.Service].Current.IDs, ShouldContain, moved.ID)
			w.advance(50 * time.Second)
			So(v.snapshot.Targets[gone.ID], ShouldNotBeNil)
			w.advance(10 * time.Second)
			So(v.snapshot.Targets[gone.ID], ShouldBeNil)
			w.advance(core.FlowIdleTimeout)
			So(v.snapshot.Services[service].PreviousSets, ShouldBeEmpty)
		})
		Convey("a target that its holder reports as leaving takes no new flows anywhere", func() {
			holder := w.vm(w.holders(gone.ID)[0])
			holder.report(core.LoadChanged{Target: gone.ID, Load: core.TargetLoad{Draining: true}})
			w.advance(time.Second)
			for _, o := range w.vms {
				So(o.snapshot.Services[service].Current.IDs, ShouldNotContain, gone.ID)
			}
		})
	})
}

// Guards against a takeover that waits although the former holder's end is proven, one that does not
// wait although it is not, and a backup that is trusted without having all records.
func TestTakeOver(t *testing.T) {
	t.Parallel()
	Convey("Given a zone with three VMs", t, func() {
		w := newWorld(9)
		w.accept(testConfig(1))
		for _, name := range []core.VMName{"a", "b", "c"} {
			w.addVM(name, zones[0]).start()
		}
		w.advance(3 * time.Second)
		id := targetsOf(w.configs[1])[0].ID
		holder := w.vm(w.holders(id)[0])
		backup := w.vm(holder.snapshot.Targets[id].Backup)
		Convey("a killed holder is replaced by its backup at once", func() {
			w.advance(20 * time.Second)
			holder.kill()
			w.advance(200 * time.Millisecond)
			So(w.holders(id), ShouldResemble, []core.VMName{backup.name})
			So(backup.taken.PreviousOwnerUntil, ShouldEqual, 0)
			So(backup.taken.BackupInSync, ShouldBeTrue)
			So(backup.taken.PreviousOwnerEndedBy, ShouldBeLessThanOrEqualTo, w.now)
		})
		Convey("a backup that has not been one for long is not in sync", func() {
			holder.kill()
			w.advance(200 * time.Millisecond)
			So(w.holders(id), ShouldResemble, []core.VMName{backup.name})
			So(backup.taken.BackupInSync, ShouldBeFalse)
		})
		Convey("a frozen holder is replaced after suspicion, with authority after ConfirmTTL", func() {
			w.advance(20 * time.Second)
			holder.paused = true
			w.advance(4 * time.Second)
			So(backup.holds[id], ShouldNotBeNil)
			So(backup.taken.BackupInSync, ShouldBeFalse)
			So(backup.hasAuthority(id), ShouldBeFalse)
			w.advance(6 * time.Second)
			So(backup.hasAuthority(id), ShouldBeTrue)
		})
	})
}

// Guards against a cut-off VM that takes all targets over while its last confirmation still holds.
func TestCutOff(t *testing.T) {
	t.Parallel()
	for n := range 6 {
		w := newFleet(uint64(20+n), 6)
		w.check = func() { w.invariants(t) }
		v := w.vms[n]
		w.cutBetween(func(o *vm) bool { return o == v }, false)
		v.isolated = true
		w.advance(20 * time.Second)
		if until := v.snapshot.AuthorityUntil; until > w.now {
			t.Fatalf("%s has authority until %v though it is cut off", v.name, until)
		}
		w.heal()
		w.advance(15 * time.Second)
		if wrong := w.settled(); wrong != "" {
			t.Fatalf("after %s was cut off: %s", v.name, wrong)
		}
	}
}

// idleShare lets d pass and returns the share of time in which a target had no VM with authority, on
// average over the targets, and the longest such time.
func (w *world) idleShare(d time.Duration, targets []core.Target) (share float64, longest time.Duration) {
	const step = 10 * time.Millisecond
	since := make([]time.Duration, len(targets))
	idle, all := 0, 0
	for end := w.now + d; w.now < end; w.advance(step) {
		for i, t := range targets {
			all++
			if slices.ContainsFunc(w.vms, func(v *vm) bool { return v.hasAuthority(t.ID) }) {
				since[i] = 0
				continue
			}
			idle++
			since[i] += step
			longest = max(longest, since[i])
		}
	}
	return float64(idle) / float64(all), longest
}

// Guards against postings that are refused while VMs are replaced or a zone leaves and returns.
func TestPlannedChanges(t *testing.T) {
	t.Parallel()
	Convey("Given 8 VMs and 18 targets", t, func() {
		w := newFleet(10, 8)
		w.advance(20 * time.Second)
		targets := targetsOf(w.configs[1])
		Convey("a rolling replacement leaves each target without authority for a moment only", func() {
			total, longest := 0.0, time.Duration(0)
			for _, v := range w.vms {
				v.handle(core.Stop{})
				v.report(core.ShardDrained{})
				share, long := w.idleShare(4*time.Second, targets)
				v.kill()
				v.start()
				share2, long2 := w.idleShare(6*time.Second, targets)
				total += share*0.4 + share2*0.6
				longest = max(longest, long, long2)
			}
			t.Logf("rolling replacement: %.4f of the time without authority, longest %v", total/8, longest)
			So(longest, ShouldBeLessThan, 100*time.Millisecond)
			So(total/8, ShouldBeLessThan, 0.001)
		})
		Convey("a zone out and in leaves each target without authority for a moment only", func() {
			next := copyConfig(w.configs[1])
			next.Zones[0].State = core.ZoneOut
			w.accept(next)
			out, longestOut := w.idleShare(20*time.Second, targets)
			back := copyConfig(next)
			back.Zones[0].State = core.ZoneIn
			w.accept(back)
			in, longestIn := w.idleShare(20*time.Second, targets)
			t.Logf("zone out: %.4f of the time without authority, longest %v; zone in: %.4f, %v", out, longestOut, in, longestIn)
			So(max(longestOut, longestIn), ShouldBeLessThan, 500*time.Millisecond)
		})
	})
}

// Guards against a silent VM that is taken for one without flows although it may still serve them.
func TestSilentPeers(t *testing.T) {
	t.Parallel()
	Convey("Given a paused VM during an outage of the platform", t, func() {
		w := newFleet(6, 6)
		w.platform.down = true
		w.advance(time.Second)
		w.vms[2].paused = true
		w.advance(3 * time.Second)
		Convey("it is silent, but no peer", func() {
			So(w.vms[0].snapshot.Silent, ShouldContain, w.vms[2].name)
			So(w.vms[0].snapshot.Peers, ShouldNotContain, w.vms[2].name)
		})
		Convey("it is not silent any more once it has been removed and has lost authority", func() {
			w.platform.down = false
			w.advance(15 * time.Second)
			So(w.vms[0].snapshot.Silent, ShouldBeEmpty)
		})
	})
}
