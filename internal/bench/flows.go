package bench

import "fmt"

// flowFigures counts broken flows under planned changes, when a zone is taken out and when a VM is killed.
func flowFigures(runner *Runner) ([]Figure, error) {
	own, base, err := runner.Pair(PlannedChanges, HashAlone)
	if err != nil {
		return nil, err
	}
	kill, baseKill, err := runner.Pair(VMKilled, HashAlone)
	if err != nil {
		return nil, err
	}
	zone, baseZone, err := runner.Pair(ZoneOutInRandstad, HashAlone)
	if err != nil {
		return nil, err
	}
	more, baseMore, err := runner.Pair(PlannedChangesMoreFlows, HashAlone)
	if err != nil {
		return nil, err
	}
	return []Figure{
		atMost("planned-broken-flows", "flows", 0, float64(own.Broken)).
			withBaseline(HashAlone.Name, float64(base.Broken)).
			withNote(fmt.Sprintf("of %d flows; all VMs replaced, a target drained, two joined, weight and contract changed", own.Flows)),
		atMost("planned-broken-flows-more-flows", "flows", 0, float64(more.Broken)).
			withBaseline(HashAlone.Name, float64(baseMore.Broken)).
			withNote(fmt.Sprintf("of %d flows; the same changes", more.Flows)),
		atMost("zone-move-broken-flows", "flows", 0, float64(zone.BrokenOutsideZone)).
			withBaseline(HashAlone.Name, float64(baseZone.BrokenOutsideZone)).
			withNote(fmt.Sprintf("of %d flows on targets outside the zone; of all %d flows, %d moved or went silent more than permitted, %s %d",
				zone.FlowsOutsideZone, zone.Flows, zone.Broken, HashAlone.Name, baseZone.Broken)),
		atMost("kill-broken-flows-seen", "flows", 0, float64(kill.BrokenSeenElsewhere)).
			withBaseline(HashAlone.Name, float64(baseKill.BrokenSeenElsewhere)).
			withNote(fmt.Sprintf("of %d flows with a packet seen by another VM", kill.FlowsSeenElsewhere)),
		unbounded("kill-broken-flows-rest", "flows", float64(kill.BrokenNotSeenElsewhere)).
			withBaseline(HashAlone.Name, float64(baseKill.BrokenNotSeenElsewhere)).
			withNote(fmt.Sprintf("of %d flows whose packets only the killed VM received", kill.FlowsNotSeenElsewhere)),
	}, nil
}
