package demo

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/standin/caller"
	"github.com/mangoweir/mangoweir/internal/standin/fabric"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// World is a deployment in one process. Its methods are for one goroutine, except Count.
type World struct {
	opts   Options
	cfg    *core.Config
	fabric *fabric.Fabric
	zones  *zoneLog

	mu       sync.Mutex
	targets  []*service
	callers  []*caller.Caller
	entries  []entry
	started  int
	stopWork context.CancelFunc
	work     sync.WaitGroup
}

// service is a service with its targets and their ledger.
type service struct {
	name    string
	ledger  *target.Ledger
	targets []*target.Target
}

// entry is an entry VM with its zone.
type entry struct {
	Entry
	zone core.ZoneName
}

// warmupShare is the part of a service's ramp in which the stand-ins warm up. It is below 1, because
// the ramp begins later than the cold start that it follows, and advances in steps.
const warmupShare = 0.8

// NewWorld starts the fabric and the targets. Entry VMs and callers are started by Start.
func NewWorld(opts Options) (*World, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	cfg := *opts.Config
	cfg.Services = slices.Clone(cfg.Services)
	w := &World{opts: opts, cfg: &cfg, zones: newZoneLog(&cfg), stopWork: func() {}}
	w.fabric, err = fabric.Start(fabric.Options{Services: freeAddrs(len(cfg.Services)), Seed: opts.Seed})
	if err != nil {
		return nil, err
	}
	for i, addr := range w.fabric.ServiceAddrs() {
		cfg.Services[i].Addr = addr
		if err := w.startTargets(&cfg.Services[i]); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, nil
}

// freeAddrs returns loopback addresses that stand for free ports.
func freeAddrs(n int) []netip.AddrPort {
	return slices.Repeat([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:0")}, n)
}

// startTargets starts the targets of a service and sets their addresses.
func (w *World) startTargets(s *core.Service) error {
	s.Targets = slices.Clone(s.Targets)
	group := &service{name: s.Name, ledger: target.NewLedger()}
	w.targets = append(w.targets, group)
	for i := range s.Targets {
		t, err := target.Start(w.targetOptions(s, &s.Targets[i], group.ledger))
		if err != nil {
			return err
		}
		group.targets = append(group.targets, t)
		s.Targets[i].Addr = t.Addr()
	}
	return nil
}

// targetOptions returns the options of a target.
func (w *World) targetOptions(s *core.Service, t *core.Target, ledger *target.Ledger) target.Options {
	return target.Options{
		Name:        t.Name,
		Zone:        string(t.Zone),
		Service:     s.Addr,
		Slots:       t.Slots,
		Connections: t.Connections,
		ServiceTime: w.opts.ServiceTime,
		Cold: target.Cold{
			InitialSlots: s.Contract.ColdLimit,
			Warmup:       time.Duration(float64(s.Contract.Ramp) * warmupShare),
		},
		ReportsLoad:  t.ReportsLoad,
		FeedInterval: w.opts.FeedInterval,
		Ledger:       ledger,
		Seed:         w.opts.Seed + uint64(t.ID),
	}
}

// Config returns the configuration with the addresses in use. Its text is that of Options.Config.
func (w *World) Config() *core.Config { return w.cfg }

// Fabric returns the fabric.
func (w *World) Fabric() *fabric.Fabric { return w.fabric }

// Target returns the named target, or nil.
func (w *World) Target(name string) *target.Target {
	for _, s := range w.targets {
		for _, t := range s.targets {
			if t.Name() == name {
				return t
			}
		}
	}
	return nil
}

// Entries returns the names of the entry VMs of a zone.
func (w *World) Entries(zone core.ZoneName) []string {
	var names []string
	for _, e := range w.entries {
		if e.zone == zone {
			names = append(names, e.Name())
		}
	}
	return names
}

// StartEntries starts the entry VMs of all zones and hands them packets.
func (w *World) StartEntries(ctx context.Context) error {
	for _, z := range w.cfg.Zones {
		for range w.opts.EntriesPerZone {
			if _, err := w.addEntry(ctx, z.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// addEntry starts an entry VM in a zone.
func (w *World) addEntry(ctx context.Context, zone core.ZoneName) (Entry, error) {
	w.started++
	spec := EntrySpec{
		Name:   core.VMName(fmt.Sprintf("vm-%d", w.started)),
		Zone:   zone,
		Return: w.fabric.ReturnAddr(),
		Number: w.started,
	}
	e, err := w.opts.NewEntry(ctx, spec)
	if err != nil {
		return nil, fmt.Errorf("demo: entry VM %s: %w", spec.Name, err)
	}
	w.entries = append(w.entries, entry{e, zone})
	w.fabric.AddVM(e.Name(), e.FabricAddr())
	return e, nil
}

// StartCallers starts the callers.
func (w *World) StartCallers(ctx context.Context) error {
	ctx, w.stopWork = context.WithCancel(ctx)
	for _, t := range w.opts.Traffic {
		s := w.cfg.Service(core.NewServiceID(t.Service))
		if s == nil {
			return fmt.Errorf("demo: traffic for service %q, which is not declared; use a declared service", t.Service)
		}
		for range t.Callers {
			if err := w.startCaller(ctx, s, t.Plan); err != nil {
				return err
			}
		}
	}
	return nil
}

// startCaller starts a caller and its plan.
func (w *World) startCaller(ctx context.Context, s *core.Service, plan caller.Plan) error {
	n := len(w.callers)
	c, err := caller.Start(caller.Options{
		Name:         fmt.Sprintf("%s-%d", s.Name, n),
		Service:      s.Addr,
		SilenceLimit: w.opts.SilenceLimit,
		Excused:      w.zones.excused,
		Seed:         w.opts.Seed + uint64(n),
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.callers = append(w.callers, c)
	w.mu.Unlock()
	w.work.Go(func() { c.Run(ctx, plan) })
	return nil
}

// StopCallers ends the callers' plans. Requests in progress are abandoned.
func (w *World) StopCallers() {
	w.stopWork()
	w.work.Wait()
}

// Close ends everything: callers, entry VMs, targets and the fabric.
func (w *World) Close() {
	w.StopCallers()
	for _, c := range w.callers {
		c.Close()
	}
	for _, e := range w.entries {
		e.Kill()
	}
	for _, s := range w.targets {
		for _, t := range s.targets {
			t.Close()
		}
	}
	w.fabric.Close()
}
