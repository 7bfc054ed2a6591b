package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"
)

// parallelScenarios bounds the scenarios that run at a time; each has its own World and takes one
// core and up to 200 MB.
const parallelScenarios = 3

// Runner runs scenarios, each at most once per variant.
type Runner struct {
	Seed uint64

	mu       sync.Mutex
	outcomes map[runKey]*run
}

// runKey identifies a scenario on a decision core.
type runKey struct{ scenario, variant string }

// run is one run of a scenario.
type run struct {
	once    sync.Once
	outcome *Outcome
	err     error
}

// NewRunner returns an environment whose scenarios use the given seed.
func NewRunner(seed uint64) *Runner { return &Runner{Seed: seed, outcomes: map[runKey]*run{}} }

// Outcome runs a scenario on a variant, or returns the outcome of its earlier run.
func (e *Runner) Outcome(s Scenario, v Variant) (*Outcome, error) {
	key := runKey{s.Name, v.Name}
	e.mu.Lock()
	r := e.outcomes[key]
	if r == nil {
		r = &run{}
		e.outcomes[key] = r
	}
	e.mu.Unlock()
	r.once.Do(func() { r.outcome, r.err = guarded(s, v, e.Seed) })
	return r.outcome, r.err
}

// guarded runs a scenario and turns a panic of the driver into an error.
func guarded(s Scenario, v Variant, seed uint64) (out *Outcome, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("scenario %q on %q could not run: %v", s.Name, v.Name, p)
		}
	}()
	return s.Run(v, seed), nil
}

// Violations returns the broken promises of the project's core in all scenarios that ran, at most
// limit for each.
func (e *Runner) Violations(limit int) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []string
	for _, key := range slices.SortedFunc(maps.Keys(e.outcomes), func(a, b runKey) int { return strings.Compare(a.scenario, b.scenario) }) {
		r := e.outcomes[key]
		if key.variant != Mangoweir.Name || r.outcome == nil {
			continue
		}
		for i, v := range r.outcome.Stats.Violations {
			if i < limit {
				list = append(list, key.scenario+": "+strings.TrimSpace(v))
			}
		}
	}
	return list
}

// Pair runs a scenario on the project's core and on a baseline.
func (e *Runner) Pair(s Scenario, base Variant) (own, other *Outcome, err error) {
	if own, err = e.Outcome(s, Mangoweir); err != nil {
		return nil, nil, err
	}
	other, err = e.Outcome(s, base)
	return own, other, err
}

// Prefetch runs scenarios on variants, several at a time.
func (e *Runner) Prefetch(scenarios []Scenario, variants []Variant) error {
	var g errgroup.Group
	g.SetLimit(parallelScenarios)
	for _, s := range scenarios {
		for _, v := range variants {
			g.Go(func() error {
				_, err := e.Outcome(s, v)
				return err
			})
		}
	}
	return g.Wait()
}
