package registry

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

// minObservationGap is the minimum time between two different observations with the same result. The age of an
// observation does not include the delay of the messages that carry it, usually some milliseconds, so the
// same observation may seem newer when it arrives again.
const minObservationGap = 500 * time.Millisecond

const (
	// renewalInterval is how often a VM that still observes that a target has ended renews its observation.
	renewalInterval = time.Second
	// observationTTL is how long the observation that a target has ended counts after its last renewal. Only VMs of the target's
	// zone observe its return, and a VM that has left their feed does not learn of it. The time is below the stability window of
	// the platform's rules (4 s), after which a target that was cut off must keep its flows.
	observationTTL = 3 * time.Second
)

// Observation is a VM's observation of a target's process, independent of the store. VMs send observations
// to each other. The observation that a target has ended is renewed by the VMs that still make it. It ends with an observation
// that the target runs again, with another incarnation, or without renewal: then the target keeps its flows after
// observationTTL, and gets new ones when the store would have removed the entry of a target that has ended.
type Observation struct {
	ID    string
	Token forward.Token
	// Ended is true when the target's process has ended, false when it runs again after that.
	Ended bool
	// Age is the time since the observation.
	Age time.Duration
}

// ObserveConnection records whether the machine of a target refused a connection of this VM. It reports
// whether that changes the target's state; the caller then passes the observation on to other VMs. An observation that is only
// renewed is among the next Renewals.
func (r *Registry) ObserveConnection(t *forward.Target, refused bool, now time.Duration) (Observation, bool) {
	o := Observation{ID: t.ID, Token: t.Token, Ended: refused}
	inc := r.targets[t.ID]
	switch {
	case inc == nil || !refused && !inc.exited:
		return o, false
	case refused && inc.ended(now) && now < inc.observedAt+renewalInterval:
		return o, false
	}
	return o, r.ApplyObservation(o, now)
}

// ObserveRestart records that a target has restarted, so that it counts as cold. The caller passes the observation
// on to other VMs if it is new.
func (r *Registry) ObserveRestart(t *forward.Target, now time.Duration) (Observation, bool) {
	o := Observation{ID: t.ID, Token: t.Token}
	return o, r.ApplyObservation(o, now)
}

// ApplyObservation applies an observation of this or another VM. It reports whether it was newer than the
// last one and not just its renewal.
func (r *Registry) ApplyObservation(observation Observation, now time.Duration) bool {
	inc := r.targets[observation.ID]
	at := now - observation.Age
	if inc == nil || inc.token != observation.Token || observation.Ended && observation.Age >= observationTTL {
		return false
	}
	if inc.observed {
		newer := at > inc.observedAt
		if inc.exited == observation.Ended {
			newer = at > inc.observedAt+minObservationGap
		}
		if !newer {
			return false
		}
	}
	if observation.Ended && inc.ended(now) {
		inc.observedAt, inc.renewed = at, true
		return false
	}
	inc.forgotten = false
	inc.observed, inc.exited, inc.observedAt, r.changed = true, observation.Ended, at, true
	inc.lostFrom = at
	if r.FreshUntil() < at || r.restoredAt > 0 && at < r.restoredAt+rewriteTime {
		// The target may have drained after the snapshot became stale, or its notice of the drain was lost with the store's
		// history and is not written again yet.
		inc.lostFrom += forward.DrainExitDelay
	}
	return true
}

// Observations returns the newest observations of the targets that have an entry, as far as they still have an effect. That a
// target runs again may be news for a VM as long as that VM may take it for ended.
func (r *Registry) Observations(now time.Duration) []Observation {
	return r.observations(now, func(inc *incarnation) bool {
		if inc.exited {
			return inc.ended(now)
		}
		return now < max(r.observedColdUntil(inc), inc.observedAt+r.doubtTime())
	})
}

// Renewals returns the observations that were renewed since the last call.
func (r *Registry) Renewals(now time.Duration) []Observation {
	return r.observations(now, func(inc *incarnation) bool {
		renewed := inc.renewed
		inc.renewed = false
		return renewed && inc.ended(now)
	})
}

// observations returns the newest observations of the targets that have an entry and that are selected.
func (r *Registry) observations(now time.Duration, selected func(*incarnation) bool) []Observation {
	var all []Observation
	for _, inc := range r.targets {
		if inc.observed && !inc.removed && selected(inc) {
			all = append(all, Observation{ID: inc.id, Token: inc.token, Ended: inc.exited, Age: now - inc.observedAt})
		}
	}
	return all
}

// forgetEnd records that the observation that a target has ended is no longer in force.
func (r *Registry) forgetEnd(inc *incarnation, now time.Duration) {
	if inc.exited && !inc.forgotten && !inc.removed && !inc.ended(now) {
		inc.forgotten = true
		r.forgotten = append(r.forgotten, inc.id)
	}
}

// TakeForgotten returns the targets that no longer count as ended since the last call, because nobody has renewed the
// observation.
func (r *Registry) TakeForgotten() []string {
	forgotten := r.forgotten
	r.forgotten = nil
	return forgotten
}

// ended reports whether the observation that the target has ended is in force. A removal of the entry meanwhile confirms it.
func (inc *incarnation) ended(now time.Duration) bool {
	return inc.exited && (inc.endConfirmed || now < inc.observedAt+observationTTL)
}

// doubtTime is the time after the observation that a target has ended, or its last renewal, in which the target gets no new flows.
// If it has ended, the store removes its entry in this time.
func (r *Registry) doubtTime() time.Duration { return max(r.leaseTime(), observationTTL) }

// doubtfulUntil returns the time until which a target that was observed to have ended gets no new flows; 0 for others.
func (r *Registry) doubtfulUntil(inc *incarnation) time.Duration {
	if !inc.exited {
		return 0
	}
	return inc.observedAt + r.doubtTime()
}

// observedColdUntil returns the end of a target's cold start according to observations, or 0. A process that
// runs again after its end has restarted, and the store may report that only some time later.
func (r *Registry) observedColdUntil(inc *incarnation) time.Duration {
	if !inc.observed || inc.exited || r.config == nil {
		return 0
	}
	i := slices.IndexFunc(r.config.Services, func(s Service) bool { return s.Name == inc.target.Service })
	if i < 0 {
		return 0
	}
	return inc.observedAt + r.config.Services[i].ColdStart
}
