package forward

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core/targetload"
)

// withCondition returns a snapshot in which the n-th local target has the given condition, and that target.
func withCondition(snapshot *Snapshot, n int, c Condition) (*Snapshot, *Target) {
	next := *snapshot
	next.Targets = map[Token]*Target{}
	for token, t := range snapshot.Targets {
		next.Targets[token] = t
	}
	t := *snapshot.service().Local[n]
	t.Condition = c
	next.Targets[t.Token] = &t
	return &next, &t
}

// Guards against clients that wait for their deadline, or until they retransmit a packet, although the VM has
// observed that the target of their flow has exited.
func TestExitedTarget(t *testing.T) {
	convey.Convey("Given two flows of a target, one of them with a pending request, and a stale snapshot", t, func() {
		snapshot := testSnapshot(2)
		f := testForwarder(snapshot)
		token := snapshot.service().Local[0].Token
		waiting, idle := testFlow(1), testFlow(2)
		f.Handle(ack(idle, token, 7), 0)
		f.Handle(data(waiting, token, 100, 900), 0)
		f.SetFresh(0, 0)
		exited, _ := withCondition(snapshot, 0, Exited)
		convey.Convey("the exit of the target resets the waiting flow at once and the other one at its next packet", func() {
			convey.So(f.Install(exited), convey.ShouldResemble, []FlowReset{{Flow: waiting, Ack: 900}})
			convey.So(f.Install(exited), convey.ShouldBeEmpty)
			d := f.Handle(ack(idle, token, 7), time.Second)
			convey.So(d.Action, convey.ShouldEqual, Reset)
			convey.So(d.Reason, convey.ShouldEqual, TargetGone)
		})
		convey.Convey("the return of the target clears the results of earlier probes", func() {
			f.Install(exited)
			f.HandleProbe(token, Ended, time.Second)
			f.Install(snapshot)
			convey.So(f.Handle(ack(idle, token, 7), 2*time.Second).Action, convey.ShouldEqual, Forward)
		})
	})
}

// Guards against resets of working flows: a drained target closes its port before its last flows end.
func TestDrainedTargetClosesItsPort(t *testing.T) {
	convey.Convey("A retransmitted packet to a draining target requests no probe", t, func() {
		snapshot := testSnapshot(2)
		draining, target := withCondition(snapshot, 0, Draining)
		f := testForwarder(draining)
		f.Handle(data(testFlow(1), target.Token, 100, 900), 0)
		convey.So(f.Handle(data(testFlow(1), target.Token, 100, 900), 200*time.Millisecond).Probe.Target, convey.ShouldBeNil)
	})
	convey.Convey("With a stale snapshot a refused connection resets flows only after DrainExitDelay, as the target may have drained", t, func() {
		snapshot := testSnapshot(2)
		f := testForwarder(snapshot)
		token := snapshot.service().Local[0].Token
		packet := data(testFlow(1), token, 100, 900)
		f.Handle(packet, 0)
		f.SetFresh(0, 0)
		convey.So(f.HandleProbe(token, Ended, time.Second), convey.ShouldBeEmpty)
		convey.So(f.Handle(packet, time.Second+DrainExitDelay-1).Action, convey.ShouldEqual, Forward)
		convey.So(f.Handle(packet, time.Second+DrainExitDelay).Action, convey.ShouldEqual, Reset)
	})
}

// Guards against treating all targets of a zone as ended when the zone is cut off and refuses connections.
func TestProbeSameZoneTargets(t *testing.T) {
	convey.Convey("A probe lists other targets of the target's zone that are ready", t, func() {
		snapshot, _ := withCondition(testSnapshot(4), 1, Draining)
		remote := snapshot.service().Remote[0]
		snapshot.Targets[NewToken("previous", 1)] = remote
		for range 20 {
			others := snapshot.SameZoneTargets(snapshot.service().Local[0])
			convey.So(others, convey.ShouldHaveLength, maxSameZoneTargets)
			for _, t := range others {
				convey.So(t.Zone, convey.ShouldEqual, zoneA)
				convey.So(t.ID, convey.ShouldNotEqual, snapshot.service().Local[0].ID)
				convey.So(t.Condition, convey.ShouldEqual, Ready)
			}
		}
		f := testForwarder(snapshot)
		f.Handle(data(testFlow(1), remote.Token, 100, 900), 0)
		d := f.Handle(data(testFlow(1), remote.Token, 100, 900), 200*time.Millisecond)
		convey.So(d.Probe.SameZoneTargets, convey.ShouldHaveLength, maxSameZoneTargets)
	})
}

// Guards against resets of the flows of a target that is at its connection limit and resets new connections. When no target of the
// zone answers, the network may reset the connections, and clients must not wait for their deadline.
func TestProbeThatIsReset(t *testing.T) {
	convey.Convey("Given a flow with a pending request and a flow that was answered in the same zone", t, func() {
		f := testForwarder(testSnapshot(2))
		full, other := f.snapshot.service().Local[0].Token, f.snapshot.service().Local[1].Token
		request := data(testFlow(1), full, 100, 900)
		f.Handle(request, 0)
		f.Handle(data(testFlow(2), other, 100, 900), 0)
		f.Handle(ack(testFlow(2), other, 1500), 20*time.Millisecond)
		convey.Convey("a reset connection to the flow's target resets nothing", func() {
			convey.So(f.HandleProbe(full, ConnectionReset, 250*time.Millisecond), convey.ShouldBeEmpty)
			convey.So(f.Handle(request, 600*time.Millisecond).Action, convey.ShouldEqual, Forward)
		})
		convey.Convey("a reset connection resets nothing on a VM with few flows either, if another target accepts connections", func() {
			now := 20*time.Millisecond + zoneAnswerTime
			convey.So(f.HandleProbe(full, Full, now), convey.ShouldBeEmpty)
			convey.So(f.Handle(request, now).Action, convey.ShouldEqual, Forward)
		})
		convey.Convey("a VM without answers takes the load of the target from the other VMs", func() {
			now := 20*time.Millisecond + zoneAnswerTime
			summary := targetload.Summary{Targets: []targetload.TargetLoad{{ID: targetload.ID(full), Slowness: 6}}}
			f.SetLoad(targetload.NewTable(summary, now), nil)
			convey.So(f.HandleProbe(full, ConnectionReset, now), convey.ShouldBeEmpty)
			convey.So(f.Handle(request, now).Action, convey.ShouldEqual, Forward)
		})
		convey.Convey("once the zone has not answered for zoneAnswerTime, the target counts as silent", func() {
			now := 20*time.Millisecond + zoneAnswerTime
			convey.So(f.HandleProbe(full, ConnectionReset, now), convey.ShouldBeEmpty)
			convey.So(f.Handle(request, now).Reason, convey.ShouldEqual, TargetSilent)
		})
	})
}
