package bench

import (
	"fmt"
	"slices"
	"time"
)

// controlFigures measures the time until a configuration is in force and the control traffic.
func controlFigures(e *Runner) ([]Figure, error) {
	own, base, err := e.Pair(ConfigInForce, HashAlone)
	if err != nil {
		return nil, err
	}
	churn, baseChurn, err := e.Pair(PlannedChanges, HashAlone)
	if err != nil {
		return nil, err
	}
	more, baseMore, err := e.Pair(PlannedChangesMoreFlows, HashAlone)
	if err != nil {
		return nil, err
	}
	return []Figure{
		atMost("config-in-force", "s", 2, slices.Max(own.ConfigDelays).Seconds()).
			against(HashAlone.Name, slices.Max(base.ConfigDelays).Seconds()).
			noted(fmt.Sprintf("longest of %d; median %.2f s; platform reads %.1f/s, %s %.1f/s",
				len(own.ConfigDelays), median(own.ConfigDelays).Seconds(), own.PlatformRate,
				HashAlone.Name, base.PlatformRate)),
		atMost("control-bytes", "B/s", 5000, churn.ControlMean).
			against(HashAlone.Name, baseChurn.ControlMean).noted(churn.controlNote(callers)),
		atMost("control-bytes-more-flows", "B/s", 5000, more.ControlMean).
			against(HashAlone.Name, baseMore.ControlMean).noted(more.controlNote(3 * callers)),
	}, nil
}

func (o *Outcome) controlNote(flows int) string {
	return fmt.Sprintf("%d flows, all VMs replaced; mean of the busiest VM; most in one second %.0f; per VM, handovers %.0f B/s, FlowLearned, not included, %.0f B/s",
		flows, o.ControlPeak, o.HandoverRate, o.FlowLearnedRate)
}

// median returns the middle value.
func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}
