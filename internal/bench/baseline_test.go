package bench

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/control"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

// newTestBaseline returns a baseline that has installed a deployment's configuration, and a request to its
// service.
func newTestBaseline(opts BaselineOptions, d coretest.Deployment) (*Baseline, core.Request) {
	c := d.Config()
	c.Generation = 1
	b := NewBaseline(opts, control.Options{Self: "vm-1", Incarnation: 1,
		Decode: func(core.Generation, []byte) (*core.Config, error) { return &c, nil }})
	b.Handle(core.ManifestRead{Generation: 1}, 0)
	r := core.Request{Flow: core.FlowKey{Port: 1, Service: c.Services[0].ID}, ID: core.RequestID{Lo: 1},
		Class: core.ClassPosting, Deadline: core.MaxDeadline}
	return b, r
}

// actionsOf returns the actions that have the type T.
func actionsOf[T core.Action](actions []core.Action) []T {
	var list []T
	for _, a := range actions {
		if x, ok := a.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

// TestBaseline guards against a baseline that performs worse than the simple variant that it represents, which
// would make the project's core look better than it is.
func TestBaseline(t *testing.T) {
	d := smallDeployment()
	Convey("A repeated packet does not run again and gets the same answer", t, func() {
		b, r := newTestBaseline(BaselineOptions{}, d)
		sent := actionsOf[core.SendTarget](b.Handle(core.ClientRequest{Request: r}, 0))
		So(len(sent), ShouldEqual, 1)
		So(b.Handle(core.ClientRequest{Request: r}, time.Second), ShouldBeEmpty)
		answer := core.TargetAnswer{Token: sent[0].Token, Payload: []byte("x")}
		So(len(actionsOf[core.AnswerClient](b.Handle(answer, time.Second))), ShouldEqual, 1)
		again := actionsOf[core.AnswerClient](b.Handle(core.ClientRequest{Request: r}, 2*time.Second))
		So(len(again), ShouldEqual, 1)
		So(string(again[0].Payload), ShouldEqual, "x")
	})
	Convey("The share of slots is at least one and bounds what is sent", t, func() {
		So(staticShare(4, 8), ShouldEqual, 1)
		So(staticShare(4, 2), ShouldEqual, 2)
		b, r := newTestBaseline(BaselineOptions{}, d)
		b.Handle(core.VMListRead{VMs: []core.ListedVM{{Name: "vm-1"}, {Name: "vm-2"}}}, 0)
		first := actionsOf[core.SendTarget](b.Handle(core.ClientRequest{Request: r}, 0))
		r.ID.Lo = 2
		So(actionsOf[core.SendTarget](b.Handle(core.ClientRequest{Request: r}, 0)), ShouldBeEmpty)
		next := actionsOf[core.SendTarget](b.Handle(core.TargetAnswer{Token: first[0].Token}, time.Second))
		So(len(next), ShouldEqual, 1)
		So(next[0].Request.ID.Lo, ShouldEqual, 2)
	})
	Convey("An attempt without an answer ends as unknown at its deadline and frees its slot", t, func() {
		b, r := newTestBaseline(BaselineOptions{}, d)
		b.Handle(core.ClientRequest{Request: r}, 0)
		refused := actionsOf[core.RefuseClient](b.Handle(core.Tick{}, core.MaxDeadline))
		So(len(refused), ShouldEqual, 1)
		So(refused[0].Run, ShouldEqual, core.RunUnknown)
		b.Handle(core.Tick{}, core.RequestLifetime)
		So(len(b.records)+len(b.attempts), ShouldEqual, 0)
	})
	Convey("Only a flow table keeps a flow on a draining target", t, func() {
		for _, table := range []bool{false, true} {
			b, r := newTestBaseline(BaselineOptions{FlowTable: table}, d)
			old := b.target(r.Flow).ID
			c := *b.config
			c.Generation = 2
			for i := range c.Services[0].Targets {
				if x := &c.Services[0].Targets[i]; x.ID == old {
					x.State = core.TargetDraining
				}
			}
			b.vmOptions.Decode = func(core.Generation, []byte) (*core.Config, error) { return &c, nil }
			b.Handle(core.ManifestRead{Generation: 2}, time.Second)
			So(b.target(r.Flow).ID == old, ShouldEqual, table)
		}
	})
	Convey("A home VM receives the packets of its flows only while its link is up", t, func() {
		b, r := newTestBaseline(BaselineOptions{FlowTable: true, HomeVMs: true}, d)
		b.Handle(core.VMListRead{VMs: []core.ListedVM{{Name: "vm-1"}, {Name: "vm-2"}}}, 0)
		b.Handle(core.LinkEvent{Peer: "vm-2", State: core.LinkUp}, 0)
		for b.homeVM(r.Flow) != "vm-2" {
			r.Flow.Port++
		}
		So(len(actionsOf[core.SendPeer](b.Handle(core.ClientRequest{Request: r}, 0))), ShouldEqual, 1)
		b.Handle(core.LinkEvent{Peer: "vm-2", State: core.LinkRefused}, 0)
		So(len(actionsOf[core.SendTarget](b.Handle(core.ClientRequest{Request: r}, 0))), ShouldEqual, 1)
	})
}
