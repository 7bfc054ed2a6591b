package forward

import (
	"math"
	"time"
)

const (
	// urgentLatencyShare and latencyShare are the response times, as parts of a route's latency objective, above
	// which new flows are limited. Routes of the most urgent priority of a service have the longer one, so that
	// less urgent flows wait first.
	urgentLatencyShare = 1.2
	latencyShare       = 1.0
	// maxSYNCopies is the number of times that a client retransmits a SYN.
	maxSYNCopies = 2
	// limitDecrease is the factor by which a limit decreases when response times are too long.
	limitDecrease = 0.85
	// noLimit is the limit from which on it is no longer applied.
	noLimit = 64
)

// concurrencyLimit limits the waiting flows of a route through this VM. Targets that are full queue requests
// until all of them miss their latency objective. The limit shortens the queues: it decreases while responses
// are too slow and increases by one for each round of responses that are not, so that it needs no knowledge of
// the number of VMs or of their loads.
type concurrencyLimit struct {
	// value is the limit; 0 means that there is none.
	value float64
	// decreasedAt is the time of the last decrease. Until a response time later, responses show the load before
	// it.
	decreasedAt time.Duration
}

// update adapts the limit after a response. waiting is the number of waiting flows before it, responseTime the
// estimate including it, and target the response time that is acceptable.
func (l *concurrencyLimit) update(waiting int, responseTime, target, now time.Duration) {
	switch {
	case responseTime > target:
		if now-l.decreasedAt < responseTime {
			return
		}
		if l.value == 0 {
			l.value = float64(waiting)
		}
		l.value = max(1, limitDecrease*min(l.value, float64(waiting)))
		l.decreasedAt = now
	case l.value > 0:
		if l.value += 1 / l.value; l.value >= noLimit {
			l.value = 0
		}
	}
}

// allows reports whether one more flow may wait. copies is the number of earlier transmissions of its SYN. A
// flow that has been held back leaves precedence to new ones: it has missed most latency objectives already, and
// would make new flows miss theirs.
func (l *concurrencyLimit) allows(waiting int, copies uint32) bool {
	return l.value == 0 || waiting*int(1+min(copies, maxSYNCopies)) < int(math.Ceil(l.value))
}
