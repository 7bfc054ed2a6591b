package link

import "sync"

// frame is an encoded message preceded by its length.
type frame struct {
	data    []byte
	traffic bool
}

// queue is a bounded queue of frames that never blocks its producers. It allocates memory only for
// waiting frames, because most of a VM's many queues are empty.
type queue struct {
	// ready holds an element when frames may be waiting.
	ready chan struct{}

	mu       sync.Mutex
	frames   []frame
	maxCount int
	// size is the number of bytes of the frames that are waiting or being sent.
	size, maxSize int
}

func newQueue(kind streamKind) *queue {
	count, size := kind.queueLimit()
	return &queue{ready: make(chan struct{}, 1), maxCount: count, maxSize: size}
}

// push adds a frame and returns true, or returns false when the queue is full.
func (q *queue) push(f frame) bool {
	q.mu.Lock()
	ok := len(q.frames) < q.maxCount && q.size+len(f.data) <= q.maxSize
	if ok {
		q.frames = append(q.frames, f)
		q.size += len(f.data)
	}
	q.mu.Unlock()
	if ok {
		q.signal()
	}
	return ok
}

func (q *queue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take removes and returns frames until they fill a chunk of writeChunk bytes, or until the queue is
// empty.
func (q *queue) take() []frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for size := 0; n < len(q.frames) && size < writeChunk; n++ {
		size += len(q.frames[n].data)
	}
	taken := q.frames[:n:n]
	q.frames = q.frames[n:]
	if len(q.frames) == 0 {
		q.frames = nil
	}
	return taken
}

// release frees the queue space of frames that were taken and sent.
func (q *queue) release(frames []frame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range frames {
		q.size -= len(f.data)
	}
}

// state returns how many frames are waiting and whether any frame is waiting or being sent.
func (q *queue) state() (waiting int, busy bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.frames), q.size > 0
}
