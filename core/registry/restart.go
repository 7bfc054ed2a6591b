package registry

import (
	"slices"
	"time"
)

const (
	// maxConnectionAges is the number of ended connections whose ages a RestartDetector compares.
	maxConnectionAges = 9
	// idleShare is the minimum age of a connection that its target closed because it was idle, as a share of the
	// median age of ended connections. Targets close connections after the same idle time, give or take
	// the delays of a busy machine.
	idleShare = 0.8
	// minIdleTimeout is the shortest time after which targets are expected to close idle connections. It applies until
	// a connection has ended.
	minIdleTimeout = 5 * time.Second
	// minConnectionAge is the age below which the end of a connection shows nothing: a process that ends may still
	// accept connections, and its end was detected with the connection before.
	minConnectionAge = 300 * time.Millisecond
	// restartWindow is the time in which at most one in maxRestartShare targets, or one, counts as restarted. When
	// the network resets connections, many end at the same time.
	restartWindow   = 2 * time.Second
	maxRestartShare = 8
)

// RestartDetector finds targets that have restarted within some milliseconds from the ends of a VM's idle
// connections to them. Such a target accepts the next connection, as a target does that has closed an idle
// connection; only the connection's age differs.
type RestartDetector struct {
	// ages are the ages at which the last connections ended, oldest first.
	ages []time.Duration
	// found are the times of the restarts within restartWindow.
	found []time.Duration
}

// ConnectionEnded records that a connection ended at the given age while its target accepts new ones. It reports
// whether the target counts as restarted. connections is the number of connections that the VM keeps.
func (d *RestartDetector) ConnectionEnded(age time.Duration, connections int, now time.Duration) bool {
	if age < minConnectionAge {
		return false
	}
	idleTimeout := time.Duration(idleShare * float64(d.medianAge()))
	if len(d.ages) == 0 {
		idleTimeout = minIdleTimeout
	}
	idle := age >= idleTimeout
	d.ages = append(d.ages, age)
	if len(d.ages) > maxConnectionAges {
		d.ages = d.ages[1:]
	}
	d.found = slices.DeleteFunc(d.found, func(at time.Duration) bool { return now-at >= restartWindow })
	if idle || len(d.found) >= max(1, connections/maxRestartShare) {
		return false
	}
	d.found = append(d.found, now)
	return true
}

// medianAge returns the median age of the last connections that ended; 0 if there are none.
func (d *RestartDetector) medianAge() time.Duration {
	if len(d.ages) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d.ages))
	return sorted[len(sorted)/2]
}
