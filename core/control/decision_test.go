package control_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
)

// Guards against the use of authority after a pause, during which another VM may have got it.
func TestClockJump(t *testing.T) {
	t.Parallel()
	Convey("Given a VM with authority", t, func() {
		c := newFleet(5, 3)
		v := c.vms[0]
		So(v.snapshot.AuthorityUntil, ShouldBeGreaterThan, c.now)
		Convey("after a gap of more than a second it first publishes a snapshot without authority", func() {
			out := v.control.Handle(core.Tick{}, c.now+1100*time.Millisecond, nil)
			first, ok := firstSnapshot(out)
			So(ok, ShouldBeTrue)
			So(first.AuthorityUntil, ShouldBeLessThanOrEqualTo, c.now)
		})
		Convey("after a gap of less than a second it keeps authority", func() {
			out := v.control.Handle(core.Tick{}, c.now+900*time.Millisecond, nil)
			first, ok := firstSnapshot(out)
			So(!ok || first.AuthorityUntil > c.now+900*time.Millisecond, ShouldBeTrue)
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

// Guards against authority that ends in an outage of the platform, or that continues when other members can
// no longer be reached.
func TestOutage(t *testing.T) {
	t.Parallel()
	Convey("Given 6 VMs and a platform that has been down for 20 s", t, func() {
		c := newFleet(6, 6)
		c.platform.down = true
		c.advance(20 * time.Second)
		Convey("all VMs keep authority while they receive each other's heartbeats", func() {
			So(c.ownershipProblem(), ShouldEqual, "")
		})
		Convey("a killed VM is replaced by a VM with authority, because its end is proven", func() {
			c.vms[2].kill()
			c.advance(3 * time.Second)
			So(c.ownershipProblem(), ShouldEqual, "")
		})
		Convey("a silent VM ends the authority of the others", func() {
			c.vms[2].paused = true
			c.advance(3 * time.Second)
			So(c.vms[0].snapshot.AuthorityUntil, ShouldBeLessThanOrEqualTo, c.now)
		})
		Convey("reads are few during the outage and resume with jitter", func() {
			c.platform.calls = 0
			c.advance(20 * time.Second)
			So(c.platform.calls, ShouldBeLessThan, 6*40)
			c.platform.down = false
			c.platform.calls = 0
			c.advance(time.Second)
			So(c.platform.calls, ShouldBeLessThan, 6*5)
			c.advance(5 * time.Second)
			So(c.ownershipProblem(), ShouldEqual, "")
		})
		Convey("all VMs can be replaced one after the other", func() {
			for _, v := range c.vms {
				v.handle(core.Stop{})
				v.report(core.ShardDrained{})
				c.advance(5 * time.Second)
				So(v.drained, ShouldBeTrue)
				So(v.owned, ShouldBeEmpty)
				v.kill()
				v.start()
				c.advance(5 * time.Second)
			}
			// A VM that starts during an outage waits ConfirmTTL for owners that it can't detect.
			c.advance(core.ConfirmTTL)
			So(c.ownershipProblem(), ShouldEqual, "")
		})
	})
}

// Guards against targets of a zone taken out of service that stay with its VMs or still accept flows, and
// against a zone that does not get its targets back.
func TestZoneOut(t *testing.T) {
	t.Parallel()
	Convey("Given 6 VMs whose first zone is taken out", t, func() {
		c := newFleet(7, 6)
		next := copyConfig(c.configs[1])
		next.Zones[0].State = core.ZoneOut
		c.accept(next)
		c.advance(5 * time.Second)
		So(c.ownershipProblem(), ShouldEqual, "")
		for _, target := range targetsOf(next) {
			snapshot := c.vms[5].snapshot.Targets[target.ID]
			owner := c.vm(snapshot.Owner)
			So(owner.zone, ShouldNotEqual, zones[0])
			So(snapshot.ZoneOut, ShouldEqual, target.Zone == zones[0])
			So(slices.Contains(c.acceptingIDs(target), target.ID), ShouldEqual, target.Zone != zones[0])
		}
		Convey("its targets go back when it returns", func() {
			back := copyConfig(next)
			back.Zones[0].State = core.ZoneIn
			c.accept(back)
			c.advance(6 * time.Second)
			So(c.ownershipProblem(), ShouldEqual, "")
			for _, target := range targetsOf(back) {
				So(c.vm(c.owners(target.ID)[0]).zone, ShouldEqual, target.Zone)
			}
		})
	})
}

// acceptingIDs returns the ids of the targets of t's service that accept new flows.
func (c *cluster) acceptingIDs(t core.Target) []core.TargetID {
	return c.vms[5].snapshot.Services[t.Service].Current.IDs
}

// Guards against cutting off the flows of removed targets, against previous target sets that accumulate
// without a change, and against packets to an address that has just moved to another service.
func TestTargetSets(t *testing.T) {
	t.Parallel()
	Convey("Given a fleet with 18 targets", t, func() {
		c := newFleet(8, 3)
		v := c.vms[0]
		service := c.configs[1].Services[0].ID
		removed := c.configs[1].Services[0].Targets[0]
		So(v.snapshot.Services[service].PreviousSets, ShouldBeEmpty)
		Convey("a change that does not affect the accepting targets adds no previous set", func() {
			next := copyConfig(c.configs[1])
			next.Services[0].Contract.QueueLimit = 7
			c.accept(next)
			c.advance(2 * time.Second)
			So(v.snapshot.Services[service].PreviousSets, ShouldBeEmpty)
		})
		Convey("a removed target leaves the current set and is kept for its drain time", func() {
			next := copyConfig(c.configs[1])
			next.Services[0].Targets = next.Services[0].Targets[1:]
			moved := next.Services[1].Targets[0]
			moved.Addr, moved.ID = removed.Addr, moved.ID+1
			next.Services[1].Targets = append(next.Services[1].Targets, moved)
			c.accept(next)
			c.advance(2 * time.Second)
			services := v.snapshot.Services
			So(services[service].Current.IDs, ShouldNotContain, removed.ID)
			So(services[service].PreviousSets, ShouldHaveLength, 1)
			So(services[service].PreviousSets[0].Set.IDs, ShouldContain, removed.ID)
			So(v.snapshot.Targets[removed.ID].Removed, ShouldBeTrue)
			So(services[moved.Service].Current.IDs, ShouldNotContain, moved.ID)
			c.advance(core.AddressQuarantine)
			So(v.snapshot.Services[moved.Service].Current.IDs, ShouldContain, moved.ID)
			c.advance(50 * time.Second)
			So(v.snapshot.Targets[removed.ID], ShouldNotBeNil)
			c.advance(10 * time.Second)
			So(v.snapshot.Targets[removed.ID], ShouldBeNil)
			c.advance(core.FlowIdleTimeout)
			So(v.snapshot.Services[service].PreviousSets, ShouldBeEmpty)
		})
		Convey("a target that its owner reports as draining accepts no new flows on any VM", func() {
			owner := c.vm(c.owners(removed.ID)[0])
			owner.report(core.LoadChanged{Target: removed.ID, Load: core.TargetLoad{Draining: true}})
			c.advance(time.Second)
			for _, o := range c.vms {
				So(o.snapshot.Services[service].Current.IDs, ShouldNotContain, removed.ID)
			}
		})
	})
}

// Guards against a takeover that waits although the previous owner's end is proven, one that does not wait
// although it is not proven, and the use of a backup that does not have all records.
func TestTakeOver(t *testing.T) {
	t.Parallel()
	Convey("Given a zone with three VMs", t, func() {
		c := newCluster(9)
		c.accept(testConfig(1))
		for _, name := range []core.VMName{"a", "b", "c"} {
			c.addVM(name, zones[0]).start()
		}
		c.advance(3 * time.Second)
		id := targetsOf(c.configs[1])[0].ID
		owner := c.vm(c.owners(id)[0])
		backup := c.vm(owner.snapshot.Targets[id].Backup)
		Convey("a killed owner is replaced by its backup at once", func() {
			c.advance(20 * time.Second)
			owner.kill()
			c.advance(200 * time.Millisecond)
			So(c.owners(id), ShouldResemble, []core.VMName{backup.name})
			So(backup.takeOver.PreviousOwnerUntil, ShouldEqual, 0)
			So(backup.takeOver.BackupInSync, ShouldBeTrue)
			So(backup.takeOver.PreviousOwnerEndedBy, ShouldBeLessThanOrEqualTo, c.now)
		})
		Convey("a VM that became the backup only recently is not in sync", func() {
			owner.kill()
			c.advance(200 * time.Millisecond)
			So(c.owners(id), ShouldResemble, []core.VMName{backup.name})
			So(backup.takeOver.BackupInSync, ShouldBeFalse)
		})
		Convey("a paused owner is replaced after suspicion, with authority after ConfirmTTL", func() {
			c.advance(20 * time.Second)
			owner.paused = true
			c.advance(4 * time.Second)
			So(backup.owned[id], ShouldNotBeNil)
			So(backup.takeOver.BackupInSync, ShouldBeFalse)
			So(backup.hasAuthority(id), ShouldBeFalse)
			c.advance(6 * time.Second)
			So(backup.hasAuthority(id), ShouldBeTrue)
		})
	})
}

// Guards against a VM that is cut off and takes over all targets while its last confirmation is still
// valid.
func TestCutOff(t *testing.T) {
	t.Parallel()
	for n := range 6 {
		c := newFleet(uint64(20+n), 6)
		c.check = func() { c.checkInvariants(t) }
		v := c.vms[n]
		c.cutBetween(func(o *vm) bool { return o == v }, false)
		v.isolated = true
		c.advance(20 * time.Second)
		if until := v.snapshot.AuthorityUntil; until > c.now {
			t.Fatalf("%s has authority until %v though it is cut off", v.name, until)
		}
		c.heal()
		c.advance(15 * time.Second)
		if problem := c.ownershipProblem(); problem != "" {
			t.Fatalf("after %s was cut off: %s", v.name, problem)
		}
	}
}

// noAuthorityShare advances the time by d and returns the share of it in which a target had no VM with
// authority, on average over the targets, and the longest such period.
func (c *cluster) noAuthorityShare(d time.Duration, targets []core.Target) (share float64, longest time.Duration) {
	const step = 10 * time.Millisecond
	since := make([]time.Duration, len(targets))
	without, all := 0, 0
	for end := c.now + d; c.now < end; c.advance(step) {
		for i, t := range targets {
			all++
			if slices.ContainsFunc(c.vms, func(v *vm) bool { return v.hasAuthority(t.ID) }) {
				since[i] = 0
				continue
			}
			without++
			since[i] += step
			longest = max(longest, since[i])
		}
	}
	return float64(without) / float64(all), longest
}

// Guards against refused non-idempotent requests while VMs are replaced or a zone is taken out and returns.
func TestPlannedChanges(t *testing.T) {
	t.Parallel()
	Convey("Given 8 VMs and 18 targets", t, func() {
		c := newFleet(10, 8)
		c.advance(20 * time.Second)
		targets := targetsOf(c.configs[1])
		Convey("a rolling replacement leaves each target without authority for a short time only", func() {
			total, longest := 0.0, time.Duration(0)
			for _, v := range c.vms {
				v.handle(core.Stop{})
				v.report(core.ShardDrained{})
				share, long := c.noAuthorityShare(4*time.Second, targets)
				v.kill()
				v.start()
				share2, long2 := c.noAuthorityShare(6*time.Second, targets)
				total += share*0.4 + share2*0.6
				longest = max(longest, long, long2)
			}
			t.Logf("rolling replacement: %.4f of the time without authority, longest %v", total/8, longest)
			So(longest, ShouldBeLessThan, 100*time.Millisecond)
			So(total/8, ShouldBeLessThan, 0.001)
		})
		Convey("taking a zone out and in again leaves each target without authority for a short time only", func() {
			next := copyConfig(c.configs[1])
			next.Zones[0].State = core.ZoneOut
			c.accept(next)
			out, longestOut := c.noAuthorityShare(20*time.Second, targets)
			back := copyConfig(next)
			back.Zones[0].State = core.ZoneIn
			c.accept(back)
			in, longestIn := c.noAuthorityShare(20*time.Second, targets)
			t.Logf("zone out: %.4f of the time without authority, longest %v; zone in: %.4f, %v", out, longestOut, in, longestIn)
			So(max(longestOut, longestIn), ShouldBeLessThan, 500*time.Millisecond)
		})
	})
}

// Guards against treating a silent VM as one without flows although it may still serve them.
func TestSilentPeers(t *testing.T) {
	t.Parallel()
	Convey("Given a paused VM during an outage of the platform", t, func() {
		c := newFleet(6, 6)
		c.platform.down = true
		c.advance(time.Second)
		c.vms[2].paused = true
		c.advance(3 * time.Second)
		Convey("it is listed as silent and not as a peer", func() {
			So(c.vms[0].snapshot.Silent, ShouldContain, c.vms[2].name)
			So(c.vms[0].snapshot.Peers, ShouldNotContain, c.vms[2].name)
		})
		Convey("it is no longer listed as silent once it has been removed and has lost authority", func() {
			c.platform.down = false
			c.advance(15 * time.Second)
			So(c.vms[0].snapshot.Silent, ShouldBeEmpty)
		})
	})
}
