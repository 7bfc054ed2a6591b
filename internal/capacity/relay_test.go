package capacity

import (
	"sync"
	"testing"
	"time"
)

// Bounds of the design page, section 1.5, and the constant cost per daemon of section 4.4.
const (
	maxControlBytes  = 5000
	maxMessageGrowth = 0.20
	maxTimeToForce   = 2 * time.Second
	smallFleet       = 8
	largeFleet       = 200
)

// relayRun is what TestRelayBounds checks for one fleet.
type relayRun struct {
	rates    Rates
	inForce  time.Duration
	members  int
	settling uint64
}

func runRelay(vms int) relayRun {
	const warmUp, period = 12 * time.Second, 10 * time.Second
	f := NewCluster(ClusterOptions{Seed: 1, VMs: vms, Targets: 14})
	f.Run(warmUp)
	before := f.Platform.members[zoneName(0)].Epoch
	run := relayRun{rates: f.Measure(period)}
	list := f.Platform.members[zoneName(0)]
	run.members, run.settling = len(list.Members), uint64(list.Epoch-before)
	run.inForce = f.TimeUntilInForce(10 * time.Second)
	return run
}

// Guards against control traffic that grows with the fleet, and against a change that reaches some
// VMs late.
func TestRelayBounds(t *testing.T) {
	t.Parallel()
	var small, large relayRun
	var runs sync.WaitGroup
	runs.Go(func() { small = runRelay(smallFleet) })
	runs.Go(func() { large = runRelay(largeFleet) })
	runs.Wait()
	for vms, run := range map[int]relayRun{smallFleet: small, largeFleet: large} {
		t.Logf("%d VMs: %.0f B/s and %.1f messages/s per VM, in force after %v", vms, run.rates.Bytes, run.rates.Messages, run.inForce)
		if run.rates.Bytes > maxControlBytes {
			t.Errorf("%d VMs: %.0f B/s of control traffic per VM, more than %d", vms, run.rates.Bytes, maxControlBytes)
		}
		if run.inForce > maxTimeToForce {
			t.Errorf("%d VMs: a change is in force after %v, more than %v", vms, run.inForce, maxTimeToForce)
		}
	}
	growth := large.rates.Messages/small.rates.Messages - 1
	t.Run("MessagesConstant", func(t *testing.T) {
		if growth > maxMessageGrowth || growth < -maxMessageGrowth {
			t.Errorf("messages per VM change by %.0f%% from %d to %d VMs, more than %.0f%%", 100*growth, smallFleet, largeFleet, 100*maxMessageGrowth)
		}
	})
	// Guards against member lists that lose VMs which are alive: a VM that hears only some peers
	// must not remove the others.
	t.Run("MembersStable", func(t *testing.T) {
		for vms, run := range map[int]relayRun{smallFleet: small, largeFleet: large} {
			if run.members != vms || run.settling > 0 {
				t.Errorf("%d VMs, none lost: the member list has %d members and changed %d times in 10 s", vms, run.members, run.settling)
			}
		}
	})
}

// Guards against targets that stay without a holder after their whole zone is lost: VMs that exchange
// no heartbeats with the zone have to learn of its loss too (design page, section 4.2).
func TestZoneLoss(t *testing.T) {
	t.Parallel()
	for _, run := range []struct {
		vms  int
		seed uint64
	}{{9, 1}, {24, 1}, {24, 2}, {45, 1}} {
		vms := run.vms
		f := NewCluster(ClusterOptions{Seed: run.seed, VMs: vms, Zones: 3, Targets: 30})
		f.Run(15 * time.Second)
		for i := 0; i < vms; i += 3 {
			f.PowerOff(VMName(i))
		}
		f.Run(2 * time.Minute)
		if k := f.Ownership(); k.Unowned > 0 {
			t.Errorf("%d VMs, seed %d: nobody holds %.0f%% of the targets 2 min after a zone was lost", vms, run.seed, 100*k.Unowned)
		}
	}
}
