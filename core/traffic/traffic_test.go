package traffic

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against flows that change their target, requests that are lost between VMs, and answers
// that reach the wrong client.
func TestRouting(t *testing.T) {
	Convey("Given two VMs and four targets", t, func() {
		f := newCluster(t, 2, 4)
		f.warm()
		Convey("requests of a flow reach the same target through any VM", func() {
			f.request("a", read(1, 1))
			f.answerAttempt(f.lastRequest(), core.AnswerOK, "x")
			first := f.lastRequest().Target
			f.request("b", read(1, 2))
			So(f.lastRequest().Target, ShouldEqual, first)
			So(f.lastRequest().Request.ID.Lo, ShouldEqual, 2)
			So(f.answers, ShouldHaveLength, 1)
			So(string(f.answers[0].Payload), ShouldEqual, "x")
			_, owner, ok := f.vms["a"].Route(testFlow(1), f.now)
			So(ok, ShouldBeTrue)
			So(owner, ShouldEqual, f.targets[first].Owner)
		})
		Convey("a flow stays on its target when the set changes, for VMs with and without a flow table entry", func() {
			targets := map[int]core.TargetID{}
			for i := range 40 {
				f.request("a", read(i, 1))
				f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
				targets[i] = f.lastRequest().Target
			}
			f.addTarget(5, "a")
			f.current = f.current[:4]
			f.replaceSet(1, 2, 3, 4, 5)
			f.publish()
			f.in("a", core.TakeOver{Target: 5, FencingToken: 1, FirstOwner: true})
			f.vms["b"].ingressFlows = newFlowTable(0)
			for i := range 40 {
				for _, vm := range f.names {
					f.request(vm, read(i, 2))
					So(f.lastRequest().Target, ShouldEqual, targets[i])
					f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
				}
			}
		})
		Convey("a flow that was placed under a previous set is found by a VM that has only the newer set", func() {
			f.request("a", read(3, 1))
			f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
			placedOn := f.lastRequest().Target
			f.replaceSet()
			for id := core.TargetID(1); id <= 4; id++ {
				if id != placedOn {
					f.current = append(f.current, id)
				}
			}
			f.publish()
			previous := f.previous
			f.previous = nil
			f.publishTo("b")
			f.previous = previous
			f.vms["b"].ingressFlows = newFlowTable(0)
			if f.targets[f.current[0]].Owner == "b" {
				So(f.vms["b"].candidates(testFlow(3)), ShouldHaveLength, 1)
			}
			f.request("a", read(3, 2))
			So(f.lastRequest().Target, ShouldEqual, placedOn)
		})
		Convey("a request for an unreachable owner waits and is served by the next one", func() {
			f.request("a", read(1, 1))
			f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
			id := f.lastRequest().Target
			lost := f.targets[id].Owner
			other := f.names[0]
			if other == lost {
				other = f.names[1]
			}
			f.disconnected[lost] = true
			f.in(other, core.LinkEvent{Peer: lost, State: core.LinkRefused})
			f.request(other, read(1, 2))
			n := len(f.requests())
			f.targets[id].Owner, f.targets[id].AssignedOwner = other, other
			f.publishTo(other)
			f.in(other, core.TakeOver{Target: id, FencingToken: 2, PreviousOwnerEndedBy: f.now})
			f.tick(200 * time.Millisecond)
			So(f.requests(), ShouldHaveLength, n+1)
			So(f.lastRequest().Target, ShouldEqual, id)
		})
		Convey("a request without a snapshot is refused", func() {
			s := New(Options{Self: "x"})
			out := s.Handle(core.ClientRequest{Request: posting(1, 1)}, f.now, nil)
			So(out, ShouldHaveLength, 1)
			So(out[0].(core.RefuseClient).Run, ShouldEqual, core.RunUnknown)
		})
	})
}

// Guards against answers to the wrong request, and against late answers that free a slot twice.
func TestAnswers(t *testing.T) {
	Convey("Given a request in flight", t, func() {
		f := newCluster(t, 1, 1)
		f.request("a", read(1, 1))
		s := f.lastRequest()
		Convey("its answer reaches the client once", func() {
			f.answerAttempt(s, core.AnswerOK, "x")
			f.answerAttempt(s, core.AnswerOK, "x")
			So(f.answers, ShouldHaveLength, 1)
			So(f.countEvents(core.EventAnswerDropped), ShouldEqual, 1)
			So(f.owned(1).inFlight, ShouldEqual, 0)
		})
		Convey("an answer from another address or for another flow or service is dropped", func() {
			wrong := answerTo(s, core.AnswerOK, "x")
			wrong.From = f.targets[1].Target.Addr
			wrong.Flow = testFlow(2)
			f.in("a", wrong)
			wrong = answerTo(s, core.AnswerOK, "x")
			wrong.Flow.Service++
			f.in("a", wrong)
			wrong = answerTo(s, core.AnswerOK, "x")
			wrong.From = testFlow(9).ClientAddr()
			f.in("a", wrong)
			So(f.answers, ShouldBeEmpty)
			So(f.countEvents(core.EventAnswerDropped), ShouldEqual, 3)
			So(f.owned(1).inFlight, ShouldEqual, 1)
		})
		Convey("an answer after the deadline is not passed on", func() {
			f.tick(5 * time.Second)
			So(f.refusals, ShouldHaveLength, 1)
			So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
			f.answerAttempt(f.lastRequest(), core.AnswerOK, "x")
			So(f.answers, ShouldBeEmpty)
		})
	})
}

// Guards against a crash of a VM that receives clients' packets before it has a configuration.
func TestSnapshotWithoutConfig(t *testing.T) {
	Convey("A request is refused while there is no configuration", t, func() {
		s := New(Options{Self: "a", Source: 1, ShardCount: 1})
		s.Handle(core.SnapshotPublished{Snapshot: &core.Snapshot{Self: "a"}}, 0, nil)
		out := s.Handle(core.ClientRequest{Request: core.Request{Idempotent: true}}, 1, nil)
		So(len(out), ShouldEqual, 1)
		So(out[0], ShouldHaveSameTypeAs, core.RefuseClient{})
	})
}
