package control_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangoweir/mangoweir/core"
	_ "github.com/mangoweir/mangoweir/internal/fixedseed"
)

// Guards against two VMs with authority over one target, generations that revert, generations that do not
// reach all VMs, and targets that stay without an owner, under random faults.
func TestFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { checkFaults(t, 3, 8) })
}

// Guards against the same failures in fleets in which VMs do not exchange heartbeats with all others.
func TestFaultsInLargeFleet(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { checkFaults(t, 10, 14) })
}

// checkFaults applies random faults to a fleet and checks what must hold during and after them.
func checkFaults(t *rapid.T, least, most int) {
	c := drawFleet(t, least, most)
	c.check = func() { c.checkInvariants(t) }
	for range rapid.IntRange(2, 8).Draw(t, "steps") {
		c.drawStep(t)
	}
	c.heal()
	c.advance(12 * time.Second)
	c.accept(copyConfig(c.configs[c.platform.generation]))
	// A generation reaches all VMs after at most seven transits: heads, manifest, heartbeat and pull. With
	// 200 ms each they exceed the 2 s that hold for the latencies of the deployments.
	c.advance(2*time.Second + 7*(c.maxDelay-2*time.Millisecond))
	c.checkGeneration(t, func(*vm) bool { return true })
	c.advance(20 * time.Second)
	if problem := c.ownershipProblem(); problem != "" {
		t.Fatalf("after the faults: %s", problem)
	}
}

// drawFleet starts VMs in one to three zones.
func drawFleet(t *rapid.T, least, most int) *cluster {
	c := newCluster(rapid.Uint64().Draw(t, "seed"))
	c.trace = t.Logf
	c.accept(testConfig(rapid.IntRange(1, 18).Draw(t, "targets")))
	n := rapid.IntRange(least, most).Draw(t, "vms")
	zoneCount := rapid.IntRange(1, 3).Draw(t, "zones")
	for i := range n {
		c.addVM(core.VMName(fmt.Sprintf("vm%02d", i)), zones[i%zoneCount])
	}
	for _, v := range c.vms {
		v.start()
		c.advance(time.Duration(rapid.IntRange(0, 800).Draw(t, "gap")) * time.Millisecond)
	}
	c.loss = rapid.SampledFrom([]float64{0, 0, 0.02, 0.1}).Draw(t, "loss")
	c.maxDelay = rapid.SampledFrom([]time.Duration{2, 20, 200}).Draw(t, "delay") * time.Millisecond
	c.advance(time.Duration(rapid.IntRange(0, 15).Draw(t, "settle")) * time.Second)
	return c
}

// drawStep starts or ends a fault or changes the configuration, and lets some time pass.
func (c *cluster) drawStep(t *rapid.T) {
	v := c.vms[rapid.IntRange(0, len(c.vms)-1).Draw(t, "vm")]
	other := c.vms[rapid.IntRange(0, len(c.vms)-1).Draw(t, "other")]
	step := rapid.SampledFrom([]string{"pause", "resume", "kill", "restart", "stop", "cut", "cutOneWay",
		"cutZone", "cutHalf", "isolate", "outage", "outageEnd", "responseLoss", "heal", "zoneOut", "zoneIn",
		"addTarget", "removeTarget", "propagation"}).Draw(t, "step")
	c.trace("%v step %s %s %s", c.now-time.Hour, step, v.name, other.name)
	c.step(t, step, v, other)
	c.advance(time.Duration(rapid.IntRange(0, 9000).Draw(t, "wait")) * time.Millisecond)
}

func (c *cluster) step(t *rapid.T, step string, v, other *vm) {
	newest := c.configs[c.platform.generation]
	switch step {
	case "pause":
		v.paused = v.alive
	case "resume":
		c.resumeAll()
	case "kill":
		v.kill()
	case "restart":
		if !v.alive {
			v.start()
		}
	case "stop":
		v.input(core.Stop{})
		v.report(core.ShardDrained{})
	case "cut":
		c.setCut(v, other, true)
		c.setCut(other, v, true)
	case "cutOneWay":
		c.setCut(v, other, true)
	case "cutZone":
		c.cutBetween(func(a *vm) bool { return a.zone == v.zone }, v.zone == other.zone)
	case "cutHalf":
		c.cutBetween(func(a *vm) bool { return a.name <= v.name }, v.zone == other.zone)
	case "isolate":
		v.isolated = true
	case "outage":
		c.platform.down = true
	case "outageEnd":
		c.platform.down = false
	case "responseLoss":
		c.platform.responseLoss = 0.3
	case "heal":
		c.heal()
	case "zoneOut", "zoneIn":
		next := copyConfig(newest)
		next.Zones[0].State = map[string]core.ZoneState{"zoneOut": core.ZoneOut}[step]
		c.accept(next)
	case "addTarget":
		next := copyConfig(newest)
		addTarget(next, 20+int(c.platform.generation))
		c.accept(next)
	case "removeTarget":
		next := copyConfig(newest)
		if s := &next.Services[0]; len(s.Targets) > 1 {
			s.Targets = s.Targets[1:]
		}
		c.accept(next)
	case "propagation":
		c.checkPropagation(t)
	}
}

// cutBetween cuts the VMs that match off from the others and, if platform is true, from the platform.
func (c *cluster) cutBetween(match func(*vm) bool, platform bool) {
	for _, a := range c.vms {
		if match(a) && platform {
			a.isolated = true
		}
		for _, b := range c.vms {
			if match(a) != match(b) {
				c.setCut(a, b, true)
			}
		}
	}
}

// heal ends all faults, returns the first zone to service and restarts VMs that have ended or are leaving.
func (c *cluster) heal() {
	clear(c.cutLinks)
	c.loss = 0
	c.platform.down = false
	c.platform.responseLoss = 0
	next := copyConfig(c.configs[c.platform.generation])
	next.Zones[0].State = core.ZoneIn
	c.accept(next)
	c.resumeAll()
	for _, v := range c.vms {
		v.isolated = false
		if !v.alive || v.snapshot != nil && v.snapshot.Leaving {
			v.kill()
			v.start()
		}
	}
}

func (c *cluster) resumeAll() {
	for _, v := range c.vms {
		if v.paused {
			v.resume()
		}
	}
}

// checkPropagation accepts a generation while faults are active. After suspicion has had time to settle,
// every VM that is connected in both directions, directly or through other VMs, to one that reaches the
// platform must have the generation within 2 s.
func (c *cluster) checkPropagation(t *rapid.T) {
	if c.platform.down || c.platform.responseLoss > 0 || c.loss > 0 || c.maxDelay > 20*time.Millisecond {
		return
	}
	c.advance(8 * time.Second)
	c.accept(copyConfig(c.configs[c.platform.generation]))
	c.advance(2 * time.Second)
	reached := map[*vm]bool{}
	for range c.vms {
		for _, a := range c.vms {
			if !a.alive || a.paused {
				continue
			}
			reached[a] = reached[a] || !a.isolated
			for _, b := range c.vms {
				linked := b.alive && !b.paused && c.connected(a, b) && c.connected(b, a)
				reached[a] = reached[a] || linked && reached[b]
			}
		}
	}
	c.checkGeneration(t, func(v *vm) bool { return reached[v] })
}

// checkGeneration checks that the matching VMs have the newest generation.
func (c *cluster) checkGeneration(t *rapid.T, match func(*vm) bool) {
	for _, v := range c.vms {
		if match(v) && v.highestGeneration < c.platform.generation {
			t.Fatalf("%s has generation %d after 2 s, not %d", v.name, v.highestGeneration, c.platform.generation)
		}
	}
}

// checkInvariants checks what must hold at any time.
func (c *cluster) checkInvariants(t interface{ Fatalf(string, ...any) }) {
	owners := map[core.TargetID]*vm{}
	for _, v := range c.vms {
		if !v.alive || v.snapshot == nil {
			continue
		}
		if cfg := v.snapshot.Config; cfg != nil {
			if cfg.Generation < v.highestGeneration {
				t.Fatalf("%s reverted from generation %d to %d", v.name, v.highestGeneration, cfg.Generation)
			}
			v.highestGeneration = cfg.Generation
		}
		for id := range v.owned {
			if !v.hasAuthority(id) {
				continue
			}
			if other := owners[id]; other != nil {
				t.Fatalf("at %v both %s (%x) and %s (%x) have authority over %d", c.now-time.Hour,
					other.name, other.owned[id].token, v.name, v.owned[id].token, id)
			}
			owners[id] = v
		}
	}
}
