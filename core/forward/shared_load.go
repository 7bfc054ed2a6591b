package forward

import (
	"time"

	"github.com/mangoweir/mangoweir/core/admission"
	"github.com/mangoweir/mangoweir/core/targetload"
)

const (
	// loadedSlowness is the slowness above which a target has a queue: a request of average work that waits for one and a half
	// others takes 2.5 times its work.
	loadedSlowness = 2.5
	// minFullTime and maxFullTime bound the time for which a VM avoids a target that has rejected a request. Within it, about as
	// many requests end as a full queue holds.
	minFullTime = 100 * time.Millisecond
	maxFullTime = time.Second
	// maxRejectedInRow is the number of short responses in a row from which on they change the typical size of a route's responses.
	// The responses may have become shorter; as each would count as a rejection, and rejections show that targets are full, that
	// would never end. A service that still answers 5% of the requests rejects 100 in a row with a probability of 0.6%.
	maxRejectedInRow = 100
	// reservedWeight is the weight of reserved targets for flows that are not urgent. If none of a sample is chosen by its weight, a
	// target that is not reserved is preferred, even if it is full.
	reservedWeight = 1.0 / 64
	// maxInitialReservation is how long targets are reserved without a policy. The first responses lead to one after about 1.5 s,
	// unless the zone has no reader, or one with an earlier release. It is the time for which reservations hold without a reader.
	maxInitialReservation = 10 * time.Second
)

// sharedLoad is what the VMs of a zone know together about the load of targets, and what this VM contributes to it.
type sharedLoad struct {
	table     *targetload.Table
	gate      *admission.Gate
	collector targetload.Collector
	// mixes are the requests by priority that this VM has seen, by service.
	mixes map[string]*priorityMix
	// reservedSince is when a flow was first placed with the initial reservation; 0 if none was.
	reservedSince time.Duration
}

// SetLoad replaces the load of targets and the admission policy of this VM's zone. Both may be nil.
func (f *Forwarder) SetLoad(table *targetload.Table, gate *admission.Gate) {
	f.shared.table, f.shared.gate = table, gate
}

// TakeLoadReports returns what this VM has observed of targets since the last call, and nil if a report is not due yet.
func (f *Forwarder) TakeLoadReports(now time.Duration) []targetload.Report {
	return f.shared.collector.Take(now)
}

// newFlow describes a flow that is to be placed.
type newFlow struct {
	// avoid is the token of the target that the flow's first SYN went to, or 0.
	avoid  Token
	urgent bool
	// reserved is the part of the service's targets that is reserved for urgent flows.
	reserved float64
	// work is the time that a request of the flow's route takes at a target without a queue; 0 if it is not known.
	work, latencyObjective time.Duration
}

// newFlow returns the description of a flow of a route to a service. first is the flow's state from an earlier transmission of its
// SYN, or nil.
func (f *Forwarder) newFlow(route *Route, service *Service, r *routeLoad, first *flowState, now time.Duration) newFlow {
	flow := newFlow{
		urgent: r.urgent, reserved: f.reservedFraction(service, now), work: r.work.Work(), latencyObjective: route.LatencyObjective,
	}
	if first != nil && first.synPending {
		flow.avoid = first.load.token
	}
	return flow
}

// reservedFraction returns the part of a service's targets that is reserved for urgent flows. Before the first policy it is the
// initial one, for maxInitialReservation.
func (f *Forwarder) reservedFraction(service *Service, now time.Duration) float64 {
	switch {
	case f.shared.gate != nil:
		return f.shared.gate.ReservedFraction(service.Name, now)
	case !service.Prioritized || len(service.Local) < admission.MinReservedTargets:
		return 0
	case f.shared.reservedSince == 0:
		f.shared.reservedSince = now
	}
	if now-f.shared.reservedSince > maxInitialReservation {
		return 0
	}
	return admission.InitialReservation
}

// admits reports whether a new flow that is not urgent may be placed now, or gives way to more urgent ones of the service.
func (f *Forwarder) admits(route *Route, service *Service, now time.Duration) bool {
	return f.shared.gate.Admits(service.Name, route.Priority, f.random.Float64(), now)
}

// candidate returns a target as a candidate for a flow, with its load. Weights are drawn and not compared, because all VMs of a zone
// have the same table: they would all choose the least loaded target until the next summary.
func (f *Forwarder) candidate(t *Target, flow newFlow, now time.Duration) candidate {
	id := targetload.ID(t.Token)
	c := candidate{
		target: t, suspected: t.Token == flow.avoid,
		weight: f.shared.table.Weight(id, t.LoadGroup, now), slowness: f.shared.table.Slowness(id, t.LoadGroup, now),
	}
	if !flow.urgent && flow.reserved > 0 && admission.Reserved(uint32(t.FlowToken), flow.reserved) {
		c.weight *= reservedWeight
		c.reserved = true
	}
	if l := f.loads[t.Token]; l != nil && now < l.fullUntil {
		c.weight = 0
	}
	c.passedOver = c.weight < 1 && f.random.Float64() >= c.weight
	return c
}

// loaded reports whether a target has a queue, or the targets of its service in its zone reject requests, as far as the VMs of this
// zone know. t may be nil.
func (f *Forwarder) loaded(t *Target, now time.Duration) bool {
	if t == nil {
		return false
	}
	return f.shared.table.Slowness(targetload.ID(t.Token), t.LoadGroup, now) > loadedSlowness || f.shared.table.Rejected(t.LoadGroup, now) > 0
}

// recordWork records the response time of a request.
func (f *Forwarder) recordWork(l *load, r *routeLoad, responseTime time.Duration) {
	r.work.Add(responseTime)
	if work := r.work.Work(); work > 0 {
		f.shared.collector.Finish(targetload.ID(l.token), work, responseTime, r.urgent)
	}
}

// addRejection records that a target has rejected a request because it is full. It is no failure: ejecting full targets would take
// more capacity from a service that is short of it.
func (f *Forwarder) addRejection(l *load, r *routeLoad, now time.Duration) {
	l.fullUntil = now + min(max(time.Duration(r.responseTime.value), minFullTime), maxFullTime)
	if work := r.work.Work(); work > 0 {
		f.shared.collector.Reject(targetload.ID(l.token), work, r.urgent)
	}
}
