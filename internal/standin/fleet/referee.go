package fleet

import (
	"fmt"
	"sync"
	"time"
)

// Bounds of the users' rules, as today's settings have them.
const (
	DrainBound    = 3 * time.Second
	EvacuateBound = 5 * time.Second
	ConfigBound   = 3 * time.Second
	// StabilityWindow is how long nothing must have been wrong before the bounds hold.
	StabilityWindow = 4 * time.Second
	// slack covers what this machine adds while it is busy.
	slack = 300 * time.Millisecond
)

// Violation is a broken rule.
type Violation struct {
	At     time.Duration
	Rule   string
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%7.3f s  %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Checker notes what clients and targets see. It may be used by several goroutines.
type Checker struct {
	start time.Time

	mu         sync.Mutex
	violations []Violation
	runs       map[string]string
	disturbed  time.Time
	// outcomes counts finished requests by second and outcome.
	outcomes map[int]map[string]int
}

// NewChecker returns a Referee whose clock starts now.
func NewChecker() *Checker {
	return &Checker{start: time.Now(), runs: map[string]string{}, outcomes: map[int]map[string]int{}}
}

// Now returns the time since the start.
func (r *Checker) Now() time.Duration { return time.Since(r.start) }

// SuspendBounds records that something unplanned is wrong until the given time, so that time bounds do not
// hold for a while.
func (r *Checker) SuspendBounds(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.disturbed) {
		r.disturbed = until
	}
}

// calmSince reports whether nothing unplanned was wrong in the stability window before a moment.
func (r *Checker) calmSince(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return at.Sub(r.disturbed) > StabilityWindow
}

// note records a broken rule.
func (r *Checker) note(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, Violation{At: time.Since(r.start), Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// Violations returns the broken rules so far.
func (r *Checker) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.violations...)
}

// ran records that a target ran a request.
func (r *Checker) ran(id, target string, idempotent bool) {
	r.mu.Lock()
	before, twice := r.runs[id]
	r.runs[id] = target
	r.mu.Unlock()
	if twice && !idempotent {
		r.note("ONCE", "request %s ran at %s and at %s", id, before, target)
	}
}

// finished records the outcome of a request.
func (r *Checker) finished(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(time.Since(r.start) / time.Second)
	if r.outcomes[second] == nil {
		r.outcomes[second] = map[string]int{}
	}
	r.outcomes[second][outcome]++
}

// Outcomes returns the number of requests that finished from one second to another, by outcome.
func (r *Checker) Outcomes(from, to int) map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := map[string]int{}
	for second, counts := range r.outcomes {
		if second >= from && second < to {
			for outcome, n := range counts {
				sum[outcome] += n
			}
		}
	}
	return sum
}
