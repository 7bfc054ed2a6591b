package targetload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// rejectionWork is what a rejection counts as, as a multiple of the mean work of its service; about what a full queue
	// (8 requests behind 2 in work) would take.
	rejectionWork = 10
	// recentReports is the time after which a target has no recent reports. VMs report once per second when nothing is slow.
	recentReports = 1500 * time.Millisecond
	// slownessHalfLife is that of the difference between a target without recent reports and its service: a recovered target is
	// to be used again within 5 s.
	slownessHalfLife = 2 * time.Second
	// bestQuantile is the quantile of the targets that the others are compared with. A median would be that of full targets when most
	// of a service is full, and hide that some have capacity, such as those reserved for urgent requests.
	bestQuantile = 0.1
	// slowTarget is the ratio of the slowness of a target to that of its service from which it is listed. The best tenth of equal
	// targets is about a fifth below their mean by chance.
	slowTarget = 2
	// queueSlowness is the slowness of the responses of a target from which on it has a queue: a request of average work that waits for
	// one and a half others takes 2.5 times its work. minQueueResponses is the decayed number of responses that shows it.
	queueSlowness     = 2.5
	minQueueResponses = 0.5
	// recentRejections is the decayed number of rejections from which a target is listed: one within 1.6 s.
	recentRejections = 0.1
	// maxSlowTargets is the number of targets in a summary: about 0.7 KB every 250 ms.
	maxSlowTargets = 64
	// maxSlowness bounds slowness against absurd reports; weights do not differ above 8.
	maxSlowness = 1000
)

// member is a target with reports, at the time of a summary.
type member struct {
	id       ID
	sums     sums
	age      time.Duration // since its last report
	slowness float64       // 0 when unknown
}

// service is what the targets of a service report together.
type service struct {
	members  []member
	known    []float64 // slowness of the members with recent reports
	total    sums
	recent   bool    // whether a target has recent reports
	slowness float64 // that of the best targets, 1 when unknown
}

// Summarize returns the load of the targets of groups at now. It forgets targets that are not among them. Groups must not be
// modified after the call; a change needs another map.
func (p *Pool) Summarize(groups Groups, now time.Duration) Summary {
	slots := p.serviceSlots(groups)
	var summary Summary
	p.collect(groups, now)
	for name, s := range p.services {
		s.settle()
		for _, m := range s.members {
			if m.slowness > slowTarget*s.slowness || m.slowness > 0 && m.sums.rejected >= recentRejections {
				summary.Targets = append(summary.Targets, TargetLoad{ID: m.id, Slowness: m.slowness})
			}
		}
		if s.recent {
			summary.Services = append(summary.Services, s.load(name, slots[name]))
		}
	}
	slices.SortFunc(summary.Targets, func(a, b TargetLoad) int {
		return cmp.Or(cmp.Compare(b.Slowness, a.Slowness), cmp.Compare(a.ID, b.ID))
	})
	if len(summary.Targets) > maxSlowTargets {
		summary.Targets = slices.Clip(summary.Targets[:maxSlowTargets])
	}
	slices.SortFunc(summary.Services, func(a, b ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return summary
}

// reset removes the members and keeps the memory for as many.
func (s *service) reset() { *s = service{members: s.members[:0], known: s.known[:0]} }

// collect groups the targets with reports by their service.
func (p *Pool) collect(groups Groups, now time.Duration) {
	if p.services == nil {
		p.services = make(map[string]*service)
	}
	for name, s := range p.services {
		if len(s.members) == 0 {
			delete(p.services, name)
		}
		s.reset()
	}
	for id, sums := range p.targets {
		group, ok := groups[id]
		if !ok {
			p.unknown++
		}
		age := max(now-sums.at, 0)
		if !ok || age > forgetAfter {
			delete(p.targets, id)
			continue
		}
		s := p.services[group.Service]
		if s == nil {
			s = &service{}
			p.services[group.Service] = s
		}
		m := member{id: id, sums: sums.decayed(now).withoutErrors(), age: age}
		s.members = append(s.members, m)
		s.recent = s.recent || age <= recentReports
		s.total.responses += m.sums.responses
		s.total.rejected += m.sums.rejected
		s.total.recent = s.total.recent.plus(m.sums.recent, 1)
		s.total.work += m.sums.work
		s.total.urgentWork += m.sums.urgentWork
	}
}

// withoutErrors returns the sums without rejections if the other responses of the target show that it has no queue: its short
// responses are errors then. A target that answers only errors must not count as full, since it would never be ejected.
func (s sums) withoutErrors() sums {
	requests := s.responses + s.rejected
	if s.rejected == 0 || requests == 0 {
		return s
	}
	answered := s.work * s.responses / requests
	if s.responses >= minQueueResponses && s.took >= queueSlowness*answered {
		return s
	}
	s.rejected, s.work = 0, answered
	s.recent.rejected, s.recent.urgentRejected = 0, 0
	return s
}

// settle computes the slowness of a service and of its members.
func (s *service) settle() {
	var penalty float64 // seconds
	if requests := s.total.responses + s.total.rejected; requests > 0 {
		penalty = rejectionWork * s.total.work / requests
	}
	for i := range s.members {
		m := &s.members[i]
		if m.sums.work <= 0 {
			continue
		}
		m.slowness = min((m.sums.took+m.sums.rejected*penalty)/m.sums.work, maxSlowness)
		if m.age <= recentReports && m.slowness > 0 {
			s.known = append(s.known, m.slowness)
		}
	}
	s.slowness = best(s.known)
	for i := range s.members {
		m := &s.members[i]
		if m.slowness > 0 && m.age > recentReports {
			m.slowness = s.slowness + (m.slowness-s.slowness)*decay(m.age-recentReports, slownessHalfLife)
		}
	}
}

func (s *service) load(name string, slots float64) ServiceLoad {
	// A sum that grows by r per second and decays comes to r x half-life / ln 2.
	load := ServiceLoad{Service: name, Slowness: s.slowness, Slots: slots,
		UrgentSlots: s.total.urgentWork * math.Ln2 / urgentHalfLife.Seconds()}
	recent := s.total.recent
	load.Rejected = rejectedShare(recent.responses, recent.rejected)
	load.UrgentRejected = rejectedShare(recent.urgentResponses, recent.urgentRejected)
	return load
}

// best returns the bestQuantile of values, which it sorts, and 1 when there are none.
func best(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[int(bestQuantile*float64(len(values)-1))]
}
