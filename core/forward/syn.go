package forward

import (
	"math/rand/v2"
	"time"
)

// handleSYN places the flow of a SYN on a target, or refuses it. A retransmitted SYN is evidence that the target
// of the earlier one does not answer.
func (f *Forwarder) handleSYN(header *Header, now time.Duration) Decision {
	if f.snapshot.ConfigVersion == 0 {
		return Decision{Reason: NoSnapshot}
	}
	route := f.snapshot.Routes[header.Flow.Service]
	if route == nil {
		return f.refuse(header, now, NoRoute)
	}
	var decision Decision
	first := f.flows.get(header.Flow)
	if first != nil && first.synPending && header.Ack > 0 {
		f.addEvidence(first.load, synEvidence, now)
		f.requestProbe(&decision, first.load, f.snapshot.Targets[first.load.token], now)
	}
	r := f.routeLoad(header.Flow.Service)
	f.expirePending(r, now)
	if first == nil && !r.limit.allows(r.waiting, header.Ack) {
		// Clients that are refused try again at once, three times in all, and most would fail within some
		// milliseconds. A dropped SYN is retransmitted after 200 and 600 ms.
		return Decision{Reason: Overloaded}
	}
	service := route.pick(f.random)
	if service == nil {
		return f.refuse(header, now, NoTarget)
	}
	r.urgent = f.urgent(route, service, now)
	flow := f.newFlow(route, service, r, first, now)
	if first == nil && !f.linkAdmits(r, now) {
		return Decision{Reason: LinkFull}
	}
	f.trackReach(service, first, header.Ack, now)
	if first == nil && !r.urgent && !f.admits(route, service, now) {
		decision.Target, decision.Reason = f.placeElsewhere(service, flow, now), LessUrgent
	} else {
		decision.Target, decision.Reason = f.place(service, flow, now)
	}
	if decision.Target == nil {
		return f.withoutTarget(header, service, decision, now)
	}
	decision.Action, decision.Reason = Forward, Placed
	if header.Ack > 0 {
		decision.Reason = PlacedAgain
	}
	f.recordSYN(header.Flow, decision.Target, now)
	f.startUpload(r, header.Flow, now)
	return decision
}

// withoutTarget completes the decision about a SYN for which no target was found.
func (f *Forwarder) withoutTarget(header *Header, service *Service, decision Decision, now time.Duration) Decision {
	if decision.Reason == ColdLimit && f.coldBudgetAllowsCopy(service, now) {
		return decision
	}
	refused := f.refuse(header, now, decision.Reason)
	refused.Probe = decision.Probe
	return refused
}

// lastSYNCopy is the time from a client's first SYN to its last retransmission.
const lastSYNCopy = 600 * time.Millisecond

// coldBudgetAllowsCopy reports whether the budget of a cold target will allow a retransmission of a SYN that
// arrives now. Otherwise the client is refused at once instead of waiting in vain.
func (f *Forwarder) coldBudgetAllowsCopy(service *Service, now time.Duration) bool {
	due, ok := f.coldBudgetDue(service, now)
	return ok && due <= now+lastSYNCopy
}

// refuse answers a SYN that no target can take. A retransmitted SYN is never answered with a reset, because
// a target may have accepted the first one in the meantime. No SYN is answered with a reset while the
// snapshot is stale, because the missing route or target may exist by now.
func (f *Forwarder) refuse(h *Header, now time.Duration, reason Reason) Decision {
	if h.Ack > 0 || !f.fresh(now) {
		return Decision{Reason: reason}
	}
	return Decision{Action: Reset, Reason: reason}
}

// pick returns a random service of the route, chosen by weight, or nil when the route has none.
func (r *Route) pick(random *rand.Rand) *Service {
	if r.TotalWeight <= 0 {
		return nil
	}
	remaining := 0
	if len(r.Backends) > 1 {
		remaining = random.IntN(r.TotalWeight)
	}
	for i := range r.Backends {
		if remaining -= r.Backends[i].Weight; remaining < 0 {
			return r.Backends[i].Service
		}
	}
	return nil
}
