package traffic

import "time"

// fifo is a queue that reuses its memory.
type fifo[T any] struct {
	items []T
	head  int
}

func (f *fifo[T]) len() int { return len(f.items) - f.head }

// all returns the items, oldest first; they are valid until the next push or pop.
func (f *fifo[T]) all() []T { return f.items[f.head:] }

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

// expiringKeys keeps each key until a given time. Keys are removed in the order in which they were
// added, so an expired key may stay in memory until those ahead of it expire; has does not report
// it.
type expiringKeys[K comparable] struct {
	expiresAt map[K]time.Duration
	order     fifo[K]
}

func (t *expiringKeys[K]) init() { t.expiresAt = map[K]time.Duration{} }

func (t *expiringKeys[K]) put(k K, until time.Duration) {
	if _, ok := t.expiresAt[k]; !ok {
		t.order.push(k)
	}
	t.expiresAt[k] = until
}

func (t *expiringKeys[K]) has(k K, now time.Duration) bool {
	until, ok := t.expiresAt[k]
	return ok && now < until
}

func (t *expiringKeys[K]) expire(now time.Duration) {
	for n := t.order.len(); n > 0 && t.expiresAt[*t.order.first()] <= now; n-- {
		delete(t.expiresAt, t.order.pop())
	}
}
