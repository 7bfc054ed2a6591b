package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/standin/client"
	"github.com/mangoweir/mangoweir/internal/standin/relay"
)

// testConfig returns a configuration with two zones, a service with three targets per zone and a service
// with a single target.
func testConfig() *core.Config {
	cfg := &core.Config{Zones: []core.Zone{{Name: "ut"}, {Name: "dt"}}}
	for _, name := range []string{"pleinwacht", "fotoboek"} {
		s := core.Service{ID: core.NewServiceID(name), Name: name}
		for i := range 6 {
			t := core.Target{ID: core.NewTargetID(name, fmt.Sprint(i), "1"), Name: fmt.Sprintf("%s-%d", name, i),
				Zone: cfg.Zones[i/3].Name, Slots: 50, Connections: 100, Weight: 1, ReportsLoad: true}
			if name == "pleinwacht" || i == 0 {
				s.Targets = append(s.Targets, t)
			}
		}
		cfg.Services = append(cfg.Services, s)
	}
	return cfg
}

// sharedRelay is an entry VM that is backed by the one relay of a test, because relays do not share
// their feeds.
type sharedRelay struct {
	*relay.Relay
	name string
}

func (r sharedRelay) Name() string               { return r.name }
func (r sharedRelay) Stop(context.Context) error { return nil }
func (r sharedRelay) Kill()                      {}

// newDeployment starts a Deployment whose relay sends nothing to targets in zone dt while that zone is
// out of service.
func newDeployment(t *testing.T) *Deployment {
	var d *Deployment
	var out atomic.Bool
	var shared *relay.Relay
	addrs := func(service netip.AddrPort) (addrs []netip.AddrPort) {
		for _, s := range d.Config().Services {
			for _, t := range s.Targets {
				if s.Addr == service && !(out.Load() && t.Zone == "dt") {
					addrs = append(addrs, t.Addr)
				}
			}
		}
		return addrs
	}
	d, err := NewDeployment(Options{
		Config: testConfig(),
		StartEntryVM: func(_ context.Context, spec EntryVMSpec) (EntryVM, error) {
			if shared == nil {
				r, err := relay.Start(relay.Options{FabricReturn: spec.FabricReturn, Targets: addrs, Incarnation: 1})
				if err != nil {
					return nil, err
				}
				shared = r
			}
			return sharedRelay{shared, string(spec.Name)}, nil
		},
		SetZone: func(_ context.Context, _ core.ZoneName, state core.ZoneState) error {
			out.Store(state == core.ZoneOut)
			return nil
		},
		Traffic: []Traffic{
			{"pleinwacht", 30, client.Plan{Feed: true, ReadEvery: 50 * time.Millisecond, PostEvery: 200 * time.Millisecond}},
			{"fotoboek", 2, client.Plan{UploadEvery: time.Second, UploadSize: 10_000}},
		},
		FeedInterval: 100 * time.Millisecond,
		Seed:         11,
	})
	So(err, ShouldBeNil)
	So(d.StartEntryVMs(t.Context()), ShouldBeNil)
	So(d.StartClients(t.Context()), ShouldBeNil)
	Reset(func() {
		d.Close()
		shared.Kill()
	})
	return d
}

// zoneEvent returns an event that sets the state of zone dt.
func zoneEvent(at time.Duration, state core.ZoneState) Event {
	return Event{at, "zone", func(ctx context.Context, d *Deployment) error { return d.SetZone(ctx, "dt", state) }}
}

// Guards against a demo that reports violations that did not occur, or misses violations that did.
func TestDeployment(t *testing.T) {
	Convey("Without faults no guarantee is violated, even when a zone is taken out of service", t, func() {
		d := newDeployment(t)
		var table, text bytes.Buffer
		script := []Event{zoneEvent(2500*time.Millisecond, core.ZoneOut), {2900 * time.Millisecond, "replaced", func(ctx context.Context, d *Deployment) error {
			return d.ReplaceEntryVM(ctx, d.EntryVMs("ut")[0])
		}}}
		s, err := d.Run(t.Context(), script, 4*time.Second, &table)
		So(err, ShouldBeNil)
		So(s.WriteText(&text), ShouldBeNil)
		Println(table.String(), text.String())
		So(s.Check(), ShouldBeNil)
		So([]any{s.OpenFlows, s.Moved > 0, s.UploadsDone > 2, s.Silent, s.Refused}, ShouldResemble, []any{32, true, true, uint64(0), uint64(0)})
		So(s.Imbalance, ShouldBeBetween, 1, 3)
		So(s.Goodput, ShouldEqual, 1)
		So(table.String(), ShouldContainSubstring, "replaced")
		So(len(d.EntryVMs("ut")), ShouldEqual, 2)
		So(json.NewEncoder(&text).Encode(s), ShouldBeNil)
	})
	Convey("Flows that move back to a zone, duplicate runs and cold targets above their limit are counted", t, func() {
		d := newDeployment(t)
		script := []Event{zoneEvent(time.Second, core.ZoneOut), zoneEvent(2*time.Second, core.ZoneIn),
			{2500 * time.Millisecond, "cold", func(_ context.Context, d *Deployment) error {
				d.services[0].ledger.Record("key")
				d.services[0].ledger.Record("key")
				return d.TurnCold("pleinwacht-0")
			}},
		}
		s, err := d.Run(t.Context(), script, 4*time.Second, &bytes.Buffer{})
		So(err, ShouldBeNil)
		So(s.BrokenMoved, ShouldBeGreaterThan, 0)
		So(s.DuplicateRuns, ShouldEqual, 1)
		So(s.ColdBreaches, ShouldBeGreaterThan, 0)
		var broken *ViolationError
		So(errors.As(s.Check(), &broken), ShouldBeTrue)
		So(len(broken.Violations), ShouldEqual, 3)
	})
	Convey("A failed event fails the run, and missing options are rejected", t, func() {
		d := newDeployment(t)
		failure := errors.New("refused")
		s, err := d.Run(t.Context(), []Event{{0, "fails", func(context.Context, *Deployment) error { return failure }}}, time.Second, &bytes.Buffer{})
		So(err, ShouldEqual, failure)
		So(s.Answered, ShouldBeGreaterThan, 0)
		_, err = NewDeployment(Options{})
		So(err, ShouldNotBeNil)
	})
}
