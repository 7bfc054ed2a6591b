package targetload

import (
	"math"
	"reflect"
	"time"
)

const (
	// sumHalfLife is that of the sums behind slowness and rejections: a slow target is to be detected within 2 s.
	sumHalfLife = 500 * time.Millisecond
	// rejectedHalfLife is that of rejections by service. Less urgent requests are turned away because of them, which must end
	// soon after the rejections: with 250 ms, a tenth of rejected requests counts as 0.5% after 1.1 s.
	rejectedHalfLife = 250 * time.Millisecond
	// urgentHalfLife is that of the urgent work. VMs report once per second when nothing is slow, and with three VMs sums with a
	// half-life of 0.5 s would vary by a quarter, which a reservation that rises at once would follow.
	urgentHalfLife = 2 * time.Second
	// forgetAfter is the time without reports after which nothing is known of a target.
	forgetAfter = 10 * time.Second
	// maxRequests is the largest number of requests of a report. A VM forwards far fewer in an interval.
	maxRequests = 1 << 20
	// maxTargets is the number of targets in a Pool, above the 76,000 of the largest deployment.
	maxTargets = 1 << 17
)

// Pool keeps the sums of the reports that the VMs of a zone send to its reader. The zero value is ready. It belongs to one
// goroutine.
type Pool struct {
	targets            map[ID]*sums
	malformed, unknown uint64
	// services are those of the last summary. Their slices are used again, which takes half the time of allocating them.
	services map[string]*service
	// groups is the map that slots was computed from.
	groups    Groups
	groupsLen int
	slots     map[string]float64
}

// sums are exponentially decayed sums; durations are in seconds.
type sums struct {
	at                                          time.Duration // of the last report, and of the sums
	responses, rejected, took, work, urgentWork float64
	// recent has the half-life of rejections by service.
	recent requestSums
}

// requestSums are exponentially decayed numbers of requests.
type requestSums struct{ responses, rejected, urgentResponses, urgentRejected float64 }

// plus returns the sums scaled by a factor, with other sums added.
func (s requestSums) plus(other requestSums, factor float64) requestSums {
	return requestSums{
		s.responses*factor + other.responses, s.rejected*factor + other.rejected,
		s.urgentResponses*factor + other.urgentResponses, s.urgentRejected*factor + other.urgentRejected,
	}
}

// rejectedShare returns the share of rejected requests, 0 if there are none.
func rejectedShare(responses, rejected float64) float64 {
	if responses+rejected <= 0 {
		return 0
	}
	return rejected / (responses + rejected)
}

// decayed returns the sums at a later time.
func (s sums) decayed(now time.Duration) sums {
	if now <= s.at {
		return s
	}
	f := decay(now-s.at, sumHalfLife)
	s.responses *= f
	s.rejected *= f
	s.took *= f
	s.work *= f
	s.urgentWork *= decay(now-s.at, urgentHalfLife)
	s.recent = s.recent.plus(requestSums{}, decay(now-s.at, rejectedHalfLife))
	s.at = now
	return s
}

// decay returns the factor by which a value with a half-life falls in a time.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// Add takes the reports of a VM. Reports that no VM can have observed change nothing and are counted.
func (p *Pool) Add(reports []Report, now time.Duration) {
	if p.targets == nil {
		p.targets = make(map[ID]*sums)
	}
	for _, r := range reports {
		s := p.targets[r.ID]
		if !r.plausible() || s == nil && len(p.targets) >= maxTargets {
			p.malformed++
			continue
		}
		if s == nil {
			s = &sums{at: now}
			p.targets[r.ID] = s
		}
		*s = s.decayed(now)
		s.responses += float64(r.Responses)
		s.rejected += float64(r.Rejected)
		s.recent = s.recent.plus(requestSums{float64(r.Responses), float64(r.Rejected), float64(r.UrgentResponses), float64(r.UrgentRejected)}, 1)
		if r.Work > 0 { // without work, which may be less than the unit on the wire, response times say nothing
			s.took += r.Took.Seconds()
			s.work += r.Work.Seconds()
		}
		s.urgentWork += r.UrgentWork.Seconds()
	}
}

// plausible returns whether a Collector can have made the report.
func (r Report) plausible() bool {
	n := r.requests()
	return n > 0 && n <= maxRequests && r.UrgentResponses <= r.Responses && r.UrgentRejected <= r.Rejected &&
		r.Took >= 0 && r.Took <= time.Duration(r.Responses)*maxTook &&
		r.Work >= 0 && r.Work <= time.Duration(n)*maxTook &&
		r.UrgentWork >= 0 && r.UrgentWork <= r.Work
}

// Discarded returns the number of reports that no VM can have observed or that exceed the number of targets, and the number of
// targets that were forgotten because they are not among those that may get new flows (a draining target is such a one).
func (p *Pool) Discarded() (malformed, unknown uint64) { return p.malformed, p.unknown }

// serviceSlots returns the slots of each service. It computes them only for a map that it did not get before, so that the cost of
// a summary depends on the targets with reports only.
func (p *Pool) serviceSlots(groups Groups) map[string]float64 {
	same := reflect.ValueOf(groups).Pointer() == reflect.ValueOf(p.groups).Pointer()
	if same && len(groups) == p.groupsLen && p.slots != nil {
		return p.slots
	}
	p.groups, p.groupsLen, p.slots = groups, len(groups), make(map[string]float64)
	for _, g := range groups {
		p.slots[g.Service] += float64(max(g.Slots, 0))
	}
	return p.slots
}
