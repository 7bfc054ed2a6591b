package fleet

import (
	"fmt"
	"sync"
	"time"
)

// Time bounds of the users' rules, with the present settings.
const (
	DrainBound    = 3 * time.Second
	EvacuateBound = 5 * time.Second
	ConfigBound   = 3 * time.Second
	// StabilityWindow is the time without unplanned faults after which the time bounds apply.
	StabilityWindow = 4 * time.Second
	// tolerance is added to the time bounds, because the machine may be busy.
	tolerance = 300 * time.Millisecond
)

// Violation is a violation of a rule.
type Violation struct {
	At     time.Duration
	Rule   string
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%7.3f s  %s: %s", v.At.Seconds(), v.Rule, v.Detail)
}

// Checker records the observations of clients and targets. It is safe for concurrent use.
type Checker struct {
	start time.Time

	mu         sync.Mutex
	violations []Violation
	// executedBy contains the target that ran each request, by the request's id.
	executedBy     map[string]string
	suspendedUntil time.Time
	// outcomes counts finished requests by second and outcome.
	outcomes map[int]map[string]int
}

// NewChecker returns a Checker whose clock starts now.
func NewChecker() *Checker {
	return &Checker{start: time.Now(), executedBy: map[string]string{}, outcomes: map[int]map[string]int{}}
}

// Now returns the time since the start.
func (c *Checker) Now() time.Duration { return time.Since(c.start) }

// SuspendBounds records an unplanned fault that lasts until the given time. The time bounds apply again
// StabilityWindow later.
func (c *Checker) SuspendBounds(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.suspendedUntil) {
		c.suspendedUntil = until
	}
}

// stableAt reports whether there was no unplanned fault in the StabilityWindow before a time.
func (c *Checker) stableAt(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at.Sub(c.suspendedUntil) > StabilityWindow
}

// addViolation records a violation of a rule.
func (c *Checker) addViolation(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, Violation{At: time.Since(c.start), Rule: rule, Detail: fmt.Sprintf(format, args...)})
}

// Violations returns the violations so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

// recordExecution records that a target ran a request. It is a violation if a request that is not idempotent
// runs twice.
func (c *Checker) recordExecution(id, target string, idempotent bool) {
	c.mu.Lock()
	previous, twice := c.executedBy[id]
	c.executedBy[id] = target
	c.mu.Unlock()
	if twice && !idempotent {
		c.addViolation("ONCE", "request %s ran at %s and at %s", id, previous, target)
	}
}

// recordOutcome records the outcome of a request.
func (c *Checker) recordOutcome(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	second := int(time.Since(c.start) / time.Second)
	if c.outcomes[second] == nil {
		c.outcomes[second] = map[string]int{}
	}
	c.outcomes[second][outcome]++
}

// Outcomes returns the number of requests by outcome that finished at or after second from and before second to,
// counted from the start.
func (c *Checker) Outcomes(from, to int) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := map[string]int{}
	for second, counts := range c.outcomes {
		if second >= from && second < to {
			for outcome, n := range counts {
				sum[outcome] += n
			}
		}
	}
	return sum
}
