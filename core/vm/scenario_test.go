package vm_test

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

// slow is Randstad with longer requests, so that a test needs few of them.
func slow() coretest.Deployment {
	d := coretest.Randstad()
	d.ServiceTime = 200 * time.Millisecond
	return d
}

// rough are faults of the path between callers and VMs: loss, duplicates and late packets.
func rough(seed uint64) coretest.Options {
	return coretest.Options{Seed: seed, DropRate: 0.02, DuplicateRate: 0.1, LateRate: 0.05, Shards: 2}
}

// requireClean fails the test when a promise was broken.
func requireClean(t *testing.T, w *coretest.Cluster) {
	t.Helper()
	const shown = 12
	t.Log(w.Stats.Summary())
	v := w.Stats.Violations
	for i, line := range v {
		if i == shown {
			t.Errorf("... and %d more", len(v)-shown)
			break
		}
		t.Error(line)
	}
}

// requireGoodput fails the test when less than a share of the offered requests was answered.
func requireGoodput(t *testing.T, w *coretest.Cluster, class core.Class, share float64) {
	t.Helper()
	s := &w.Stats
	t.Logf("%s: offered %d done %d unknown %d gave up %d timed out %d come back %d p50 %v p99 %v", class,
		s.Offered[class], s.Done[class], s.Unknown[class], s.GaveUp[class], s.TimedOut[class],
		s.Retries[class], s.Latency(class, 50), s.Latency(class, 99))
	if g := s.Goodput(class); g < share {
		t.Errorf("goodput of %s is %.4f, want at least %.4f", class, g, share)
	}
}

// A quiet deployment must serve nearly everything; without it no other scenario means anything.
func TestSteadyLoad(t *testing.T) {
	t.Parallel()
	d := slow()
	w := d.Start(coretest.Options{Seed: 1, Shards: 2})
	d.AddLoad(w, 200, 0.5)
	w.Run(60 * time.Second)
	requireClean(t, w)
	for c := range core.NumClasses {
		requireGoodput(t, w, c, 0.99)
	}
}

// Guards against flows that break when VMs, targets and configuration change at the same time.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	d := slow()
	w := d.Start(rough(2))
	d.AddLoad(w, 200, 0.4)
	w.Run(10 * time.Second)
	for i := range d.VMs {
		w.Stop(coretest.VMName(i))
		switch i {
		case 1:
			w.ChangeTarget("pleinwacht-03", func(t *core.Target) { t.State = core.TargetDraining })
		case 2:
			w.AddConfiguredTarget(d, d.Target(20))
		case 3:
			w.ChangeTarget("pleinwacht-05", func(t *core.Target) { t.Weight = 0.5 })
		case 5:
			w.AddConfiguredTarget(d, d.Target(21))
		}
		w.Run(4 * time.Second)
		if w.Alive(coretest.VMName(i)) {
			w.Run(20 * time.Second)
		}
		w.StartVM(coretest.VMName(i), d.Zones[i%len(d.Zones)])
		w.Run(4 * time.Second)
	}
	w.Run(20 * time.Second)
	requireClean(t, w)
	requireGoodput(t, w, core.ClassPosting, 0.99)
}

// Guards against postings that run twice, and untrue refusals, when a VM dies with work in flight.
func TestKillWithRequestsInFlight(t *testing.T) {
	t.Parallel()
	d := slow()
	for seed := range uint64(5) {
		w := d.Start(rough(seed))
		d.AddLoad(w, 200, 0.5)
		w.Run(15 * time.Second)
		w.Kill(coretest.VMName(int(seed)))
		w.Run(20 * time.Second)
		w.StartVM(coretest.VMName(int(seed)), d.Zones[int(seed)%len(d.Zones)])
		w.PowerOff(coretest.VMName(int(seed) + 2))
		w.Run(30 * time.Second)
		requireClean(t, w)
		requireGoodput(t, w, core.ClassPosting, 0.9)
	}
}

// Guards against a paused VM that acts on authority it has lost.
func TestFrozenPastAuthority(t *testing.T) {
	t.Parallel()
	d := slow()
	for _, pause := range []time.Duration{1500 * time.Millisecond, 4 * time.Second, 15 * time.Second} {
		w := d.Start(rough(3))
		d.AddLoad(w, 200, 0.5)
		w.Run(15 * time.Second)
		w.Pause(coretest.VMName(4))
		w.Run(pause)
		w.Resume(coretest.VMName(4))
		w.Run(40 * time.Second)
		requireClean(t, w)
	}
}

// Guards against configuration that reverts while the platform is down and VMs start and rejoin.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	d := slow()
	w := d.Start(rough(4))
	d.AddLoad(w, 200, 0.4)
	w.Run(10 * time.Second)
	w.Pause(coretest.VMName(7))
	w.ChangeTarget("pleinwacht-01", func(t *core.Target) { t.Weight = 0.5 })
	w.Run(time.Second)
	w.Platform.Down = true
	w.Run(5 * time.Second)
	w.Resume(coretest.VMName(7))
	w.Kill(coretest.VMName(0))
	w.Run(5 * time.Second)
	w.StartVM(coretest.VMName(0), d.Zones[0])
	w.Run(60 * time.Second)
	for i := range d.VMs {
		if g := w.Generation(coretest.VMName(i)); g != 2 {
			t.Errorf("%s has generation %d, want 2", coretest.VMName(i), g)
		}
	}
	w.Platform.Down = false
	w.Platform.LoseAnswers = 3
	w.Run(30 * time.Second)
	requireClean(t, w)
	requireGoodput(t, w, core.ClassRead, 0.98)
}

// Guards against packets to a zone that was taken out while it is cut off, and against doubles when
// it comes back.
func TestZoneOutWhileCutOff(t *testing.T) {
	t.Parallel()
	d := slow()
	zone := d.Zones[1]
	w := d.Start(rough(5))
	d.AddLoad(w, 200, 0.4)
	w.Run(10 * time.Second)
	w.Partition(string(zone), string(d.Zones[0]))
	w.Partition(string(zone), string(d.Zones[2]))
	w.Partition(string(zone), "platform")
	w.Run(3 * time.Second)
	w.SetZone(zone, core.ZoneOut)
	w.Run(30 * time.Second)
	w.Heal()
	w.Run(10 * time.Second)
	w.SetZone(zone, core.ZoneIn)
	w.Run(30 * time.Second)
	requireClean(t, w)
}

// Guards against a VM that goes on sending into a zone taken out because it is cut off from peers.
func TestZoneOutWithVMCutOff(t *testing.T) {
	t.Parallel()
	d := slow()
	w := d.Start(rough(6))
	d.AddLoad(w, 200, 0.4)
	w.Run(10 * time.Second)
	alone := coretest.VMName(4)
	for i := range d.VMs {
		if n := coretest.VMName(i); n != alone {
			w.Partition(string(alone), string(n))
		}
	}
	w.Partition(string(alone), "platform")
	w.SetZone(d.Zones[1], core.ZoneOut)
	w.Run(30 * time.Second)
	w.Heal()
	w.Run(20 * time.Second)
	requireClean(t, w)
}

// Guards against a returning zone that is flooded while all its targets are cold.
func TestReturningZoneIsCold(t *testing.T) {
	t.Parallel()
	for _, demand := range []float64{0.6, 1.1} {
		d := slow()
		w := d.Start(coretest.Options{Seed: 7, Shards: 2})
		d.AddLoad(w, 200, demand)
		w.Run(15 * time.Second)
		w.SetZone(d.Zones[2], core.ZoneOut)
		w.Run(30 * time.Second)
		w.RestartZone(d.Zones[2])
		w.SetZone(d.Zones[2], core.ZoneIn)
		w.Run(40 * time.Second)
		requireClean(t, w)
		if demand < 1 {
			requireGoodput(t, w, core.ClassPosting, 0.999)
		}
	}
}

// Guards against targets that are trusted although they turn cold, shed everything, report no load,
// or serve another service at a reused address.
func TestMisleadingTargets(t *testing.T) {
	t.Parallel()
	d := slow()
	w := d.Start(rough(8))
	d.AddLoad(w, 200, 0.4)
	w.Run(10 * time.Second)
	targets := w.Targets()
	targets[1].ShedAll = true
	targets[2].NoLoad = true
	w.Run(15 * time.Second)
	targets[3].Silent = true
	w.Run(15 * time.Second)
	targets[1].ShedAll, targets[3].Silent = false, false
	w.Run(20 * time.Second)
	requireClean(t, w)
	requireGoodput(t, w, core.ClassRead, 0.9)
}

// Guards against packets of the former service at an address that moved to another one.
func TestReusedAddress(t *testing.T) {
	t.Parallel()
	d := slow()
	w := d.Start(rough(9))
	d.AddLoad(w, 200, 0.3)
	w.Run(10 * time.Second)
	moved := d.Target(6)
	c := w.Config()
	other := core.NewServiceID("fotoboek")
	next := moved
	next.Service, next.Name = other, "fotoboek-01"
	next.ID = core.NewTargetID("fotoboek", next.Name, "")
	next.ActiveAfter = core.AddressQuarantine
	s := c.Services[0]
	kept := s.Targets[:0]
	for _, t := range s.Targets {
		if t.ID != moved.ID {
			kept = append(kept, t)
		}
	}
	c.Services[0].Targets = kept
	c.Services = append(c.Services, core.Service{ID: other, Name: "fotoboek", Contract: d.Contract,
		Addr: coretest.ServiceAddr(2), Targets: []core.Target{next}})
	w.Apply(c)
	w.Run(5 * time.Second)
	w.AddTarget(next, d.Contract, d.ServiceTime, false)
	for range 10 {
		w.AddClient(coretest.ClientOptions{Service: other, ReadEvery: time.Second, PostEvery: 3 * time.Second})
	}
	w.Run(40 * time.Second)
	requireClean(t, w)
	if w.TargetAt(next).Done == 0 {
		t.Error("the new service at the reused address was never served")
	}
}

// Guards against links that went silent for good between VMs that still reach all others.
func TestSilentPairs(t *testing.T) {
	t.Parallel()
	d := slow()
	w := d.Start(rough(10))
	d.AddLoad(w, 200, 0.4)
	w.Run(10 * time.Second)
	w.Partition(string(coretest.VMName(0)), string(coretest.VMName(1)))
	w.Partition(string(coretest.VMName(0)), string(coretest.VMName(3)))
	w.Run(30 * time.Second)
	w.Heal()
	w.Run(20 * time.Second)
	requireClean(t, w)
}

// Guards against a stop that lasts 30 s when all VMs are stopped at once and none can hand over to
// another.
func TestStopAllVMs(t *testing.T) {
	t.Parallel()
	d := slow()
	w := d.Start(coretest.Options{Seed: 11, Shards: 2})
	for i := range d.VMs {
		w.Stop(coretest.VMName(i))
	}
	w.Run(15 * time.Second)
	for i := range d.VMs {
		if w.Alive(coretest.VMName(i)) {
			t.Errorf("%s still runs", coretest.VMName(i))
		}
	}
}
