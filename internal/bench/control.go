package bench

import (
	"fmt"
	"slices"
	"time"
)

// controlFigures measures the time until a configuration is in force and the control traffic.
func controlFigures(e *Env) ([]Figure, error) {
	own, base, err := e.Pair(ConfigInForce, HashAlone)
	if err != nil {
		return nil, err
	}
	churn, baseChurn, err := e.Pair(Planned, HashAlone)
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
			against(HashAlone.Name, baseChurn.ControlMean).
			noted(fmt.Sprintf("mean of the busiest VM; most in one second %.0f; FlowLearned, not included, %.0f B/s per VM",
				churn.ControlPeak, churn.LearnedRate)),
	}, nil
}

// median returns the middle value.
func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}
