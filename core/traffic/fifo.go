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

// untilTable keeps keys until given times, which never decrease.
type untilTable[K comparable] struct {
	m     map[K]time.Duration
	order fifo[K]
}

func (t *untilTable[K]) init() { t.m = map[K]time.Duration{} }

func (t *untilTable[K]) put(k K, until time.Duration) {
	if _, ok := t.m[k]; !ok {
		t.order.push(k)
	}
	t.m[k] = until
}

func (t *untilTable[K]) has(k K, now time.Duration) bool {
	until, ok := t.m[k]
	return ok && now < until
}

func (t *untilTable[K]) expire(now time.Duration) {
	for n := t.order.len(); n > 0 && t.m[*t.order.first()] <= now; n-- {
		delete(t.m, t.order.pop())
	}
}
