package bench

// variantScenarios lists the scenarios on which all variants are compared.
var variantScenarios = []Scenario{PlannedChanges, VMKilled, Faults, ColdJoin, SteadyRandstad}

// variantMeasure is one line of the table of variants.
type variantMeasure struct {
	scenario Scenario
	measure  string
	unit     string
	value    func(*Outcome) float64
}

const (
	topicFlows   = "Assigning flows to targets (design 4.1)"
	topicLimits  = "Admission limits across VMs (design 4.2)"
	topicRecords = "Request records (design 4.3)"
)

// variantTable compares all variants on the same scenarios and seeds.
func variantTable(runner *Runner) ([]Comparison, error) {
	if err := runner.Prefetch(variantScenarios, Variants); err != nil {
		return nil, err
	}
	var list []Comparison
	for _, t := range []struct {
		topic    string
		measures []variantMeasure
	}{{topicFlows, flowMeasures}, {topicLimits, limitMeasures}, {topicRecords, recordMeasures}} {
		for _, m := range t.measures {
			c := Comparison{Topic: t.topic, Measure: m.scenario.Name + ": " + m.measure, Unit: m.unit}
			for _, v := range Variants {
				o, err := runner.Outcome(m.scenario, v)
				if err != nil {
					return nil, err
				}
				c.Results = append(c.Results, Result{v.Name, m.value(o)})
			}
			list = append(list, c)
		}
	}
	return list, nil
}

var flowMeasures = []variantMeasure{
	{PlannedChanges, "broken flows", "flows", func(o *Outcome) float64 { return float64(o.Broken) }},
	{PlannedChanges, "control traffic of the busiest VM", "B/s", func(o *Outcome) float64 { return o.ControlMean }},
	{PlannedChanges, "messages between VMs per request sent to a target", "", forwardsPerRequest},
	{SteadyRandstad, "messages between VMs per request sent to a target", "", forwardsPerRequest},
	{VMKilled, "broken flows", "flows", func(o *Outcome) float64 { return float64(o.BrokenSeenElsewhere + o.BrokenNotSeenElsewhere) }},
}

var limitMeasures = []variantMeasure{
	{ColdJoin, "peak in flight at a cold target", "times its bound", func(o *Outcome) float64 { return o.Meter.ColdPeak }},
	{ColdJoin, "requests at a cold target above its bound", "", func(o *Outcome) float64 { return float64(o.ColdOverruns) }},
	{SteadyRandstad, "refusals while the flow's target had a free slot", "", func(o *Outcome) float64 { return float64(o.Meter.RefusedWithFreeSlot) }},
	{SteadyRandstad, "refusals", "", func(o *Outcome) float64 { return float64(o.Meter.Refused) }},
	{SteadyRandstad, "imbalance, max over mean", "", func(o *Outcome) float64 { return o.MaxOverMean }},
	{SteadyRandstad, "imbalance, coefficient of variation", "", func(o *Outcome) float64 { return o.CV }},
}

var recordMeasures = []variantMeasure{
	{PlannedChanges, "doubled requests", "", func(o *Outcome) float64 { return float64(o.Stats.DuplicateRuns) }},
	{PlannedChanges, "untrue \"not run\"", "", func(o *Outcome) float64 { return float64(o.Stats.WrongNotRun) }},
	{Faults, "doubled requests", "", func(o *Outcome) float64 { return float64(o.Stats.DuplicateRuns) }},
	{Faults, "untrue \"not run\"", "", func(o *Outcome) float64 { return float64(o.Stats.WrongNotRun) }},
	{VMKilled, "doubled requests", "", func(o *Outcome) float64 { return float64(o.Stats.DuplicateRuns) }},
	{VMKilled, "untrue \"not run\"", "", func(o *Outcome) float64 { return float64(o.Stats.WrongNotRun) }},
}

// forwardsPerRequest returns the number of requests forwarded between VMs per request sent to a target.
func forwardsPerRequest(o *Outcome) float64 {
	if o.Meter.Sent == 0 {
		return 0
	}
	return float64(o.Meter.Forwards) / float64(o.Meter.Sent)
}
