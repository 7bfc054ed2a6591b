package registry

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

// observationSkew is the least time between two observations of the same kind that are not one and the same:
// an observation grows younger by the delay of each message that carries it, some milliseconds as a rule.
const observationSkew = 500 * time.Millisecond

// Observation is what a VM saw of a target without the store, as VMs tell it to each other.
type Observation struct {
	ID    string
	Token forward.Token
	// Ended is true when the target's process was seen to have ended, false when it was seen to be back
	// after that.
	Ended bool
	// Age is the time since it was seen.
	Age time.Duration
}

// ObserveConnection records whether the machine of a target refused a connection of this VM. It reports whether
// that changes what is known; the observation is then to be passed on.
func (r *Registry) ObserveConnection(t *forward.Target, refused bool, now time.Duration) (Observation, bool) {
	o := Observation{ID: t.ID, Token: t.Token, Ended: refused}
	e := r.targets[t.ID]
	return o, e != nil && e.exited != refused && r.ApplyObservation(o, now)
}

// ApplyObservation takes over what a VM saw. It reports whether that is news.
func (r *Registry) ApplyObservation(o Observation, now time.Duration) bool {
	e := r.targets[o.ID]
	if e == nil || e.token != o.Token {
		return false
	}
	at := now - o.Age
	if e.observed {
		newer := at > e.observedAt
		if e.exited == o.Ended {
			newer = at > e.observedAt+observationSkew
		}
		if !newer {
			return false
		}
	}
	e.observed, e.exited, e.observedAt, r.dirty = true, o.Ended, at, true
	e.lostFrom = at
	if r.FreshUntil() < at {
		// It may have drained since the view was current.
		e.lostFrom += forward.DrainExitDelay
	}
	return true
}

// Observations returns what was observed of present targets.
func (r *Registry) Observations(now time.Duration) []Observation {
	var all []Observation
	for _, e := range r.targets {
		if e.observed && !e.removed {
			all = append(all, Observation{ID: e.id, Token: e.token, Ended: e.exited, Age: now - e.observedAt})
		}
	}
	return all
}

// warmAfterReturn returns the end of the cold start of a target that is back, as far as observations tell: a
// process that had ended has started anew, and the store may not say so for some time.
func (r *Registry) warmAfterReturn(e *entry) time.Duration {
	if !e.observed || e.exited || r.config == nil {
		return 0
	}
	i := slices.IndexFunc(r.config.Services, func(s Service) bool { return s.Name == e.target.Service })
	if i < 0 {
		return 0
	}
	return e.observedAt + r.config.Services[i].ColdStart
}
