package forward

import "time"

// Evidence that a target does not answer, and its consequences.
const (
	// synEvidence is the evidence of a retransmitted SYN. A working target answers a SYN at once.
	synEvidence = 2
	// dataEvidence is the evidence of a retransmitted data packet. It is lower than synEvidence because a
	// target that takes long for a request also causes retransmissions.
	dataEvidence = 1
	// suspectThreshold is the evidence, without an answer in between, at which a target is suspected. It
	// equals two SYNs, because one may have been lost on the way.
	suspectThreshold = 4
	// minSuspectTime and maxSuspectTime bound the time for which a suspected target is avoided in
	// placement. The time doubles each time the target becomes suspected again without an answer in between.
	// The minimum is about the time that a target needs to restart; the maximum bounds how long a recovered
	// target goes unused.
	minSuspectTime = time.Second
	maxSuspectTime = 8 * time.Second
)

// load is the state that a VM keeps about a target from the packets of its flows.
type load struct {
	token Token
	// failures is the number of failures since the last report.
	failures int
	// open is the number of the target's flows through this VM, waiting the number of those that wait for an
	// answer of the target.
	open, waiting int
	// evidence is the sum of the evidence since the target's last answer.
	evidence int
	// suspectUntil is the time until which the target is suspected, suspectTime the length of this suspicion.
	suspectUntil, suspectTime time.Duration
	// nextProbe is the time from which the target may be probed again. endedUntil and silentUntil are the
	// times until which a probe with the result Ended or Silent counts.
	nextProbe, endedUntil, silentUntil time.Duration
	// lostFrom is the time from which the flows of a target that has ended are reset.
	lostFrom time.Duration
	// coldFlows are the target's last new flows under the cold budget.
	coldFlows coldFlows
	// fullUntil is the time until which the target is avoided after it has rejected a request because it was full.
	fullUntil time.Duration
}

func (f *Forwarder) load(token Token) *load {
	l := f.loads[token]
	if l == nil {
		l = &load{token: token}
		f.loads[token] = l
	}
	return l
}

// recordSYN records that a SYN went to a target.
func (f *Forwarder) recordSYN(flow Flow, target *Target, now time.Duration) {
	state := f.flows.get(flow)
	if state == nil {
		state = f.flows.add(flow)
	}
	state.attach(f.load(target.Token), f.routeLoad(flow.Service))
	state.setWaiting(true, now)
	// An earlier flow with the same addresses and ports may have had another target.
	state.target = nil
	state.seq, state.ack = 0, 0
}

// trackPacket updates the state of a flow and the load of its target by a packet that goes to
// decision.Target; FIN and RST remove the flow. It adds to the decision the times that end with the packet,
// and a probe after a retransmission.
func (f *Forwarder) trackPacket(header *Header, state *flowState, decision *Decision, now time.Duration) {
	if header.Flags&(FIN|RST) != 0 {
		state.route.uploads.ended(header.Flow)
		f.flows.remove(header.Flow)
		return
	}
	state.lastAck = header.Ack
	if state.synPending {
		if state.target.Zone != f.zone {
			f.reach.reset()
		}
		decision.OpenTime = now - state.since
		f.recordAnswer(state, now)
		state.setAnswered()
		state.ack = header.Ack
	}
	switch {
	case state.requestPending && header.Ack != state.ack:
		decision.ResponseTime = now - state.since
		f.recordAnswer(state, now)
		f.recordResponse(header, state, now)
		state.route.uploads.answered(state)
		state.route.uploads.ended(header.Flow)
		state.setAnswered()
		state.ack = header.Ack
		if header.Length == 0 {
			return
		}
		fallthrough
	case header.Length > 0 && !state.requestPending:
		state.setWaiting(false, now)
		state.sentAt, state.seq, state.ack = now, header.Seq, header.Ack
		state.route.uploads.sentData(header, state, true, now)
	case header.Length > 0 && header.Seq == state.seq:
		f.addEvidence(state.load, dataEvidence, now)
		f.requestProbe(decision, state.load, decision.Target, now)
	case header.Length > 0:
		state.sentAt, state.seq = now, header.Seq
		state.route.uploads.sentData(header, state, false, now)
	}
}

// recordResponse updates the statistics and the limit of a route by the first acknowledgement of a response.
func (f *Forwarder) recordResponse(header *Header, state *flowState, now time.Duration) {
	r, size, responseTime := state.route, header.Ack-state.ack, now-state.sentAt
	route := f.snapshot.Routes[header.Flow.Service]
	switch {
	case r.short(size) && f.loaded(state.target, now):
		f.addRejection(state.load, r, now)
		if r.rejectedInRow++; r.rejectedInRow > maxRejectedInRow {
			r.responseSize.add(float64(size), median)
		}
		return
	case r.failed(size, responseTime):
		f.addFailure(state.load)
	default:
		f.recordWork(state.load, r, responseTime)
		if route != nil {
			f.mix(state.target.Service).add(route.Priority, now)
		}
	}
	r.rejectedInRow = 0
	r.responseSize.add(float64(size), median)
	r.responseTime.add(float64(responseTime), responseQuantile)
	if route != nil && route.MaxResponseTime > 0 {
		r.limit.update(r.waiting, time.Duration(r.responseTime.value), route.MaxResponseTime, now)
	}
}

// routeLoad returns the state of the route with a service address. Addresses without a route share one, so that
// packets to arbitrary addresses take no memory.
func (f *Forwarder) routeLoad(service Endpoint) *routeLoad {
	r := f.routeLoads[service]
	if r == nil {
		route := f.snapshot.Routes[service]
		if route == nil {
			return &f.noRoute
		}
		r = &routeLoad{urgent: !route.LeastUrgent}
		f.routeLoads[service] = r
	}
	return r
}

func (f *Forwarder) removeFlow(flow Flow) { f.flows.remove(flow) }

// recordAnswer records that the target of a flow has answered.
func (f *Forwarder) recordAnswer(state *flowState, now time.Duration) {
	f.answeredAt[state.target.Zone] = now
	state.load.answered()
}

// answered clears the evidence and the suspicion after an answer of the target.
func (l *load) answered() {
	l.evidence, l.silentUntil = 0, 0
	if l.suspectTime > 0 {
		l.suspectTime, l.suspectUntil = 0, 0
	}
}

// addEvidence adds evidence that a target does not answer. At suspectThreshold the target becomes suspected.
func (f *Forwarder) addEvidence(l *load, evidence int, now time.Duration) {
	if l == nil || now < l.suspectUntil {
		return
	}
	if l.evidence += evidence; l.evidence < suspectThreshold {
		return
	}
	l.evidence = 0
	l.suspectTime = min(max(2*l.suspectTime, minSuspectTime), maxSuspectTime)
	l.suspectUntil = now + l.suspectTime
	f.events.Suspected++
}
