package capacity

import (
	"time"
)

const (
	warmUp = 15 * time.Second
	period = 30 * time.Second
	// longPeriod is the measuring period for rare events.
	longPeriod = 2 * time.Minute
	// largePeriod is the measuring period for large clusters. It is short to limit the time that they take.
	largePeriod = 10 * time.Second
	// smallClusterVMs is the number of VMs while another size is varied. It is so small that all VMs
	// exchange heartbeats with each other.
	smallClusterVMs = 8
	restartAfter    = 10 * time.Second
)

// rateSeries has a series for each of the rates of clusters of several sizes.
type rateSeries struct{ all []*Series }

func newRateSeries(per string) *rateSeries {
	r := &rateSeries{}
	for _, c := range [][2]string{
		{"control bytes per VM", "B/s"}, {"control messages per VM", "1/s"},
		{"control CPU per VM", "ms/s"}, {"platform reads", "1/s"}, {"platform writes", "1/s"},
	} {
		r.all = append(r.all, newSeries("", c[0], c[1], per))
	}
	return r
}

func (r *rateSeries) add(x float64, m Rates) {
	for i, y := range []float64{m.Bytes, m.Messages, m.CPU, m.Reads, m.Writes} {
		r.all[i].add(x, y)
	}
}

func measureVMs(seed uint64) []*Series {
	out := newRateSeries("VM in the zone")
	startCosts := newSeries("", "CPU per VM to start the fleet, 15 s", "ms", "VM in the zone")
	members := newSeries("", "members on the list", "VMs", "VM in the zone")
	var shares []*Series
	for _, name := range []string{"(VM, target) pairs without a holder", "(VM, target) pairs with a wrong holder",
		"targets that nobody holds", "targets that several VMs hold", "VMs with authority"} {
		shares = append(shares, newSeries("", name, "%", "VM in the zone"))
	}
	for _, n := range []int{8, 25, 50, 100, 150} {
		c := NewCluster(ClusterOptions{Seed: seed, VMs: n, Targets: 14})
		r := c.Measure(warmUp)
		startCosts.add(float64(n), r.CPU*warmUp.Seconds())
		out.add(float64(n), c.Measure(largePeriod))
		members.add(float64(n), float64(len(c.Platform.members[zoneName(0)].Members)))
		ownership := c.Ownership()
		for i, share := range []float64{ownership.NoOwner, ownership.WrongOwner, ownership.Unowned, ownership.MultipleOwners, ownership.Authority} {
			shares[i].add(float64(n), 100*share)
		}
	}
	return append(append(out.all, startCosts, members), shares...)
}

func measureZones(seed uint64) []*Series {
	out := newRateSeries("zone")
	for _, n := range []int{3, 6, 12, 25} {
		c := NewCluster(ClusterOptions{Seed: seed, VMs: 3 * n, Zones: n, Targets: 3 * n})
		c.Run(warmUp)
		out.add(float64(n), c.Measure(largePeriod))
	}
	return out.all
}

func measureTargets(seed uint64) []*Series {
	out := newRateSeries("target")
	for _, n := range []int{14, 56, 224, 896} {
		c := NewCluster(ClusterOptions{Seed: seed, VMs: smallClusterVMs, Targets: n, Services: 2})
		c.Run(warmUp)
		out.add(float64(n), c.Measure(period))
	}
	return out.all
}

func measureServices(seed uint64) []*Series {
	out := newRateSeries("service")
	for _, n := range []int{2, 28, 112, 224} {
		c := NewCluster(ClusterOptions{Seed: seed, VMs: smallClusterVMs, Targets: 224, Services: n})
		c.Run(warmUp)
		out.add(float64(n), c.Measure(period))
	}
	return out.all
}

func measureChanges(seed uint64) []*Series {
	out := newRateSeries("change/min")
	for _, n := range []int{0, 10, 20, 40} {
		c := NewCluster(ClusterOptions{Seed: seed, VMs: smallClusterVMs, Targets: 14, Services: 2})
		c.Run(warmUp)
		out.add(float64(n), c.MeasureWhile(period, func() { c.runWithEvents(period, n, func(int) { c.Apply() }) }))
	}
	return out.all
}

func measureLosses(seed uint64) []*Series {
	const vms = 9
	out := newRateSeries("loss/min")
	for _, n := range []int{0, 1, 2, 4} {
		c := NewCluster(ClusterOptions{Seed: seed, VMs: vms, Targets: 28, Services: 2})
		c.Run(warmUp)
		lose := func(i int) {
			name := VMName(i % vms)
			c.Kill(name)
			c.after(restartAfter, func() { c.Start(name) })
		}
		out.add(float64(n), c.MeasureWhile(longPeriod, func() { c.runWithEvents(longPeriod, n, lose) }))
	}
	return out.all
}

// runWithEvents advances virtual time by d and calls trigger perMinute times a minute, at equal intervals.
func (c *Cluster) runWithEvents(d time.Duration, perMinute int, trigger func(i int)) {
	if perMinute == 0 {
		c.Run(d)
		return
	}
	interval := time.Minute / time.Duration(perMinute)
	for i := range int(d / interval) {
		trigger(i)
		c.Run(interval)
	}
	c.Run(d % interval)
}

func measureTimeInForce(seed uint64) []*Series {
	const (
		changes = 5
		limit   = 30 * time.Second
	)
	var all []*Series
	run := func(s *Series, x float64, opts ClusterOptions) {
		c := NewCluster(opts)
		c.Run(warmUp)
		var worst time.Duration
		for range changes {
			c.Run(1100 * time.Millisecond)
			worst = max(worst, c.TimeUntilInForce(limit))
		}
		s.add(x, float64(worst.Milliseconds()))
	}
	size := newSeries("", "longest of 5 times to force, no loss", "ms", "VM in the zone")
	for _, n := range []int{8, 50, 100} {
		run(size, float64(n), ClusterOptions{Seed: seed, VMs: n, Targets: 14})
	}
	loss := newSeries("", "longest of 5 times to force, 50 VMs", "ms", "% of messages lost")
	for _, p := range []float64{0, 5, 20, 40} {
		run(loss, p, ClusterOptions{Seed: seed, VMs: 50, Targets: 14, Loss: p / 100})
	}
	latency := newSeries("", "longest of 5 times to force, 50 VMs in 10 zones", "ms", "ms between zones")
	for _, ms := range []int{1, 40, 80, 160} {
		run(latency, float64(ms), ClusterOptions{Seed: seed, VMs: 50, Zones: 10, Targets: 20,
			CrossZone: time.Duration(ms) * time.Millisecond})
	}
	return append(all, size, loss, latency)
}

// measureZoneLoss powers off all VMs of one of three zones. It counts platform calls for 2 minutes, in which
// the member lists become stable again.
func measureZoneLoss(seed uint64) []*Series {
	const zones, settling = 3, 2 * time.Minute
	writes := newSeries("", "platform writes in the 2 min after a zone is lost", "calls", "VM")
	reads := newSeries("", "platform reads in that time", "calls", "VM")
	peak := newSeries("", "most writes in one second", "calls", "VM")
	unowned := newSeries("", "targets that nobody holds after 2 min", "%", "VM")
	for _, n := range []int{9, 24, 48, 96} {
		c := NewCluster(ClusterOptions{Seed: seed, VMs: n, Zones: zones, Targets: 30})
		c.Run(warmUp)
		c.Platform.Reads, c.Platform.Writes = 0, 0
		for i := 0; i < n; i += zones {
			c.PowerOff(VMName(i))
		}
		var most, last uint64
		for range int(settling / time.Second) {
			c.Run(time.Second)
			most = max(most, c.Platform.Writes-last)
			last = c.Platform.Writes
		}
		x := float64(n)
		writes.add(x, float64(c.Platform.Writes))
		reads.add(x, float64(c.Platform.Reads))
		peak.add(x, float64(most))
		unowned.add(x, 100*c.Ownership().Unowned)
	}
	return []*Series{writes, reads, peak, unowned}
}

// measureOutage makes the platform fail for longer than the time for which a confirmation is valid.
func measureOutage(seed uint64) []*Series {
	const outage = 30 * time.Second
	authority := newSeries("", "VMs with authority in an outage of the platform", "%", "VM in the zone")
	for _, n := range []int{8, 9, 10, 25, 50} {
		c := NewCluster(ClusterOptions{Seed: seed, VMs: n, Targets: 14})
		c.Run(warmUp)
		c.Platform.Down = true
		c.Run(outage)
		authority.add(float64(n), 100*c.Ownership().Authority)
	}
	return []*Series{authority}
}
