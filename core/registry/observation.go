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

// Observation is a VM's observation of a target's process, independent of the store. VMs send observations
// to each other.
type Observation struct {
	ID    string
	Token forward.Token
	// Ended is true when the target's process has ended, false when it runs again after that.
	Ended bool
	// Age is the time since the observation.
	Age time.Duration
}

// ObserveConnection records whether the machine of a target refused a connection of this VM. It reports
// whether that changes the target's state; the caller then passes the observation on to other VMs.
func (r *Registry) ObserveConnection(t *forward.Target, refused bool, now time.Duration) (Observation, bool) {
	o := Observation{ID: t.ID, Token: t.Token, Ended: refused}
	inc := r.targets[t.ID]
	return o, inc != nil && inc.exited != refused && r.ApplyObservation(o, now)
}

// ObserveRestart records that a target has restarted, so that it counts as cold. The caller passes the observation
// on to other VMs if it is new.
func (r *Registry) ObserveRestart(t *forward.Target, now time.Duration) (Observation, bool) {
	o := Observation{ID: t.ID, Token: t.Token}
	return o, r.ApplyObservation(o, now)
}

// ApplyObservation applies an observation of this or another VM. It reports whether it was newer than the
// last one.
func (r *Registry) ApplyObservation(observation Observation, now time.Duration) bool {
	inc := r.targets[observation.ID]
	if inc == nil || inc.token != observation.Token {
		return false
	}
	at := now - observation.Age
	if inc.observed {
		newer := at > inc.observedAt
		if inc.exited == observation.Ended {
			newer = at > inc.observedAt+minObservationGap
		}
		if !newer {
			return false
		}
	}
	inc.observed, inc.exited, inc.observedAt, r.changed = true, observation.Ended, at, true
	inc.lostFrom = at
	if r.FreshUntil() < at || r.restoredAt > 0 && at < r.restoredAt+rewriteTime {
		// The target may have drained after the snapshot became stale, or its notice of the drain was lost with the store's
		// history and is not written again yet.
		inc.lostFrom += forward.DrainExitDelay
	}
	return true
}

// Observations returns the newest observations of the targets that have an entry.
func (r *Registry) Observations(now time.Duration) []Observation {
	var all []Observation
	for _, inc := range r.targets {
		if inc.observed && !inc.removed {
			all = append(all, Observation{ID: inc.id, Token: inc.token, Ended: inc.exited, Age: now - inc.observedAt})
		}
	}
	return all
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
