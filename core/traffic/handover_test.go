package traffic

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	. "github.com/smartystreets/goconvey/convey"
)

// handOver hands a target over and publishes the new owner.
func (f *cluster) handOver(id core.TargetID, to core.VMName, token core.FencingToken) {
	from := f.targets[id].Owner
	f.in(from, core.StartHandover{Target: id, To: to, FencingToken: token})
	f.targets[id].Owner, f.targets[id].AssignedOwner, f.targets[id].FencingToken = to, to, token
	f.publish()
}

// Guards against flows, records, feeds and requests that a handover loses or runs twice.
func TestHandover(t *testing.T) {
	Convey("Given an owner with flows, records, a feed and a request in flight", t, func() {
		f := newCluster(t, 2, 1)
		f.warm()
		f.request("a", posting(1, 1))
		f.answerAttempt(f.lastRequest(), core.AnswerOK, "paid")
		f.request("a", subscribe(2, 1))
		feed := f.lastRequest()
		f.answerAttempt(feed, core.AnswerNotification, "first")
		f.request("a", posting(3, 1))
		inFlight := f.lastRequest()
		Convey("the new owner has the limit, the flows and the records", func() {
			f.handOver(1, "b", 2)
			o := f.vms["b"].owned[1]
			So(o, ShouldNotBeNil)
			So(f.vms["a"].owned, ShouldBeEmpty)
			So(o.admission.limit, ShouldEqual, 4)
			So(o.placedFlows(), ShouldEqual, 3)
			So(o.inFlight, ShouldEqual, 2)
			f.answers = nil
			f.request("b", posting(1, 1))
			So(f.answers, ShouldHaveLength, 1)
			So(string(f.answers[0].Payload), ShouldEqual, "paid")
		})
		Convey("requests in flight stay, and their outcome is reported to the new owner", func() {
			f.handOver(1, "b", 2)
			n := len(f.requests())
			f.request("b", posting(3, 1))
			So(f.requests(), ShouldHaveLength, n)
			f.answerAttempt(inFlight, core.AnswerOK, "booked")
			o := f.vms["b"].owned[1]
			So(o.inFlight, ShouldEqual, 1)
			f.answers = nil
			f.request("b", posting(3, 1))
			So(string(f.answers[0].Payload), ShouldEqual, "booked")
			So(f.requests(), ShouldHaveLength, n)
		})
		Convey("a shed request goes to the new owner and is sent once more", func() {
			f.handOver(1, "b", 2)
			n := len(f.requests())
			f.answerAttempt(inFlight, core.AnswerShed, "")
			So(f.requests(), ShouldHaveLength, n+1)
			So(f.lastRequest().Token>>32, ShouldEqual, 2)
		})
		Convey("the next request of a flow with one in flight waits for its end", func() {
			f.handOver(1, "b", 2)
			n := len(f.requests())
			f.request("b", posting(3, 2))
			So(f.requests(), ShouldHaveLength, n)
			f.answerAttempt(inFlight, core.AnswerOK, "")
			So(f.requests(), ShouldHaveLength, n+1)
		})
		Convey("the new owner renews the feed, and its messages reach the client", func() {
			f.handOver(1, "b", 2)
			renewal := f.lastRequest()
			So(renewal.Request.Method, ShouldEqual, core.MethodSubscribe)
			So(renewal.Token, ShouldNotEqual, feed.Token)
			f.answers = nil
			f.answerAttempt(feed, core.AnswerNotification, "old")
			f.answerAttempt(renewal, core.AnswerNotification, "new")
			So(f.answers, ShouldHaveLength, 2)
			So(f.answers[1].ID, ShouldResemble, feed.Request.ID)
			So(f.answers[1].Notification, ShouldBeTrue)
			So(f.sent[len(f.sent)-1].Kind, ShouldEqual, core.SendCancel)
			So(f.sent[len(f.sent)-1].Token, ShouldEqual, feed.Token)
		})
		Convey("waiting requests are forwarded after the confirmation", func() {
			f.holdMessage = func(_ core.VMName, m core.Message) bool {
				_, ok := m.(*core.HandoverAck)
				return ok
			}
			f.in("a", core.StartHandover{Target: 1, To: "b", FencingToken: 2})
			n := len(f.requests())
			f.request("a", read(1, 5))
			So(f.requests(), ShouldHaveLength, n)
			f.holdMessage = nil
			f.in("a", core.PeerMessage{From: "b", Msg: f.held[0].Msg})
			So(f.requests(), ShouldHaveLength, n+1)
			So(f.lastRequest().Token>>32, ShouldEqual, 2)
		})
		Convey("after a declined handover the sender resumes ownership", func() {
			f.vms["b"].stopping = true
			f.in("a", core.StartHandover{Target: 1, To: "b", FencingToken: 2})
			So(f.vms["a"].owned[1].handover, ShouldBeNil)
			n := len(f.requests())
			f.request("a", posting(1, 9))
			So(f.requests(), ShouldHaveLength, n+1)
		})
		Convey("waiting requests of a handover without confirmation are refused with an unknown outcome", func() {
			f.disconnected["b"] = true
			f.in("a", core.StartHandover{Target: 1, To: "b", FencingToken: 2})
			f.request("a", posting(1, 9))
			f.tick(handoverWait)
			So(f.refusals, ShouldHaveLength, 1)
			So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
			f.in("a", core.LinkEvent{Peer: "b", State: core.LinkRefused})
			n := len(f.requests())
			f.request("a", posting(1, 10))
			So(f.requests(), ShouldHaveLength, n)
			f.request("a", read(1, 11))
			So(f.requests(), ShouldHaveLength, n+1)
		})
		Convey("idempotent requests are served here while the receiver is unreachable, until control decides", func() {
			f.disconnected["b"] = true
			f.in("a", core.LinkEvent{Peer: "b", State: core.LinkDown})
			f.in("a", core.StartHandover{Target: 1, To: "b", FencingToken: 2})
			f.tick(handoverWait)
			n := len(f.requests())
			f.request("a", read(1, 8))
			f.request("a", posting(1, 9))
			So(f.requests(), ShouldHaveLength, n+1)
			f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
			f.in("a", core.TakeOver{Target: 1, FencingToken: 3, PreviousOwnerUntil: f.now + time.Second, PreviousOwnerEndedBy: f.now})
			So(f.vms["a"].owned[1].handover, ShouldBeNil)
			f.tick(core.RequestLifetime + time.Second)
			f.request("a", posting(1, 10))
			So(f.requests(), ShouldHaveLength, n+2)
		})
		Convey("an incomplete handover is declined", func() {
			f.holdMessage = func(_ core.VMName, m core.Message) bool {
				_, ok := m.(*core.HandoverChunk)
				return ok
			}
			f.in("a", core.StartHandover{Target: 1, To: "b", FencingToken: 2})
			So(f.vms["b"].owned, ShouldBeEmpty)
			So(f.vms["a"].owned[1].handover, ShouldBeNil)
		})
	})
	Convey("Given 2000 flows with large feeds, chunks stay below 60 KB", t, func() {
		f := newCluster(t, 2, 1)
		o := f.owned(1)
		for i := range 2000 {
			o.setFlow(testFlow(i), 1, f.now)
			r := subscribe(i, 1)
			r.Payload = make([]byte, 1000)
			o.feeds.put(&feed{target: o, req: r})
		}
		f.holdMessage = func(_ core.VMName, m core.Message) bool {
			c, ok := m.(*core.HandoverChunk)
			if ok {
				size := 0
				for _, x := range c.Flows {
					size += 100 + len(x.Feed.Payload)
				}
				So(size, ShouldBeLessThan, 60<<10)
			}
			return false
		}
		f.handOver(1, "b", 2)
		So(f.vms["b"].owned[1].placedFlows(), ShouldEqual, 2000)
		So(f.vms["b"].owned[1].feeds.byFlow, ShouldHaveLength, 2000)
		So(f.requests(), ShouldHaveLength, 1)
	})
	Convey("Given previous sets from before the receiver started, it finds flows by them", t, func() {
		f := newCluster(t, 2, 2)
		f.warm()
		i := 0
		for f.vms["a"].candidates(testFlow(i))[0] != 2 {
			i++
		}
		f.request("a", read(i, 1))
		f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
		f.replaceSet(1)
		f.publish()
		previous := f.previous
		f.previous = nil
		f.handOver(2, "a", 2)
		f.vms["b"] = New(Options{Self: "b", Source: 2})
		f.publishTo("b")
		f.previous = previous
		f.publishTo("a")
		f.previous = nil
		f.in("a", core.StartHandover{Target: 1, To: "b", FencingToken: 2})
		f.targets[1].Owner = "b"
		f.publishTo("b")
		f.request("b", read(i, 2))
		So(f.lastRequest().Target, ShouldEqual, 2)
	})
}

// Guards against a second feed of a flow that ends the first, and against a request that ends the
// wrong feed.
func TestSeveralFeeds(t *testing.T) {
	Convey("Given a flow with two feeds", t, func() {
		f := newCluster(t, 2, 1)
		f.warm()
		var feeds []core.SendTarget
		for i := range 2 {
			r := subscribe(1, i+1)
			r.Feed = uint64(i + 1)
			f.request("b", r)
			feeds = append(feeds, f.lastRequest())
			f.answerAttempt(f.lastRequest(), core.AnswerNotification, "")
		}
		f.answers = nil
		Convey("messages of both reach the client", func() {
			for _, s := range feeds {
				f.answerAttempt(s, core.AnswerNotification, "")
			}
			So(f.answers, ShouldHaveLength, 2)
			So(f.cancels(), ShouldEqual, 0)
		})
		Convey("the end of one leaves the other, here and after a handover", func() {
			r := subscribe(1, 3)
			r.Method = core.MethodUnsubscribe
			r.Feed = 1
			f.request("a", r)
			f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
			So(f.sent[len(f.sent)-2].Token, ShouldEqual, feeds[0].Token)
			f.sent = nil
			f.handOver(1, "b", 2)
			So(f.requests(), ShouldHaveLength, 1)
			So(f.lastRequest().Request.Feed, ShouldEqual, 2)
		})
	})
}

// Guards against feeds that stall when their owner crashes or is replaced without a handover.
func TestLostOwner(t *testing.T) {
	Convey("Given a feed that was registered through another VM than the owner", t, func() {
		f := newCluster(t, 2, 1)
		f.warm()
		f.request("b", subscribe(1, 1))
		f.answerAttempt(f.lastRequest(), core.AnswerNotification, "")
		f.publish()
		f.sent, f.answers = nil, nil
		replace := func() {
			f.in("b", core.TakeOver{Target: 1, FencingToken: 2, PreviousOwnerEndedBy: f.now})
			f.targets[1].Owner, f.targets[1].FencingToken = "b", 2
			f.publishTo("b")
		}
		renewed := func() {
			So(f.requests(), ShouldHaveLength, 1)
			So(f.lastRequest().Request.Method, ShouldEqual, core.MethodSubscribe)
			f.answerAttempt(f.lastRequest(), core.AnswerNotification, "x")
			So(f.answers, ShouldHaveLength, 1)
			So(f.answers[0].Notification, ShouldBeTrue)
		}
		Convey("the next owner renews it after a crash", func() {
			f.disconnected["a"] = true
			f.in("b", core.LinkEvent{Peer: "a", State: core.LinkRefused})
			replace()
			renewed()
		})
		Convey("the next owner renews it when the loss of the link is detected later", func() {
			f.disconnected["a"] = true
			replace()
			f.tick(time.Second)
			f.in("b", core.LinkEvent{Peer: "a", State: core.LinkDown})
			renewed()
		})
		Convey("a feed that the client has ended is not renewed", func() {
			r := subscribe(1, 2)
			r.Method = core.MethodUnsubscribe
			f.request("b", r)
			f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
			f.sent = nil
			f.in("b", core.LinkEvent{Peer: "a", State: core.LinkRefused})
			replace()
			So(f.requests(), ShouldBeEmpty)
		})
		Convey("an owner that still runs forwards its feeds when it is replaced", func() {
			f.vms["b"].subscriptions = newSubscriptionTable()
			replace()
			f.in("a", core.DropTarget{Target: 1, Owner: "b", FencingToken: 2})
			renewed()
		})
	})
}

// Guards against feeds that stall when their target leaves service, and against packets to that
// target.
func TestZoneOut(t *testing.T) {
	Convey("Given feeds and records on a target whose zone is taken out", t, func() {
		f := newCluster(t, 2, 2)
		f.warm()
		flows := 0
		for i := range 40 {
			f.request("a", subscribe(i, 1))
			f.answerAttempt(f.lastRequest(), core.AnswerNotification, "")
			if f.lastRequest().Target == 1 {
				flows++
			}
		}
		So(flows, ShouldBeGreaterThan, 5)
		i := 0
		for f.vms["a"].candidates(testFlow(i))[0] != 1 {
			i++
		}
		f.request("a", posting(i, 7))
		f.answerAttempt(f.lastRequest(), core.AnswerOK, "paid")
		f.targets[1].ZoneOut = true
		f.replaceSet(2)
		f.publish()
		f.handOver(1, "b", 2)
		f.sent = nil
		f.answers = nil
		Convey("the feeds are registered on accepting targets, and nothing is sent to the old one", func() {
			n := 0
			for range 40 {
				f.tick(50 * time.Millisecond)
				for n < len(f.requests()) {
					f.answerAttempt(f.requests()[n], core.AnswerNotification, "")
					n++
				}
			}
			So(f.answers, ShouldHaveLength, flows)
			for _, s := range f.sent {
				So(s.Target, ShouldEqual, 2)
			}
			for _, a := range f.answers {
				So(a.Notification, ShouldBeTrue)
			}
			So(f.owned(2).feeds.byFlow, ShouldHaveLength, 40)
		})
		Convey("a retransmission is answered from the record, and a new non-idempotent request runs on another target", func() {
			f.request("a", posting(i, 7))
			So(f.answers, ShouldHaveLength, 1)
			f.request("a", posting(i, 8))
			So(f.lastRequest().Target, ShouldEqual, 2)
		})
	})
}

// Guards against a planned stop that ends with requests in flight, or never.
func TestDrain(t *testing.T) {
	Convey("Given a leaving VM", t, func() {
		f := newCluster(t, 2, 1)
		f.warm()
		f.request("a", posting(1, 1))
		s := f.lastRequest()
		f.in("a", core.Stop{})
		So(f.drained, ShouldEqual, 0)
		f.handOver(1, "b", 2)
		So(f.drained, ShouldEqual, 0)
		f.answerAttempt(s, core.AnswerOK, "")
		f.tick(100 * time.Millisecond)
		So(f.drained, ShouldEqual, 1)
		So(f.answers, ShouldHaveLength, 1)
	})
}

// Guards against flows that the successor of a lost owner places anew although a peer has entries
// of them.
func TestQuery(t *testing.T) {
	Convey("Given a redirected flow, and the loss of the owner that had placed it", t, func() {
		f := newCluster(t, 3, 3)
		f.warm()
		f.request("c", read(1, 1))
		f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
		primary := f.lastRequest().Target
		vm := f.vms[f.targets[primary].Owner]
		other := primary%3 + 1
		vm.owned[primary].setFlow(testFlow(1), other, f.now)
		f.request("c", read(1, 2))
		So(f.lastRequest().Target, ShouldEqual, other)
		f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
		f.in(f.targets[primary].Owner, core.DropTarget{Target: primary, Owner: "x", FencingToken: 2})
		f.in(f.targets[primary].Owner, core.TakeOver{Target: primary, FencingToken: 3, PreviousOwnerEndedBy: f.now})
		for _, v := range f.vms {
			v.ingressFlows = newFlowTable(0)
		}
		f.request("b", read(1, 3))
		f.tick(queryWait)
		So(f.lastRequest().Request.ID.Lo, ShouldEqual, 3)
		So(f.lastRequest().Target, ShouldEqual, other)
	})
	Convey("Given the successor of a lost owner, a flow that no peer has is placed after the wait", t, func() {
		f := newCluster(t, 2, 1)
		f.in("a", core.DropTarget{Target: 1, Owner: "x", FencingToken: 2})
		f.in("a", core.TakeOver{Target: 1, FencingToken: 3, PreviousOwnerEndedBy: f.now})
		f.request("a", read(1, 1))
		So(f.requests(), ShouldBeEmpty)
		f.tick(queryWait)
		So(f.requests(), ShouldHaveLength, 1)
	})
}
