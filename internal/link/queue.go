package link

import "sync"

// frame is an encoded message with its length in front.
type frame struct {
	data    []byte
	traffic bool
}

// queue is a bounded queue of frames that never blocks its producers. It takes memory only for what
// waits in it, as most of a VM's many queues are empty.
type queue struct {
	// filled has an entry while frames may wait.
	filled chan struct{}

	mu       sync.Mutex
	frames   []frame
	maxCount int
	// size is the number of bytes of waiting frames and of those being sent.
	size, maxSize int
}

func newQueue(kind streamKind) *queue {
	count, size := kind.queueLimit()
	return &queue{filled: make(chan struct{}, 1), maxCount: count, maxSize: size}
}

// push returns false when the queue is full.
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
	case q.filled <- struct{}{}:
	default:
	}
}

// take removes the frames that fit in a chunk, at least one unless the queue is empty.
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

// sent gives back the space of frames that were taken.
func (q *queue) sent(frames []frame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range frames {
		q.size -= len(f.data)
	}
}

// state returns how many frames wait and whether any wait or are being sent.
func (q *queue) state() (waiting int, busy bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.frames), q.size > 0
}
