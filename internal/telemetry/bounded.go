package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// boundedBufferSize is the size in bytes of the buffer of a BoundedWriter.
	boundedBufferSize = 64 << 10
	// flushInterval is the time between two writes. All buffered lines are written at once, because each
	// write is a system call.
	flushInterval = 200 * time.Millisecond
)

// BoundedWriter buffers log lines and writes them from a goroutine of its own, so that a slow reader of
// the log never blocks the goroutines that log. Lines that do not fit into the buffer of 64 KiB are
// dropped, and a line with their number is written. Safe for concurrent use.
type BoundedWriter struct {
	w io.Writer

	mu      sync.Mutex
	buf     []byte
	dropped uint64
	wake    chan struct{}
	flushed chan struct{}
	closed  bool
}

// NewBoundedWriter returns a BoundedWriter that writes to w. Close writes the lines still in the buffer.
func NewBoundedWriter(w io.Writer) *BoundedWriter {
	b := &BoundedWriter{w: w, wake: make(chan struct{}, 1), flushed: make(chan struct{})}
	go b.run()
	return b
}

// Write adds one line to the buffer, or drops it when the buffer is full or the writer is closed. It never
// fails.
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

// Close stops the writer and waits until the lines still in the buffer are written, but no longer than
// timeout. Later lines are dropped.
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

// flush writes the buffered lines and returns their memory for reuse.
func (b *BoundedWriter) flush(spare []byte) []byte {
	b.mu.Lock()
	out, dropped := b.buf, b.dropped
	b.buf, b.dropped = spare[:0], 0
	b.mu.Unlock()
	if dropped > 0 {
		out = fmt.Appendf(out, `{"level":"WARN","msg":"log: dropped lines, the log is not read fast enough","lines":%d}`+"\n", dropped)
	}
	// The error is ignored: it could be reported only in the log itself.
	_, _ = b.w.Write(out)
	return out
}
