package admission

import (
	"math"
	"time"
)

const (
	// reservedPerUrgent is the reserved part per part that urgent requests need. They load the reserved targets to about 70%,
	// where queues are still short.
	reservedPerUrgent = 1.4
	maxReserved       = 0.5

	// InitialReservation is the fraction that is reserved until the need of urgent requests is known. Long-lived flows that are placed on
	// all targets before that, when all clients open theirs after a start, would stay there.
	InitialReservation = 0.2

	// reservationHalfLife is longer than a pause between two bursts of urgent requests. Flows that were placed on a target
	// while it was not reserved stay there, so a reservation that falls too early can't be restored at once.
	reservationHalfLife = 10 * time.Second

	// reservationStep is the smallest change that is published. Each change moves some targets in or out of the reservation.
	reservationStep = 0.02

	// MinReservedTargets is the number of a service's targets below which nothing is reserved, as a single target would be
	// too large a part.
	MinReservedTargets = 10
)

// reservation is the part of a service's targets that is reserved for urgent requests.
type reservation struct {
	held      float64 // follows the need: rises at once, falls with the half-life
	published float64 // follows held in steps
}

func (r *reservation) update(load Load, elapsed time.Duration) {
	if load.Service != "" && load.Targets < MinReservedTargets {
		*r = reservation{}
		return
	}
	need := load.reservedNeed()
	if need >= r.held {
		r.held = need
	} else {
		r.held = need + (r.held-need)*math.Exp2(-elapsed.Seconds()/reservationHalfLife.Seconds())
	}
	switch {
	case r.held < reservationStep/2:
		r.published = 0
	case math.Abs(r.held-r.published) >= reservationStep:
		r.published = r.held
	}
}

// reservedNeed returns the fraction of the targets that urgent requests need now.
func (l Load) reservedNeed() float64 {
	if l.Slots <= 0 {
		return 0
	}
	// UrgentSlots is divided first: the product could overflow.
	return min(reservedPerUrgent*(l.UrgentSlots/l.Slots), maxReserved)
}

// Reserved reports whether a target, given by the token of its incarnation, belongs to the reserved fraction of its service. All
// VMs agree on it without messages, and a larger fraction contains the targets of a smaller one.
func Reserved(target uint32, fraction float64) bool {
	return position(target) < fraction
}

// position maps a token to [0, 1). Tokens that follow each other get unrelated positions (finalizer of SplitMix64).
func position(target uint32) float64 {
	z := uint64(target) + 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	return float64(z>>11) / (1 << 53)
}
