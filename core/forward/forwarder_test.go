package forward

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against flows that break when their packets reach another VM.
func TestAnyVMForwardsByToken(t *testing.T) {
	convey.Convey("Given two VMs with the same view", t, func() {
		v := testView(3)
		first, second := testForwarder(v), testForwarder(v)
		d := first.Handle(syn(testFlow(1), 0), 0)
		convey.So(d.Action, convey.ShouldEqual, Forward)
		convey.So(d.Reason, convey.ShouldEqual, Placed)
		convey.Convey("a VM that never saw the flow forwards its packets to the same target", func() {
			got := second.Handle(data(testFlow(1), d.Target.Token, 100, 5), time.Millisecond)
			convey.So(got.Action, convey.ShouldEqual, Forward)
			convey.So(got.Target, convey.ShouldEqual, d.Target)
		})
		convey.Convey("a draining or unreadable target keeps its open flows", func() {
			for _, c := range []Condition{Draining, Unusable, Expired} {
				d.Target.Condition = c
				convey.So(second.Handle(data(testFlow(1), d.Target.Token, 100, 5), 0).Action, convey.ShouldEqual, Forward)
			}
		})
	})
}

// Guards against resets of flows that are well: a VM may know less than the VM that placed the flow.
func TestResetsNeedCertainty(t *testing.T) {
	convey.Convey("Given a VM with a view", t, func() {
		v := testView(2)
		f := testForwarder(v)
		convey.Convey("an unknown token is dropped, and reset when it stays unknown to a current view", func() {
			at := func(now time.Duration) Action { return f.Handle(data(testFlow(1), 0x77, 1, 1), now).Action }
			convey.So(at(0), convey.ShouldEqual, Drop)
			convey.So(at(unknownFor-1), convey.ShouldEqual, Drop)
			convey.Convey("by a VM that has known all targets for long enough", func() {
				f.SetFresh(unknownFor-listedAfter+1, time.Hour)
				convey.So(at(unknownFor), convey.ShouldEqual, Drop)
				f.SetFresh(unknownFor-listedAfter, time.Hour)
				convey.So(at(unknownFor), convey.ShouldEqual, Reset)
			})
			convey.Convey("but not while an entry cannot be read, or the view is old", func() {
				v.UnreadableEntries = 1
				convey.So(at(unknownFor), convey.ShouldEqual, Drop)
				v.UnreadableEntries = 0
				f.SetFresh(0, 0)
				convey.So(at(time.Minute), convey.ShouldEqual, Drop)
			})
			convey.Convey("nor when the target becomes known", func() {
				late := testTarget(zoneB, 9)
				late.Token = 0x77
				v.Targets[0x77] = late
				convey.So(at(unknownFor), convey.ShouldEqual, Forward)
			})
			convey.So(f.Handle(data(testFlow(2), 0, 1, 1), 0).Action, convey.ShouldEqual, Drop)
			convey.So(f.Handle(data(testFlow(2), 0, 1, 1), time.Minute).Action, convey.ShouldEqual, Drop)
		})
		convey.Convey("flows of a target that has gone are reset only while the view is current", func() {
			target := v.service().Local[0]
			target.Condition = Gone
			convey.So(f.Handle(data(testFlow(1), target.Token, 1, 1), 0).Reason, convey.ShouldEqual, TargetGone)
			f.SetFresh(0, 0)
			d := f.Handle(data(testFlow(1), target.Token, 1, 1), 0)
			convey.So(d.Action, convey.ShouldEqual, Forward)
		})
		convey.Convey("flows of a dropped route are reset, those of a route that is not known yet go on", func() {
			token := v.service().Local[0].Token
			unknown := Flow{Client: testFlow(1).Client, Service: Endpoint{IP: 9, Port: 9}}
			convey.So(f.Handle(data(unknown, token, 1, 1), 0).Action, convey.ShouldEqual, Forward)
			next := *v
			next.DroppedRoutes = map[Endpoint]struct{}{unknown.Service: {}}
			f.Install(&next)
			d := f.Handle(data(unknown, token, 1, 1), 0)
			convey.So(d.Action, convey.ShouldEqual, Reset)
			convey.So(d.Reason, convey.ShouldEqual, RouteDropped)
		})
		convey.Convey("a SYN without a route is refused at once, but its copies and those of an old view are not", func() {
			nowhere := Flow{Client: testFlow(1).Client, Service: Endpoint{IP: 9, Port: 9}}
			convey.So(f.Handle(syn(nowhere, 0), 0).Action, convey.ShouldEqual, Reset)
			convey.So(f.Handle(syn(nowhere, 1), 0).Action, convey.ShouldEqual, Drop)
			f.SetFresh(0, 0)
			convey.So(f.Handle(syn(nowhere, 0), 0).Action, convey.ShouldEqual, Drop)
		})
		convey.Convey("a SYN without any target is refused at once", func() {
			v.service().Local, v.service().Remote = nil, nil
			d := f.Handle(syn(testFlow(1), 0), 0)
			convey.So(d.Action, convey.ShouldEqual, Reset)
			convey.So(d.Reason, convey.ShouldEqual, NoTarget)
		})
		convey.Convey("what only targets send is dropped", func() {
			h := &Header{Flow: testFlow(1), Flags: SYN | ACK, Token: v.service().Local[0].Token}
			convey.So(f.Handle(h, 0).Reason, convey.ShouldEqual, NotFromClient)
		})
		convey.Convey("nothing is placed before a view is known", func() {
			convey.So(New(zoneA, 1).Handle(syn(testFlow(1), 0), 0).Reason, convey.ShouldEqual, NoSnapshot)
		})
	})
}

// Guards against new flows that leave a zone without need: a zone that is cut off reaches its own
// targets only.
func TestPlacementPrefersTheZone(t *testing.T) {
	convey.Convey("Given a VM with targets in two zones", t, func() {
		v := testView(3)
		f := testForwarder(v)
		convey.Convey("flows that are answered stay in the zone and spread over its targets", func() {
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
		convey.Convey("a burst that its targets do not answer spills over", func() {
			zones := map[any]int{}
			for i := range 60 {
				zones[f.Handle(syn(testFlow(i), 0), 0).Target.Zone]++
			}
			// 3 more wait for each local target than for each remote one.
			convey.So(zones[zoneB], convey.ShouldBeBetween, 20, 30)
		})
	})
}

// Guards against SYN copies that go to the target which stayed silent.
func TestSYNCopyGoesElsewhere(t *testing.T) {
	convey.Convey("A copy of a SYN goes to another target, which is probed", t, func() {
		f := testForwarder(testView(3))
		first := f.Handle(syn(testFlow(1), 0), 0)
		second := f.Handle(syn(testFlow(1), 1), 200*time.Millisecond)
		convey.So(second.Reason, convey.ShouldEqual, PlacedAgain)
		convey.So(second.Target, convey.ShouldNotEqual, first.Target)
		convey.So(second.Probe.Target, convey.ShouldEqual, first.Target)
		convey.So(second.Probe.Reference, convey.ShouldNotBeNil)
		convey.So(second.Probe.Reference, convey.ShouldNotEqual, first.Target)
	})
	convey.Convey("A target that stays silent is probed once a second", t, func() {
		v := testView(1)
		v.service().Remote = nil
		f := testForwarder(v)
		f.Handle(syn(testFlow(1), 0), 0)
		convey.So(f.Handle(syn(testFlow(1), 1), 200*time.Millisecond).Probe.Target, convey.ShouldNotBeNil)
		convey.So(f.Handle(syn(testFlow(1), 2), 600*time.Millisecond).Probe.Target, convey.ShouldBeNil)
		f.Handle(syn(testFlow(2), 0), 1100*time.Millisecond)
		convey.So(f.Handle(syn(testFlow(2), 1), 1300*time.Millisecond).Probe.Target, convey.ShouldNotBeNil)
	})
}

// Guards against flows that wait for targets which ended, and against resets of those that live.
func TestProbes(t *testing.T) {
	convey.Convey("Given a flow with a request under way and an idle one on the same target", t, func() {
		v := testView(1)
		f := testForwarder(v)
		target := v.service().Local[0]
		busy, idle := testFlow(1), testFlow(2)
		for _, flow := range []Flow{busy, idle} {
			f.Handle(syn(flow, 0), 0)
			f.Handle(data(flow, target.Token, 100, 1), time.Millisecond)
			f.Handle(ack(flow, target.Token, 2), 2*time.Millisecond)
		}
		f.Handle(data(busy, target.Token, 200, 2), 10*time.Millisecond)
		again := f.Handle(data(busy, target.Token, 200, 2), 210*time.Millisecond)
		convey.So(again.Action, convey.ShouldEqual, Forward)
		convey.So(again.Probe.Target, convey.ShouldEqual, target)
		now := 215 * time.Millisecond

		convey.Convey("a refused connection resets the request at once and the idle flow with its next packet", func() {
			convey.So(f.HandleProbe(target.Token, Ended, now), convey.ShouldResemble, []FlowReset{{Flow: busy, Ack: 2}})
			d := f.Handle(data(idle, target.Token, 300, 2), now)
			convey.So(d.Reason, convey.ShouldEqual, TargetGone)
			convey.So(f.Handle(syn(testFlow(3), 0), now).Target.Zone, convey.ShouldEqual, zoneB)
		})
		convey.Convey("a target that accepts the connection keeps its flows", func() {
			convey.So(f.HandleProbe(target.Token, Alive, now), convey.ShouldBeEmpty)
			convey.So(f.Handle(data(busy, target.Token, 200, 2), 600*time.Millisecond).Action, convey.ShouldEqual, Forward)
		})
		convey.Convey("a probe that a witness did not answer either changes nothing", func() {
			convey.So(f.HandleProbe(target.Token, Unclear, now), convey.ShouldBeEmpty)
			convey.So(f.Handle(data(busy, target.Token, 200, 2), 600*time.Millisecond).Action, convey.ShouldEqual, Forward)
			convey.So(f.Handle(data(idle, target.Token, 300, 2), now).Action, convey.ShouldEqual, Forward)
		})
		convey.Convey("a silent one loses repeated data only", func() {
			convey.So(f.HandleProbe(target.Token, Silent, now), convey.ShouldBeEmpty)
			convey.So(f.Handle(ack(busy, target.Token, 2), now).Action, convey.ShouldEqual, Forward)
			convey.So(f.Handle(data(busy, target.Token, 200, 2), now).Reason, convey.ShouldEqual, TargetSilent)
			convey.So(f.Handle(data(idle, target.Token, 300, 2), now).Action, convey.ShouldEqual, Forward)
			fresh := testFlow(9)
			convey.So(f.Handle(data(fresh, target.Token, 1, 1), now).Action, convey.ShouldEqual, Forward)
		})
		convey.Convey("an answer after the probe clears a silent verdict", func() {
			f.HandleProbe(target.Token, Silent, now)
			f.Handle(ack(busy, target.Token, 3), now)
			convey.So(f.Handle(data(idle, target.Token, 300, 2), now).Action, convey.ShouldEqual, Forward)
		})
	})
}

// Guards against a VM that leaves out targets for good, or every target there is.
func TestSuspicionIsBounded(t *testing.T) {
	convey.Convey("Given targets that answer no SYN", t, func() {
		v := testView(2)
		v.service().Remote = nil
		f := testForwarder(v)
		now := time.Duration(0)
		for i := range 200 {
			f.Handle(syn(testFlow(i), 0), now)
			d := f.Handle(syn(testFlow(i), 1), now+200*time.Millisecond)
			if d.Action != Forward {
				t.Fatalf("flow %d is refused although targets are known", i)
			}
			now += 250 * time.Millisecond
		}
		convey.So(f.Events().Suspected, convey.ShouldBeGreaterThan, 1)
		for _, l := range f.loads {
			convey.So(l.suspicion, convey.ShouldBeLessThanOrEqualTo, maxSuspicion)
		}
		convey.Convey("one answer clears the suspicion", func() {
			d := f.Handle(syn(testFlow(999), 0), now)
			f.Handle(ack(testFlow(999), d.Target.Token, 1), now)
			convey.So(f.loads[d.Target.Token].suspicion, convey.ShouldEqual, 0)
		})
	})
}

// Guards against counts that drift: every flow that ends, falls silent or moves must leave them.
func TestLoadCountsReturnToZero(t *testing.T) {
	convey.Convey("Flows that end or fall silent leave no count behind", t, func() {
		v := testView(3)
		f := testForwarder(v)
		for i := range 100 {
			d := f.Handle(syn(testFlow(i), 0), 0)
			f.Handle(data(testFlow(i), d.Target.Token, 100, 1), 0)
			if i%2 == 0 {
				f.Handle(&Header{Flow: testFlow(i), Flags: FIN | ACK, Token: d.Target.Token}, 0)
			}
			if i%3 == 0 {
				// The client was moved to another target by a second VM.
				f.Handle(data(testFlow(i), v.service().Remote[0].Token, 100, 1), 0)
			}
		}
		f.flows.expire(time.Minute, time.Second)
		f.flows.expire(2*time.Minute, time.Second)
		for _, l := range f.loads {
			convey.So(l.open, convey.ShouldEqual, 0)
			convey.So(l.busy, convey.ShouldEqual, 0)
		}
	})
}

// Guards against a flood of SYNs that takes memory without bound.
func TestFlowTableIsBounded(t *testing.T) {
	f := testForwarder(testView(3))
	for i := range 3 * maxRecent {
		f.Handle(syn(testFlow(i), 0), 0)
	}
	if n := len(f.flows.recent) + len(f.flows.older); n > 2*maxRecent {
		t.Errorf("%d flows are remembered, more than %d", n, 2*maxRecent)
	}
	open := 0
	for _, l := range f.loads {
		open += l.open
	}
	if n := len(f.flows.recent) + len(f.flows.older); open != n {
		t.Errorf("targets count %d flows, %d are remembered", open, n)
	}
}
