package bench

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"
)

// maxParallelScenarios limits the scenarios that run at the same time. Each has its own cluster and uses one
// processor core and up to 200 MB.
const maxParallelScenarios = 3

// Runner runs scenarios, each at most once per variant, and keeps their outcomes. Outcome may be called
// concurrently.
type Runner struct {
	Seed uint64

	mu       sync.Mutex
	outcomes map[runKey]*run
}

// runKey identifies a scenario that runs on a variant.
type runKey struct{ scenario, variant string }

// run is one run of a scenario on a variant.
type run struct {
	once    sync.Once
	outcome *Outcome
	err     error
}

// NewRunner returns a runner whose scenarios use the given seed.
func NewRunner(seed uint64) *Runner { return &Runner{Seed: seed, outcomes: map[runKey]*run{}} }

// Outcome runs a scenario on a variant, or returns the outcome of its earlier run.
func (r *Runner) Outcome(s Scenario, v Variant) (*Outcome, error) {
	key := runKey{s.Name, v.Name}
	r.mu.Lock()
	entry := r.outcomes[key]
	if entry == nil {
		entry = &run{}
		r.outcomes[key] = entry
	}
	r.mu.Unlock()
	entry.once.Do(func() { entry.outcome, entry.err = runScenario(s, v, r.Seed) })
	return entry.outcome, entry.err
}

// runScenario runs a scenario and returns an error when its driver panics.
func runScenario(s Scenario, v Variant, seed uint64) (out *Outcome, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("scenario %q panicked on variant %q: %v", s.Name, v.Name, p)
		}
	}()
	return s.Run(v, seed), nil
}

// Violations returns descriptions of the safety violations of the project's core in all scenarios that ran,
// at most limit for each.
func (r *Runner) Violations(limit int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []string
	for _, key := range slices.SortedFunc(maps.Keys(r.outcomes), func(a, b runKey) int { return strings.Compare(a.scenario, b.scenario) }) {
		entry := r.outcomes[key]
		if key.variant != Mangoweir.Name || entry.outcome == nil {
			continue
		}
		for i, v := range entry.outcome.Stats.Violations {
			if i < limit {
				list = append(list, key.scenario+": "+strings.TrimSpace(v))
			}
		}
	}
	return list
}

// Pair returns the outcomes of a scenario on the project's core and on a baseline.
func (r *Runner) Pair(s Scenario, base Variant) (own, other *Outcome, err error) {
	if own, err = r.Outcome(s, Mangoweir); err != nil {
		return nil, nil, err
	}
	other, err = r.Outcome(s, base)
	return own, other, err
}

// Prefetch runs each scenario on each variant, several at a time, so that Outcome returns at once later.
func (r *Runner) Prefetch(scenarios []Scenario, variants []Variant) error {
	var g errgroup.Group
	g.SetLimit(maxParallelScenarios)
	for _, s := range scenarios {
		for _, v := range variants {
			g.Go(func() error {
				_, err := r.Outcome(s, v)
				return err
			})
		}
	}
	return g.Wait()
}
