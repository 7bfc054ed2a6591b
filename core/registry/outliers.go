package registry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

const (
	// failureHalfLife is the time in which an earlier failure loses half of its weight.
	failureHalfLife = time.Second
	// minFailures is the weight of failures from which on a target may be ejected when half of the targets of its
	// service have none.
	minFailures = 5
	// minRepeatedFailures applies instead to a target that was ejected within ejectionMemory.
	minRepeatedFailures = 3
	// medianFactor is how many times the median of the failures of its service's targets a target must have in
	// addition. Overload, lost packets and flows that routers distribute anew cause failures at all targets.
	medianFactor = 3
	// minEjection is the length of a first ejection. It doubles up to maxEjection each time that the target
	// is ejected again within ejectionMemory after its return.
	minEjection    = 2 * time.Second
	maxEjection    = 8 * time.Second
	ejectionMemory = 10 * time.Second
	// maxEjected is the largest part of a service's targets that are ejected at the same time. The rest has to
	// carry their load.
	maxEjected = 0.25
)

// Ejection takes a target out of placement for some time, because requests to it fail although it accepts flows.
type Ejection struct {
	ID    string
	Token forward.Token
	// Remaining is the rest of the ejection.
	Remaining time.Duration
}

// Outliers finds targets that fail far more requests than the others of their service. A single VM of a large zone
// sees too few flows of a target for that, so the reader of a zone pools the failures that all its VMs observe.
type Outliers struct {
	targets map[forward.Token]*failureHistory
}

// failureHistory is what Outliers keeps about a target.
type failureHistory struct {
	weight    float64
	updatedAt time.Duration
	// until is the end of the last ejection, length its length.
	until, length time.Duration
}

// NewOutliers returns Outliers without failures.
func NewOutliers() *Outliers { return &Outliers{targets: map[forward.Token]*failureHistory{}} }

// Add adds failures that VMs observed.
func (o *Outliers) Add(failures []forward.TargetFailures, now time.Duration) {
	for _, f := range failures {
		h := o.targets[f.Token]
		if h == nil {
			h = &failureHistory{updatedAt: now}
			o.targets[f.Token] = h
		}
		h.decay(now)
		h.weight += float64(f.Count)
	}
}

func (h *failureHistory) decay(now time.Duration) {
	h.weight *= math.Exp2(-float64(now-h.updatedAt) / float64(failureHalfLife))
	h.updatedAt = now
}

// serviceFailures are the failures of a service's targets.
type serviceFailures struct {
	targets, ejected int
	// weights are those of the targets that are not ejected, median is their median.
	weights []float64
	median  float64
}

// failuresByService returns the failures of the targets that may get flows.
func (o *Outliers) failuresByService(snapshot *forward.Snapshot, now time.Duration) map[string]*serviceFailures {
	services := map[string]*serviceFailures{}
	for token, t := range snapshot.Targets {
		if token != t.Token || t.Condition != forward.Ready {
			continue
		}
		s := services[t.Service]
		if s == nil {
			s = &serviceFailures{}
			services[t.Service] = s
		}
		s.targets++
		switch h := o.targets[token]; {
		case h == nil:
			s.weights = append(s.weights, 0)
		case now < h.until:
			s.ejected++
		default:
			h.decay(now)
			s.weights = append(s.weights, h.weight)
		}
	}
	for _, s := range services {
		if n := len(s.weights); n > 0 {
			slices.Sort(s.weights)
			s.median = s.weights[n/2]
		}
	}
	return services
}

// Eject returns the ejections that are due according to the failures so far.
func (o *Outliers) Eject(snapshot *forward.Snapshot, now time.Duration) []Ejection {
	services := o.failuresByService(snapshot, now)
	var ejections []Ejection
	for _, token := range o.byWeight(now) {
		t, h := snapshot.Targets[token], o.targets[token]
		if t == nil || token != t.Token || t.Condition != forward.Ready || now < h.until {
			continue
		}
		s := services[t.Service]
		if !h.outlier(s, now) {
			continue
		}
		s.ejected++
		h.eject(now)
		ejections = append(ejections, Ejection{ID: t.ID, Token: token, Remaining: h.length})
	}
	return ejections
}

// byWeight forgets targets without recent failures or ejections and returns the others, most failures first.
func (o *Outliers) byWeight(now time.Duration) []forward.Token {
	var tokens []forward.Token
	for token, h := range o.targets {
		h.decay(now)
		if h.weight < 0.1 && now > h.until+ejectionMemory {
			delete(o.targets, token)
			continue
		}
		tokens = append(tokens, token)
	}
	slices.SortFunc(tokens, func(a, b forward.Token) int {
		return cmp.Or(cmp.Compare(o.targets[b].weight, o.targets[a].weight), cmp.Compare(a, b))
	})
	return tokens
}

// outlier reports whether a target has so many more failures than the others of its service that it is to be
// ejected.
func (h *failureHistory) outlier(s *serviceFailures, now time.Duration) bool {
	least := float64(minFailures)
	if h.repeated(now) {
		least = minRepeatedFailures
	}
	return h.weight >= least+medianFactor*s.median && float64(s.ejected+1) <= maxEjected*float64(s.targets)
}

// repeated reports whether the target was ejected within ejectionMemory.
func (h *failureHistory) repeated(now time.Duration) bool {
	return h.length > 0 && now < h.until+ejectionMemory
}

func (h *failureHistory) eject(now time.Duration) {
	h.length, h.weight = min(2*h.length, maxEjection), 0
	if !h.repeated(now) || h.length == 0 {
		h.length = minEjection
	}
	h.until = now + h.length
}

// UnreachableEjection is the length of the ejection of a target whose machine refuses connections like all others
// of its zone. It may not have ended, so that its flows go on, but it accepts no new ones.
const UnreachableEjection = minEjection

// minExtension is the shortest extension of an ejection. Ejections are repeated while their cause lasts, and each
// one is sent to all VMs of the zone.
const minExtension = 500 * time.Millisecond

// ApplyEjection takes a target out of placement. It reports whether that changes the target's state.
func (r *Registry) ApplyEjection(e Ejection, now time.Duration) bool {
	// A malformed message of another VM must not take a target out of placement for good.
	e.Remaining = min(e.Remaining, maxEjection)
	inc := r.targets[e.ID]
	if inc == nil || inc.token != e.Token || now+e.Remaining < max(now, inc.ejectedUntil)+minExtension {
		return false
	}
	inc.ejectedUntil, r.changed = now+e.Remaining, true
	return true
}

// Ejections returns the ejections in force.
func (r *Registry) Ejections(now time.Duration) []Ejection {
	var all []Ejection
	for _, inc := range r.targets {
		if now < inc.ejectedUntil {
			all = append(all, Ejection{ID: inc.id, Token: inc.token, Remaining: inc.ejectedUntil - now})
		}
	}
	return all
}
