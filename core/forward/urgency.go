package forward

import (
	"math"
	"slices"
	"time"
)

const (
	// minUrgentShare is the part of a service's new flows that urgent ones have at least. Configurations contain routes with hardly any
	// requests, which must not decide which of the others are urgent.
	minUrgentShare = 0.1
	// mixHalfLife is the time in which an earlier flow loses half of its weight in a priorityMix. It is long compared to a burst of
	// less urgent flows, which must not make them urgent.
	mixHalfLife = time.Minute
)

// priorityMix counts the new flows of a service by priority.
type priorityMix struct {
	// entries are in the order of their priorities, the most urgent first.
	entries []priorityCount
}

// priorityCount is a number of flows that decays with mixHalfLife.
type priorityCount struct {
	priority int
	flows    float64
	at       time.Duration
}

// count returns the number of flows at a time.
func (c *priorityCount) count(now time.Duration) float64 {
	return c.flows * math.Exp2(-float64(now-c.at)/float64(mixHalfLife))
}

// add records a new flow.
func (m *priorityMix) add(priority int, now time.Duration) {
	i, found := slices.BinarySearchFunc(m.entries, priority, func(c priorityCount, p int) int { return c.priority - p })
	if !found {
		m.entries = slices.Insert(m.entries, i, priorityCount{priority: priority})
	}
	c := &m.entries[i]
	c.flows, c.at = c.count(now)+1, now
}

// urgent reports whether a priority is among the most urgent ones that have minUrgentShare of the flows.
func (m *priorityMix) urgent(priority int, now time.Duration) bool {
	total, moreUrgent := 0.0, 0.0
	for i := range m.entries {
		n := m.entries[i].count(now)
		total += n
		if m.entries[i].priority < priority {
			moreUrgent += n
		}
	}
	return moreUrgent < minUrgentShare*total
}

// isUrgent reports whether a route is urgent for all its services. first is true for the first SYN of a new flow, which is recorded.
func (f *Forwarder) isUrgent(route *Route, first bool, now time.Duration) bool {
	urgent := true
	for i := range route.Backends {
		service := route.Backends[i].Service.Name
		mix := f.shared.priorities[service]
		if mix == nil {
			mix = &priorityMix{}
			f.shared.priorities[service] = mix
		}
		if first {
			mix.add(route.Priority, now)
		}
		urgent = mix.urgent(route.Priority, now) && urgent
	}
	return urgent
}
