package traffic

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
)

// Guards against feeds that a target keeps without a client, and against packets to targets that
// this VM must not send to.
func TestRejectNotification(t *testing.T) {
	Convey("Given a notification with an unknown token", t, func() {
		f := newCluster(t, 2, 1)
		f.request("a", subscribe(1, 1))
		stray := answerTo(f.lastRequest(), core.AnswerNotification, "n")
		stray.Token += 1000
		Convey("the owner rejects it", func() {
			f.in("a", stray)
			So(f.rejections, ShouldHaveLength, 1)
			So(f.rejections[0].Addr, ShouldEqual, stray.From)
			So(f.rejections[0].Flow, ShouldResemble, stray.Flow)
			So(string(f.rejections[0].Payload), ShouldEqual, "n")
			So(f.countEvents(core.EventAnswerDropped), ShouldEqual, 1)
		})
		Convey("other VMs, other messages and unknown senders are only counted", func() {
			f.in("b", stray)
			late := stray
			late.Status = core.AnswerOK
			f.in("a", late)
			unknown := stray
			unknown.From = testFlow(9).ClientAddr()
			f.in("a", unknown)
			So(f.rejections, ShouldBeEmpty)
			So(f.countEvents(core.EventAnswerDropped), ShouldEqual, 3)
		})
		Convey("a target whose zone was taken out gets nothing", func() {
			f.targets[1].ZoneOut = true
			f.publish()
			f.in("a", stray)
			So(f.rejections, ShouldBeEmpty)
		})
		Convey("only some notifications of a flood are rejected", func() {
			for range 3 * rejectionsPerTick {
				f.in("a", stray)
			}
			So(f.rejections, ShouldHaveLength, rejectionsPerTick)
		})
		Convey("notifications of the feed itself are passed on", func() {
			f.answerAttempt(f.lastRequest(), core.AnswerNotification, "first")
			f.answerAttempt(f.lastRequest(), core.AnswerNotification, "second")
			So(f.rejections, ShouldBeEmpty)
			So(f.answers, ShouldHaveLength, 2)
		})
	})
}

// Guards against resets that cancel nothing, because they name a message id and no token, and
// against resets that cancel the request of another flow.
func TestCancelByMessageID(t *testing.T) {
	Convey("Given a non-idempotent request in flight, one in the queue and a feed", t, func() {
		f := newCluster(t, 1, 1)
		with := func(r core.Request, messageID uint16) core.Request {
			r.ID = core.MessageRequestID(uint64(messageID)*7, messageID, 0)
			return r
		}
		cancel := func(flow int, messageID uint16) {
			f.request("a", core.Request{Flow: testFlow(flow), ID: core.CancelID(messageID),
				Method: core.MethodCancel, Class: core.ClassRead, Idempotent: true})
		}
		f.request("a", with(subscribe(1, 0), 10))
		f.answerAttempt(f.lastRequest(), core.AnswerNotification, "n")
		f.request("a", with(posting(1, 0), 11))
		f.request("a", with(posting(2, 0), 12))
		So(f.owned(1).inFlight, ShouldEqual, 1)
		So(f.cancels(), ShouldEqual, 0)
		Convey("a reset cancels the attempt in flight", func() {
			cancel(1, 11)
			So(f.cancels(), ShouldEqual, 1)
			f.answerAttempt(f.lastRequest(), core.AnswerCancelled, "")
			So(f.refusals, ShouldHaveLength, 1)
			So(f.refusals[0].Reason, ShouldEqual, core.ReasonCancelled)
		})
		Convey("a reset cancels the queued request", func() {
			cancel(2, 12)
			So(f.cancels(), ShouldEqual, 0)
			So(f.refusals, ShouldHaveLength, 1)
			So(f.refusals[0].Run, ShouldEqual, core.NotRun)
		})
		Convey("a reset ends the feed", func() {
			cancel(1, 10)
			So(f.cancels(), ShouldEqual, 1)
			So(f.owned(1).feeds.has(testFlow(1)), ShouldBeFalse)
		})
		Convey("a reset of another flow or message id cancels nothing", func() {
			cancel(2, 11)
			cancel(1, 12)
			So(f.cancels(), ShouldEqual, 0)
			So(f.refusals, ShouldBeEmpty)
		})
	})
}
