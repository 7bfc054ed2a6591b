package traffic

import (
	"fmt"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a non-idempotent request that runs twice and against wrong "not run" refusals.
func TestNonIdempotent(t *testing.T) {
	Convey("Given a non-idempotent request in flight at a warm target", t, func() {
		f := newCluster(t, 1, 1)
		f.warm()
		f.request("a", posting(1, 1))
		s := f.lastRequest()
		Convey("retransmissions are absorbed, and answered from the record once it is done", func() {
			f.request("a", posting(1, 1))
			So(f.requests(), ShouldHaveLength, 1)
			f.answerAttempt(s, core.AnswerOK, "paid")
			f.request("a", posting(1, 1))
			So(f.requests(), ShouldHaveLength, 1)
			So(f.answers, ShouldHaveLength, 2)
			So(string(f.answers[1].Payload), ShouldEqual, "paid")
		})
		Convey("it is not sent again when the target does not answer, and its outcome is unknown", func() {
			f.tick(5 * time.Second)
			f.request("a", posting(1, 1))
			So(f.requests(), ShouldHaveLength, 1)
			So(f.refusals, ShouldHaveLength, 2)
			So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
			So(f.refusals[1].Run, ShouldEqual, core.RunUnknown)
			Convey("a late answer is kept for retransmissions", func() {
				f.answerAttempt(s, core.AnswerOK, "paid")
				So(f.answers, ShouldBeEmpty)
				f.request("a", posting(1, 1))
				So(f.answers, ShouldHaveLength, 1)
			})
		})
		Convey("it is sent again after a shed, and refused as not run when the budget is used up", func() {
			f.answerAttempt(s, core.AnswerShed, "")
			So(f.requests(), ShouldHaveLength, 2)
			f.vms["a"].retryBudget = 0
			f.answerAttempt(f.lastRequest(), core.AnswerShed, "")
			So(f.refusals[0].Reason, ShouldEqual, core.ReasonShed)
			So(f.refusals[0].Run, ShouldEqual, core.NotRun)
			f.request("a", posting(1, 1))
			So(f.requests(), ShouldHaveLength, 2)
			So(f.refusals, ShouldHaveLength, 2)
		})
		Convey("the slot is kept until the target confirms the cancellation or cancelGrace has passed", func() {
			r := posting(1, 1)
			r.Method = core.MethodCancel
			f.request("a", r)
			So(f.cancels(), ShouldEqual, 1)
			So(f.owned(1).inFlight, ShouldEqual, 1)
			f.tick(cancelGrace)
			So(f.owned(1).inFlight, ShouldEqual, 0)
			So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
		})
		Convey("a request whose cancellation is confirmed is refused as not run", func() {
			r := posting(1, 1)
			r.Method = core.MethodCancel
			f.request("a", r)
			f.answerAttempt(s, core.AnswerCancelled, "")
			So(f.owned(1).inFlight, ShouldEqual, 0)
			So(f.refusals[0].Run, ShouldEqual, core.NotRun)
		})
		Convey("its record expires with the lifetime of its id, and stored answers are bounded", func() {
			f.answerAttempt(s, core.AnswerOK, "paid")
			big := string(make([]byte, maxAnswerBytes/8))
			for i := range 10 {
				f.request("a", posting(1, i+2))
				f.answerAttempt(f.lastRequest(), core.AnswerOK, big)
			}
			So(f.vms["a"].answerBytes, ShouldBeLessThanOrEqualTo, maxAnswerBytes)
			f.request("a", posting(1, 1))
			So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
			f.tick(core.RequestLifetime)
			So(f.owned(1).records.byKey, ShouldBeEmpty)
			So(f.vms["a"].answerBytes, ShouldEqual, 0)
		})
	})
	Convey("Given a VM without authority, a non-idempotent request is not sent and its outcome is unknown", t, func() {
		f := newCluster(t, 1, 1)
		f.warm()
		f.authority = 0
		f.publish()
		f.request("a", posting(1, 1))
		f.request("a", read(1, 2))
		So(f.requests(), ShouldHaveLength, 1)
		So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
	})
	Convey("Given a queued non-idempotent request, authority is checked when it is sent", t, func() {
		f := newCluster(t, 1, 1)
		f.warm()
		f.owned(1).admission.limit = 1
		f.authority = 200 * time.Millisecond
		f.publish()
		f.request("a", read(1, 1))
		f.request("a", posting(2, 1))
		f.tick(250 * time.Millisecond)
		f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
		So(f.requests(), ShouldHaveLength, 1)
		So(f.refusals[0].Reason, ShouldEqual, core.ReasonNoAuthority)
	})
}

// Guards against a non-idempotent request whose start no other VM has recorded when its owner
// crashes.
func TestBackup(t *testing.T) {
	Convey("Given a target with a backup", t, func() {
		f := newCluster(t, 2, 1)
		f.warm()
		f.targets[1].Backup = "b"
		f.publish()
		f.tick(core.RequestLifetime)
		f.holdMessage = func(_ core.VMName, m core.Message) bool {
			_, ok := m.(*core.RecordAck)
			return ok
		}
		f.request("a", posting(1, 1))
		Convey("a non-idempotent request is sent after the confirmation", func() {
			So(f.requests(), ShouldBeEmpty)
			f.in("a", core.PeerMessage{From: "b", Msg: f.held[0].Msg})
			So(f.requests(), ShouldHaveLength, 1)
			Convey("and after a takeover by the backup its outcome is unknown", func() {
				f.disconnected["a"] = true
				f.in("b", core.LinkEvent{Peer: "a", State: core.LinkRefused})
				f.in("b", core.TakeOver{Target: 1, FencingToken: 2, PreviousOwnerEndedBy: f.now, BackupInSync: true})
				f.targets[1].Owner = "b"
				f.targets[1].Backup = ""
				f.publishTo("b")
				f.tick(refusalRepeatWindow)
				f.request("b", posting(1, 1))
				So(f.requests(), ShouldHaveLength, 1)
				So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
				f.request("b", posting(1, 2))
				So(f.requests(), ShouldHaveLength, 2)
			})
		})
		Convey("a non-idempotent request without confirmation is refused as not run and never sent", func() {
			f.tick(150 * time.Millisecond)
			So(f.refusals[0].Reason, ShouldEqual, core.ReasonBackup)
			So(f.refusals[0].Run, ShouldEqual, core.NotRun)
			f.in("a", core.PeerMessage{From: "b", Msg: f.held[0].Msg})
			f.request("a", posting(1, 1))
			So(f.requests(), ShouldBeEmpty)
		})
		Convey("a new backup has to confirm again before a queued non-idempotent request is sent", func() {
			f.holdMessage = nil
			f.owned(1).admission.limit = 0
			f.in("a", core.PeerMessage{From: "b", Msg: f.held[0].Msg})
			f.targets[1].Backup = "c"
			f.publish()
			f.owned(1).admission.limit = 4
			f.tick(50 * time.Millisecond)
			So(f.requests(), ShouldBeEmpty)
			f.tick(200 * time.Millisecond)
			So(f.refusals[0].Reason, ShouldEqual, core.ReasonBackup)
		})
	})
	Convey("Given a backup that is newer than the owner's records, the outcome of non-idempotent requests is unknown", t, func() {
		f := newCluster(t, 2, 1)
		f.warm()
		f.request("a", posting(1, 1))
		f.targets[1].Backup = "b"
		f.publish()
		f.disconnected["a"] = true
		f.in("b", core.TakeOver{Target: 1, FencingToken: 2, PreviousOwnerEndedBy: f.now, BackupInSync: true})
		f.targets[1].Owner = "b"
		f.publishTo("b")
		f.tick(refusalRepeatWindow + time.Second)
		f.request("b", posting(1, 1))
		f.tick(queryWait)
		So(f.requests(), ShouldHaveLength, 1)
		So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
	})
	Convey("Given a takeover without handover, the outcome of non-idempotent requests is unknown during the quarantine", t, func() {
		f := newCluster(t, 1, 1)
		f.in("a", core.DropTarget{Target: 1, Owner: "x", FencingToken: 2})
		f.in("a", core.TakeOver{Target: 1, FencingToken: 3, PreviousOwnerEndedBy: f.now})
		f.warm()
		f.request("a", posting(1, 1))
		So(f.requests(), ShouldBeEmpty)
		So(f.refusals[0].Reason, ShouldEqual, core.ReasonQuarantine)
		So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
		f.tick(core.RequestLifetime)
		f.request("a", posting(1, 2))
		So(f.requests(), ShouldHaveLength, 1)
	})
	Convey("Given changed candidates whose previous owner is unreachable, the outcome of non-idempotent requests is unknown", t, func() {
		f := newCluster(t, 2, 2)
		f.warm()
		i := 0
		for f.vms["a"].candidates(testFlow(i))[0] != 2 {
			i++
		}
		f.replaceSet(1)
		f.publish()
		f.disconnected["b"] = true
		f.in("a", core.LinkEvent{Peer: "b", State: core.LinkDown})
		f.request("a", posting(i, 1))
		f.tick(ownerWait)
		So(f.requests(), ShouldBeEmpty)
		So(f.refusals[0].Reason, ShouldEqual, core.ReasonQuarantine)
		So(f.refusals[0].Run, ShouldEqual, core.RunUnknown)
		f.request("a", read(i, 2))
		So(f.requests(), ShouldHaveLength, 1)
	})
	Convey("Given changed candidates whose previous owner has no record, a non-idempotent request is sent", t, func() {
		f := newCluster(t, 2, 2)
		f.warm()
		i := 0
		for f.vms["a"].candidates(testFlow(i))[0] != 2 {
			i++
		}
		f.replaceSet(1)
		f.targets[2].Draining = true
		f.publish()
		f.request("a", posting(i, 1))
		So(f.lastRequest().Target, ShouldEqual, 1)
	})
}

// Guards against unbounded retries and against duplicates that take several slots.
func TestIdempotent(t *testing.T) {
	Convey("Given an idempotent request in flight", t, func() {
		f := newCluster(t, 1, 1)
		f.warm()
		f.request("a", read(1, 1))
		Convey("retransmissions are absorbed", func() {
			f.request("a", read(1, 1))
			So(f.requests(), ShouldHaveLength, 1)
			So(f.countEvents(core.EventDuplicateAbsorbed), ShouldEqual, 1)
		})
		Convey("it is sent at most three times", func() {
			r := read(2, 1)
			r.Deadline = 10 * time.Second
			f.vms["a"].retryBudget = 10
			f.request("a", r)
			f.tick(7500 * time.Millisecond)
			sent := 0
			for _, s := range f.requests() {
				if s.Request.Flow == testFlow(2) {
					sent++
				}
			}
			So(sent, ShouldEqual, 1+maxRetries)
			So(f.cancels(), ShouldBeGreaterThanOrEqualTo, maxRetries)
		})
		Convey("the answer to an earlier attempt counts, and the later attempt is cancelled", func() {
			first := f.lastRequest()
			f.tick(minAttemptTime)
			So(f.requests(), ShouldHaveLength, 2)
			f.answerAttempt(first, core.AnswerOK, "x")
			So(f.answers, ShouldHaveLength, 1)
			So(f.cancels(), ShouldEqual, 2)
			f.answerAttempt(f.requests()[1], core.AnswerCancelled, "")
			So(f.owned(1).inFlight, ShouldEqual, 0)
		})
	})
	Convey("Given an idempotent request that its target sheds, another target runs it and the flow stays", t, func() {
		f := newCluster(t, 2, 2)
		f.warm()
		f.request("a", read(1, 1))
		first := f.lastRequest()
		f.answerAttempt(first, core.AnswerShed, "")
		So(f.lastRequest().Target, ShouldNotEqual, first.Target)
		f.answerAttempt(f.lastRequest(), core.AnswerOK, "x")
		So(f.answers, ShouldHaveLength, 1)
		f.request("b", read(1, 2))
		So(f.lastRequest().Target, ShouldEqual, first.Target)
		f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
		Convey("but not when the flow has a feed", func() {
			f.request("a", subscribe(1, 3))
			f.answerAttempt(f.lastRequest(), core.AnswerNotification, "")
			f.request("a", read(1, 4))
			f.answerAttempt(f.lastRequest(), core.AnswerShed, "")
			So(f.lastRequest().Target, ShouldEqual, first.Target)
		})
	})
	Convey("Given many sheds, retries stay within the budget", t, func() {
		f := newCluster(t, 1, 1)
		for i := range 100 {
			f.request("a", read(i, 1))
			for n := -1; n != len(f.requests()); {
				n = len(f.requests())
				f.answerAttempt(f.lastRequest(), core.AnswerShed, "")
			}
		}
		So(len(f.requests()), ShouldBeLessThanOrEqualTo, 100+initialRetryBudget+10)
	})
}

// Guards against actions that differ between two runs with the same inputs.
func TestDeterminism(t *testing.T) {
	Convey("Given the same inputs, two clusters return the same actions", t, func() {
		run := func() string {
			f := newCluster(t, 3, 6)
			for i := range 200 {
				f.request(f.names[i%3], posting(i%50, i))
				if i%3 == 0 {
					f.answerAttempt(f.lastRequest(), core.AnswerOK, "")
				}
				f.tick(50 * time.Millisecond)
			}
			return fmt.Sprint(f.sent, f.answers, f.refusals, f.events, f.loads)
		}
		So(run(), ShouldEqual, run())
	})
}
