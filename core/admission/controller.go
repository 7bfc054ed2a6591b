package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// shortRejected and relaxedRejected are shares of a service's requests. Between them shares don't change, so that they do
	// not oscillate around a single threshold.
	shortRejected   = 0.02
	relaxedRejected = 0.005

	// floorShare is the share that each less urgent priority keeps, however short capacity is. With three attempts, more than half of
	// its requests are then still admitted.
	floorShare = 0.25

	// updateInterval is the time between two calls of Update that the rates of change are stated for.
	updateInterval = 250 * time.Millisecond

	// cutPerRejected is how far a share falls in an updateInterval for each unit of the rejected share. It reaches maxCut when
	// a quarter of the requests is rejected.
	cutPerRejected = 2.0
	maxCut         = 0.5

	// riseTime is how long all shares of a service take together to rise from their floors to 1.
	riseTime = 2 * time.Second

	// maxElapsed limits the effect of a call after a long pause, when the time in between was not observed.
	maxElapsed = time.Second

	// loadLifetime is how long a service without a valid load keeps its shares. They rise afterwards, as nothing shows any
	// longer that capacity is short.
	loadLifetime = 2 * time.Second
)

// Controller decides for the services of a zone which part of the new flows of each priority is admitted, and which part of the
// targets is reserved for the most urgent priority. It belongs to one goroutine. The zero value is ready to use.
type Controller struct {
	services  map[string]*service
	malformed uint64
}

// service is the state of one service.
type service struct {
	priorities  []int // distinct, ascending
	shares      map[int]float64
	reservation reservation
	updated     time.Duration // last call that changed shares or reservation
	loaded      time.Duration // last valid load
}

// Update takes the loads of a zone's services and returns the policy for its VMs, sorted by service and priority. now is on the
// VM's monotonic clock; Update is called every 250 ms. A load that is malformed, or the second one of a service, is counted and
// otherwise ignored.
func (c *Controller) Update(loads []Load, now time.Duration) Policy {
	if c.services == nil {
		c.services = make(map[string]*service)
	}
	seen := make(map[string]bool, len(loads))
	for _, load := range loads {
		if !load.valid() || seen[load.Service] {
			c.malformed++
			continue
		}
		seen[load.Service] = true
		c.service(load.Service, now).update(load, now)
	}
	for name, s := range c.services {
		if seen[name] || now-s.loaded <= loadLifetime {
			continue
		}
		s.update(Load{Priorities: s.priorities}, now)
		if s.idle() {
			delete(c.services, name)
		}
	}
	return c.policy()
}

// Malformed returns how many loads were ignored since the start.
func (c *Controller) Malformed() uint64 { return c.malformed }

func (c *Controller) service(name string, now time.Duration) *service {
	s := c.services[name]
	if s == nil {
		s = &service{shares: make(map[int]float64), updated: now - updateInterval, reservation: reservation{held: InitialReservation}}
		c.services[name] = s
	}
	return s
}

func (c *Controller) policy() Policy {
	var p Policy
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s := c.services[name]
		for _, priority := range s.priorities {
			if share := s.share(priority); share < 1 {
				p.Shares = append(p.Shares, Share{Service: name, Priority: priority, Admitted: share})
			}
		}
		if s.reservation.published > 0 {
			p.Reservations = append(p.Reservations, Reservation{Service: name, Fraction: s.reservation.published})
		}
	}
	return p
}

// valid reports whether the service is named and the figures that decisions rest on are in range. Slowness is for display only and may have any value.
func (l Load) valid() bool {
	return l.Service != "" && l.Rejected >= 0 && l.Rejected <= 1 && finite(l.Slots) && finite(l.UrgentSlots) && l.Targets >= 0
}

// finite reports whether v is a number, not negative and not infinite.
func finite(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// update applies a valid load. The load of a service without recent reports has only priorities.
func (s *service) update(load Load, now time.Duration) {
	elapsed := min(max(now-s.updated, 0), maxElapsed)
	s.updated = max(s.updated, now)
	if load.Service != "" {
		s.loaded = max(s.loaded, now)
	}
	s.setPriorities(load.Priorities)
	if len(s.priorities) < 2 {
		s.reservation = reservation{}
		return
	}
	switch {
	case load.Rejected > shortRejected:
		s.lower(load.Rejected, elapsed)
	case load.Rejected < relaxedRejected:
		s.raise(elapsed)
	}
	s.reservation.update(load, elapsed)
}

// setPriorities takes over the configured priorities. Shares of priorities that are no longer less urgent are forgotten.
func (s *service) setPriorities(priorities []int) {
	if !slices.Equal(s.priorities, priorities) {
		s.priorities = slices.Clone(priorities)
		slices.Sort(s.priorities)
		s.priorities = slices.Compact(s.priorities)
	}
	for priority := range s.shares {
		if i, found := slices.BinarySearch(s.priorities, priority); !found || i == 0 {
			delete(s.shares, priority)
		}
	}
}

func (s *service) share(priority int) float64 {
	if share, ok := s.shares[priority]; ok {
		return share
	}
	return 1
}

func (s *service) setShare(priority int, share float64) {
	if share >= 1 {
		delete(s.shares, priority)
		return
	}
	s.shares[priority] = share
}

// lower reduces the share of the least urgent priority that is above its floor.
func (s *service) lower(rejected float64, elapsed time.Duration) {
	cut := min(cutPerRejected*rejected, maxCut)
	intervals := min(float64(elapsed)/float64(updateInterval), 1)
	for _, priority := range slices.Backward(s.priorities[1:]) {
		if share := s.share(priority); share > floorShare {
			s.setShare(priority, max(share*math.Pow(1-cut, intervals), floorShare))
			return
		}
	}
}

// raise increases the shares, those of the most urgent priorities first.
func (s *service) raise(elapsed time.Duration) {
	less := s.priorities[1:]
	room := (1 - floorShare) * float64(len(less)) * float64(elapsed) / float64(riseTime)
	for _, priority := range less {
		share := s.share(priority)
		rise := min(1-share, room)
		room -= rise
		s.setShare(priority, share+rise)
	}
}

// idle reports whether the service needs no state: everything is admitted and nothing reserved.
func (s *service) idle() bool {
	return len(s.shares) == 0 && s.reservation.published == 0
}
