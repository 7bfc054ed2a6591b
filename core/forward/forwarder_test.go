package forward

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against flows that break when their packets arrive at another VM.
func TestAnyVMForwardsByToken(t *testing.T) {
	convey.Convey("Given two VMs with the same snapshot", t, func() {
		snapshot := testSnapshot(3)
		first, second := testForwarder(snapshot), testForwarder(snapshot)
		d := first.Handle(syn(testFlow(1), 0), 0)
		convey.So(d.Action, convey.ShouldEqual, Forward)
		convey.So(d.Reason, convey.ShouldEqual, Placed)
		convey.Convey("a VM without state of the flow forwards its packets to the same target", func() {
			got := second.Handle(data(testFlow(1), d.Target.Token, 100, 5), time.Millisecond)
			convey.So(got.Action, convey.ShouldEqual, Forward)
			convey.So(got.Target, convey.ShouldEqual, d.Target)
		})
		convey.Convey("a draining, unusable or expired target keeps its open flows", func() {
			for _, c := range []Condition{Draining, Unusable, Expired} {
				d.Target.Condition = c
				convey.So(second.Handle(data(testFlow(1), d.Target.Token, 100, 5), 0).Action, convey.ShouldEqual, Forward)
			}
		})
	})
}

// Guards against resets of working flows: a VM may have an older snapshot than the VM that placed the flow.
func TestNoResetOfWorkingFlows(t *testing.T) {
	convey.Convey("Given a VM with a snapshot", t, func() {
		snapshot := testSnapshot(2)
		f := testForwarder(snapshot)
		convey.Convey("packets with an unknown token are dropped, and the flow is reset when the token stays unknown", func() {
			at := func(now time.Duration) Action { return f.Handle(data(testFlow(1), 0x77, 1, 1), now).Action }
			convey.So(at(0), convey.ShouldEqual, Drop)
			convey.So(at(unknownTokenTime-1), convey.ShouldEqual, Drop)
			convey.Convey("once the snapshot has been fresh for minFreshTime", func() {
				f.SetFresh(unknownTokenTime-minFreshTime+1, time.Hour)
				convey.So(at(unknownTokenTime), convey.ShouldEqual, Drop)
				f.SetFresh(unknownTokenTime-minFreshTime, time.Hour)
				convey.So(at(unknownTokenTime), convey.ShouldEqual, Reset)
			})
			convey.Convey("but not while an entry is unreadable or the snapshot is stale", func() {
				snapshot.UnreadableEntries = 1
				convey.So(at(unknownTokenTime), convey.ShouldEqual, Drop)
				snapshot.UnreadableEntries = 0
				f.SetFresh(0, 0)
				convey.So(at(time.Minute), convey.ShouldEqual, Drop)
			})
			convey.Convey("and not when the target is added to the snapshot", func() {
				late := testTarget(zoneB, 9)
				late.Token = 0x77
				snapshot.Targets[0x77] = late
				convey.So(at(unknownTokenTime), convey.ShouldEqual, Forward)
			})
			convey.So(f.Handle(data(testFlow(2), 0, 1, 1), 0).Action, convey.ShouldEqual, Drop)
			convey.So(f.Handle(data(testFlow(2), 0, 1, 1), time.Minute).Action, convey.ShouldEqual, Drop)
		})
		convey.Convey("flows of a target that is gone are reset only while the snapshot is fresh", func() {
			target := snapshot.service().Local[0]
			target.Condition = Gone
			convey.So(f.Handle(data(testFlow(1), target.Token, 1, 1), 0).Reason, convey.ShouldEqual, TargetGone)
			f.SetFresh(0, 0)
			d := f.Handle(data(testFlow(1), target.Token, 1, 1), 0)
			convey.So(d.Action, convey.ShouldEqual, Forward)
		})
		convey.Convey("flows of a dropped route are reset, those of a route that is not in the snapshot yet are forwarded", func() {
			token := snapshot.service().Local[0].Token
			unknown := Flow{Client: testFlow(1).Client, Service: Endpoint{IP: 9, Port: 9}}
			convey.So(f.Handle(data(unknown, token, 1, 1), 0).Action, convey.ShouldEqual, Forward)
			next := *snapshot
			next.DroppedRoutes = map[Endpoint]struct{}{unknown.Service: {}}
			f.Install(&next)
			d := f.Handle(data(unknown, token, 1, 1), 0)
			convey.So(d.Action, convey.ShouldEqual, Reset)
			convey.So(d.Reason, convey.ShouldEqual, RouteDropped)
		})
		convey.Convey("a SYN without a route is reset at once, but not a retransmitted one or one under a stale snapshot", func() {
			unrouted := Flow{Client: testFlow(1).Client, Service: Endpoint{IP: 9, Port: 9}}
			convey.So(f.Handle(syn(unrouted, 0), 0).Action, convey.ShouldEqual, Reset)
			convey.So(f.Handle(syn(unrouted, 1), 0).Action, convey.ShouldEqual, Drop)
			f.SetFresh(0, 0)
			convey.So(f.Handle(syn(unrouted, 0), 0).Action, convey.ShouldEqual, Drop)
		})
		convey.Convey("a SYN is reset at once when its service has no target", func() {
			snapshot.service().Local, snapshot.service().Remote = nil, nil
			d := f.Handle(syn(testFlow(1), 0), 0)
			convey.So(d.Action, convey.ShouldEqual, Reset)
			convey.So(d.Reason, convey.ShouldEqual, NoTarget)
		})
		convey.Convey("packets that only targets send are dropped", func() {
			h := &Header{Flow: testFlow(1), Flags: SYN | ACK, Token: snapshot.service().Local[0].Token}
			convey.So(f.Handle(h, 0).Reason, convey.ShouldEqual, NotFromClient)
		})
		convey.Convey("no flow is placed before the first snapshot", func() {
			convey.So(New(zoneA, 1).Handle(syn(testFlow(1), 0), 0).Reason, convey.ShouldEqual, NoSnapshot)
		})
	})
}

// Guards against new flows that leave a zone without need: a zone that is cut off reaches only its own
// targets.
func TestPlacementPrefersTheZone(t *testing.T) {
	convey.Convey("Given a VM with targets in two zones", t, func() {
		snapshot := testSnapshot(3)
		f := testForwarder(snapshot)
		convey.Convey("flows that are answered stay in the zone and are spread over its targets", func() {
			counts := map[string]int{}
			for i := range 300 {
				d := f.Handle(syn(testFlow(i), 0), 0)
				convey.So(d.Target.Zone, convey.ShouldEqual, zoneA)
				f.Handle(ack(testFlow(i), d.Target.Token, 1), time.Millisecond)
				counts[d.Target.ID]++
			}
			for _, n := range counts {
				convey.So(n, convey.ShouldBeBetween, 60, 140)
			}
		})
		convey.Convey("part of a burst that the local targets do not answer goes to the other zone", func() {
			zones := map[any]int{}
			for i := range 60 {
				zones[f.Handle(syn(testFlow(i), 0), 0).Target.Zone]++
			}
			// remotePenalty leaves 3 more waiting flows at each local target than at each remote one.
			convey.So(zones[zoneB], convey.ShouldBeBetween, 20, 30)
		})
	})
}

// Guards against retransmitted SYNs that go again to the target that did not answer.
func TestRepeatedSYNGoesToAnotherTarget(t *testing.T) {
	convey.Convey("A retransmitted SYN goes to another target, and the first one is probed", t, func() {
		f := testForwarder(testSnapshot(3))
		first := f.Handle(syn(testFlow(1), 0), 0)
		second := f.Handle(syn(testFlow(1), 1), 200*time.Millisecond)
		convey.So(second.Reason, convey.ShouldEqual, PlacedAgain)
		convey.So(second.Target, convey.ShouldNotEqual, first.Target)
		convey.So(second.Probe.Target, convey.ShouldEqual, first.Target)
		convey.So(second.Probe.Reference, convey.ShouldNotBeNil)
		convey.So(second.Probe.Reference, convey.ShouldNotEqual, first.Target)
	})
	convey.Convey("A target that does not answer is probed at most once per probeInterval", t, func() {
		snapshot := testSnapshot(1)
		snapshot.service().Remote = nil
		f := testForwarder(snapshot)
		f.Handle(syn(testFlow(1), 0), 0)
		convey.So(f.Handle(syn(testFlow(1), 1), 200*time.Millisecond).Probe.Target, convey.ShouldNotBeNil)
		convey.So(f.Handle(syn(testFlow(1), 2), 600*time.Millisecond).Probe.Target, convey.ShouldBeNil)
		f.Handle(syn(testFlow(2), 0), 1100*time.Millisecond)
		convey.So(f.Handle(syn(testFlow(2), 1), 1300*time.Millisecond).Probe.Target, convey.ShouldNotBeNil)
	})
}

// Guards against flows that wait for targets that have ended, and against resets of flows of running targets.
func TestProbes(t *testing.T) {
	convey.Convey("Given a flow with a pending request and an idle one on the same target", t, func() {
		snapshot := testSnapshot(1)
		f := testForwarder(snapshot)
		target := snapshot.service().Local[0]
		waiting, idle := testFlow(1), testFlow(2)
		for _, flow := range []Flow{waiting, idle} {
			f.Handle(syn(flow, 0), 0)
			f.Handle(data(flow, target.Token, 100, 1), time.Millisecond)
			f.Handle(ack(flow, target.Token, 2), 2*time.Millisecond)
		}
		f.Handle(data(waiting, target.Token, 200, 2), 10*time.Millisecond)
		again := f.Handle(data(waiting, target.Token, 200, 2), 210*time.Millisecond)
		convey.So(again.Action, convey.ShouldEqual, Forward)
		convey.So(again.Probe.Target, convey.ShouldEqual, target)
		now := 215 * time.Millisecond

		convey.Convey("a refused connection resets the flow with the request at once and the idle one at its next packet", func() {
			convey.So(f.HandleProbe(target.Token, Ended, now), convey.ShouldResemble, []FlowReset{{Flow: waiting, Ack: 2}})
			d := f.Handle(data(idle, target.Token, 300, 2), now)
			convey.So(d.Reason, convey.ShouldEqual, TargetGone)
			convey.So(f.Handle(syn(testFlow(3), 0), now).Target.Zone, convey.ShouldEqual, zoneB)
		})
		convey.Convey("a target that accepts the connection keeps its flows", func() {
			convey.So(f.HandleProbe(target.Token, Alive, now), convey.ShouldBeEmpty)
			convey.So(f.Handle(data(waiting, target.Token, 200, 2), 600*time.Millisecond).Action, convey.ShouldEqual, Forward)
		})
		convey.Convey("a probe whose reference target did not answer either changes nothing", func() {
			convey.So(f.HandleProbe(target.Token, Unclear, now), convey.ShouldBeEmpty)
			convey.So(f.Handle(data(waiting, target.Token, 200, 2), 600*time.Millisecond).Action, convey.ShouldEqual, Forward)
			convey.So(f.Handle(data(idle, target.Token, 300, 2), now).Action, convey.ShouldEqual, Forward)
		})
		convey.Convey("a silent target causes a reset for retransmitted data only", func() {
			convey.So(f.HandleProbe(target.Token, Silent, now), convey.ShouldBeEmpty)
			convey.So(f.Handle(ack(waiting, target.Token, 2), now).Action, convey.ShouldEqual, Forward)
			convey.So(f.Handle(data(waiting, target.Token, 200, 2), now).Reason, convey.ShouldEqual, TargetSilent)
			convey.So(f.Handle(data(idle, target.Token, 300, 2), now).Action, convey.ShouldEqual, Forward)
			newFlow := testFlow(9)
			convey.So(f.Handle(data(newFlow, target.Token, 1, 1), now).Action, convey.ShouldEqual, Forward)
		})
		convey.Convey("an answer after the probe clears the result Silent", func() {
			f.HandleProbe(target.Token, Silent, now)
			f.Handle(ack(waiting, target.Token, 3), now)
			convey.So(f.Handle(data(idle, target.Token, 300, 2), now).Action, convey.ShouldEqual, Forward)
		})
	})
}

// Guards against a VM that avoids targets permanently, or refuses flows when all targets are suspected.
func TestSuspectTimeIsBounded(t *testing.T) {
	convey.Convey("Given targets that answer no SYN", t, func() {
		snapshot := testSnapshot(2)
		snapshot.service().Remote = nil
		f := testForwarder(snapshot)
		now := time.Duration(0)
		for i := range 200 {
			f.Handle(syn(testFlow(i), 0), now)
			d := f.Handle(syn(testFlow(i), 1), now+200*time.Millisecond)
			if d.Action != Forward {
				t.Fatalf("flow %d is refused although the snapshot has targets", i)
			}
			now += 250 * time.Millisecond
		}
		convey.So(f.Events().Suspected, convey.ShouldBeGreaterThan, 1)
		for _, l := range f.loads {
			convey.So(l.suspectTime, convey.ShouldBeLessThanOrEqualTo, maxSuspectTime)
		}
		convey.Convey("one answer clears the suspect time", func() {
			d := f.Handle(syn(testFlow(999), 0), now)
			f.Handle(ack(testFlow(999), d.Target.Token, 1), now)
			convey.So(f.loads[d.Target.Token].suspectTime, convey.ShouldEqual, 0)
		})
	})
}

// Guards against counts that drift: a flow that ends, expires or moves to another target must be removed from
// the counts of its target.
func TestLoadCountsReturnToZero(t *testing.T) {
	convey.Convey("The counts are 0 after all flows have ended or expired", t, func() {
		snapshot := testSnapshot(3)
		f := testForwarder(snapshot)
		for i := range 100 {
			d := f.Handle(syn(testFlow(i), 0), 0)
			f.Handle(data(testFlow(i), d.Target.Token, 100, 1), 0)
			if i%2 == 0 {
				f.Handle(&Header{Flow: testFlow(i), Flags: FIN | ACK, Token: d.Target.Token}, 0)
			}
			if i%3 == 0 {
				// A second VM has placed the flow on another target.
				f.Handle(data(testFlow(i), snapshot.service().Remote[0].Token, 100, 1), 0)
			}
		}
		f.flows.expire(time.Minute, time.Second)
		f.flows.expire(2*time.Minute, time.Second)
		for _, l := range f.loads {
			convey.So(l.open, convey.ShouldEqual, 0)
			convey.So(l.waiting, convey.ShouldEqual, 0)
		}
	})
}

// Guards against unbounded memory during a flood of SYNs.
func TestFlowTableIsBounded(t *testing.T) {
	f := testForwarder(testSnapshot(3))
	for i := range 3 * maxRecent {
		f.Handle(syn(testFlow(i), 0), 0)
	}
	if n := len(f.flows.recent) + len(f.flows.older); n > 2*maxRecent {
		t.Errorf("the table has %d flows, more than %d", n, 2*maxRecent)
	}
	open := 0
	for _, l := range f.loads {
		open += l.open
	}
	if n := len(f.flows.recent) + len(f.flows.older); open != n {
		t.Errorf("the targets count %d flows, the table has %d", open, n)
	}
}

// Guards against the end of the process by packets of an unknown flow before the first snapshot, which no client should send.
func TestPacketsBeforeFirstSnapshot(t *testing.T) {
	convey.Convey("Packets without a token are dropped while there is no snapshot, also when they are repeated", t, func() {
		f := New(zoneA, 1)
		for i := range 3 {
			for _, flags := range []Flags{FIN | ACK, ACK, RST} {
				h := &Header{Flow: testFlow(1), Flags: flags, Length: uint16(i)}
				convey.So(f.Handle(h, time.Duration(i)*200*time.Millisecond).Action, convey.ShouldEqual, Drop)
			}
		}
	})
}

// Guards against packets of a new flow at the target of an earlier one with the same addresses and ports.
func TestReusedPort(t *testing.T) {
	convey.Convey("Given an open flow whose client opens another one from the same port", t, func() {
		snapshot := testSnapshot(1)
		f := testForwarder(snapshot)
		local, remote := snapshot.service().Local[0], snapshot.service().Remote[0]
		convey.So(f.Handle(syn(testFlow(1), 0), 0).Target, convey.ShouldEqual, local)
		f.Handle(data(testFlow(1), local.Token, 100, 5), time.Millisecond)
		snapshot.service().Local = nil
		convey.So(f.Handle(syn(testFlow(1), 0), time.Second).Target, convey.ShouldEqual, remote)
		convey.Convey("its packets go to its own target", func() {
			d := f.Handle(data(testFlow(1), remote.Token, 100, 5), time.Second)
			convey.So(d.Target, convey.ShouldEqual, remote)
			convey.So(f.loads[local.Token].open, convey.ShouldEqual, 0)
			convey.So(f.loads[remote.Token].open, convey.ShouldEqual, 1)
		})
		convey.Convey("late packets of the earlier one go to the earlier target, and count as its load", func() {
			d := f.Handle(data(testFlow(1), local.Token, 100, 5), time.Second)
			convey.So(d.Target, convey.ShouldEqual, local)
			convey.So(f.loads[local.Token].open, convey.ShouldEqual, 1)
			convey.So(f.loads[remote.Token].open, convey.ShouldEqual, 0)
		})
	})
}
