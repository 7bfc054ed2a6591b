package bench

import "fmt"

// flowFigures measures broken flows under planned changes and when a VM is killed.
func flowFigures(e *Runner) ([]Figure, error) {
	own, base, err := e.Pair(PlannedChanges, HashAlone)
	if err != nil {
		return nil, err
	}
	kill, baseKill, err := e.Pair(VMKilled, HashAlone)
	if err != nil {
		return nil, err
	}
	zone, baseZone, err := e.Pair(ZoneOutInRandstad, HashAlone)
	if err != nil {
		return nil, err
	}
	more, baseMore, err := e.Pair(PlannedChangesMoreFlows, HashAlone)
	if err != nil {
		return nil, err
	}
	return []Figure{
		atMost("planned-broken-flows", "flows", 0, float64(own.Broken)).
			against(HashAlone.Name, float64(base.Broken)).
			noted(fmt.Sprintf("of %d flows; all VMs replaced, a target drained, two joined, weight and contract changed", own.Flows)),
		atMost("planned-broken-flows-more-flows", "flows", 0, float64(more.Broken)).
			against(HashAlone.Name, float64(baseMore.Broken)).
			noted(fmt.Sprintf("of %d flows; the same changes", more.Flows)),
		atMost("zone-move-broken-flows", "flows", 0, float64(zone.BrokenOutsideZone)).
			against(HashAlone.Name, float64(baseZone.BrokenOutsideZone)).
			noted(fmt.Sprintf("of %d flows on targets outside the zone; of all %d flows, %d moved or went silent more than permitted, %s %d",
				zone.FlowsOutsideZone, zone.Flows, zone.Broken, HashAlone.Name, baseZone.Broken)),
		atMost("kill-broken-flows-seen", "flows", 0, float64(kill.BrokenSeenElsewhere)).
			against(HashAlone.Name, float64(baseKill.BrokenSeenElsewhere)).
			noted(fmt.Sprintf("of %d flows with a packet seen by another VM", kill.FlowsSeenElsewhere)),
		stated("kill-broken-flows-rest", "flows", float64(kill.BrokenNotSeenElsewhere)).
			against(HashAlone.Name, float64(baseKill.BrokenNotSeenElsewhere)).
			noted(fmt.Sprintf("of %d flows whose packets only the killed VM got", kill.FlowsNotSeenElsewhere)),
	}, nil
}
