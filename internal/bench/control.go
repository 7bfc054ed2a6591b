package bench

import (
	"fmt"
	"slices"
	"time"
)

// controlFigures measures the time until a configuration is in force on all VMs, and the control traffic.
func controlFigures(runner *Runner) ([]Figure, error) {
	own, base, err := runner.Pair(ConfigInForce, HashAlone)
	if err != nil {
		return nil, err
	}
	planned, basePlanned, err := runner.Pair(PlannedChanges, HashAlone)
	if err != nil {
		return nil, err
	}
	more, baseMore, err := runner.Pair(PlannedChangesMoreFlows, HashAlone)
	if err != nil {
		return nil, err
	}
	return []Figure{
		atMost("config-in-force", "s", 2, slices.Max(own.ConfigDelays).Seconds()).
			withBaseline(HashAlone.Name, slices.Max(base.ConfigDelays).Seconds()).
			withNote(fmt.Sprintf("longest of %d; median %.2f s; platform reads %.1f/s, %s %.1f/s",
				len(own.ConfigDelays), median(own.ConfigDelays).Seconds(), own.PlatformRate,
				HashAlone.Name, base.PlatformRate)),
		atMost("control-bytes", "B/s", 5000, planned.ControlMean).
			withBaseline(HashAlone.Name, basePlanned.ControlMean).withNote(planned.controlNote(numClients)),
		atMost("control-bytes-more-flows", "B/s", 5000, more.ControlMean).
			withBaseline(HashAlone.Name, baseMore.ControlMean).withNote(more.controlNote(3 * numClients)),
	}, nil
}

func (o *Outcome) controlNote(flows int) string {
	return fmt.Sprintf("%d flows, all VMs replaced; mean of the busiest VM; most in one second %.0f; per VM, handovers %.0f B/s, FlowLearned, not included, %.0f B/s",
		flows, o.ControlPeak, o.HandoverRate, o.FlowLearnedRate)
}

// median returns the middle value, or 0 for an empty list.
func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}
