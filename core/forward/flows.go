package forward

import (
	"iter"
	"time"
)

// flowState is the state that a VM keeps about a flow. Its fields are ordered so that it takes 64 bytes.
type flowState struct {
	load  *load
	route *routeLoad
	// target is the flow's target in the snapshot with the number snapshotNumber, found by the token of its last packet; nil
	// before the first packet after a SYN.
	target *Target
	// since is the time of the first packet with an unknown token while unknown is true, and otherwise the
	// time of the SYN or of the request's first packet.
	since time.Duration
	// sentAt is the time of the newest data of the request.
	sentAt         time.Duration
	token          Token
	snapshotNumber uint32
	// seq is the sequence number of the newest data, ack the client's acknowledgement when the flow last
	// began or stopped waiting.
	seq, ack uint32
	// lastAck is the client's newest acknowledgement.
	lastAck uint32
	// synPending is true from a SYN until the next packet of the flow. requestPending is true from the first
	// data of a request until the client acknowledges data of the response.
	synPending, requestPending bool
	// counted is true while the flow is in the counts of waiting flows.
	counted bool
	// unknown is true while the flow's packets carry an unknown token.
	unknown bool
}

// maxRecent is the maximum number of flows in one generation. It bounds the memory that a flood of SYNs takes:
// two generations of 250,000 flows take about 55 MB. Removing a flow early has no other effect than that the
// counts of its target no longer include it.
const maxRecent = 250_000

// defaultIdleTimeout applies until there is a configuration. It is the value of the platform's examples.
const defaultIdleTimeout = 15 * time.Second

// flowTable stores flows until they have had no packet for one to two idle timeouts. Its entries are in
// two generations, so that expiry takes one pass over the idle flows per idle timeout.
type flowTable struct {
	recent, older map[Flow]*flowState
	// rotateAt is when the older generation is removed next.
	rotateAt time.Duration
	// unused contains the states of removed flows, which add uses again.
	unused []*flowState
}

func newFlowTable() flowTable {
	return flowTable{recent: map[Flow]*flowState{}, older: map[Flow]*flowState{}}
}

// get returns the state of a flow, or nil, and moves the flow to the recent generation.
func (t *flowTable) get(f Flow) *flowState {
	if s := t.recent[f]; s != nil {
		return s
	}
	s := t.older[f]
	if s != nil {
		delete(t.older, f)
		t.recent[f] = s
	}
	return s
}

// add returns a new, empty state of a flow that has none.
func (t *flowTable) add(f Flow) *flowState {
	var s *flowState
	if n := len(t.unused); n > 0 {
		s, t.unused = t.unused[n-1], t.unused[:n-1]
		*s = flowState{}
	} else {
		s = &flowState{}
	}
	t.recent[f] = s
	return s
}

// all iterates over all flows.
func (t *flowTable) all() iter.Seq2[Flow, *flowState] {
	return func(yield func(Flow, *flowState) bool) {
		for _, m := range []map[Flow]*flowState{t.recent, t.older} {
			for flow, s := range m {
				if !yield(flow, s) {
					return
				}
			}
		}
	}
}

// remove removes a flow, if the table has it.
func (t *flowTable) remove(f Flow) {
	if s := t.get(f); s != nil {
		delete(t.recent, f)
		t.release(s)
	}
}

func (t *flowTable) release(s *flowState) {
	s.detach()
	t.unused = append(t.unused, s)
}

// expire removes the older generation once per idle timeout, and earlier when the recent one is full.
func (t *flowTable) expire(now, idle time.Duration) {
	if now < t.rotateAt && len(t.recent) < maxRecent {
		return
	}
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	t.rotateAt = now + idle
	for _, s := range t.older {
		t.release(s)
	}
	clear(t.older)
	t.recent, t.older = t.older, t.recent
}

// attach adds the flow to the counts of a target and a route.
func (s *flowState) attach(l *load, route *routeLoad) {
	if s.load == l {
		return
	}
	s.detach()
	s.load, s.route = l, route
	l.open++
}

// detach removes the flow from the counts of its target and its route.
func (s *flowState) detach() {
	if s.load == nil {
		return
	}
	s.setAnswered()
	s.load.open--
	s.load, s.route = nil, nil
}

// setWaiting records that the flow has begun to wait for the answer to a SYN or to a request.
func (s *flowState) setWaiting(synPending bool, now time.Duration) {
	s.synPending, s.requestPending, s.since = synPending, !synPending, now
	s.setCounted(true)
	s.route.addPending(s)
}

// setAnswered records that the flow no longer waits.
func (s *flowState) setAnswered() {
	s.synPending, s.requestPending = false, false
	s.setCounted(false)
}

// setCounted adds the flow to the counts of waiting flows of its target and its route, or removes it.
func (s *flowState) setCounted(counted bool) {
	if s.counted == counted {
		return
	}
	s.counted = counted
	n := 1
	if !counted {
		n = -1
	}
	s.load.waiting += n
	s.route.waiting += n
}
