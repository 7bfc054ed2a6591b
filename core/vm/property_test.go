package vm_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/coretest"
	_ "github.com/mangoweir/mangoweir/internal/fixedseed"
)

// operations are the faults and changes that the property test combines. The number n selects the VM, zone or
// target that an operation affects.
var operations = []struct {
	name string
	// accepted is true for changes of the manifest, which the platform must accept.
	accepted bool
	run      func(c *coretest.Cluster, d coretest.Deployment, n int)
}{
	{"kill", false, func(c *coretest.Cluster, d coretest.Deployment, n int) { c.Kill(vmName(d, n)) }},
	{"power off", false, func(c *coretest.Cluster, d coretest.Deployment, n int) { c.PowerOff(vmName(d, n)) }},
	{"stop", false, func(c *coretest.Cluster, d coretest.Deployment, n int) {
		if c.Alive(vmName(d, n)) {
			c.Stop(vmName(d, n))
		}
	}},
	{"start", false, func(c *coretest.Cluster, d coretest.Deployment, n int) {
		if !c.Alive(vmName(d, n)) {
			c.StartVM(vmName(d, n), d.Zones[n%d.VMs%len(d.Zones)])
		}
	}},
	{"pause", false, func(c *coretest.Cluster, d coretest.Deployment, n int) { c.Pause(vmName(d, n)) }},
	{"resume", false, func(c *coretest.Cluster, d coretest.Deployment, n int) { c.Resume(vmName(d, n)) }},
	{"partition VMs", false, func(c *coretest.Cluster, d coretest.Deployment, n int) {
		c.Partition(string(vmName(d, n)), string(vmName(d, n+1+n/d.VMs)))
	}},
	{"partition zones", false, func(c *coretest.Cluster, d coretest.Deployment, n int) {
		c.Partition(string(d.Zones[n%3]), string(d.Zones[(n+1)%3]))
	}},
	{"partition platform", false, func(c *coretest.Cluster, d coretest.Deployment, n int) {
		c.Partition(string(d.Zones[n%3]), "platform")
	}},
	{"heal", false, func(c *coretest.Cluster, _ coretest.Deployment, _ int) { c.Heal() }},
	{"platform down", false, func(c *coretest.Cluster, _ coretest.Deployment, _ int) { c.Platform.Down = true }},
	{"platform up", false, func(c *coretest.Cluster, _ coretest.Deployment, _ int) { c.Platform.Down = false }},
	{"lose responses", false, func(c *coretest.Cluster, _ coretest.Deployment, n int) { c.Platform.LoseResponses = n % 3 }},
	{"zone out", true, func(c *coretest.Cluster, d coretest.Deployment, n int) { c.SetZone(d.Zones[n%3], core.ZoneOut) }},
	{"zone in", true, func(c *coretest.Cluster, d coretest.Deployment, n int) { c.SetZone(d.Zones[n%3], core.ZoneIn) }},
	{"drain target", true, func(c *coretest.Cluster, d coretest.Deployment, n int) {
		c.ChangeTarget(d.Target(n%d.Targets).Name, func(t *core.Target) { t.State = core.TargetDraining })
	}},
	{"weight", true, func(c *coretest.Cluster, d coretest.Deployment, n int) {
		c.ChangeTarget(d.Target(n%d.Targets).Name, func(t *core.Target) { t.Weight = 0.5 + float64(n%3)/2 })
	}},
}

func vmName(d coretest.Deployment, n int) core.VMName { return coretest.VMName(n % d.VMs) }

// violations returns all recorded violations if one of them concerns a guarantee that holds under all faults,
// and otherwise an empty string. Combinations of faults that no planned change causes may break flows and
// overload targets, so only the scenarios check for these.
func violations(cluster *coretest.Cluster) string {
	s := &cluster.Stats
	if s.DuplicateRuns+s.WrongNotRun+s.WrongAnswers+s.WrongService+s.ZoneOutPackets > 0 {
		return fmt.Sprint(s.Violations)
	}
	return ""
}

// Guards against failures under combinations of faults that no scenario covers: postings that run twice, wrong
// "not run" refusals, answers to the wrong client, packets to the wrong service or to a zone taken out, and
// configuration that reverts.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := coretest.Randstad()
		d.VMs = rapid.IntRange(2, 8).Draw(t, "VMs")
		d.Targets = 6
		d.ServiceTime = 100 * time.Millisecond
		cluster := d.Start(lossyPath(rapid.Uint64Range(1, 1<<32).Draw(t, "seed")))
		d.AddLoad(cluster, 40, 0.4)
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			op := operations[rapid.IntRange(0, len(operations)-1).Draw(t, "operation")]
			if op.accepted && cluster.Platform.Down {
				// Nothing is accepted while the platform is down.
				continue
			}
			op.run(cluster, d, rapid.IntRange(0, 20).Draw(t, op.name))
			cluster.Run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "pause in ms")) * time.Millisecond)
			if v := violations(cluster); v != "" {
				t.Fatal(v)
			}
		}
		cluster.Run(15 * time.Second)
		if v := violations(cluster); v != "" {
			t.Fatal(v)
		}
	})
}

// Guards against fault sequences, found by longer random runs, in which a posting ran twice.
func TestKnownFaultSequences(t *testing.T) {
	t.Parallel()
	type step struct {
		operation string
		n         int
		pause     time.Duration
	}
	const ms = time.Millisecond
	cases := map[string]struct {
		vms   int
		seed  uint64
		steps []step
	}{
		"two owners with an unconfirmed flow forward their copies of a request to each other": {8, 0x5f69ac2, []step{
			{"partition VMs", 20, 6000 * ms},
			{"partition platform", 5, 103 * ms},
			{"power off", 8, 305 * ms},
			{"partition platform", 20, 105 * ms},
			{"power off", 5, 540 * ms},
			{"kill", 3, 189 * ms},
			{"kill", 1, 115 * ms},
			{"kill", 0, 140 * ms},
			{"heal", 1, 6000 * ms},
			{"start", 5, 144 * ms},
			{"weight", 1, 967 * ms},
			{"kill", 3, 102 * ms},
		}},
		"a lost owner moved a flow away from a zone that is out": {6, 0x6, []step{
			{"zone out", 12, 5124 * ms},
			{"kill", 13, 113 * ms},
			{"resume", 19, 350 * ms},
			{"weight", 11, 5328 * ms},
			{"power off", 1, 6000 * ms},
		}},
	}
	for name, faultCase := range cases {
		t.Run(name, func(t *testing.T) {
			d := coretest.Randstad()
			d.VMs = faultCase.vms
			d.Targets = 6
			d.ServiceTime = 100 * ms
			cluster := d.Start(lossyPath(faultCase.seed))
			d.AddLoad(cluster, 40, 0.4)
			for _, s := range faultCase.steps {
				for _, op := range operations {
					if op.name == s.operation {
						op.run(cluster, d, s.n)
					}
				}
				cluster.Run(s.pause)
			}
			cluster.Run(15 * time.Second)
			if v := violations(cluster); v != "" {
				t.Fatal(v)
			}
		})
	}
}

// operator applies planned changes within the limits that operators observe: at least two VMs and three targets
// stay in service.
type operator struct {
	cluster    *coretest.Cluster
	deployment coretest.Deployment
	// stopped holds the VMs that were stopped and not started again.
	stopped map[core.VMName]bool
	drained map[string]bool
	added   int
}

func (o *operator) stop(n int) {
	if name := vmName(o.deployment, n); !o.stopped[name] && o.deployment.VMs-len(o.stopped) > 2 {
		o.stopped[name] = true
		o.cluster.Stop(name)
	}
}

// start restarts a stopped VM once its process has ended.
func (o *operator) start(n int) {
	if name := vmName(o.deployment, n); o.stopped[name] && !o.cluster.Alive(name) {
		delete(o.stopped, name)
		o.cluster.StartVM(name, o.deployment.Zones[n%o.deployment.VMs%len(o.deployment.Zones)])
	}
}

func (o *operator) drain(n int) {
	t := o.deployment.Target(n % o.deployment.Targets)
	if !o.drained[t.Name] && o.deployment.Targets-len(o.drained) > 3 {
		o.drained[t.Name] = true
		o.cluster.ChangeTarget(t.Name, func(t *core.Target) { t.State = core.TargetDraining })
	}
}

func (o *operator) addTarget(int) {
	const limit = 4
	if o.added < limit {
		o.cluster.AddConfiguredTarget(o.deployment, o.deployment.Target(20+o.added))
		o.added++
	}
}

func (o *operator) weight(n int) {
	o.cluster.ChangeTarget(o.deployment.Target(n%o.deployment.Targets).Name,
		func(t *core.Target) { t.Weight = 0.5 + float64(n%3)/2 })
}

// Guards against broken flows, overloaded cold targets and all other violations when planned changes are made
// in any order and at the same time.
func TestRandomPlannedChanges(t *testing.T) {
	t.Parallel()
	changes := []struct {
		name string
		run  func(o *operator, n int)
	}{
		{"stop", (*operator).stop}, {"start", (*operator).start}, {"drain", (*operator).drain},
		{"add target", (*operator).addTarget}, {"weight", (*operator).weight},
	}
	rapid.Check(t, func(t *rapid.T) {
		d := coretest.Randstad()
		d.VMs = rapid.IntRange(3, 8).Draw(t, "VMs")
		d.Targets = 6
		d.ServiceTime = 100 * time.Millisecond
		cluster := d.Start(lossyPath(rapid.Uint64Range(1, 1<<32).Draw(t, "seed")))
		d.AddLoad(cluster, 40, 0.4)
		o := &operator{cluster: cluster, deployment: d, stopped: map[core.VMName]bool{}, drained: map[string]bool{}}
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			c := changes[rapid.IntRange(0, len(changes)-1).Draw(t, "change")]
			c.run(o, rapid.IntRange(0, 20).Draw(t, c.name))
			cluster.Run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "pause in ms")) * time.Millisecond)
		}
		cluster.Run(15 * time.Second)
		if len(cluster.Stats.Violations) > 0 {
			t.Fatal(cluster.Stats.Violations)
		}
	})
}
