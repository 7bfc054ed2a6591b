package control_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
)

var zones = []core.ZoneName{"sfax-medina", "sfax-sakiet", "sfax-thyna"}

// testConfig returns two services with n targets in total, spread over the zones.
func testConfig(n int) *core.Config {
	cfg := &core.Config{Deployment: "sfax"}
	for _, z := range zones {
		cfg.Zones = append(cfg.Zones, core.Zone{Name: z})
	}
	names := []string{"ledger-desk", "audit-intake"}
	for i, name := range names {
		cfg.Services = append(cfg.Services, core.Service{
			ID: core.NewServiceID(name), Name: name,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 5683),
		})
	}
	for i := range n {
		addTarget(cfg, i)
	}
	return cfg
}

// addTarget adds target number i.
func addTarget(cfg *core.Config, i int) {
	s := &cfg.Services[min(i/14, 1)]
	name := fmt.Sprintf("host%d", i)
	s.Targets = append(s.Targets, core.Target{
		ID: core.NewTargetID(s.Name, name, "1"), Service: s.ID, Name: name, Instance: "1",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 5683),
		Zone: zones[i%len(zones)], Slots: 4, Connections: 2000, Weight: 1,
	})
}

// copyConfig returns a copy that can be modified.
func copyConfig(cfg *core.Config) *core.Config {
	next := *cfg
	next.Zones = append([]core.Zone(nil), cfg.Zones...)
	next.Services = append([]core.Service(nil), cfg.Services...)
	for i := range next.Services {
		next.Services[i].Targets = append([]core.Target(nil), cfg.Services[i].Targets...)
	}
	return &next
}

// newFleet starts n VMs with a configuration of 18 targets and waits until the targets have owners.
func newFleet(seed uint64, n int) *cluster {
	c := newCluster(seed)
	c.accept(testConfig(18))
	for i := range n {
		c.addVM(core.VMName(fmt.Sprintf("vm%02d", i)), zones[i%len(zones)])
	}
	for _, v := range c.vms {
		v.start()
	}
	c.advance(8 * time.Second)
	return c
}

// owners returns the live VMs whose shards own a target.
func (c *cluster) owners(id core.TargetID) []core.VMName {
	var names []core.VMName
	for _, v := range c.vms {
		if v.alive && v.owned[id] != nil {
			names = append(names, v.name)
		}
	}
	return names
}

// ownershipProblem returns an empty string when every target has one live owner with authority that all
// live VMs have in their snapshots, and otherwise what is wrong. In a large fleet the snapshot of a VM may
// have no owner for a target, but must not have a wrong one.
func (c *cluster) ownershipProblem() string {
	for _, t := range targetsOf(c.configs[c.platform.generation]) {
		owners := c.owners(t.ID)
		if len(owners) != 1 {
			return fmt.Sprintf("target %s in %s has owners %v", t.Name, t.Zone, owners)
		}
		if v := c.vm(owners[0]); !v.hasAuthority(t.ID) && c.configs[c.platform.generation].ZoneState(v.zone) == core.ZoneIn {
			return fmt.Sprintf("%s owns %s without authority: its authority ends in %v, that of a previous owner in %v", v.name, t.Name, v.snapshot.AuthorityUntil-c.now, v.owned[t.ID].previousOwnerUntil-c.now)
		}
		for _, v := range c.vms {
			compared := v.alive && (len(c.vms) <= 9 || v.snapshot.Targets[t.ID].Owner != "")
			if compared && v.snapshot.Targets[t.ID].Owner != owners[0] {
				return fmt.Sprintf("%s has %q as the owner of %s, not %s", v.name, v.snapshot.Targets[t.ID].Owner, t.Name, owners[0])
			}
		}
	}
	return ""
}

// Guards against a fleet that does not form by itself, a configuration that does not reach all VMs, and a
// target without an owner.
func TestBootstrap(t *testing.T) {
	t.Parallel()
	Convey("Given 8 VMs that start together and can only use the platform", t, func() {
		c := newFleet(1, 8)
		Convey("every target has one owner with authority in its zone", func() {
			So(c.ownershipProblem(), ShouldEqual, "")
			for _, target := range targetsOf(c.configs[1]) {
				So(c.vm(c.owners(target.ID)[0]).zone, ShouldEqual, target.Zone)
			}
		})
		Convey("a new generation is in force everywhere within 2 s", func() {
			c.accept(copyConfig(c.configs[1]))
			c.advance(2 * time.Second)
			for _, v := range c.vms {
				So(v.snapshot.Config.Generation, ShouldEqual, 2)
			}
		})
		Convey("a killed VM's targets are taken over within a second", func() {
			c.vms[0].kill()
			c.advance(time.Second)
			So(c.ownershipProblem(), ShouldEqual, "")
		})
		Convey("a paused VM is replaced, and drops its targets when it resumes", func() {
			c.vms[0].paused = true
			c.advance(10 * time.Second)
			So(c.ownershipProblem(), ShouldNotContainSubstring, "has owners []")
			c.vms[0].resume()
			c.advance(10 * time.Second)
			So(c.ownershipProblem(), ShouldEqual, "")
		})
		Convey("a planned stop hands over all targets, even without the platform", func() {
			c.platform.down = true
			c.vms[1].handle(core.Stop{})
			c.vms[1].report(core.ShardDrained{})
			c.advance(5 * time.Second)
			So(c.vms[1].drained, ShouldBeTrue)
			So(c.vms[1].owned, ShouldBeEmpty)
			c.vms[1].kill()
			c.advance(3 * time.Second)
			So(c.ownershipProblem(), ShouldEqual, "")
		})
	})
}
