package bench

import (
	"fmt"

	"github.com/mangoweir/mangoweir/core"
)

// balanceFigures measures how unevenly requests spread over equal warm targets.
func balanceFigures(runner *Runner) ([]Figure, error) {
	var list []Figure
	for _, x := range []struct {
		name     string
		scenario Scenario
	}{{"imbalance-randstad", SteadyRandstad}, {"imbalance-sfax", SteadySfax}} {
		own, base, err := runner.Pair(x.scenario, HashAlone)
		if err != nil {
			return nil, err
		}
		list = append(list, atMost(x.name, "max/mean", 1.10, own.MaxOverMean).
			withBaseline(HashAlone.Name, base.MaxOverMean).
			withNote(fmt.Sprintf("coefficient of variation %.3f; %s %.3f", own.CV, HashAlone.Name, base.CV)))
	}
	return list, nil
}

// coldFigures counts the requests at cold targets above their limit.
func coldFigures(runner *Runner) ([]Figure, error) {
	var list []Figure
	for _, x := range []struct {
		name     string
		scenario Scenario
	}{{"cold-over-bound-joined", ColdJoin}, {"cold-over-bound-restarted", ColdRestart}} {
		own, base, err := runner.Pair(x.scenario, HashAlone)
		if err != nil {
			return nil, err
		}
		list = append(list, atMost(x.name, "requests", 0, float64(own.ColdOverruns)).
			withBaseline(HashAlone.Name, float64(base.ColdOverruns)).
			withNote(fmt.Sprintf("peak in flight %.1f times the bound; %s %.1f", own.Meter.ColdPeak,
				HashAlone.Name, base.Meter.ColdPeak)))
	}
	return list, nil
}

// zoneFigures measures the goodput while a zone is taken out and back in.
func zoneFigures(runner *Runner) ([]Figure, error) {
	var list []Figure
	for _, x := range []struct {
		name     string
		scenario Scenario
	}{{"randstad", ZoneOutInRandstad}, {"sfax", ZoneOutInSfax}} {
		own, base, err := runner.Pair(x.scenario, HashAlone)
		if err != nil {
			return nil, err
		}
		list = append(list,
			atLeast("zone-goodput-feeds-"+x.name, "%", 99.9, 100*own.FeedGoodput).
				withBaseline(HashAlone.Name, 100*base.FeedGoodput).withNote("seconds in which a feed was live"),
			atLeast("zone-goodput-postings-"+x.name, "%", 99.9, 100*own.PostingGoodput).
				withBaseline(HashAlone.Name, 100*base.PostingGoodput).withNote(own.postingNote()))
	}
	return list, nil
}

// postingNote returns how many postings of the whole run were not answered, by reason.
func (o *Outcome) postingNote() string {
	const c = core.ClassPosting
	return fmt.Sprintf("of %d offered, %d outcome unknown, %d given up after refusals, %d timed out",
		o.Stats.Offered[c], o.Stats.Unknown[c], o.Stats.GaveUp[c], o.Stats.TimedOut[c])
}
