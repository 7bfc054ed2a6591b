// Package admission decides which routes give way when the targets of a service are short of capacity, and which targets are
// reserved for the most urgent ones.
package admission

// Load is the load of a service, as the VMs of a zone observe it.
type Load struct {
	Service string
	// Slowness is the response time as a multiple of the time without a queue, Rejected the share of the urgent requests that
	// targets rejected. Rejections of others are no reason to turn flows away: with long-lived flows, they go on
	// whatever becomes of new flows.
	Slowness, Rejected float64
	// Slots is the capacity of the service's targets, UrgentSlots the part of it that urgent requests need.
	Slots, UrgentSlots float64
	// Targets is the number of targets that may get new flows.
	Targets int
	// Priorities are the distinct priorities of the service's routes, the most urgent (lowest) first.
	Priorities []int
}

// Share is what part of the new flows of a priority is admitted.
type Share struct {
	Service  string
	Priority int
	// Admitted is in [0, 1].
	Admitted float64
}

// Reservation is the part of a service's targets that is reserved for urgent requests.
type Reservation struct {
	Service string
	// Fraction is in [0, 1].
	Fraction float64
}

// Policy is what the reader of a zone decides for all its VMs. What it does not contain is admitted, and not reserved.
type Policy struct {
	Shares       []Share
	Reservations []Reservation
}
