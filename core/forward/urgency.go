package forward

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minLessUrgentShare is the part of a service's requests that its less urgent routes have at least. Configurations contain routes with
	// hardly any requests, which must not decide which of the others give way.
	minLessUrgentShare = 0.1
	// minMixedRequests is the number of requests below which the configuration alone decides.
	minMixedRequests = 20
	// mixHalfLife is the time in which an earlier request loses half of its weight in a priorityMix.
	mixHalfLife = time.Minute
)

// priorityMix counts the requests of a service by priority.
type priorityMix struct {
	// entries are in the order of their priorities, the most urgent first.
	entries []priorityCount
}

// priorityCount is a number of requests that decays with mixHalfLife.
type priorityCount struct {
	priority int
	requests float64
	at       time.Duration
}

// count returns the number of requests at a time.
func (c *priorityCount) count(now time.Duration) float64 {
	return c.requests * math.Exp2(-float64(now-c.at)/float64(mixHalfLife))
}

// add records a request.
func (m *priorityMix) add(priority int, now time.Duration) {
	i, found := slices.BinarySearchFunc(m.entries, priority, func(c priorityCount, p int) int { return c.priority - p })
	if !found {
		m.entries = slices.Insert(m.entries, i, priorityCount{priority: priority})
	}
	c := &m.entries[i]
	c.requests, c.at = c.count(now)+1, now
}

// priorityShares are numbers of recent requests of a service.
type priorityShares struct {
	total float64
	// moreUrgent and lessUrgent are those of more and of less urgent priorities than a given one.
	moreUrgent, lessUrgent float64
}

// shares returns the numbers of requests compared with a priority.
func (m *priorityMix) shares(priority int, now time.Duration) (s priorityShares) {
	for i := range m.entries {
		n := m.entries[i].count(now)
		s.total += n
		switch p := m.entries[i].priority; {
		case p > priority:
			s.lessUrgent += n
		case p < priority:
			s.moreUrgent += n
		}
	}
	return s
}

// urgent reports whether the flows of a route to a service are urgent: those of other routes give way to them. With enough requests, a
// route is urgent if it is more urgent than the least urgent ones that have minLessUrgentShare of the requests. Counted from the other
// end, a flood of less urgent requests would make them urgent. A route is also urgent if there is nothing that it could give way to.
func (f *Forwarder) urgent(route *Route, service *Service, now time.Duration) bool {
	s := f.mix(service.Name).shares(route.Priority, now)
	if s.total < minMixedRequests {
		return !route.LeastUrgent
	}
	return s.lessUrgent >= minLessUrgentShare*s.total || s.moreUrgent < 1 && !route.LeastUrgent
}

// mix returns the requests of a service by priority.
func (f *Forwarder) mix(service string) *priorityMix {
	mix := f.shared.mixes[service]
	if mix == nil {
		mix = &priorityMix{}
		f.shared.mixes[service] = mix
	}
	return mix
}

// removeUnusedMixes removes the requests of services that the snapshot has no route to.
func (f *Forwarder) removeUnusedMixes() {
	used := map[string]bool{}
	for _, route := range f.snapshot.Routes {
		for i := range route.Backends {
			used[route.Backends[i].Service.Name] = true
		}
	}
	maps.DeleteFunc(f.shared.mixes, func(service string, _ *priorityMix) bool { return !used[service] })
}
