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

// addTarget adds the target number i.
func addTarget(cfg *core.Config, i int) {
	s := &cfg.Services[min(i/14, 1)]
	name := fmt.Sprintf("host%d", i)
	s.Targets = append(s.Targets, core.Target{
		ID: core.NewTargetID(s.Name, name, "1"), Service: s.ID, Name: name, Instance: "1",
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(i)}), 5683),
		Zone: zones[i%len(zones)], Slots: 4, Connections: 2000, Weight: 1,
	})
}

// copyConfig returns a copy that can be changed.
func copyConfig(cfg *core.Config) *core.Config {
	next := *cfg
	next.Zones = append([]core.Zone(nil), cfg.Zones...)
	next.Services = append([]core.Service(nil), cfg.Services...)
	for i := range next.Services {
		next.Services[i].Targets = append([]core.Target(nil), cfg.Services[i].Targets...)
	}
	return &next
}

// newFleet starts n VMs and a configuration with 18 targets, and lets them settle.
func newFleet(seed uint64, n int) *world {
	w := newWorld(seed)
	w.accept(testConfig(18))
	for i := range n {
		w.addVM(core.VMName(fmt.Sprintf("vm%02d", i)), zones[i%len(zones)])
	}
	for _, v := range w.vms {
		v.start()
	}
	w.advance(8 * time.Second)
	return w
}

// holders returns the live VMs whose shards hold a target.
func (w *world) holders(id core.TargetID) []core.VMName {
	var names []core.VMName
	for _, v := range w.vms {
		if v.alive && v.holds[id] != nil {
			names = append(names, v.name)
		}
	}
	return names
}

// settled returns an empty string when every target has one live holder with authority that all
// live VMs know, and otherwise what is wrong. In a large fleet VMs may not know the holder, but must
// not take another one for it.
func (w *world) settled() string {
	for _, t := range targetsOf(w.configs[w.platform.manifest]) {
		holders := w.holders(t.ID)
		if len(holders) != 1 {
			return fmt.Sprintf("target %s in %s has holders %v", t.Name, t.Zone, holders)
		}
		if v := w.vm(holders[0]); !v.hasAuthority(t.ID) && w.configs[w.platform.manifest].ZoneState(v.zone) == core.ZoneIn {
			return fmt.Sprintf("%s holds %s without authority until %v, former %v", v.name, t.Name, v.snapshot.AuthorityUntil-w.now, v.holds[t.ID].formerUntil-w.now)
		}
		for _, v := range w.vms {
			known := v.alive && (len(w.vms) <= 9 || v.snapshot.Targets[t.ID].Owner != "")
			if known && v.snapshot.Targets[t.ID].Owner != holders[0] {
				return fmt.Sprintf("%s takes %q for the holder of %s, not %s", v.name, v.snapshot.Targets[t.ID].Owner, t.Name, holders[0])
			}
		}
	}
	return ""
}

// Guards against a fleet that does not form by itself, a configuration that does not spread and a
// target without a holder.
func TestBootstrap(t *testing.T) {
	t.Parallel()
	Convey("Given 8 VMs that start together with nothing but the platform", t, func() {
		w := newFleet(1, 8)
		Convey("every target has one holder with authority in its zone", func() {
			So(w.settled(), ShouldEqual, "")
			for _, target := range targetsOf(w.configs[1]) {
				So(w.vm(w.holders(target.ID)[0]).zone, ShouldEqual, target.Zone)
			}
		})
		Convey("a new generation is in force everywhere within 2 s", func() {
			w.accept(copyConfig(w.configs[1]))
			w.advance(2 * time.Second)
			for _, v := range w.vms {
				So(v.snapshot.Config.Generation, ShouldEqual, 2)
			}
		})
		Convey("a killed VM's targets are taken over within a second", func() {
			w.vms[0].kill()
			w.advance(time.Second)
			So(w.settled(), ShouldEqual, "")
		})
		Convey("a frozen VM is replaced, and drops its targets when it resumes", func() {
			w.vms[0].paused = true
			w.advance(10 * time.Second)
			So(w.settled(), ShouldNotContainSubstring, "has holders []")
			w.vms[0].resume()
			w.advance(10 * time.Second)
			So(w.settled(), ShouldEqual, "")
		})
		Convey("a planned stop hands over everything, also without the platform", func() {
			w.platform.down = true
			w.vms[1].handle(core.Stop{})
			w.vms[1].report(core.ShardDrained{})
			w.advance(5 * time.Second)
			So(w.vms[1].drained, ShouldBeTrue)
			So(w.vms[1].holds, ShouldBeEmpty)
			w.vms[1].kill()
			w.advance(3 * time.Second)
			So(w.settled(), ShouldEqual, "")
		})
	})
}
