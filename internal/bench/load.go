package bench

import (
	"fmt"

	"github.com/mangoweir/mangoweir/core"
)

// balanceFigures measures the imbalance over equal warm targets.
func balanceFigures(e *Runner) ([]Figure, error) {
	var list []Figure
	for _, x := range []struct {
		name string
		s    Scenario
	}{{"imbalance-randstad", SteadyRandstad}, {"imbalance-sfax", SteadySfax}} {
		own, base, err := e.Pair(x.s, HashAlone)
		if err != nil {
			return nil, err
		}
		list = append(list, atMost(x.name, "max/mean", 1.10, own.MaxOverMean).
			against(HashAlone.Name, base.MaxOverMean).
			noted(fmt.Sprintf("coefficient of variation %.3f; %s %.3f", own.CV, HashAlone.Name, base.CV)))
	}
	return list, nil
}

// coldFigures measures the work at cold targets.
func coldFigures(e *Runner) ([]Figure, error) {
	var list []Figure
	for _, x := range []struct {
		name string
		s    Scenario
	}{{"cold-over-bound-joined", ColdJoin}, {"cold-over-bound-restarted", ColdRestart}} {
		own, base, err := e.Pair(x.s, HashAlone)
		if err != nil {
			return nil, err
		}
		list = append(list, atMost(x.name, "requests", 0, float64(own.ColdOverruns)).
			against(HashAlone.Name, float64(base.ColdOverruns)).
			noted(fmt.Sprintf("peak in flight %.1f times the bound; %s %.1f", own.Meter.ColdPeak,
				HashAlone.Name, base.Meter.ColdPeak)))
	}
	return list, nil
}

// zoneFigures measures the goodput while a zone leaves and returns.
func zoneFigures(e *Runner) ([]Figure, error) {
	var list []Figure
	for _, x := range []struct {
		name string
		s    Scenario
	}{{"randstad", ZoneOutInRandstad}, {"sfax", ZoneOutInSfax}} {
		own, base, err := e.Pair(x.s, HashAlone)
		if err != nil {
			return nil, err
		}
		list = append(list,
			atLeast("zone-goodput-feeds-"+x.name, "%", 99.9, 100*own.FeedGoodput).
				against(HashAlone.Name, 100*base.FeedGoodput).noted("seconds in which a feed was live"),
			atLeast("zone-goodput-postings-"+x.name, "%", 99.9, 100*own.PostingGoodput).
				against(HashAlone.Name, 100*base.PostingGoodput).noted(own.postingNote()))
	}
	return list, nil
}

// postingNote says how the postings of the whole run ended that were not answered.
func (o *Outcome) postingNote() string {
	const c = core.ClassPosting
	return fmt.Sprintf("of %d offered, %d outcome unknown, %d given up after refusals, %d timed out",
		o.Stats.Offered[c], o.Stats.Unknown[c], o.Stats.GaveUp[c], o.Stats.TimedOut[c])
}
