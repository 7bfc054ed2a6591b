package traffic

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a non-idempotent request that runs twice because the answer of a peer that has the
// flow on another target did not arrive.
func TestUnansweredQuery(t *testing.T) {
	Convey("Given a target taken over without handover, after the quarantine", t, func() {
		f := newCluster(t, 2, 2)
		f.in("a", core.DropTarget{Target: 1, Owner: "x", FencingToken: 2})
		f.in("a", core.TakeOver{Target: 1, FencingToken: 3, PreviousOwnerEndedBy: f.now})
		f.warm()
		f.tick(core.RequestLifetime)
		i := 0
		for f.vms["a"].candidates(testFlow(i))[0] != 1 {
			i++
		}
		refusedUntilAnswered := func() {
			f.request("a", posting(i, 1))
			f.tick(2 * queryWait)
			So(f.requests(), ShouldBeEmpty)
			So(f.refusals, ShouldHaveLength, 1)
			So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
		}
		sentOnceAnswered := func() {
			f.request("a", posting(i, 2))
			f.tick(2 * queryWait)
			So(f.requests(), ShouldHaveLength, 1)
		}
		Convey("the outcome of a non-idempotent request whose query gets no answer is unknown, and a later one is sent once all answer", func() {
			f.holdMessage = func(_ core.VMName, m core.Message) bool {
				_, ok := m.(*core.FlowQuery)
				return ok
			}
			refusedUntilAnswered()
			f.holdMessage = nil
			sentOnceAnswered()
		})
		Convey("an answer to an earlier query does not count", func() {
			f.holdMessage = func(_ core.VMName, m core.Message) bool {
				_, ok := m.(*core.FlowReply)
				return ok
			}
			refusedUntilAnswered()
			f.request("a", posting(i, 2))
			f.in("a", core.PeerMessage{From: "b", Msg: f.held[0].Msg})
			f.tick(2 * queryWait)
			So(f.requests(), ShouldBeEmpty)
		})
		Convey("an idempotent request does not confirm the placement", func() {
			f.request("a", read(i, 9))
			f.tick(2 * queryWait)
			So(f.requests(), ShouldHaveLength, 1)
			f.sent = nil
			f.disconnected["b"] = true
			refusedUntilAnswered()
		})
		Convey("an answer that names the asking target does not end the query", func() {
			f.holdMessage = func(_ core.VMName, m core.Message) bool {
				_, ok := m.(*core.FlowReply)
				return ok
			}
			f.request("a", posting(i, 1))
			f.in("a", core.PeerMessage{From: "b", Msg: &core.FlowReply{Flow: testFlow(i), Target: 1}})
			So(f.refusals, ShouldBeEmpty)
			So(f.requests(), ShouldBeEmpty)
			f.in("a", core.PeerMessage{From: "b", Msg: &core.FlowReply{Flow: testFlow(i), Target: 2}})
			So(f.lastRequest().Target, ShouldEqual, 2)
		})
		Convey("a flow that is accepted because of a flow table entry stays unconfirmed", func() {
			f.holdMessage = func(_ core.VMName, m core.Message) bool {
				_, ok := m.(*core.FlowQuery)
				return ok
			}
			f.in("a", core.PeerMessage{From: "b", Msg: &core.ForwardRequest{Request: read(i, 9), Target: 1,
				FlowKnown: true, Ingress: "b", Hops: 1}})
			So(f.requests(), ShouldHaveLength, 1)
			f.sent = nil
			refusedUntilAnswered()
		})
		Convey("the outcome of a non-idempotent request is unknown while a VM with authority is silent", func() {
			s := f.snapshot("a")
			s.Silent = []core.VMName{"y"}
			f.in("a", core.SnapshotPublished{Snapshot: s})
			refusedUntilAnswered()
			f.publish()
			sentOnceAnswered()
		})
		Convey("a query is over when every shard of every peer has answered", func() {
			q := pendingQuery{seq: 5}
			q.addAnswer("b", &core.FlowReply{Seq: 5, Shard: 0, Shards: 2})
			q.addAnswer("b", &core.FlowReply{Seq: 5, Shard: 0, Shards: 2})
			So(q.allShardsAnswered("b"), ShouldBeFalse)
			q.addAnswer("b", &core.FlowReply{Seq: 4, Shard: 1, Shards: 2})
			So(q.allShardsAnswered("b"), ShouldBeFalse)
			q.addAnswer("b", &core.FlowReply{Seq: 5, Shard: 1, Shards: 2})
			So(q.allShardsAnswered("b"), ShouldBeTrue)
		})
	})
}

// Guards against a flow that is split because its owner's question for records comes back through
// another candidate and is taken for the return of the flow.
func TestRecordQuestionThroughRedirects(t *testing.T) {
	Convey("Given a flow on target 3 that came from target 1, and redirects from 1 to 2 and 2 to 3", t, func() {
		f := newCluster(t, 3, 3)
		f.warm()
		flow := testFlow(1)
		f.owned(1).setFlow(flow, 2, f.now)
		f.owned(2).setFlow(flow, 3, f.now)
		f.owned(3).setFlow(flow, 3, f.now)
		f.owned(3).returnedFrom.put(flow, 1, f.now+time.Minute)
		Convey("a non-idempotent request that reaches 2 runs on 3, and the flow stays there", func() {
			f.in("b", core.PeerMessage{From: "a", Msg: &core.ForwardRequest{Request: posting(1, 1), Target: 2,
				FlowKnown: true, NoRecordElsewhere: true, Ingress: "a", Hops: 1}})
			So(f.requests(), ShouldHaveLength, 1)
			So(f.lastRequest().Target, ShouldEqual, 3)
			So(f.owned(2).flows.get(&flow).target, ShouldEqual, 3)
		})
	})
}

// Guards against a feed that splits its flow: the lost owner had redirected the flow, and the entry
// of its ingress VM was unconfirmed.
func TestRenewalOfUnconfirmed(t *testing.T) {
	Convey("Given a feed whose ingress VM has an unconfirmed entry, the renewal does not claim that the flow is known", t, func() {
		f := newCluster(t, 3, 1)
		f.warm()
		r := subscribe(1, 1)
		c := f.vms["c"]
		c.ingressFlows.put(r.Flow, 1, f.now).seenAt |= unconfirmedFlag
		c.subscriptions.add(&subscription{req: r, owner: "a", expiresAt: f.now + subscriptionLifetime})
		f.holdMessage = func(_ core.VMName, m core.Message) bool {
			fr, ok := m.(*core.ForwardRequest)
			return ok && fr.Renewal
		}
		f.disconnected["a"] = true
		f.in("c", core.LinkEvent{Peer: "a", State: core.LinkDown})
		f.targets[1].Owner, f.targets[1].AssignedOwner = "b", "b"
		f.publishTo("c")
		f.tick(time.Second)
		So(f.held, ShouldHaveLength, 1)
		So(f.held[0].Msg.(*core.ForwardRequest).FlowKnown, ShouldBeFalse)
	})
}
