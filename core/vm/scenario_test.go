package vm_test

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

// slowRandstad is Randstad with longer service times, so that a test needs fewer requests.
func slowRandstad() coretest.Deployment {
	d := coretest.Randstad()
	d.ServiceTime = 200 * time.Millisecond
	return d
}

// lossyPath returns options with faults of the path between clients and VMs: lost, duplicate and late packets.
func lossyPath(seed uint64) coretest.Options {
	return coretest.Options{Seed: seed, DropRate: 0.02, DuplicateRate: 0.1, LateRate: 0.05, Shards: 2}
}

// requireNoViolations fails the test when a guarantee of the core was violated.
func requireNoViolations(t *testing.T, cluster *coretest.Cluster) {
	t.Helper()
	const shown = 12
	t.Log(cluster.Stats.Summary())
	lines := cluster.Stats.Violations
	for i, line := range lines {
		if i == shown {
			t.Errorf("... and %d more", len(lines)-shown)
			break
		}
		t.Error(line)
	}
}

// requireGoodput fails the test when the share of answered requests among the finished ones is below share.
func requireGoodput(t *testing.T, cluster *coretest.Cluster, class core.Class, share float64) {
	t.Helper()
	s := &cluster.Stats
	t.Logf("%s: offered %d done %d unknown %d gave up %d timed out %d retries %d p50 %v p99 %v", class,
		s.Offered[class], s.Done[class], s.Unknown[class], s.GaveUp[class], s.TimedOut[class],
		s.Retries[class], s.Latency(class, 50), s.Latency(class, 99))
	if g := s.Goodput(class); g < share {
		t.Errorf("goodput of %s is %.4f, want at least %.4f", class, g, share)
	}
}

// Guards against refusals and lost requests in a deployment without faults. The other scenarios are only
// meaningful when nearly all requests are answered here.
func TestSteadyLoad(t *testing.T) {
	t.Parallel()
	d := slowRandstad()
	cluster := d.Start(coretest.Options{Seed: 1, Shards: 2})
	d.AddLoad(cluster, 200, 0.5)
	cluster.Run(60 * time.Second)
	requireNoViolations(t, cluster)
	for c := range core.NumClasses {
		requireGoodput(t, cluster, c, 0.99)
	}
}

// Guards against flows that break when VMs, targets and configuration change at the same time.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	d := slowRandstad()
	cluster := d.Start(lossyPath(2))
	d.AddLoad(cluster, 200, 0.4)
	cluster.Run(10 * time.Second)
	for i := range d.VMs {
		cluster.Stop(coretest.VMName(i))
		switch i {
		case 1:
			cluster.ChangeTarget("pleinwacht-03", func(t *core.Target) { t.State = core.TargetDraining })
		case 2:
			cluster.AddConfiguredTarget(d, d.Target(20))
		case 3:
			cluster.ChangeTarget("pleinwacht-05", func(t *core.Target) { t.Weight = 0.5 })
		case 5:
			cluster.AddConfiguredTarget(d, d.Target(21))
		}
		cluster.Run(4 * time.Second)
		if cluster.Alive(coretest.VMName(i)) {
			cluster.Run(20 * time.Second)
		}
		cluster.StartVM(coretest.VMName(i), d.Zones[i%len(d.Zones)])
		cluster.Run(4 * time.Second)
	}
	cluster.Run(20 * time.Second)
	requireNoViolations(t, cluster)
	requireGoodput(t, cluster, core.ClassPosting, 0.99)
}

// Guards against postings that run twice, and wrong "not run" refusals, when a VM fails with requests in
// flight.
func TestKillWithRequestsInFlight(t *testing.T) {
	t.Parallel()
	d := slowRandstad()
	for seed := range uint64(5) {
		cluster := d.Start(lossyPath(seed))
		d.AddLoad(cluster, 200, 0.5)
		cluster.Run(15 * time.Second)
		cluster.Kill(coretest.VMName(int(seed)))
		cluster.Run(20 * time.Second)
		cluster.StartVM(coretest.VMName(int(seed)), d.Zones[int(seed)%len(d.Zones)])
		cluster.PowerOff(coretest.VMName(int(seed) + 2))
		cluster.Run(30 * time.Second)
		requireNoViolations(t, cluster)
		requireGoodput(t, cluster, core.ClassPosting, 0.9)
	}
}

// Guards against a VM that acts on expired authority after a pause.
func TestPausedPastAuthority(t *testing.T) {
	t.Parallel()
	d := slowRandstad()
	for _, pause := range []time.Duration{1500 * time.Millisecond, 4 * time.Second, 15 * time.Second} {
		cluster := d.Start(lossyPath(3))
		d.AddLoad(cluster, 200, 0.5)
		cluster.Run(15 * time.Second)
		cluster.Pause(coretest.VMName(4))
		cluster.Run(pause)
		cluster.Resume(coretest.VMName(4))
		cluster.Run(40 * time.Second)
		requireNoViolations(t, cluster)
	}
}

// Guards against configuration that reverts while the platform is down and VMs start and rejoin.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	d := slowRandstad()
	cluster := d.Start(lossyPath(4))
	d.AddLoad(cluster, 200, 0.4)
	cluster.Run(10 * time.Second)
	cluster.Pause(coretest.VMName(7))
	cluster.ChangeTarget("pleinwacht-01", func(t *core.Target) { t.Weight = 0.5 })
	cluster.Run(time.Second)
	cluster.Platform.Down = true
	cluster.Run(5 * time.Second)
	cluster.Resume(coretest.VMName(7))
	cluster.Kill(coretest.VMName(0))
	cluster.Run(5 * time.Second)
	cluster.StartVM(coretest.VMName(0), d.Zones[0])
	cluster.Run(60 * time.Second)
	for i := range d.VMs {
		if g := cluster.Generation(coretest.VMName(i)); g != 2 {
			t.Errorf("%s has generation %d, want 2", coretest.VMName(i), g)
		}
	}
	cluster.Platform.Down = false
	cluster.Platform.LoseResponses = 3
	cluster.Run(30 * time.Second)
	requireNoViolations(t, cluster)
	requireGoodput(t, cluster, core.ClassRead, 0.98)
}

// Guards against packets to a zone that was taken out while it is partitioned, and against postings that run
// twice when the partition ends and the zone returns.
func TestZoneOutDuringPartition(t *testing.T) {
	t.Parallel()
	d := slowRandstad()
	zone := d.Zones[1]
	cluster := d.Start(lossyPath(5))
	d.AddLoad(cluster, 200, 0.4)
	cluster.Run(10 * time.Second)
	cluster.Partition(string(zone), string(d.Zones[0]))
	cluster.Partition(string(zone), string(d.Zones[2]))
	cluster.Partition(string(zone), "platform")
	cluster.Run(3 * time.Second)
	cluster.SetZone(zone, core.ZoneOut)
	cluster.Run(30 * time.Second)
	cluster.Heal()
	cluster.Run(10 * time.Second)
	cluster.SetZone(zone, core.ZoneIn)
	cluster.Run(30 * time.Second)
	requireNoViolations(t, cluster)
}

// Guards against a VM that still sends to a zone taken out, because a partition separates the VM from its peers
// and the platform.
func TestZoneOutWithIsolatedVM(t *testing.T) {
	t.Parallel()
	d := slowRandstad()
	cluster := d.Start(lossyPath(6))
	d.AddLoad(cluster, 200, 0.4)
	cluster.Run(10 * time.Second)
	isolated := coretest.VMName(4)
	for i := range d.VMs {
		if n := coretest.VMName(i); n != isolated {
			cluster.Partition(string(isolated), string(n))
		}
	}
	cluster.Partition(string(isolated), "platform")
	cluster.SetZone(d.Zones[1], core.ZoneOut)
	cluster.Run(30 * time.Second)
	cluster.Heal()
	cluster.Run(20 * time.Second)
	requireNoViolations(t, cluster)
}

// Guards against overload of a returning zone while all its targets are cold.
func TestReturningZoneIsCold(t *testing.T) {
	t.Parallel()
	for _, demand := range []float64{0.6, 1.1} {
		d := slowRandstad()
		cluster := d.Start(coretest.Options{Seed: 7, Shards: 2})
		d.AddLoad(cluster, 200, demand)
		cluster.Run(15 * time.Second)
		cluster.SetZone(d.Zones[2], core.ZoneOut)
		cluster.Run(30 * time.Second)
		cluster.RestartZone(d.Zones[2])
		cluster.SetZone(d.Zones[2], core.ZoneIn)
		cluster.Run(40 * time.Second)
		requireNoViolations(t, cluster)
		if demand < 1 {
			requireGoodput(t, cluster, core.ClassPosting, 0.999)
		}
	}
}

// Guards against violations caused by targets that shed all requests, report no load or do not respond.
func TestMisleadingTargets(t *testing.T) {
	t.Parallel()
	d := slowRandstad()
	cluster := d.Start(lossyPath(8))
	d.AddLoad(cluster, 200, 0.4)
	cluster.Run(10 * time.Second)
	targets := cluster.Targets()
	targets[1].ShedAll = true
	targets[2].NoLoad = true
	cluster.Run(15 * time.Second)
	targets[3].Silent = true
	cluster.Run(15 * time.Second)
	targets[1].ShedAll, targets[3].Silent = false, false
	cluster.Run(20 * time.Second)
	requireNoViolations(t, cluster)
	requireGoodput(t, cluster, core.ClassRead, 0.9)
}

// Guards against packets of the previous service at an address that moved to another service.
func TestReusedAddress(t *testing.T) {
	t.Parallel()
	d := slowRandstad()
	cluster := d.Start(lossyPath(9))
	d.AddLoad(cluster, 200, 0.3)
	cluster.Run(10 * time.Second)
	moved := d.Target(6)
	config := cluster.Config()
	other := core.NewServiceID("fotoboek")
	next := moved
	next.Service, next.Name = other, "fotoboek-01"
	next.ID = core.NewTargetID("fotoboek", next.Name, "")
	next.ActiveAfter = core.AddressQuarantine
	service := config.Services[0]
	kept := service.Targets[:0]
	for _, t := range service.Targets {
		if t.ID != moved.ID {
			kept = append(kept, t)
		}
	}
	config.Services[0].Targets = kept
	config.Services = append(config.Services, core.Service{ID: other, Name: "fotoboek", Contract: d.Contract,
		Addr: coretest.ServiceAddr(2), Targets: []core.Target{next}})
	cluster.Apply(config)
	cluster.Run(5 * time.Second)
	cluster.AddTarget(next, d.Contract, d.ServiceTime, false)
	for range 10 {
		cluster.AddClient(coretest.ClientOptions{Service: other, ReadEvery: time.Second, PostEvery: 3 * time.Second})
	}
	cluster.Run(40 * time.Second)
	requireNoViolations(t, cluster)
	if cluster.TargetAt(next).Done == 0 {
		t.Error("the new service at the reused address received no requests that ran")
	}
}

// Guards against violations when two VMs cannot reach each other for a long time but both reach all other VMs.
func TestPartitionedPairs(t *testing.T) {
	t.Parallel()
	d := slowRandstad()
	cluster := d.Start(lossyPath(10))
	d.AddLoad(cluster, 200, 0.4)
	cluster.Run(10 * time.Second)
	cluster.Partition(string(coretest.VMName(0)), string(coretest.VMName(1)))
	cluster.Partition(string(coretest.VMName(0)), string(coretest.VMName(3)))
	cluster.Run(30 * time.Second)
	cluster.Heal()
	cluster.Run(20 * time.Second)
	requireNoViolations(t, cluster)
}

// Guards against a stop that takes 30 s when all VMs are stopped at once and none can hand over to another.
func TestStopAllVMs(t *testing.T) {
	t.Parallel()
	d := slowRandstad()
	cluster := d.Start(coretest.Options{Seed: 11, Shards: 2})
	for i := range d.VMs {
		cluster.Stop(coretest.VMName(i))
	}
	cluster.Run(15 * time.Second)
	for i := range d.VMs {
		if cluster.Alive(coretest.VMName(i)) {
			t.Errorf("%s is still running", coretest.VMName(i))
		}
	}
}
