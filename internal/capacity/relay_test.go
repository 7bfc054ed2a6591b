package capacity

import (
	"sync"
	"testing"
	"time"
)

// The bounds of section 1.5 of the design page, and of section 4.4: the cost per VM does not depend on the
// number of VMs.
const (
	maxControlBytes     = 5000
	maxMessageGrowth    = 0.20
	maxTimeUntilInForce = 2 * time.Second
	smallCluster        = 8
	largeCluster        = 200
)

// relayRun holds the values that TestRelayBounds checks for a cluster of one size.
type relayRun struct {
	rates       Rates
	inForce     time.Duration
	members     int
	listChanges uint64
}

func runRelay(vms int) relayRun {
	const warmUp, period = 12 * time.Second, 10 * time.Second
	c := NewCluster(ClusterOptions{Seed: 1, VMs: vms, Targets: 14})
	c.Run(warmUp)
	before := c.Platform.members[zoneName(0)].Epoch
	run := relayRun{rates: c.Measure(period)}
	list := c.Platform.members[zoneName(0)]
	run.members, run.listChanges = len(list.Members), uint64(list.Epoch-before)
	run.inForce = c.TimeUntilInForce(10 * time.Second)
	return run
}

// TestRelayBounds guards against control traffic per VM that grows with the cluster, and against a change that
// reaches some VMs late.
func TestRelayBounds(t *testing.T) {
	t.Parallel()
	var small, large relayRun
	var runs sync.WaitGroup
	runs.Go(func() { small = runRelay(smallCluster) })
	runs.Go(func() { large = runRelay(largeCluster) })
	runs.Wait()
	for vms, run := range map[int]relayRun{smallCluster: small, largeCluster: large} {
		t.Logf("%d VMs: %.0f B/s and %.1f messages/s per VM, in force after %v", vms, run.rates.Bytes, run.rates.Messages, run.inForce)
		if run.rates.Bytes > maxControlBytes {
			t.Errorf("%d VMs: %.0f B/s of control traffic per VM, more than %d", vms, run.rates.Bytes, maxControlBytes)
		}
		if run.inForce > maxTimeUntilInForce {
			t.Errorf("%d VMs: a change is in force after %v, more than %v", vms, run.inForce, maxTimeUntilInForce)
		}
	}
	growth := large.rates.Messages/small.rates.Messages - 1
	t.Run("MessagesConstant", func(t *testing.T) {
		if growth > maxMessageGrowth || growth < -maxMessageGrowth {
			t.Errorf("messages per VM change by %.0f%% from %d to %d VMs, more than %.0f%%", 100*growth, smallCluster, largeCluster, 100*maxMessageGrowth)
		}
	})
	// Guards against member lists that lose VMs which are alive: a VM that receives heartbeats from only
	// some peers must not remove the others.
	t.Run("MembersStable", func(t *testing.T) {
		for vms, run := range map[int]relayRun{smallCluster: small, largeCluster: large} {
			if run.members != vms || run.listChanges > 0 {
				t.Errorf("%d VMs, none lost: the member list has %d members and changed %d times in 10 s", vms, run.members, run.listChanges)
			}
		}
	})
}

// TestZoneLoss guards against targets that stay without an owner after all VMs of a zone are lost. VMs that
// exchange no heartbeats with that zone must detect the loss, too (design page, section 4.2).
func TestZoneLoss(t *testing.T) {
	t.Parallel()
	for _, run := range []struct {
		vms  int
		seed uint64
	}{{9, 1}, {24, 1}, {24, 2}, {45, 1}} {
		vms := run.vms
		c := NewCluster(ClusterOptions{Seed: run.seed, VMs: vms, Zones: 3, Targets: 30})
		c.Run(15 * time.Second)
		for i := 0; i < vms; i += 3 {
			c.PowerOff(VMName(i))
		}
		c.Run(2 * time.Minute)
		if ownership := c.Ownership(); ownership.Unowned > 0 {
			t.Errorf("%d VMs, seed %d: no VM owns %.0f%% of the targets 2 min after a zone was lost", vms, run.seed, 100*ownership.Unowned)
		}
	}
}
