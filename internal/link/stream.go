package link

import (
	"sync/atomic"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// streamKind is one of the streams of a link. Messages of one stream keep their order.
type streamKind int

// Streams in the order in which the dialer opens them.
const (
	streamControl streamKind = iota
	streamTraffic
	streamHandover
	streamConfig
	numStreams
)

// streamOf returns the stream of a message.
func streamOf(msg core.Message) streamKind {
	switch msg.(type) {
	case *core.ConfigPush:
		return streamConfig
	case *core.HandoverBegin, *core.HandoverChunk, *core.HandoverEnd, *core.HandoverAck:
		return streamHandover
	}
	if isTraffic(msg) {
		return streamTraffic
	}
	return streamControl
}

// isTraffic reports whether a message counts as traffic; the others count as control.
func isTraffic(msg core.Message) bool {
	switch msg.(type) {
	case *core.ForwardRequest, *core.RecordStarted, *core.RecordAck, *core.RequestOutcome, *core.FlowLearned:
		return true
	}
	return false
}

// frameLimit is the size limit of a received envelope.
func (k streamKind) frameLimit() int {
	if k == streamConfig {
		return wire.MaxConfigSize
	}
	return wire.MaxSize
}

// queueLimit bounds a stream's queue. Traffic holds about a second of a busy link, handover the
// state of all targets of a VM with hundreds of thousands of flows.
func (k streamKind) queueLimit() (messages int, bytes int64) {
	switch k {
	case streamTraffic:
		return 4096, 4 << 20
	case streamHandover:
		return 4096, 32 << 20
	case streamConfig:
		return 4, 4 << 20
	}
	return 256, 1 << 20
}

// frame is an encoded message with its length in front.
type frame struct {
	data    []byte
	traffic bool
}

// queue is a bounded queue of frames that never blocks its producers.
type queue struct {
	frames chan frame
	bytes  atomic.Int64
	limit  int64
}

func newQueue(kind streamKind) *queue {
	messages, bytes := kind.queueLimit()
	return &queue{frames: make(chan frame, messages), limit: bytes}
}

// push returns false when the queue is full.
func (q *queue) push(f frame) bool {
	size := int64(len(f.data))
	if q.bytes.Add(size) > q.limit {
		q.bytes.Add(-size)
		return false
	}
	select {
	case q.frames <- f:
		return true
	default:
		q.bytes.Add(-size)
		return false
	}
}

func (q *queue) taken(f frame) {
	q.bytes.Add(-int64(len(f.data)))
}
