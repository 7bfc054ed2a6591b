// Package targetload estimates what requests cost and how much work each target has, from the response times that all VMs of a zone
// observe.
package targetload

import "time"

// ID is the token of an incarnation of a target.
type ID uint32

// Report is what a VM observed of a target in an interval.
type Report struct {
	ID ID
	// Responses is the number of responses, Rejected the number of requests that the target turned away because it was full.
	Responses, Rejected uint32
	// UrgentResponses and UrgentRejected are the parts of these of urgent routes.
	UrgentResponses, UrgentRejected uint32
	// Took is the sum of the response times, Work the sum of the times that the requests take at a target without a queue,
	// rejected ones included. UrgentWork is the part of Work of urgent routes.
	Took, Work, UrgentWork time.Duration
}

// Group is what a Pool needs to know about a target that may get new flows.
type Group struct {
	// Service names the targets that are compared with each other: forwarders use a service's targets in one zone.
	Service string
	Slots   int
}

// Groups are the targets that may get new flows.
type Groups map[ID]Group

// TargetLoad is the load of one target.
type TargetLoad struct {
	ID ID
	// Slowness is the response time of the target's requests as a multiple of their work; 1 for a target without a queue that
	// is as fast as others.
	Slowness float64
}

// ServiceLoad is the load of the targets of a service.
type ServiceLoad struct {
	Service string
	// Slowness is that of the best tenth of the targets, where new flows go. Rejected is the share of the requests that were
	// rejected, UrgentRejected that of the requests of urgent routes.
	Slowness, Rejected, UrgentRejected float64
	// Slots is the number of slots of the targets, UrgentSlots the mean number that the requests of urgent routes
	// occupy or would have occupied.
	Slots, UrgentSlots float64
}

// Summary is the load of the targets of a zone that differs from that of an idle service.
type Summary struct {
	Targets  []TargetLoad
	Services []ServiceLoad
}
