package bench

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// comeBack is the time to come back in the refusals of a baseline.
const comeBack = 500 * time.Millisecond

// baselineQueue bounds the requests that wait per VM and target in a baseline.
const baselineQueue = 64

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

// record is a request that this VM remembers until no repetition of it can arrive.
type record struct {
	request  core.Request
	target   core.TargetID
	state    recordState
	token    core.AttemptToken
	deadline time.Duration
	forgetAt time.Duration
	answer   core.AnswerClient
	refusal  core.RefuseClient
}

// targetWork is the work of this VM at one target.
type targetWork struct {
	inFlight int
	queue    []*record
}

// onCaller serves a packet from the fabric, or forwards it to the flow's home VM.
func (b *Baseline) onCaller(r core.Request) {
	if b.opts.HomeVMs {
		if home := b.home(r.Flow); home != b.vm.Self {
			b.emit(core.SendPeer{To: home, Msg: &core.ForwardRequest{Request: r, Ingress: b.vm.Self, Hops: 1}})
			return
		}
	}
	b.serve(r)
}

// serve handles a request here.
func (b *Baseline) serve(r core.Request) {
	key := recordKey{r.Flow, r.ID}
	if old := b.records[key]; old != nil {
		b.repeat(old)
		return
	}
	k := &record{request: r, deadline: b.now + r.Deadline, forgetAt: b.now + core.RequestLifetime}
	b.records[key] = k
	b.expiry = append(b.expiry, k)
	t := b.target(r.Flow)
	if t == nil {
		b.refuse(k, core.ReasonNoTarget, core.NotRun)
		return
	}
	k.target = t.ID
	w := b.work[t.ID]
	if w == nil {
		w = &targetWork{}
		b.work[t.ID] = w
	}
	if len(w.queue) >= baselineQueue {
		b.refuse(k, core.ReasonOverload, core.NotRun)
		return
	}
	w.queue = append(w.queue, k)
	b.pump(t.ID)
}

// repeat answers a repeated packet.
func (b *Baseline) repeat(k *record) {
	switch k.state {
	case stateDone:
		b.emit(k.answer)
	case stateRefused:
		b.emit(k.refusal)
	}
}

// share returns the slots of a target that this VM may use.
func (b *Baseline) share(t *core.Target) int { return staticShare(t.Slots, len(b.vms)) }

// staticShare returns the part of a target's slots that each of n VMs may use, at least 1.
func staticShare(slots, n int) int { return max(1, slots/max(n, 1)) }

// pump sends waiting requests while this VM's share allows it.
func (b *Baseline) pump(id core.TargetID) {
	w, t := b.work[id], b.targets[id]
	for len(w.queue) > 0 {
		k := w.queue[0]
		if t != nil && w.inFlight >= b.share(t) {
			return
		}
		w.queue = w.queue[1:]
		switch {
		case k.state != stateQueued:
		case t == nil:
			b.refuse(k, core.ReasonTargetLost, core.NotRun)
		default:
			b.send(k, t, w)
		}
	}
}

func (b *Baseline) send(k *record, t *core.Target, w *targetWork) {
	b.counter++
	k.token = core.NewAttemptToken(b.source, b.counter)
	k.state = stateSent
	w.inFlight++
	b.attempts[k.token] = k
	b.emit(core.SendTarget{Target: t.ID, Service: t.Service, Addr: t.Addr, Token: k.token,
		Request: k.request, Remaining: k.deadline - b.now})
}

func (b *Baseline) refuse(k *record, reason core.RefusalReason, run core.RunStatus) {
	k.state = stateRefused
	k.refusal = core.RefuseClient{Flow: k.request.Flow, ID: k.request.ID, Request: k.request.Payload,
		Class: k.request.Class, Reason: reason, Run: run, RetryAfter: comeBack}
	b.emit(k.refusal)
}

// onAnswer handles a message of a target.
func (b *Baseline) onAnswer(a core.TargetAnswer) {
	if k := b.feeds[a.Token]; k != nil && a.Status == core.AnswerNotification {
		next := k.answer
		next.Notification, next.Payload = true, a.Payload
		b.emit(next)
		return
	}
	k := b.attempts[a.Token]
	if k == nil {
		return
	}
	b.release(k)
	switch a.Status {
	case core.AnswerShed, core.AnswerCancelled:
		b.refuse(k, core.ReasonShed, core.NotRun)
	default:
		k.state = stateDone
		k.answer = core.AnswerClient{Flow: k.request.Flow, ID: k.request.ID, Request: k.request.Payload,
			Payload: a.Payload}
		b.emit(k.answer)
	}
	if a.Status == core.AnswerNotification {
		b.feeds[a.Token] = k
	}
	b.pump(k.target)
}

// release gives an attempt's slot back.
func (b *Baseline) release(k *record) {
	delete(b.attempts, k.token)
	b.work[k.target].inFlight--
}

// expire ends requests at their deadline and forgets them when no repetition can arrive. All
// requests have the same deadline, so the list is in order.
func (b *Baseline) expire() {
	for _, k := range b.expiry {
		if k.deadline > b.now {
			break
		}
		switch k.state {
		case stateQueued:
			b.refuse(k, core.ReasonDeadline, core.NotRun)
			b.pump(k.target)
		case stateSent:
			b.release(k)
			b.refuse(k, core.ReasonTargetLost, core.RunUnknown)
			b.pump(k.target)
		}
	}
	for len(b.expiry) > 0 && b.expiry[0].forgetAt <= b.now {
		k := b.expiry[0]
		b.expiry = b.expiry[1:]
		delete(b.records, recordKey{k.request.Flow, k.request.ID})
	}
}
