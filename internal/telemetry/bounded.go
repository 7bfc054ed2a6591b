package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// boundedBufferSize is the number of bytes of log lines that may wait to be written.
	boundedBufferSize = 64 << 10
	// flushInterval is how often waiting lines are written, all at once: each write is a system call.
	flushInterval = 200 * time.Millisecond
)

// BoundedWriter buffers log lines and writes them from a goroutine of its own, so that a slow reader of
// the log never blocks its writers. Lines that find the buffer full are dropped and counted. It may be
// used by several goroutines.
type BoundedWriter struct {
	w io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped uint64
	wake    chan struct{}
	flushed chan struct{}
	closed  bool
}

// NewBoundedWriter returns a BoundedWriter on w. Close it to write what is left.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{w: w, wake: make(chan struct{}, 1), flushed: make(chan struct{})}
	go b.run()
	return b
}

// Write queues one line. It never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || len(b.buf)+len(line) > boundedBufferSize {
		b.dropped++
		return len(line), nil
	}
	b.buf = append(b.buf, line...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what is left, and waits for at most the given time.
func (b *BoundedWriter) Close(timeout time.Duration) {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.wake)
	}
	b.mu.Unlock()
	select {
	case <-b.flushed:
	case <-time.After(timeout):
	}
}

func (b *BoundedWriter) run() {
	defer close(b.flushed)
	var spare []byte
	for range b.wake {
		spare = b.flush(spare)
		time.Sleep(flushInterval)
	}
	b.flush(spare)
}

// flush writes the waiting lines and returns their memory for reuse.
func (b *BoundedWriter) flush(spare []byte) []byte {
	b.mu.Lock()
	out, dropped := b.buf, b.dropped
	b.buf, b.dropped = spare[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		out = fmt.Appendf(out, `{"level":"WARN","msg":"log: dropped lines, the log is not read fast enough","lines":%d}`+"\n", dropped)
	}
	// A log that cannot be written has nowhere to report it.
	_, _ = b.w.Write(out)
	return out
}
