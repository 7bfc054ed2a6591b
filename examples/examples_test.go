package examples

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/contract"
	"github.com/mangoweir/mangoweir/internal/settings"
)

// Guards against example files that are invalid as they are, differ from the documented deployments or
// contradict each other.
func TestExamples(t *testing.T) {
	cases := []struct {
		deployment string
		services   []string
		slots, vms int
	}{
		{"sfax", []string{"ledger-desk", "audit-intake"}, 4, 8},
		{"randstad", []string{"pleinwacht", "fotoboek"}, 2, 7},
	}
	for _, c := range cases {
		Convey("The files of "+c.deployment, t, func() {
			text, err := os.ReadFile(filepath.Join(c.deployment, "manifest.jsonc"))
			So(err, ShouldBeNil)
			config, err := contract.Decode(1, text)
			So(err, ShouldBeNil)
			Convey("declare the documented targets, a third of them in each zone", func() {
				So(config.Zones, ShouldHaveLength, 3)
				perZone := map[core.ZoneName]int{}
				for i, name := range c.services {
					s := config.Services[i]
					So(s.Name, ShouldEqual, name)
					So(s.Targets, ShouldHaveLength, []int{14, 4}[i])
					for _, target := range s.Targets {
						perZone[target.Zone]++
						So(target.Slots, ShouldEqual, c.slots)
						So(target.Connections, ShouldEqual, 2000)
						So(target.ReportsLoad, ShouldBeTrue)
					}
				}
				for _, z := range config.Zones {
					So(perZone[z.Name], ShouldEqual, 6)
				}
			})
			Convey("have settings of VMs in all zones that agree with each other", func() {
				files, err := filepath.Glob(filepath.Join(c.deployment, "vms", "*.jsonc"))
				So(err, ShouldBeNil)
				So(files, ShouldHaveLength, c.vms)
				checkVMs(config, files)
			})
		})
	}
}

func checkVMs(config *core.Config, files []string) {
	taken := map[netip.AddrPort]bool{}
	for _, s := range config.Services {
		taken[s.Addr] = true
		for _, target := range s.Targets {
			taken[target.Addr] = true
		}
	}
	zones := map[core.ZoneName]int{}
	for _, file := range files {
		s, err := settings.Load(file)
		So(err, ShouldBeNil)
		So(string(s.Name)+".jsonc", ShouldEqual, filepath.Base(file))
		So(s.Seeds, ShouldHaveLength, len(files)-1)
		zones[s.Zone]++
		for _, a := range []netip.AddrPort{s.Listen.Fabric, s.Listen.Targets, s.Listen.Peers, s.Listen.HTTP} {
			So(taken[a], ShouldBeFalse)
			taken[a] = true
		}
	}
	for _, z := range config.Zones {
		So(zones[z.Name], ShouldBeBetweenOrEqual, 2, 3)
	}
}
