package forward

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a cold target that gets more new flows within a second than its limit, over all VMs of its
// zone together, however the flows are spread over the VMs.
func TestColdBudgetHoldsOverAllVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 8).Draw(t, "vms")
		limit := float64(rapid.IntRange(1, 40).Draw(t, "limit"))
		snapshot := testSnapshot(0)
		s := snapshot.service()
		cold := testTarget(zoneA, 1)
		s.Cold, s.ColdLimit = []*Target{cold}, limit
		snapshot.Targets[cold.Token] = cold
		snapshot.ZoneVMs = vms
		forwarders := make([]*Forwarder, vms)
		for i := range forwarders {
			forwarders[i] = testForwarder(snapshot)
		}
		var placed []time.Duration
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 400).Draw(t, "flows") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond
			vm := rapid.IntRange(0, vms-1).Draw(t, "vm")
			if forwarders[vm].Handle(syn(testFlow(i), 0), now).Action == Forward {
				placed = append(placed, now)
			}
		}
		for i := range placed {
			n := 0
			for j := i; j < len(placed) && placed[j] < placed[i]+time.Second; j++ {
				n++
			}
			if float64(n) > limit {
				t.Fatalf("%d new flows within a second, more than the target's limit of %.0f", n, limit)
			}
		}
	})
}
