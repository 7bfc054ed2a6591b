package forward

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// withCondition returns a view in which the n-th local target has the given condition.
func withCondition(v *Snapshot, n int, c Condition) (*Snapshot, *Target) {
	next := *v
	next.Targets = map[Token]*Target{}
	for token, t := range v.Targets {
		next.Targets[token] = t
	}
	t := *v.service().Local[n]
	t.Condition = c
	next.Targets[t.Token] = &t
	return &next, &t
}

// Guards against clients that wait for their deadline, or for a repeated packet, once it is known that their
// flow's target has ended.
func TestExitedTarget(t *testing.T) {
	convey.Convey("Given flows at a target, one of them with a request under way, and a view that is old", t, func() {
		v := testView(2)
		f := testForwarder(v)
		token := v.service().Local[0].Token
		working, idle := testFlow(1), testFlow(2)
		f.Handle(ack(idle, token, 7), 0)
		f.Handle(data(working, token, 100, 900), 0)
		f.SetFresh(0, 0)
		exited, _ := withCondition(v, 0, Exited)
		convey.Convey("its end resets the flow that waits at once, and the other with its next packet", func() {
			convey.So(f.Install(exited), convey.ShouldResemble, []FlowReset{{Flow: working, Ack: 900}})
			convey.So(f.Install(exited), convey.ShouldBeEmpty)
			d := f.Handle(ack(idle, token, 7), time.Second)
			convey.So(d.Action, convey.ShouldEqual, Reset)
			convey.So(d.Reason, convey.ShouldEqual, TargetGone)
		})
		convey.Convey("its return ends what probes have shown meanwhile", func() {
			f.Install(exited)
			f.HandleProbe(token, Ended, time.Second)
			f.Install(v)
			convey.So(f.Handle(ack(idle, token, 7), 2*time.Second).Action, convey.ShouldEqual, Forward)
		})
	})
}

// Guards against resets of flows that are well: a drained target closes its port before its last flows end.
func TestDrainedTargetClosesItsPort(t *testing.T) {
	convey.Convey("A repeated packet to a draining target asks for no probe", t, func() {
		v := testView(2)
		draining, target := withCondition(v, 0, Draining)
		f := testForwarder(draining)
		f.Handle(data(testFlow(1), target.Token, 100, 900), 0)
		convey.So(f.Handle(data(testFlow(1), target.Token, 100, 900), 200*time.Millisecond).Probe.Target, convey.ShouldBeNil)
	})
	convey.Convey("A refused connection resets nothing at first while the view is old, as the target may have drained", t, func() {
		v := testView(2)
		f := testForwarder(v)
		token := v.service().Local[0].Token
		repeated := data(testFlow(1), token, 100, 900)
		f.Handle(repeated, 0)
		f.SetFresh(0, 0)
		convey.So(f.HandleProbe(token, Ended, time.Second), convey.ShouldBeEmpty)
		convey.So(f.Handle(repeated, time.Second+DrainExitDelay-1).Action, convey.ShouldEqual, Forward)
		convey.So(f.Handle(repeated, time.Second+DrainExitDelay).Action, convey.ShouldEqual, Reset)
	})
}

// Guards against a zone that is cut off, and refuses connections, being taken for a zone whose targets ended.
func TestProbeNeighbours(t *testing.T) {
	convey.Convey("A probe names other targets of the target's zone that are ready", t, func() {
		v, _ := withCondition(testView(4), 1, Draining)
		remote := v.service().Remote[0]
		v.Targets[NewToken("former", 1)] = remote
		for range 20 {
			n := v.SameZoneTargets(v.service().Local[0])
			convey.So(n, convey.ShouldHaveLength, maxNeighbours)
			for _, t := range n {
				convey.So(t.Zone, convey.ShouldEqual, zoneA)
				convey.So(t.ID, convey.ShouldNotEqual, v.service().Local[0].ID)
				convey.So(t.Condition, convey.ShouldEqual, Ready)
			}
		}
		f := testForwarder(v)
		f.Handle(data(testFlow(1), remote.Token, 100, 900), 0)
		d := f.Handle(data(testFlow(1), remote.Token, 100, 900), 200*time.Millisecond)
		convey.So(d.Probe.SameZoneTargets, convey.ShouldHaveLength, maxNeighbours)
	})
}
