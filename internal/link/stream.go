package link

import (
	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// streamKind is one of the streams of a link. Messages of the same stream keep their order.
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

// frameLimit returns the size limit of a received envelope in bytes.
func (k streamKind) frameLimit() int {
	if k == streamConfig {
		return wire.MaxConfigSize
	}
	return wire.MaxSize
}

// queueLimit returns the limits of a stream's queue in messages and bytes. The traffic queue holds about
// a second of traffic of a busy link. The handover queue holds the state of all targets of a VM with
// hundreds of thousands of flows.
func (k streamKind) queueLimit() (count, size int) {
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
