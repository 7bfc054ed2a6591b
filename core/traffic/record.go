package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// maxRecords bounds the records of a target. Without room for a record, non-idempotent requests
// are refused.
const maxRecords = 1 << 15

// record is what the owner knows about a non-idempotent request.
type record struct {
	state      core.RecordState
	reason     core.RefusalReason
	comeBackAt time.Duration
	until      time.Duration
	answer     []byte
	// noAnswer is true when the stored answer was dropped to bound memory.
	noAnswer bool
}

// records keeps the records of one target until no repetition can arrive any more.
type records struct {
	m     map[reqKey]*record
	order fifo[reqKey]
	// answers lists the keys with stored answers, oldest first.
	answers fifo[reqKey]
	bytes   int
}

func newRecords() records { return records{m: map[reqKey]*record{}} }

func (t *records) full() bool { return len(t.m) >= maxRecords }

func (t *records) get(k reqKey) *record { return t.m[k] }

// setRecord changes the state of a record, or creates it. Its life starts at its creation.
func (s *Shard) setRecord(o *owner, k reqKey, v record) {
	old := o.records.m[k]
	if old != nil {
		v.until = old.until
		o.records.bytes -= len(old.answer)
		s.answerBytes -= len(old.answer)
		*old = v
	} else {
		if o.records.full() {
			return
		}
		if v.until == 0 {
			v.until = s.now + core.RequestLifetime
		}
		o.records.m[k] = &v
		o.records.order.push(k)
	}
	if len(v.answer) > 0 {
		o.records.bytes += len(v.answer)
		s.answerBytes += len(v.answer)
		o.records.answers.push(k)
		s.dropAnswers(o)
	}
}

// dropAnswers bounds the memory of stored answers. A repetition of a request whose answer was
// dropped is told that the outcome is unknown.
func (s *Shard) dropAnswers(o *owner) {
	for s.answerBytes > maxAnswerBytes && o.records.answers.len() > 0 {
		rec := o.records.m[o.records.answers.pop()]
		if rec == nil {
			continue
		}
		s.answerBytes -= len(rec.answer)
		o.records.bytes -= len(rec.answer)
		rec.answer = nil
		rec.noAnswer = true
	}
}

// expire removes the records whose life is over.
func (t *records) expire(s *Shard, now time.Duration) {
	// Records of a handover may be shorter-lived than those before them; they wait for these.
	for t.order.len() > 0 {
		k := *t.order.first()
		rec := t.m[k]
		if rec == nil {
			t.order.pop()
			continue
		}
		if rec.until > now {
			break
		}
		t.order.pop()
		delete(t.m, k)
		t.bytes -= len(rec.answer)
		s.answerBytes -= len(rec.answer)
	}
	for t.answers.len() > 0 && t.m[*t.answers.first()] == nil {
		t.answers.pop()
	}
}

// answerFromRecord answers a repetition. Requests that have not ended get their answer later.
func (s *Shard) answerFromRecord(f *core.ForwardRequest, rec *record) {
	switch rec.state {
	case core.RecordDone:
		if rec.noAnswer {
			s.repeatRefusal(f, core.ReasonDeadline, core.RunUnknown, rec.comeBackAt)
			return
		}
		s.answer(&f.Request, rec.answer, false)
	case core.RecordNotRun:
		s.repeatRefusal(f, rec.reason, core.NotRun, rec.comeBackAt)
	case core.RecordUnknown:
		s.repeatRefusal(f, rec.reason, core.RunUnknown, rec.comeBackAt)
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
