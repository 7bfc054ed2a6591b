package bench

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

// numClients is the usual number of clients of a scenario. Each has a live feed.
const numClients = 3000

// Scenario is a seeded sequence of events on one deployment.
type Scenario struct {
	Name string
	Run  func(v Variant, seed uint64) *Outcome
}

// The scenarios of the figures and tables. Their names appear in reports.
var (
	PlannedChanges          = Scenario{"planned changes", overSeeds(plannedChangesWith(numClients), 2)}
	PlannedChangesMoreFlows = Scenario{"planned changes, 9000 flows", plannedChangesWith(3 * numClients)}
	VMKilled                = Scenario{"VM killed", overSeeds(vmKilled, 4)}
	Faults                  = Scenario{"faults", overSeeds(faults, 3)}
	ZoneOutWithDrain        = Scenario{"zone out and target draining", zoneOutWithDrain}
	SteadyRandstad          = Scenario{"70% load on Randstad", func(v Variant, s uint64) *Outcome { return steady(coretest.Randstad(), v, s) }}
	SteadySfax              = Scenario{"70% load on Sfax", func(v Variant, s uint64) *Outcome { return steady(coretest.Sfax(), v, s) }}
	ColdJoin                = Scenario{"cold targets join", coldJoin}
	ColdRestart             = Scenario{"targets restart cold", coldRestart}
	ZoneOutInRandstad       = Scenario{"zone leaves and returns, Randstad", func(v Variant, s uint64) *Outcome { return zoneOutIn(coretest.Randstad(), v, s) }}
	ZoneOutInSfax           = Scenario{"zone leaves and returns, Sfax", func(v Variant, s uint64) *Outcome { return zoneOutIn(coretest.Sfax(), v, s) }}
	ConfigInForce           = Scenario{"configuration in force", configInForce}
	SafetyScenarios         = []Scenario{PlannedChanges, VMKilled, Faults, ZoneOutWithDrain, ColdJoin, ColdRestart, ZoneOutInRandstad, ZoneOutInSfax}
)

// plannedChanges replaces all VMs in turn while a target drains, two join, and a weight and the contract
// change. The path to the clients is lossy.
func plannedChanges(flows int, v Variant, seed uint64) *Outcome {
	d := coretest.Randstad()
	t := startTrial(d, v, lossyPath(seed))
	t.addLoad(flows, 0.4)
	t.beginWindow()
	for i := range d.VMs {
		t.cluster.Stop(coretest.VMName(i))
		t.cluster.After(500*time.Millisecond, func() { changeDuringReplacement(t, i) })
		t.run(4 * time.Second)
		if t.cluster.Alive(coretest.VMName(i)) {
			t.run(10 * time.Second)
		}
		t.cluster.StartVM(coretest.VMName(i), d.Zones[i%len(d.Zones)])
		t.run(4 * time.Second)
	}
	t.run(15 * time.Second)
	return t.endWindow()
}

// plannedChangesWith returns plannedChanges with the given number of flows.
func plannedChangesWith(flows int) func(Variant, uint64) *Outcome {
	return func(v Variant, seed uint64) *Outcome { return plannedChanges(flows, v, seed) }
}

// changeDuringReplacement applies the configuration change that belongs to the replacement of the i-th VM.
func changeDuringReplacement(t *trial, i int) {
	switch i {
	case 1:
		t.cluster.ChangeTarget("pleinwacht-03", func(x *core.Target) { x.State = core.TargetDraining })
	case 2:
		t.cluster.AddConfiguredTarget(t.deployment, t.deployment.Target(20))
	case 3:
		t.cluster.ChangeTarget("pleinwacht-05", func(x *core.Target) { x.Weight = 0.5 })
	case 4:
		c := t.cluster.Config()
		c.Services[0].Contract.QueueLimit = 48
		t.cluster.Apply(c)
	case 5:
		t.cluster.AddConfiguredTarget(t.deployment, t.deployment.Target(21))
	}
}

// overSeeds returns a scenario that runs with consecutive seeds and adds the counts of the runs. Rates and
// shares are those of the first run.
func overSeeds(run func(Variant, uint64) *Outcome, runs uint64) func(Variant, uint64) *Outcome {
	return func(v Variant, seed uint64) *Outcome {
		sum := run(v, seed)
		for i := uint64(1); i < runs; i++ {
			sum.add(run(v, seed+i))
		}
		return sum
	}
}

// vmKilled kills one of 8 VMs while new flows arrive. For some of them no other VM has received a packet.
func vmKilled(v Variant, seed uint64) *Outcome {
	d := coretest.Randstad()
	t := startTrial(d, v, cleanPath(seed))
	t.addLoad(numClients/2, 0.3)
	t.beginWindow()
	const newFlows, arrivalTime = 1500, 3 * time.Second
	for range newFlows {
		t.cluster.AddClient(coretest.ClientOptions{Service: core.NewServiceID(d.Service), Feed: true,
			ReadEvery:  10 * time.Second,
			StartDelay: time.Duration(t.cluster.Rand.Int64N(int64(arrivalTime))) + time.Millisecond})
	}
	t.run(arrivalTime + 200*time.Millisecond)
	killedVM := coretest.VMName(int(seed) % d.VMs)
	seenElsewhere := map[core.FlowKey]bool{}
	t.cluster.CountClients(func(c *coretest.Client) bool {
		if len(c.Ingress) > 0 {
			seenElsewhere[c.Key] = len(c.Ingress) > 1 || !c.Ingress[killedVM]
		}
		return false
	})
	t.cluster.Kill(killedVM)
	t.run(40 * time.Second)
	o := t.endWindow()
	t.cluster.CountClients(func(c *coretest.Client) bool {
		elsewhere, arrived := seenElsewhere[c.Key]
		o.countAfterKill(elsewhere, arrived, c.Broken)
		return false
	})
	return o
}

// countAfterKill counts a flow by whether a VM other than the killed one had seen it. A flow that had not
// arrived before the kill is not counted.
func (o *Outcome) countAfterKill(seenElsewhere, arrived, broken bool) {
	switch {
	case !arrived:
	case seenElsewhere:
		o.FlowsSeenElsewhere++
		if broken {
			o.BrokenSeenElsewhere++
		}
	default:
		o.FlowsNotSeenElsewhere++
		if broken {
			o.BrokenNotSeenElsewhere++
		}
	}
}

// faults kills, powers off and pauses VMs with requests in flight. It partitions one VM from the platform while
// a target's address moves to another service. Some targets answer late and twice.
func faults(v Variant, seed uint64) *Outcome {
	d := coretest.Randstad()
	t := startTrial(d, v, lossyPath(seed))
	t.addLoad(numClients/2, 0.5)
	t.beginWindow()
	for _, x := range t.cluster.Targets()[:4] {
		x.AnswerDelay, x.DuplicateAnswers = 20*time.Millisecond, true
	}
	t.run(5 * time.Second)
	t.cluster.Kill(coretest.VMName(0))
	t.run(8 * time.Second)
	t.cluster.StartVM(coretest.VMName(0), d.Zones[0])
	t.cluster.PowerOff(coretest.VMName(2))
	t.run(8 * time.Second)
	t.cluster.Pause(coretest.VMName(4))
	t.run(4 * time.Second)
	t.cluster.Resume(coretest.VMName(4))
	t.run(8 * time.Second)
	t.cluster.Partition(string(coretest.VMName(5)), "platform")
	t.reuseAddress()
	t.run(25 * time.Second)
	t.cluster.Heal()
	t.run(15 * time.Second)
	return t.endWindow()
}

// reuseAddress removes a target and gives its address to a target of another service.
func (t *trial) reuseAddress() {
	moved := t.deployment.Target(6)
	next := moved
	next.Name = "fotoboek-01"
	next.Service = core.NewServiceID("fotoboek")
	next.ID = core.NewTargetID("fotoboek", next.Name, "")
	next.ActiveAfter = core.AddressQuarantine
	c := t.cluster.Config()
	c.Services[0].Targets = slices.DeleteFunc(c.Services[0].Targets, func(x core.Target) bool { return x.ID == moved.ID })
	c.Services = append(c.Services, core.Service{ID: next.Service, Name: "fotoboek",
		Contract: t.deployment.Contract, Addr: coretest.ServiceAddr(2), Targets: []core.Target{next}})
	t.cluster.Apply(c)
	t.cluster.After(5*time.Second, func() { t.cluster.AddTarget(next, t.deployment.Contract, t.deployment.ServiceTime, false) })
	for range 20 {
		t.cluster.AddClient(coretest.ClientOptions{Service: next.Service, ReadEvery: time.Second, PostEvery: 3 * time.Second})
	}
}

// zoneOutWithDrain takes a zone out while one of its VMs is partitioned from the platform, and drains a target
// in another zone while new flows arrive.
func zoneOutWithDrain(v Variant, seed uint64) *Outcome {
	d := coretest.Randstad()
	t := startTrial(d, v, lossyPath(seed))
	t.addLoad(numClients/2, 0.3)
	t.beginWindow()
	t.cluster.Partition(string(coretest.VMName(4)), "platform")
	t.run(2 * time.Second)
	t.cluster.SetZone(d.Zones[1], core.ZoneOut)
	t.cluster.ChangeTarget("pleinwacht-03", func(x *core.Target) { x.State = core.TargetDraining })
	for range 20 {
		t.deployment.AddLoad(t.cluster, 20, 0.004)
		t.run(time.Second)
	}
	t.cluster.Heal()
	t.cluster.SetZone(d.Zones[1], core.ZoneIn)
	t.run(20 * time.Second)
	return t.endWindow()
}

// steady runs equal warm targets at 70% load without changes.
func steady(d coretest.Deployment, v Variant, seed uint64) *Outcome {
	t := startTrial(d, v, cleanPath(seed))
	t.addLoad(numClients, 0.7)
	t.beginWindow()
	t.run(30 * time.Second)
	return t.endWindow()
}

// coldJoin adds new targets with 4 slots and a cold limit of 1 under load.
func coldJoin(v Variant, seed uint64) *Outcome {
	d := coretest.Sfax()
	t := startTrial(d, v, cleanPath(seed))
	t.addLoad(numClients, 0.6)
	t.beginWindow()
	for i := range 4 {
		t.cluster.AddConfiguredTarget(d, d.Target(20+i))
		t.run(5 * time.Second)
		t.deployment.AddLoad(t.cluster, 100, 0.01)
	}
	t.run(5 * time.Second)
	return t.endWindow()
}

// coldRestart restarts the targets of a zone without notice and under load. They are cold afterwards.
func coldRestart(v Variant, seed uint64) *Outcome {
	d := coretest.Sfax()
	t := startTrial(d, v, cleanPath(seed))
	t.addLoad(numClients, 0.6)
	t.beginWindow()
	t.run(2 * time.Second)
	t.cluster.RestartZone(d.Zones[1])
	t.run(20 * time.Second)
	return t.endWindow()
}

// zoneOutIn takes a zone with a third of the capacity out and back in with cold targets, at 60% load. It uses
// 15 targets, so that the zone has exactly a third of them.
func zoneOutIn(d coretest.Deployment, v Variant, seed uint64) *Outcome {
	d.Targets = 15
	t := startTrial(d, v, cleanPath(seed))
	t.addLoad(numClients, 0.6)
	t.beginWindow()
	t.run(5 * time.Second)
	inside := t.flowsInZone(d.Zones[2])
	t.cluster.SetZone(d.Zones[2], core.ZoneOut)
	t.run(30 * time.Second)
	t.cluster.RestartZone(d.Zones[2])
	t.cluster.SetZone(d.Zones[2], core.ZoneIn)
	t.run(40 * time.Second)
	o := t.endWindow()
	o.FlowsOutsideZone = o.Flows - len(inside)
	o.BrokenOutsideZone = t.cluster.CountClients(func(c *coretest.Client) bool { return c.Broken && !inside[c.Key] })
	return o
}

// flowsInZone returns the flows whose target is in a zone.
func (t *trial) flowsInZone(zone core.ZoneName) map[core.FlowKey]bool {
	zones := map[core.TargetID]core.ZoneName{}
	for _, x := range t.cluster.Targets() {
		zones[x.Target.ID] = x.Target.Zone
	}
	inside := map[core.FlowKey]bool{}
	t.cluster.CountClients(func(c *coretest.Client) bool {
		if zones[c.Target] == zone {
			inside[c.Key] = true
		}
		return false
	})
	return inside
}

// configInForce applies configurations at random moments and measures the time until each is in force on every
// VM.
func configInForce(v Variant, seed uint64) *Outcome {
	const changes, step = 50, 5 * time.Millisecond
	d := coretest.Randstad()
	t := startTrial(d, v, cleanPath(seed))
	t.addLoad(numClients/10, 0.3)
	t.beginWindow()
	for i := range changes {
		t.run(time.Second + time.Duration(t.cluster.Rand.Int64N(int64(time.Second))))
		gen := t.cluster.ChangeTarget("pleinwacht-05", func(x *core.Target) { x.Weight = 1 + float64(i%2)/100 })
		accepted := t.cluster.Now()
		for !t.inForce(gen) && t.cluster.Now()-accepted < 20*time.Second {
			t.cluster.Run(step)
		}
		t.outcome.ConfigDelays = append(t.outcome.ConfigDelays, t.cluster.Now()-accepted)
	}
	return t.endWindow()
}

// inForce reports whether every VM has at least the given generation in force.
func (t *trial) inForce(gen core.Generation) bool {
	for i := range t.deployment.VMs {
		if t.cluster.Generation(coretest.VMName(i)) < gen {
			return false
		}
	}
	return true
}
