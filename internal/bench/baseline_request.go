package bench

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// retryAfter is the retry-after time in the refusals of a baseline.
const retryAfter = 500 * time.Millisecond

// baselineQueueLimit is the number of requests that may wait for one target on one baseline VM.
const baselineQueueLimit = 64

type recordKey struct {
	flow core.FlowKey
	id   core.RequestID
}

type recordState uint8

const (
	stateQueued recordState = iota
	stateSent
	stateDone
	stateRefused
)

// record is the record of a request. The VM keeps it until no repetition of the request can arrive.
type record struct {
	request   core.Request
	target    core.TargetID
	state     recordState
	token     core.AttemptToken
	deadline  time.Duration
	expiresAt time.Duration
	answer    core.AnswerClient
	refusal   core.RefuseClient
}

// targetWork holds the requests of a VM that run or wait at one target.
type targetWork struct {
	inFlight int
	queue    []*record
}

// onClientRequest serves a client's packet, or forwards it to the flow's home VM.
func (b *Baseline) onClientRequest(r core.Request) {
	if b.opts.HomeVMs {
		if home := b.homeVM(r.Flow); home != b.vmOptions.Self {
			b.emit(core.SendPeer{To: home, Msg: &core.ForwardRequest{Request: r, Ingress: b.vmOptions.Self, Hops: 1}})
			return
		}
	}
	b.serve(r)
}

// serve handles a request on this VM: it answers a repetition from the record and queues a new request.
func (b *Baseline) serve(r core.Request) {
	key := recordKey{r.Flow, r.ID}
	if old := b.records[key]; old != nil {
		b.answerRepeated(old)
		return
	}
	rec := &record{request: r, deadline: b.now + r.Deadline, expiresAt: b.now + core.RequestLifetime}
	b.records[key] = rec
	b.byDeadline = append(b.byDeadline, rec)
	t := b.target(r.Flow)
	if t == nil {
		b.refuse(rec, core.ReasonNoTarget, core.NotRun)
		return
	}
	rec.target = t.ID
	w := b.work[t.ID]
	if w == nil {
		w = &targetWork{}
		b.work[t.ID] = w
	}
	if len(w.queue) >= baselineQueueLimit {
		b.refuse(rec, core.ReasonOverload, core.NotRun)
		return
	}
	w.queue = append(w.queue, rec)
	b.sendQueued(t.ID)
}

// answerRepeated sends the answer or refusal of an ended request again. A request that still runs or waits
// is answered only when it ends.
func (b *Baseline) answerRepeated(rec *record) {
	switch rec.state {
	case stateDone:
		b.emit(rec.answer)
	case stateRefused:
		b.emit(rec.refusal)
	}
}

// slotShare returns the slots of a target that this VM may use.
func (b *Baseline) slotShare(t *core.Target) int { return staticShare(t.Slots, len(b.vms)) }

// staticShare returns the part of a target's slots that each of n VMs may use, at least 1.
func staticShare(slots, n int) int { return max(1, slots/max(n, 1)) }

// sendQueued sends waiting requests to a target while this VM has free slots there. It refuses them when the
// target is not configured any more.
func (b *Baseline) sendQueued(id core.TargetID) {
	w, t := b.work[id], b.targets[id]
	for len(w.queue) > 0 {
		rec := w.queue[0]
		if t != nil && w.inFlight >= b.slotShare(t) {
			return
		}
		w.queue = w.queue[1:]
		switch {
		case rec.state != stateQueued:
		case t == nil:
			b.refuse(rec, core.ReasonTargetLost, core.NotRun)
		default:
			b.send(rec, t, w)
		}
	}
}

func (b *Baseline) send(rec *record, t *core.Target, w *targetWork) {
	b.attemptCounter++
	rec.token = core.NewAttemptToken(b.source, b.attemptCounter)
	rec.state = stateSent
	w.inFlight++
	b.attempts[rec.token] = rec
	b.emit(core.SendTarget{Target: t.ID, Service: t.Service, Addr: t.Addr, Token: rec.token,
		Request: rec.request, Remaining: rec.deadline - b.now})
}

func (b *Baseline) refuse(rec *record, reason core.RefusalReason, run core.RunStatus) {
	rec.state = stateRefused
	rec.refusal = core.RefuseClient{Flow: rec.request.Flow, ID: rec.request.ID, Request: rec.request.Payload,
		Class: rec.request.Class, Reason: reason, Run: run, RetryAfter: retryAfter}
	b.emit(rec.refusal)
}

// onTargetAnswer handles an answer or a notification of a target.
func (b *Baseline) onTargetAnswer(a core.TargetAnswer) {
	if rec := b.feeds[a.Token]; rec != nil && a.Status == core.AnswerNotification {
		next := rec.answer
		next.Notification, next.Payload = true, a.Payload
		b.emit(next)
		return
	}
	rec := b.attempts[a.Token]
	if rec == nil {
		return
	}
	b.release(rec)
	switch a.Status {
	case core.AnswerShed, core.AnswerCancelled:
		b.refuse(rec, core.ReasonShed, core.NotRun)
	default:
		rec.state = stateDone
		rec.answer = core.AnswerClient{Flow: rec.request.Flow, ID: rec.request.ID, Request: rec.request.Payload,
			Payload: a.Payload}
		b.emit(rec.answer)
	}
	if a.Status == core.AnswerNotification {
		b.feeds[a.Token] = rec
	}
	b.sendQueued(rec.target)
}

// release frees the slot of an attempt.
func (b *Baseline) release(rec *record) {
	delete(b.attempts, rec.token)
	b.work[rec.target].inFlight--
}

// expire refuses requests at their deadline and deletes records when no repetition can arrive any more. All
// requests have the same deadline, so the list is sorted by it.
func (b *Baseline) expire() {
	for _, rec := range b.byDeadline {
		if rec.deadline > b.now {
			break
		}
		switch rec.state {
		case stateQueued:
			b.refuse(rec, core.ReasonDeadline, core.NotRun)
			b.sendQueued(rec.target)
		case stateSent:
			b.release(rec)
			b.refuse(rec, core.ReasonTargetLost, core.RunUnknown)
			b.sendQueued(rec.target)
		}
	}
	for len(b.byDeadline) > 0 && b.byDeadline[0].expiresAt <= b.now {
		rec := b.byDeadline[0]
		b.byDeadline = b.byDeadline[1:]
		delete(b.records, recordKey{rec.request.Flow, rec.request.ID})
	}
}
