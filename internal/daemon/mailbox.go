package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/mangoweir/mangoweir/core"
)

// mailboxLimit is the largest number of client packets that wait in one mailbox. At 20 µs per input, a
// full mailbox is 80 ms of work; further packets would be answered too late.
const mailboxLimit = 4096

// mailbox is the input queue of one goroutine of the core. Client packets beyond mailboxLimit are
// dropped. All other inputs are kept, because they carry the state that control and traffic exchange.
type mailbox struct {
	mu          sync.Mutex
	wake        chan struct{}
	queue       []core.Input
	packetCount int
	closed      bool
	dropped     atomic.Uint64
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

// put appends an input. It reports false when the mailbox is full or closed and the input was dropped.
func (m *mailbox) put(in core.Input) bool {
	packet := isClientPacket(in)
	m.mu.Lock()
	if m.closed || packet && m.packetCount >= mailboxLimit {
		m.mu.Unlock()
		m.dropped.Add(1)
		return false
	}
	m.queue = append(m.queue, in)
	if packet {
		m.packetCount++
	}
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
	return true
}

// take returns all waiting inputs. It blocks until there is one, and returns nil once the mailbox is closed
// and empty. The mailbox reuses the memory of spare.
func (m *mailbox) take(spare []core.Input) []core.Input {
	for {
		m.mu.Lock()
		if len(m.queue) > 0 {
			batch := m.queue
			m.queue = spare[:0]
			m.packetCount = 0
			m.mu.Unlock()
			return batch
		}
		closed := m.closed
		m.mu.Unlock()
		if closed {
			return nil
		}
		<-m.wake
	}
}

// close makes put drop all inputs, and take return nil once the queue is empty.
func (m *mailbox) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// isClientPacket reports whether an input carries a client's packet. Clients retransmit packets, so these
// may be dropped under overload.
func isClientPacket(in core.Input) bool {
	switch in := in.(type) {
	case core.ClientRequest:
		return true
	case core.PeerMessage:
		_, ok := in.Msg.(*core.ForwardRequest)
		return ok
	}
	return false
}
