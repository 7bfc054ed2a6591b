package vm_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/control"
	"github.com/mangoweir/mangoweir/core/vm"
)

// decode returns a configuration with one zone, one service and one target.
func decode(g core.Generation, text []byte) (*core.Config, error) {
	s := core.Service{ID: core.NewServiceID("ledger-desk"), Name: "ledger-desk"}
	s.Targets = []core.Target{{
		ID: core.NewTargetID("ledger-desk", "host1", "1"), Service: s.ID, Name: "host1", Zone: "sfax-medina",
		Addr: netip.MustParseAddrPort("10.2.0.1:5683"), Slots: 4, Connections: 2000, Weight: 1,
	}}
	return &core.Config{
		Generation: g, Text: text,
		Zones:    []core.Zone{{Name: "sfax-medina"}},
		Services: []core.Service{s},
	}, nil
}

// Guards against actions between control and shards that are returned to the driver, and against a planned
// stop that waits for shards that have finished.
func TestSingleVM(t *testing.T) {
	t.Parallel()
	Convey("Given one VM with two shards, and a test that responds to its platform calls", t, func() {
		entryVM := vm.New(vm.Options{Shards: 2, Control: control.Options{
			Self: "a", Zone: "sfax-medina", Addr: netip.MustParseAddrPort("10.0.0.1:7000"), Incarnation: 1, Decode: decode,
		}})
		now := time.Hour
		var members core.MembersRead
		var returned []string
		run := func(inputs ...core.Input) {
			for len(inputs) > 0 {
				in := inputs[0]
				inputs = inputs[1:]
				for _, a := range entryVM.Handle(in, now) {
					returned = append(returned, fmt.Sprintf("%T", a))
					switch a := a.(type) {
					case core.ReadHeads:
						inputs = append(inputs, core.HeadsRead{StartedAt: now, Generation: 1,
							Epochs: map[core.ZoneName]core.Epoch{"sfax-medina": members.Epoch}})
					case core.ReadManifest:
						inputs = append(inputs, core.ManifestRead{StartedAt: now, Generation: 1, Text: []byte("1")})
					case core.ReadVMList:
						inputs = append(inputs, core.VMListRead{})
					case core.WriteMembers:
						members = core.MembersRead{Zone: a.Zone, Epoch: a.Expect + 1, Members: a.Members}
						inputs = append(inputs, core.MembersWritten{Zone: a.Zone, Outcome: core.WriteDone, Epoch: members.Epoch})
					}
				}
			}
		}
		for range 60 {
			run(core.Tick{})
			now += 50 * time.Millisecond
		}
		So(members.Members, ShouldHaveLength, 1)
		So(returned, ShouldContain, "core.WriteMembers")
		So(returned, ShouldNotContain, "core.PublishSnapshot")
		So(returned, ShouldNotContain, "core.ToShard")
		So(returned, ShouldNotContain, "core.OwnerChanged")
		Convey("a planned stop ends once both shards have finished", func() {
			run(core.Stop{})
			run(core.ShardReport{Action: core.ShardDrained{}}, core.ShardReport{Action: core.ShardDrained{}})
			run(core.Tick{})
			So(returned, ShouldContain, "core.Drained")
		})
	})
}
