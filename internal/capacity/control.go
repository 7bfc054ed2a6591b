package capacity

import (
	"time"
)

const (
	warmUp = 15 * time.Second
	period = 30 * time.Second
	// longPeriod is for rates of rare events.
	longPeriod = 2 * time.Minute
	// largePeriod bounds the time for large fleets.
	largePeriod = 10 * time.Second
	// smallFleetVMs is the size at which other sizes are varied. All VMs exchange heartbeats there.
	smallFleetVMs = 8
	restartAfter  = 10 * time.Second
)

// rateSeries collects the rates of fleets.
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
	starts := newSeries("", "CPU per VM to start the fleet, 15 s", "ms", "VM in the zone")
	members := newSeries("", "members on the list", "VMs", "VM in the zone")
	var shares []*Series
	for _, name := range []string{"(VM, target) pairs without a holder", "(VM, target) pairs with a wrong holder",
		"targets that nobody holds", "targets that several VMs hold", "VMs with authority"} {
		shares = append(shares, newSeries("", name, "%", "VM in the zone"))
	}
	for _, n := range []int{8, 25, 50, 100, 150} {
		f := NewCluster(ClusterOptions{Seed: seed, VMs: n, Targets: 14})
		r := f.Measure(warmUp)
		starts.add(float64(n), r.CPU*warmUp.Seconds())
		out.add(float64(n), f.Measure(largePeriod))
		members.add(float64(n), float64(len(f.Platform.members[zoneName(0)].Members)))
		k := f.Ownership()
		for i, share := range []float64{k.NoOwner, k.WrongOwner, k.Unowned, k.MultipleOwners, k.Authority} {
			shares[i].add(float64(n), 100*share)
		}
	}
	return append(append(out.all, starts, members), shares...)
}

func measureZones(seed uint64) []*Series {
	out := newRateSeries("zone")
	for _, n := range []int{3, 6, 12, 25} {
		f := NewCluster(ClusterOptions{Seed: seed, VMs: 3 * n, Zones: n, Targets: 3 * n})
		f.Run(warmUp)
		out.add(float64(n), f.Measure(largePeriod))
	}
	return out.all
}

func measureTargets(seed uint64) []*Series {
	out := newRateSeries("target")
	for _, n := range []int{14, 56, 224, 896} {
		f := NewCluster(ClusterOptions{Seed: seed, VMs: smallFleetVMs, Targets: n, Services: 2})
		f.Run(warmUp)
		out.add(float64(n), f.Measure(period))
	}
	return out.all
}

func measureServices(seed uint64) []*Series {
	out := newRateSeries("service")
	for _, n := range []int{2, 28, 112, 224} {
		f := NewCluster(ClusterOptions{Seed: seed, VMs: smallFleetVMs, Targets: 224, Services: n})
		f.Run(warmUp)
		out.add(float64(n), f.Measure(period))
	}
	return out.all
}

func measureChanges(seed uint64) []*Series {
	out := newRateSeries("change/min")
	for _, n := range []int{0, 10, 20, 40} {
		f := NewCluster(ClusterOptions{Seed: seed, VMs: smallFleetVMs, Targets: 14, Services: 2})
		f.Run(warmUp)
		out.add(float64(n), f.MeasureWhile(period, func() { f.runWith(period, n, func(int) { f.Apply() }) }))
	}
	return out.all
}

func measureLosses(seed uint64) []*Series {
	const vms = 9
	out := newRateSeries("loss/min")
	for _, n := range []int{0, 1, 2, 4} {
		f := NewCluster(ClusterOptions{Seed: seed, VMs: vms, Targets: 28, Services: 2})
		f.Run(warmUp)
		lose := func(i int) {
			name := VMName(i % vms)
			f.Kill(name)
			f.after(restartAfter, func() { f.Start(name) })
		}
		out.add(float64(n), f.MeasureWhile(longPeriod, func() { f.runWith(longPeriod, n, lose) }))
	}
	return out.all
}

// runWith lets time pass while an event happens at a rate per minute.
func (f *Cluster) runWith(d time.Duration, perMinute int, happen func(i int)) {
	if perMinute == 0 {
		f.Run(d)
		return
	}
	interval := time.Minute / time.Duration(perMinute)
	for i := range int(d / interval) {
		happen(i)
		f.Run(interval)
	}
	f.Run(d % interval)
}

func measureForce(seed uint64) []*Series {
	const (
		changes = 5
		limit   = 30 * time.Second
	)
	var all []*Series
	run := func(s *Series, x float64, opts ClusterOptions) {
		f := NewCluster(opts)
		f.Run(warmUp)
		var worst time.Duration
		for range changes {
			f.Run(1100 * time.Millisecond)
			worst = max(worst, f.TimeUntilInForce(limit))
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
	far := newSeries("", "longest of 5 times to force, 50 VMs in 10 zones", "ms", "ms between zones")
	for _, ms := range []int{1, 40, 80, 160} {
		run(far, float64(ms), ClusterOptions{Seed: seed, VMs: 50, Zones: 10, Targets: 20,
			CrossZone: time.Duration(ms) * time.Millisecond})
	}
	return append(all, size, loss, far)
}

// measureZoneLoss loses one of three zones, machines and all, and counts calls until the member lists
// have settled.
func measureZoneLoss(seed uint64) []*Series {
	const zones, settling = 3, 2 * time.Minute
	writes := newSeries("", "platform writes in the 2 min after a zone is lost", "calls", "VM")
	reads := newSeries("", "platform reads in that time", "calls", "VM")
	peak := newSeries("", "most writes in one second", "calls", "VM")
	unheld := newSeries("", "targets that nobody holds after 2 min", "%", "VM")
	for _, n := range []int{9, 24, 48, 96} {
		f := NewCluster(ClusterOptions{Seed: seed, VMs: n, Zones: zones, Targets: 30})
		f.Run(warmUp)
		f.Platform.Reads, f.Platform.Writes = 0, 0
		for i := 0; i < n; i += zones {
			f.PowerOff(VMName(i))
		}
		var most, last uint64
		for range int(settling / time.Second) {
			f.Run(time.Second)
			most = max(most, f.Platform.Writes-last)
			last = f.Platform.Writes
		}
		x := float64(n)
		writes.add(x, float64(f.Platform.Writes))
		reads.add(x, float64(f.Platform.Reads))
		peak.add(x, float64(most))
		unheld.add(x, 100*f.Ownership().Unowned)
	}
	return []*Series{writes, reads, peak, unheld}
}

// measureOutage takes the platform away for longer than a confirmation lasts.
func measureOutage(seed uint64) []*Series {
	const outage = 30 * time.Second
	authority := newSeries("", "VMs with authority in an outage of the platform", "%", "VM in the zone")
	for _, n := range []int{8, 9, 10, 25, 50} {
		f := NewCluster(ClusterOptions{Seed: seed, VMs: n, Targets: 14})
		f.Run(warmUp)
		f.Platform.Down = true
		f.Run(outage)
		authority.add(float64(n), 100*f.Ownership().Authority)
	}
	return []*Series{authority}
}
