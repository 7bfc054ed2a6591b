package bench

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

// callers is the number of callers of a scenario; each holds a live feed.
const callers = 3000

// Scenario is a seeded course of events on one deployment.
type Scenario struct {
	Name string
	Run  func(v Variant, seed uint64) *Outcome
}

// The scenarios.
var (
	PlannedChanges          = Scenario{"planned changes", repeated(plannedWith(callers), 2)}
	PlannedChangesMoreFlows = Scenario{"planned changes, 9000 flows", plannedWith(3 * callers)}
	VMKilled                = Scenario{"VM killed", repeated(killed, 4)}
	Faults                  = Scenario{"faults", repeated(faults, 3)}
	ZoneOutWithDrain        = Scenario{"zone out and target draining", leaving}
	SteadyRandstad          = Scenario{"70% load on Randstad", func(v Variant, s uint64) *Outcome { return steady(coretest.Randstad(), v, s) }}
	SteadySfax              = Scenario{"70% load on Sfax", func(v Variant, s uint64) *Outcome { return steady(coretest.Sfax(), v, s) }}
	ColdJoin                = Scenario{"cold targets join", coldJoin}
	ColdRestart             = Scenario{"targets restart cold", coldRestart}
	ZoneOutInRandstad       = Scenario{"zone leaves and returns, Randstad", func(v Variant, s uint64) *Outcome { return zoneMove(coretest.Randstad(), v, s) }}
	ZoneOutInSfax           = Scenario{"zone leaves and returns, Sfax", func(v Variant, s uint64) *Outcome { return zoneMove(coretest.Sfax(), v, s) }}
	ConfigInForce           = Scenario{"configuration in force", configInForce}
	SafetyScenarios         = []Scenario{PlannedChanges, VMKilled, Faults, ZoneOutWithDrain, ColdJoin, ColdRestart, ZoneOutInRandstad, ZoneOutInSfax}
)

// planned replaces all VMs in turn while a target drains, two join and weights and the contract
// change, with a lossy path to the callers.
func planned(flows int, v Variant, seed uint64) *Outcome {
	d := coretest.Randstad()
	t := start(d, v, rough(seed))
	t.load(flows, 0.4)
	t.begin()
	for i := range d.VMs {
		t.w.Stop(coretest.VMName(i))
		t.w.After(500*time.Millisecond, func() { plannedChange(t, i) })
		t.run(4 * time.Second)
		if t.w.Alive(coretest.VMName(i)) {
			t.run(10 * time.Second)
		}
		t.w.StartVM(coretest.VMName(i), d.Zones[i%len(d.Zones)])
		t.run(4 * time.Second)
	}
	t.run(15 * time.Second)
	return t.end()
}

// plannedWith returns the scenario with a number of flows.
func plannedWith(flows int) func(Variant, uint64) *Outcome {
	return func(v Variant, seed uint64) *Outcome { return planned(flows, v, seed) }
}

// plannedChange changes the configuration while the i-th VM is being replaced.
func plannedChange(t *trial, i int) {
	switch i {
	case 1:
		t.w.ChangeTarget("pleinwacht-03", func(x *core.Target) { x.State = core.TargetDraining })
	case 2:
		t.w.AddConfiguredTarget(t.d, t.d.Target(20))
	case 3:
		t.w.ChangeTarget("pleinwacht-05", func(x *core.Target) { x.Weight = 0.5 })
	case 4:
		c := t.w.Config()
		c.Services[0].Contract.QueueLimit = 48
		t.w.Apply(c)
	case 5:
		t.w.AddConfiguredTarget(t.d, t.d.Target(21))
	}
}

// repeated runs a scenario with seeds that follow each other and adds the counts. Rates and shares
// are those of the first run.
func repeated(run func(Variant, uint64) *Outcome, runs uint64) func(Variant, uint64) *Outcome {
	return func(v Variant, seed uint64) *Outcome {
		sum := run(v, seed)
		for i := uint64(1); i < runs; i++ {
			sum.add(run(v, seed+i))
		}
		return sum
	}
}

// killed kills one of 8 VMs while new flows arrive, part of which no other VM has seen.
func killed(v Variant, seed uint64) *Outcome {
	d := coretest.Randstad()
	t := start(d, v, smooth(seed))
	t.load(callers/2, 0.3)
	t.begin()
	const fresh, arriving = 1500, 3 * time.Second
	for range fresh {
		t.w.AddClient(coretest.ClientOptions{Service: core.NewServiceID(d.Service), Feed: true,
			ReadEvery:  10 * time.Second,
			StartDelay: time.Duration(t.w.Rand.Int64N(int64(arriving))) + time.Millisecond})
	}
	t.run(arriving + 200*time.Millisecond)
	victim := coretest.VMName(int(seed) % d.VMs)
	seen := map[core.FlowKey]bool{}
	t.w.CountClients(func(c *coretest.Client) bool {
		if len(c.Ingress) > 0 {
			seen[c.Key] = len(c.Ingress) > 1 || !c.Ingress[victim]
		}
		return false
	})
	t.w.Kill(victim)
	t.run(40 * time.Second)
	o := t.end()
	t.w.CountClients(func(c *coretest.Client) bool {
		elsewhere, arrived := seen[c.Key]
		o.countKilled(elsewhere, arrived, c.Broken)
		return false
	})
	return o
}

// countKilled counts a flow by whether another VM than the one killed had seen it.
func (o *Outcome) countKilled(elsewhere, arrived, broken bool) {
	switch {
	case !arrived:
	case elsewhere:
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

// faults kills, loses and freezes VMs with requests in flight, cuts one off from the platform while
// a target's address moves to another service, and disturbs the answers of targets.
func faults(v Variant, seed uint64) *Outcome {
	d := coretest.Randstad()
	t := start(d, v, rough(seed))
	t.load(callers/2, 0.5)
	t.begin()
	for _, x := range t.w.Targets()[:4] {
		x.AnswerDelay, x.DuplicateAnswers = 20*time.Millisecond, true
	}
	t.run(5 * time.Second)
	t.w.Kill(coretest.VMName(0))
	t.run(8 * time.Second)
	t.w.StartVM(coretest.VMName(0), d.Zones[0])
	t.w.PowerOff(coretest.VMName(2))
	t.run(8 * time.Second)
	t.w.Pause(coretest.VMName(4))
	t.run(4 * time.Second)
	t.w.Resume(coretest.VMName(4))
	t.run(8 * time.Second)
	t.w.Partition(string(coretest.VMName(5)), "platform")
	t.reuseAddress()
	t.run(25 * time.Second)
	t.w.Heal()
	t.run(15 * time.Second)
	return t.end()
}

// reuseAddress moves the address of a target to another service.
func (t *trial) reuseAddress() {
	moved := t.d.Target(6)
	next := moved
	next.Name = "fotoboek-01"
	next.Service = core.NewServiceID("fotoboek")
	next.ID = core.NewTargetID("fotoboek", next.Name, "")
	next.ActiveAfter = core.AddressQuarantine
	c := t.w.Config()
	c.Services[0].Targets = slices.DeleteFunc(c.Services[0].Targets, func(x core.Target) bool { return x.ID == moved.ID })
	c.Services = append(c.Services, core.Service{ID: next.Service, Name: "fotoboek",
		Contract: t.d.Contract, Addr: coretest.ServiceAddr(2), Targets: []core.Target{next}})
	t.w.Apply(c)
	t.w.After(5*time.Second, func() { t.w.AddTarget(next, t.d.Contract, t.d.ServiceTime, false) })
	for range 20 {
		t.w.AddClient(coretest.ClientOptions{Service: next.Service, ReadEvery: time.Second, PostEvery: 3 * time.Second})
	}
}

// leaving takes a zone out while one of its VMs is cut off from the platform, and drains a target
// in another zone while new flows arrive.
func leaving(v Variant, seed uint64) *Outcome {
	d := coretest.Randstad()
	t := start(d, v, rough(seed))
	t.load(callers/2, 0.3)
	t.begin()
	t.w.Partition(string(coretest.VMName(4)), "platform")
	t.run(2 * time.Second)
	t.w.SetZone(d.Zones[1], core.ZoneOut)
	t.w.ChangeTarget("pleinwacht-03", func(x *core.Target) { x.State = core.TargetDraining })
	for range 20 {
		t.d.AddLoad(t.w, 20, 0.004)
		t.run(time.Second)
	}
	t.w.Heal()
	t.w.SetZone(d.Zones[1], core.ZoneIn)
	t.run(20 * time.Second)
	return t.end()
}

// steady runs equal warm targets at 70% load.
func steady(d coretest.Deployment, v Variant, seed uint64) *Outcome {
	t := start(d, v, smooth(seed))
	t.load(callers, 0.7)
	t.begin()
	t.run(30 * time.Second)
	return t.end()
}

// coldJoin lets new targets with 4 slots and a cold limit of 1 join under load.
func coldJoin(v Variant, seed uint64) *Outcome {
	d := coretest.Sfax()
	t := start(d, v, smooth(seed))
	t.load(callers, 0.6)
	t.begin()
	for i := range 4 {
		t.w.AddConfiguredTarget(d, d.Target(20+i))
		t.run(5 * time.Second)
		t.d.AddLoad(t.w, 100, 0.01)
	}
	t.run(5 * time.Second)
	return t.end()
}

// coldRestart restarts the targets of a zone cold, without a warning, under load.
func coldRestart(v Variant, seed uint64) *Outcome {
	d := coretest.Sfax()
	t := start(d, v, smooth(seed))
	t.load(callers, 0.6)
	t.begin()
	t.run(2 * time.Second)
	t.w.RestartZone(d.Zones[1])
	t.run(20 * time.Second)
	return t.end()
}

// zoneMove takes a zone with a third of the capacity out and brings it back with cold targets, at a
// demand of 60%. It uses 15 targets, so that the zone has exactly a third.
func zoneMove(d coretest.Deployment, v Variant, seed uint64) *Outcome {
	d.Targets = 15
	t := start(d, v, smooth(seed))
	t.load(callers, 0.6)
	t.begin()
	t.run(5 * time.Second)
	inside := t.flowsInZone(d.Zones[2])
	t.w.SetZone(d.Zones[2], core.ZoneOut)
	t.run(30 * time.Second)
	t.w.RestartZone(d.Zones[2])
	t.w.SetZone(d.Zones[2], core.ZoneIn)
	t.run(40 * time.Second)
	o := t.end()
	o.FlowsOutsideZone = o.Flows - len(inside)
	o.BrokenOutsideZone = t.w.CountClients(func(c *coretest.Client) bool { return c.Broken && !inside[c.Key] })
	return o
}

// flowsInZone returns the flows whose target is in a zone.
func (t *trial) flowsInZone(zone core.ZoneName) map[core.FlowKey]bool {
	zones := map[core.TargetID]core.ZoneName{}
	for _, x := range t.w.Targets() {
		zones[x.Target.ID] = x.Target.Zone
	}
	inside := map[core.FlowKey]bool{}
	t.w.CountClients(func(c *coretest.Client) bool {
		if zones[c.Target] == zone {
			inside[c.Key] = true
		}
		return false
	})
	return inside
}

// configInForce accepts configurations at random moments and measures how long each takes until it
// is in force on every VM.
func configInForce(v Variant, seed uint64) *Outcome {
	const changes, step = 50, 5 * time.Millisecond
	d := coretest.Randstad()
	t := start(d, v, smooth(seed))
	t.load(callers/10, 0.3)
	t.begin()
	for i := range changes {
		t.run(time.Second + time.Duration(t.w.Rand.Int64N(int64(time.Second))))
		gen := t.w.ChangeTarget("pleinwacht-05", func(x *core.Target) { x.Weight = 1 + float64(i%2)/100 })
		accepted := t.w.Now()
		for !t.inForce(gen) && t.w.Now()-accepted < 20*time.Second {
			t.w.Run(step)
		}
		t.out.ConfigDelays = append(t.out.ConfigDelays, t.w.Now()-accepted)
	}
	return t.end()
}

// inForce reports whether all VMs have a generation.
func (t *trial) inForce(gen core.Generation) bool {
	for i := range t.d.VMs {
		if t.w.Generation(coretest.VMName(i)) < gen {
			return false
		}
	}
	return true
}
