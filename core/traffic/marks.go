package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// mark is what a shard remembers about an idempotent request that has ended.
type mark struct {
	// ranUntil is the time until which a repetition may arrive of a request that may have run.
	ranUntil time.Duration
	// refusedUntil is the time until which repetitions get the same refusal again.
	refusedUntil time.Duration
	comeBackAt   time.Duration
	reason       core.RefusalReason
}

type markExpiry struct {
	key reqKey
	at  time.Duration
}

// marks keeps "not run" true for idempotent requests, which have no records. It is bounded: when it
// is full, refusals say that the outcome is unknown.
type marks struct {
	m map[reqKey]mark
	// ran and refused list the keys in order of expiry.
	ran     fifo[markExpiry]
	refusal fifo[markExpiry]
	// lostUntil is the time until which a request may have run that is not marked.
	lostUntil time.Duration
}

func newMarks() marks { return marks{m: map[reqKey]mark{}} }

func (t *marks) full() bool { return len(t.m) >= maxMarks }

// markRan notes that a request was sent to a target.
func (t *marks) markRan(k reqKey, now time.Duration) {
	until := now + core.RequestLifetime
	v, ok := t.m[k]
	if !ok && t.full() {
		t.lostUntil = until
		return
	}
	v.ranUntil = until
	t.m[k] = v
	t.ran.push(markExpiry{k, until})
}

// mayHaveRun reports whether a request with this id may have run before.
func (t *marks) mayHaveRun(k reqKey, now time.Duration) bool {
	return now < t.lostUntil || now < t.m[k].ranUntil || t.full()
}

// refused notes that a caller was told that its request did not run.
func (t *marks) refused(k reqKey, reason core.RefusalReason, now, comeBackAt time.Duration) {
	v := t.m[k]
	v.refusedUntil = now + refusalMemory
	v.comeBackAt = comeBackAt
	v.reason = reason
	t.m[k] = v
	t.refusal.push(markExpiry{k, v.refusedUntil})
}

// refusal returns what the caller of a repeated request was told, if it was told anything.
func (t *marks) refusalOf(k reqKey, now time.Duration) (mark, bool) {
	v, ok := t.m[k]
	return v, ok && now < v.refusedUntil
}

// expire removes what no repetition can ask for any more.
func (t *marks) expire(now time.Duration) {
	for _, list := range []*fifo[markExpiry]{&t.ran, &t.refusal} {
		for list.len() > 0 && list.first().at <= now {
			k := list.pop().key
			if v := t.m[k]; v.ranUntil <= now && v.refusedUntil <= now {
				delete(t.m, k)
			}
		}
	}
}

// fifo is a queue that reuses its memory.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) len() int { return len(f.items) - f.head }

func (f *fifo[T]) push(v T) { f.items = append(f.items, v) }

func (f *fifo[T]) first() *T { return &f.items[f.head] }

func (f *fifo[T]) pop() T {
	var zero T
	v := f.items[f.head]
	f.items[f.head] = zero
	f.head++
	if f.head*2 >= len(f.items) {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items = f.items[:n]
		f.head = 0
	}
	return v
}
