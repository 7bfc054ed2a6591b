package bench

import (
	"fmt"
	"io"
	"slices"

	"github.com/spf13/cobra"
)

// Group is a set of figures that one function measures.
type Group struct {
	Name    string
	Figures []string
	// Scenarios run on the project's core and on the baseline before Measure is called, several at a time.
	Scenarios []Scenario
	Measure   func(*Runner) ([]Figure, error)
}

// Groups returns the groups of the design page's figures. Timings come first, so that scenarios do not use
// the processor cores at the same time.
func Groups() []Group {
	return []Group{
		{"core", []string{"route-time", "route-allocations", "flow-state", "flow-state-with-feed"}, nil, microFigures},
		{"flows", []string{"planned-broken-flows", "planned-broken-flows-more-flows", "zone-move-broken-flows", "kill-broken-flows-seen", "kill-broken-flows-rest"},
			[]Scenario{PlannedChangesMoreFlows, PlannedChanges, VMKilled, ZoneOutInRandstad}, flowFigures},
		{"safety", []string{"doubled-requests", "wrong-answers", "untrue-not-run", "wrong-service-packets",
			"zone-out-packets", "leaving-target-new-work", "core-panics"}, SafetyScenarios, safetyFigures},
		{"balance", []string{"imbalance-randstad", "imbalance-sfax"}, []Scenario{SteadySfax, SteadyRandstad}, balanceFigures},
		{"cold", []string{"cold-over-bound-joined", "cold-over-bound-restarted"},
			[]Scenario{ColdJoin, ColdRestart}, coldFigures},
		{"zone", []string{"zone-goodput-feeds-randstad", "zone-goodput-postings-randstad",
			"zone-goodput-feeds-sfax", "zone-goodput-postings-sfax"}, []Scenario{ZoneOutInRandstad, ZoneOutInSfax}, zoneFigures},
		{"control", []string{"config-in-force", "control-bytes", "control-bytes-more-flows"},
			[]Scenario{ConfigInForce, PlannedChanges, PlannedChangesMoreFlows}, controlFigures},
	}
}

// ComparisonGroup is a table that compares variants of one design decision.
type ComparisonGroup struct {
	Name    string
	Measure func(*Runner) ([]Comparison, error)
}

// ComparisonGroups returns the tables that compare variants.
func ComparisonGroups() []ComparisonGroup {
	return []ComparisonGroup{
		{"state", stateTable},
		{"variants", variantTable},
		{"virtual-nodes", virtualNodeTable},
		{"hot-target", hotTargetTable},
		{"forwarding", forwardingTable},
	}
}

// Names returns the names of all groups, figures and tables. Each can be measured alone.
func Names() []string {
	var names []string
	for _, g := range Groups() {
		names = append(names, g.Name)
		names = append(names, g.Figures...)
	}
	for _, c := range ComparisonGroups() {
		names = append(names, c.Name)
	}
	return names
}

// Options selects what to measure.
type Options struct {
	// Seed is the seed of all scenarios.
	Seed uint64
	// Only is the name of one figure, group or table; empty means all of them.
	Only string
	// Violations is the maximum number of safety violations to describe per scenario; default 0.
	Violations int
}

// Measure measures what the options select. It returns an error when Only is unknown or a measurement could
// not run.
func Measure(o Options) (*Report, error) {
	only := o.Only
	if only != "" && !slices.Contains(Names(), only) {
		return nil, fmt.Errorf("unknown figure, group or table %q; use one of %v", only, Names())
	}
	runner := NewRunner(o.Seed)
	report := &Report{Seed: o.Seed}
	for _, g := range Groups() {
		if only != "" && only != g.Name && !slices.Contains(g.Figures, only) {
			continue
		}
		if err := runner.Prefetch(g.Scenarios, []Variant{HashAlone, Mangoweir}); err != nil {
			return nil, err
		}
		list, err := g.Measure(runner)
		if err != nil {
			return nil, err
		}
		for _, f := range list {
			if only == "" || only == g.Name || only == f.Name {
				report.Figures = append(report.Figures, f)
			}
		}
	}
	for _, c := range ComparisonGroups() {
		if only != "" && only != c.Name {
			continue
		}
		list, err := c.Measure(runner)
		if err != nil {
			return nil, err
		}
		report.Comparisons = append(report.Comparisons, list...)
	}
	report.Violations = runner.Violations(o.Violations)
	return report, nil
}

// Run runs the bench command and returns its exit code: 0 when everything was measured, even
// when figures miss their bounds, and 1 when a measurement could not run.
func Run(args []string, stdout, stderr io.Writer) int {
	var o Options
	var asJSON bool
	cmd := &cobra.Command{
		Use:           "bench",
		Short:         "Measure the figures of section 1.5 of the design page",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			r, err := Measure(o)
			if err != nil {
				return err
			}
			if asJSON {
				return r.JSON(stdout)
			}
			return r.Text(stdout)
		},
	}
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the scenarios")
	cmd.Flags().StringVar(&o.Only, "only", "", "measure one figure, group or table")
	cmd.Flags().IntVar(&o.Violations, "violations", 0, "describe at most this many broken promises per scenario")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON document")
	cmd.SetArgs(args)
	cmd.SetOut(stdout)
	cmd.SetErr(stderr)
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(stderr, "bench:", err)
		return 1
	}
	return 0
}
