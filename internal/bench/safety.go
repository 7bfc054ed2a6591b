package bench

import (
	"fmt"

	"github.com/mangoweir/mangoweir/internal/coretest"
)

// safetyCount is a kind of safety violation: the name of its figure and its counter.
type safetyCount struct {
	name  string
	count func(*coretest.Stats) uint64
}

var safetyCounts = []safetyCount{
	{"doubled-requests", func(s *coretest.Stats) uint64 { return s.DuplicateRuns }},
	{"wrong-answers", func(s *coretest.Stats) uint64 { return s.WrongAnswers }},
	{"untrue-not-run", func(s *coretest.Stats) uint64 { return s.WrongNotRun }},
	{"wrong-service-packets", func(s *coretest.Stats) uint64 { return s.WrongService }},
	{"zone-out-packets", func(s *coretest.Stats) uint64 { return s.ZoneOutPackets }},
	{"leaving-target-new-work", func(s *coretest.Stats) uint64 { return s.DrainingTargetFlows }},
}

// safetyFigures counts safety violations over all scenarios with changes and faults.
func safetyFigures(runner *Runner) ([]Figure, error) {
	own := make([]uint64, len(safetyCounts))
	base := make([]uint64, len(safetyCounts))
	var panics uint64
	firstPanic := ""
	for _, s := range SafetyScenarios {
		o, b, err := runner.Pair(s, HashAlone)
		if err != nil {
			return nil, err
		}
		for i, c := range safetyCounts {
			own[i] += c.count(&o.Stats)
			base[i] += c.count(&b.Stats)
		}
		panics += o.Meter.Panics
		if firstPanic == "" {
			firstPanic = o.Meter.FirstPanic
		}
	}
	var list []Figure
	for i, c := range safetyCounts {
		list = append(list, atMost(c.name, "", 0, float64(own[i])).
			withBaseline(HashAlone.Name, float64(base[i])).
			withNote(fmt.Sprintf("sum over %d scenarios", len(SafetyScenarios))))
	}
	list = append(list, atMost("core-panics", "", 0, float64(panics)).withBaseline(HashAlone.Name, 0).withNote(firstPanic))
	return list, nil
}
