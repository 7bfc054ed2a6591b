package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// maxRecords bounds the records of a target. Without room for a record, non-idempotent requests
// are refused.
const maxRecords = 1 << 15

// record is the owner's record of a non-idempotent request.
type record struct {
	state     core.RecordState
	reason    core.RefusalReason
	retryAt   time.Duration
	expiresAt time.Duration
	answer    []byte
	// answerDropped is true when the stored answer was dropped to bound memory.
	answerDropped bool
}

// records keeps the records of one target until no retransmission can arrive any more.
type records struct {
	byKey map[requestKey]*record
	order fifo[requestKey]
	// answers lists the keys with stored answers, oldest first.
	answers fifo[requestKey]
	// bytes is the size of the stored answers.
	bytes int
}

func newRecords() records { return records{byKey: map[requestKey]*record{}} }

func (t *records) full() bool { return len(t.byKey) >= maxRecords }

func (t *records) get(k requestKey) *record { return t.byKey[k] }

// setRecord changes a record, or creates it. The record's lifetime starts at its creation.
func (s *Shard) setRecord(o *ownedTarget, k requestKey, rec record) {
	old := o.records.byKey[k]
	if old != nil {
		rec.expiresAt = old.expiresAt
		o.records.bytes -= len(old.answer)
		s.answerBytes -= len(old.answer)
		*old = rec
	} else {
		if o.records.full() {
			return
		}
		if rec.expiresAt == 0 {
			rec.expiresAt = s.now + core.RequestLifetime
		}
		o.records.byKey[k] = &rec
		o.records.order.push(k)
	}
	if len(rec.answer) > 0 {
		o.records.bytes += len(rec.answer)
		s.answerBytes += len(rec.answer)
		o.records.answers.push(k)
		s.dropAnswers(o)
	}
}

// dropAnswers bounds the memory of stored answers. A retransmission of a request whose answer was
// dropped is refused with an unknown outcome.
func (s *Shard) dropAnswers(o *ownedTarget) {
	for s.answerBytes > maxAnswerBytes && o.records.answers.len() > 0 {
		rec := o.records.byKey[o.records.answers.pop()]
		if rec == nil {
			continue
		}
		s.answerBytes -= len(rec.answer)
		o.records.bytes -= len(rec.answer)
		rec.answer = nil
		rec.answerDropped = true
	}
}

// expire removes the expired records.
func (t *records) expire(s *Shard, now time.Duration) {
	// A record from a handover may expire before the records ahead of it; it is removed after them.
	for t.order.len() > 0 {
		k := *t.order.first()
		rec := t.byKey[k]
		if rec == nil {
			t.order.pop()
			continue
		}
		if rec.expiresAt > now {
			break
		}
		t.order.pop()
		delete(t.byKey, k)
		t.bytes -= len(rec.answer)
		s.answerBytes -= len(rec.answer)
	}
	for t.answers.len() > 0 && t.byKey[*t.answers.first()] == nil {
		t.answers.pop()
	}
}

// answerFromRecord answers a retransmission. Requests that have not ended are answered later.
func (s *Shard) answerFromRecord(f *core.ForwardRequest, rec *record) {
	switch rec.state {
	case core.RecordDone:
		if rec.answerDropped {
			s.repeatRefusal(f, core.ReasonDeadline, core.RunUnknown, rec.retryAt)
			return
		}
		s.answer(&f.Request, rec.answer, false)
	case core.RecordNotRun:
		s.repeatRefusal(f, rec.reason, core.NotRun, rec.retryAt)
	case core.RecordUnknown:
		s.repeatRefusal(f, rec.reason, core.RunUnknown, rec.retryAt)
	}
}

func (s *Shard) answer(r *core.Request, payload []byte, notification bool) {
	s.emit(core.AnswerClient{
		Flow:         r.Flow,
		ID:           r.ID,
		Request:      r.Payload,
		Notification: notification,
		Payload:      payload,
		Trace:        r.Trace,
	})
}
