package bench

import "fmt"

// flowFigures measures broken flows under planned changes and when a VM is killed.
func flowFigures(e *Env) ([]Figure, error) {
	own, base, err := e.Pair(Planned, HashAlone)
	if err != nil {
		return nil, err
	}
	kill, baseKill, err := e.Pair(Killed, HashAlone)
	if err != nil {
		return nil, err
	}
	zone, baseZone, err := e.Pair(ZoneMove, HashAlone)
	if err != nil {
		return nil, err
	}
	return []Figure{
		atMost("planned-broken-flows", "flows", 0, float64(own.Broken)).
			against(HashAlone.Name, float64(base.Broken)).
			noted(fmt.Sprintf("of %d flows; all VMs replaced, a target drained, two joined, weight and contract changed", own.Flows)),
		atMost("zone-move-broken-flows", "flows", 0, float64(zone.OtherBroken)).
			against(HashAlone.Name, float64(baseZone.OtherBroken)).
			noted(fmt.Sprintf("of %d flows on targets outside the zone; of all %d flows, %d moved or went silent more than permitted, %s %d",
				zone.OtherFlows, zone.Flows, zone.Broken, HashAlone.Name, baseZone.Broken)),
		atMost("kill-broken-flows-seen", "flows", 0, float64(kill.SeenBroken)).
			against(HashAlone.Name, float64(baseKill.SeenBroken)).
			noted(fmt.Sprintf("of %d flows with a packet seen by another VM", kill.SeenFlows)),
		stated("kill-broken-flows-rest", "flows", float64(kill.RestBroken)).
			against(HashAlone.Name, float64(baseKill.RestBroken)).
			noted(fmt.Sprintf("of %d flows whose packets only the killed VM got", kill.RestFlows)),
	}, nil
}
