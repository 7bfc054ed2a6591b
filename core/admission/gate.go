package admission

import "time"

const (
	// gateLifetime is how long shares hold without a newer policy: eight intervals of the reader. A VM that lost its reader then admits
	// everything, as it can't see whether capacity is still short.
	gateLifetime = 2 * time.Second

	// reservationLifetime is how long reservations hold without a newer policy. They must outlast the loss of a reader, because
	// long-lived flows that are placed on reserved targets in the meantime would stay there.
	reservationLifetime = 10 * time.Second
)

// Gate is a Policy in the form that VMs look up for each new flow. It is immutable and may be shared. The methods may be called on
// a nil Gate, which admits everything and reserves nothing; they don't allocate.
type Gate struct {
	at        time.Duration
	services  map[string]gateService
	malformed int
}

type gateService struct {
	shares   []Share
	reserved float64
}

// NewGate returns a gate for a policy that was decided at the given time of the VM's monotonic clock. Shares and fractions outside of
// [0, 1], and all but the first for the same service and priority, are ignored. No share is less than the floor.
func NewGate(policy Policy, at time.Duration) *Gate {
	g := &Gate{at: at, services: make(map[string]gateService, len(policy.Reservations))}
	for _, share := range policy.Shares {
		g.addShare(share)
	}
	for _, r := range policy.Reservations {
		s := g.services[r.Service]
		if !(r.Fraction >= 0 && r.Fraction <= 1) || s.reserved > 0 {
			g.malformed++
			continue
		}
		s.reserved = r.Fraction
		g.services[r.Service] = s
	}
	return g
}

func (g *Gate) addShare(share Share) {
	s := g.services[share.Service]
	if !(share.Admitted >= 0 && share.Admitted <= 1) || s.share(share.Priority) != nil {
		g.malformed++
		return
	}
	share.Admitted = max(share.Admitted, floorShare)
	s.shares = append(s.shares, share)
	g.services[share.Service] = s
}

// share returns the share of a priority, or nil.
func (s *gateService) share(priority int) *Share {
	for i := range s.shares {
		if s.shares[i].Priority == priority {
			return &s.shares[i]
		}
	}
	return nil
}

// Malformed returns how many entries of the policy were ignored.
func (g *Gate) Malformed() int {
	if g == nil {
		return 0
	}
	return g.malformed
}

// Admits reports whether a new flow of a service's route with the given priority is admitted. draw is a random number in [0, 1).
func (g *Gate) Admits(service string, priority int, draw float64, now time.Duration) bool {
	if !g.valid(now, gateLifetime) {
		return true
	}
	s := g.services[service]
	share := s.share(priority)
	// Negated, so that a draw that is not a number admits.
	return share == nil || !(draw >= share.Admitted)
}

// ReservedFraction returns the fraction of a service's targets that is reserved for urgent requests, in [0, 1].
func (g *Gate) ReservedFraction(service string, now time.Duration) float64 {
	if !g.valid(now, reservationLifetime) {
		return 0
	}
	return g.services[service].reserved
}

// valid reports whether the gate is at most the given age. The traffic thread may work with a time that is slightly before the one
// at which the control thread made the gate, so times in the near future are valid too.
func (g *Gate) valid(now, lifetime time.Duration) bool {
	return g != nil && (now-g.at).Abs() <= lifetime
}
