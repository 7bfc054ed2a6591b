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

// operations are the faults and changes that the property test mixes. Each takes a number that
// chooses its subject, and returns the operation's text.
var operations = []struct {
	name string
	// accepted is true for changes of the manifest, which the platform has to accept.
	accepted bool
	run      func(w *coretest.Cluster, d coretest.Deployment, n int)
}{
	{"kill", false, func(w *coretest.Cluster, d coretest.Deployment, n int) { w.Kill(vmOf(d, n)) }},
	{"lose", false, func(w *coretest.Cluster, d coretest.Deployment, n int) { w.PowerOff(vmOf(d, n)) }},
	{"stop", false, func(w *coretest.Cluster, d coretest.Deployment, n int) {
		if w.Alive(vmOf(d, n)) {
			w.Stop(vmOf(d, n))
		}
	}},
	{"start", false, func(w *coretest.Cluster, d coretest.Deployment, n int) {
		if !w.Alive(vmOf(d, n)) {
			w.StartVM(vmOf(d, n), d.Zones[n%d.VMs%len(d.Zones)])
		}
	}},
	{"pause", false, func(w *coretest.Cluster, d coretest.Deployment, n int) { w.Pause(vmOf(d, n)) }},
	{"resume", false, func(w *coretest.Cluster, d coretest.Deployment, n int) { w.Resume(vmOf(d, n)) }},
	{"cut VM", false, func(w *coretest.Cluster, d coretest.Deployment, n int) {
		w.Partition(string(vmOf(d, n)), string(vmOf(d, n+1+n/d.VMs)))
	}},
	{"cut zone", false, func(w *coretest.Cluster, d coretest.Deployment, n int) {
		w.Partition(string(d.Zones[n%3]), string(d.Zones[(n+1)%3]))
	}},
	{"cut platform", false, func(w *coretest.Cluster, d coretest.Deployment, n int) {
		w.Partition(string(d.Zones[n%3]), "platform")
	}},
	{"heal", false, func(w *coretest.Cluster, _ coretest.Deployment, _ int) { w.Heal() }},
	{"platform down", false, func(w *coretest.Cluster, _ coretest.Deployment, _ int) { w.Platform.Down = true }},
	{"platform up", false, func(w *coretest.Cluster, _ coretest.Deployment, _ int) { w.Platform.Down = false }},
	{"lose answers", false, func(w *coretest.Cluster, _ coretest.Deployment, n int) { w.Platform.LoseAnswers = n % 3 }},
	{"zone out", true, func(w *coretest.Cluster, d coretest.Deployment, n int) { w.SetZone(d.Zones[n%3], core.ZoneOut) }},
	{"zone in", true, func(w *coretest.Cluster, d coretest.Deployment, n int) { w.SetZone(d.Zones[n%3], core.ZoneIn) }},
	{"drain target", true, func(w *coretest.Cluster, d coretest.Deployment, n int) {
		w.ChangeTarget(d.Target(n%d.Targets).Name, func(t *core.Target) { t.State = core.TargetDraining })
	}},
	{"weight", true, func(w *coretest.Cluster, d coretest.Deployment, n int) {
		w.ChangeTarget(d.Target(n%d.Targets).Name, func(t *core.Target) { t.Weight = 0.5 + float64(n%3)/2 })
	}},
}

func vmOf(d coretest.Deployment, n int) core.VMName { return coretest.VMName(n % d.VMs) }

// broken returns the first violation of a promise that holds whatever fails. Flows may break and
// targets may be overrun in mixes of faults that no planned change causes, so these are left to the
// scenarios.
func broken(w *coretest.Cluster) string {
	s := &w.Stats
	if s.DoubleRuns+s.UntrueNotRun+s.WrongAnswers+s.WrongService+s.ZoneOutPackets > 0 {
		return fmt.Sprint(s.Violations)
	}
	return ""
}

// Guards against mixes of faults that no scenario names: postings that run twice, untrue refusals,
// answers and packets that go astray, packets to a zone taken out, and configuration that reverts.
func TestFaultsInAnyMix(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		d := coretest.Randstad()
		d.VMs = rapid.IntRange(2, 8).Draw(t, "VMs")
		d.Targets = 6
		d.ServiceTime = 100 * time.Millisecond
		w := d.Start(rough(rapid.Uint64Range(1, 1<<32).Draw(t, "seed")))
		d.AddLoad(w, 40, 0.4)
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			op := operations[rapid.IntRange(0, len(operations)-1).Draw(t, "operation")]
			if op.accepted && w.Platform.Down {
				// Nothing is accepted while the platform is down.
				continue
			}
			op.run(w, d, rapid.IntRange(0, 20).Draw(t, op.name))
			w.Run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "pause in ms")) * time.Millisecond)
			if b := broken(w); b != "" {
				t.Fatal(b)
			}
		}
		w.Run(15 * time.Second)
		if b := broken(w); b != "" {
			t.Fatal(b)
		}
	})
}

// Guards against the mixes that longer random runs found, in which a posting ran twice.
func TestFaultMixesFound(t *testing.T) {
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
		"two owners in doubt send their copies to each other": {8, 0x5f69ac2, []step{
			{"cut VM", 20, 6000 * ms},
			{"cut platform", 5, 103 * ms},
			{"lose", 8, 305 * ms},
			{"cut platform", 20, 105 * ms},
			{"lose", 5, 540 * ms},
			{"kill", 3, 189 * ms},
			{"kill", 1, 115 * ms},
			{"kill", 0, 140 * ms},
			{"heal", 1, 6000 * ms},
			{"start", 5, 144 * ms},
			{"weight", 1, 967 * ms},
			{"kill", 3, 102 * ms},
		}},
		"a lost holder moved a flow away from a zone that is out": {6, 0x6, []step{
			{"zone out", 12, 5124 * ms},
			{"kill", 13, 113 * ms},
			{"resume", 19, 350 * ms},
			{"weight", 11, 5328 * ms},
			{"lose", 1, 6000 * ms},
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := coretest.Randstad()
			d.VMs = c.vms
			d.Targets = 6
			d.ServiceTime = 100 * ms
			w := d.Start(rough(c.seed))
			d.AddLoad(w, 40, 0.4)
			for _, s := range c.steps {
				for _, op := range operations {
					if op.name == s.operation {
						op.run(w, d, s.n)
					}
				}
				w.Run(s.pause)
			}
			w.Run(15 * time.Second)
			if b := broken(w); b != "" {
				t.Fatal(b)
			}
		})
	}
}

// fleet mixes planned changes and keeps to what operators do: at least two VMs and three targets stay.
type fleet struct {
	w *coretest.Cluster
	d coretest.Deployment
	// stopped lists the VMs that were stopped and not started again.
	stopped map[core.VMName]bool
	drained map[string]bool
	joined  int
}

func (f *fleet) stop(n int) {
	if name := vmOf(f.d, n); !f.stopped[name] && f.d.VMs-len(f.stopped) > 2 {
		f.stopped[name] = true
		f.w.Stop(name)
	}
}

// start replaces a stopped VM once it has ended.
func (f *fleet) start(n int) {
	if name := vmOf(f.d, n); f.stopped[name] && !f.w.Alive(name) {
		delete(f.stopped, name)
		f.w.StartVM(name, f.d.Zones[n%f.d.VMs%len(f.d.Zones)])
	}
}

func (f *fleet) drain(n int) {
	t := f.d.Target(n % f.d.Targets)
	if !f.drained[t.Name] && f.d.Targets-len(f.drained) > 3 {
		f.drained[t.Name] = true
		f.w.ChangeTarget(t.Name, func(t *core.Target) { t.State = core.TargetDraining })
	}
}

func (f *fleet) join(int) {
	const most = 4
	if f.joined < most {
		f.w.AddConfiguredTarget(f.d, f.d.Target(20+f.joined))
		f.joined++
	}
}

func (f *fleet) weight(n int) {
	f.w.ChangeTarget(f.d.Target(n%f.d.Targets).Name, func(t *core.Target) { t.Weight = 0.5 + float64(n%3)/2 })
}

// Guards against flows that break, cold targets that are overrun and all other violations when planned
// changes come in any order and at the same time.
func TestPlannedChangesInAnyMix(t *testing.T) {
	t.Parallel()
	changes := []struct {
		name string
		run  func(f *fleet, n int)
	}{
		{"stop", (*fleet).stop}, {"start", (*fleet).start}, {"drain", (*fleet).drain},
		{"join", (*fleet).join}, {"weight", (*fleet).weight},
	}
	rapid.Check(t, func(t *rapid.T) {
		d := coretest.Randstad()
		d.VMs = rapid.IntRange(3, 8).Draw(t, "VMs")
		d.Targets = 6
		d.ServiceTime = 100 * time.Millisecond
		w := d.Start(rough(rapid.Uint64Range(1, 1<<32).Draw(t, "seed")))
		d.AddLoad(w, 40, 0.4)
		f := &fleet{w: w, d: d, stopped: map[core.VMName]bool{}, drained: map[string]bool{}}
		for range rapid.IntRange(3, 12).Draw(t, "steps") {
			c := changes[rapid.IntRange(0, len(changes)-1).Draw(t, "change")]
			c.run(f, rapid.IntRange(0, 20).Draw(t, c.name))
			w.Run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "pause in ms")) * time.Millisecond)
		}
		w.Run(15 * time.Second)
		if len(w.Stats.Violations) > 0 {
			t.Fatal(w.Stats.Violations)
		}
	})
}
