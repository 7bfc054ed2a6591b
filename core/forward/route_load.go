package forward

import (
	"time"

	"github.com/mangoweir/mangoweir/core/targetload"
)

const (
	// waitingTimeout is how long a flow counts as waiting. When routers distribute flows anew, a VM no longer
	// receives the packets of flows that it has seen before, and their targets would look busy until the flows
	// expire.
	waitingTimeout = time.Second
	// maxPending is the maximum number of waiting flows of a route in order of time. When there are more, the
	// oldest ones no longer count as waiting.
	maxPending = 4096
)

// routeLoad is the state that a VM keeps about a route from the packets of its flows.
type routeLoad struct {
	// waiting is the number of the route's flows that wait for an answer of a target.
	waiting int
	// pending are the flows that began to wait and are not overdue, oldest first, and overdue the others. Flows
	// that no longer wait are among them.
	pending, overdue flowQueue
	// responseTime is the upper quartile of the times from the last data of a request to its response, in
	// nanoseconds, responseSize the median of the data that clients acknowledge first, in bytes.
	responseTime, responseSize quantile
	// rejectedInRow is the number of short responses that counted as rejections since the last response that did not.
	rejectedInRow int
	limit         concurrencyLimit
	// work estimates the time that a request takes at a target without a queue.
	work    targetload.WorkEstimator
	uploads uploads
	// urgent is true if other routes to the service give way to this one, as of the last new flow; until then it is what the
	// configuration says.
	urgent bool
}

// pendingFlow is a flow that began to wait at since. It is outdated when the state's since has changed. sentAt is
// the time of the newest data that is known.
type pendingFlow struct {
	state         *flowState
	since, sentAt time.Duration
}

// addPending records that a flow has begun to wait.
func (r *routeLoad) addPending(s *flowState) {
	if len(r.pending) >= maxPending {
		if p := r.pending.pop(); p.valid(r) {
			p.state.setCounted(false)
		}
	}
	r.pending = append(r.pending, pendingFlow{state: s, since: s.since, sentAt: s.since})
}

// valid reports whether the flow still waits for what it waited for when it was added.
func (p *pendingFlow) valid(r *routeLoad) bool {
	return p.state.route == r && p.state.since == p.since && p.state.counted
}

// flowQueue contains flows in order of time.
type flowQueue []pendingFlow

// pop removes and returns the first flow.
func (q *flowQueue) pop() pendingFlow {
	p := (*q)[0]
	(*q)[0] = pendingFlow{}
	*q = (*q)[1:]
	return p
}

// expirePending counts a failure of the target of each flow that has become overdue, or a rejection of its request if
// the target is loaded, and removes flows that have waited for waitingTimeout from the counts of waiting flows.
func (f *Forwarder) expirePending(r *routeLoad, now time.Duration) {
	for len(r.pending) > 0 && now-r.pending[0].sentAt >= r.overdueTime() {
		p := r.pending.pop()
		switch {
		case !p.valid(r):
		case p.state.requestPending && p.state.sentAt > p.sentAt:
			// The client is still sending its request.
			p.sentAt = p.state.sentAt
			r.pending = append(r.pending, p)
		case p.since < f.movedAt:
			// Another VM may receive the flow's packets.
			r.overdue = append(r.overdue, p)
		case p.state.requestPending && f.loaded(f.snapshot.Targets[p.state.load.token], now):
			f.addRejection(p.state.load, r, now)
			r.overdue = append(r.overdue, p)
		default:
			f.addFailure(p.state.load)
			r.overdue = append(r.overdue, p)
		}
	}
	for len(r.overdue) > 0 && now-r.overdue[0].sentAt >= waitingTimeout {
		if p := r.overdue.pop(); p.valid(r) {
			p.state.setCounted(false)
		}
	}
}

// quantile estimates a quantile of a series of values.
type quantile struct{ value float64 }

const (
	// responseQuantile is the quantile of response times that limits compare with the latency objective. Unlike
	// a mean, it is not lowered by a part of the answers that come at once because the target refuses them.
	responseQuantile = 0.75
	median           = 0.5
	// quantileStep is the relative change of an estimate by one value. With 10% a fourfold increase is
	// followed after about 20 values.
	quantileStep = 0.1
)

// add moves the estimate of the quantile p towards a value: up by p of a step, or down by the rest of it.
func (q *quantile) add(v, p float64) {
	switch {
	case q.value == 0:
		q.value = v
	case v > q.value:
		q.value = min(v, q.value*(1+quantileStep*p))
	default:
		q.value = max(v, q.value*(1-quantileStep*(1-p)))
	}
}
