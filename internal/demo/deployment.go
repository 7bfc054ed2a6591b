package demo

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/standin/client"
	"github.com/mangoweir/mangoweir/internal/standin/fabric"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// Deployment runs a whole deployment in one process. Its methods must be called from one goroutine, except
// Counts.
type Deployment struct {
	opts   Options
	cfg    *core.Config
	fabric *fabric.Fabric
	zones  *zoneLog

	mu          sync.Mutex
	services    []*service
	clients     []*client.Client
	entryVMs    []zoneEntryVM
	startedVMs  int
	cancelPlans context.CancelFunc
	plans       sync.WaitGroup
}

// service has the targets of a service and their ledger.
type service struct {
	name    string
	ledger  *target.Ledger
	targets []*target.Target
}

// zoneEntryVM is an entry VM with its zone.
type zoneEntryVM struct {
	EntryVM
	zone core.ZoneName
}

// warmupShare is the share of a service's ramp in which the stand-ins of its targets warm up. It is below
// 1, because the ramp begins later than the cold start that causes it, and advances in steps.
const warmupShare = 0.8

// NewDeployment starts the fabric and the targets. StartEntryVMs and StartClients start the rest.
func NewDeployment(opts Options) (*Deployment, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	cfg := *opts.Config
	cfg.Services = slices.Clone(cfg.Services)
	d := &Deployment{opts: opts, cfg: &cfg, zones: newZoneLog(&cfg), cancelPlans: func() {}}
	d.fabric, err = fabric.Start(fabric.Options{Services: freeAddrs(len(cfg.Services)), Seed: opts.Seed})
	if err != nil {
		return nil, err
	}
	for i, addr := range d.fabric.ServiceAddrs() {
		cfg.Services[i].Addr = addr
		if err := d.startTargets(&cfg.Services[i]); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// freeAddrs returns n loopback addresses with port 0, which selects a free port.
func freeAddrs(n int) []netip.AddrPort {
	return slices.Repeat([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:0")}, n)
}

// startTargets starts the targets of a service and sets their addresses.
func (d *Deployment) startTargets(s *core.Service) error {
	s.Targets = slices.Clone(s.Targets)
	group := &service{name: s.Name, ledger: target.NewLedger()}
	d.services = append(d.services, group)
	for i := range s.Targets {
		t, err := target.Start(d.targetOptions(s, &s.Targets[i], group.ledger))
		if err != nil {
			return err
		}
		group.targets = append(group.targets, t)
		s.Targets[i].Addr = t.Addr()
	}
	return nil
}

func (d *Deployment) targetOptions(s *core.Service, t *core.Target, ledger *target.Ledger) target.Options {
	return target.Options{
		Name:        t.Name,
		Zone:        string(t.Zone),
		Service:     s.Addr,
		Slots:       t.Slots,
		Connections: t.Connections,
		ServiceTime: d.opts.ServiceTime,
		Cold: target.Cold{
			InitialSlots: s.Contract.ColdLimit,
			Warmup:       time.Duration(float64(s.Contract.Ramp) * warmupShare),
		},
		ReportsLoad:  t.ReportsLoad,
		FeedInterval: d.opts.FeedInterval,
		Ledger:       ledger,
		Seed:         d.opts.Seed + uint64(t.ID),
	}
}

// Config returns the configuration with the addresses in use. Its Text is still the text of Options.Config.
func (d *Deployment) Config() *core.Config { return d.cfg }

func (d *Deployment) Fabric() *fabric.Fabric { return d.fabric }

// Target returns the named target, or nil.
func (d *Deployment) Target(name string) *target.Target {
	for _, s := range d.services {
		for _, t := range s.targets {
			if t.Name() == name {
				return t
			}
		}
	}
	return nil
}

// EntryVMs returns the names of the entry VMs of a zone.
func (d *Deployment) EntryVMs(zone core.ZoneName) []string {
	var names []string
	for _, e := range d.entryVMs {
		if e.zone == zone {
			names = append(names, e.Name())
		}
	}
	return names
}

// StartEntryVMs starts the entry VMs of all zones and adds them to the fabric.
func (d *Deployment) StartEntryVMs(ctx context.Context) error {
	for _, z := range d.cfg.Zones {
		for range d.opts.EntryVMsPerZone {
			if _, err := d.addEntryVM(ctx, z.Name); err != nil {
				return err
			}
		}
	}
	return nil
}

// addEntryVM starts an entry VM in a zone and adds it to the fabric.
func (d *Deployment) addEntryVM(ctx context.Context, zone core.ZoneName) (EntryVM, error) {
	d.startedVMs++
	spec := EntryVMSpec{
		Name:         core.VMName(fmt.Sprintf("vm-%d", d.startedVMs)),
		Zone:         zone,
		FabricReturn: d.fabric.ReturnAddr(),
		Number:       d.startedVMs,
	}
	e, err := d.opts.StartEntryVM(ctx, spec)
	if err != nil {
		return nil, fmt.Errorf("demo: entry VM %s: %w", spec.Name, err)
	}
	d.entryVMs = append(d.entryVMs, zoneEntryVM{e, zone})
	d.fabric.AddVM(e.Name(), e.FabricAddr())
	return e, nil
}

// StartClients starts the clients of Options.Traffic.
func (d *Deployment) StartClients(ctx context.Context) error {
	ctx, d.cancelPlans = context.WithCancel(ctx)
	for _, t := range d.opts.Traffic {
		s := d.cfg.Service(core.NewServiceID(t.Service))
		if s == nil {
			return fmt.Errorf("demo: traffic for service %q, which is not declared; use a declared service", t.Service)
		}
		for range t.Clients {
			if err := d.startClient(ctx, s, t.Plan); err != nil {
				return err
			}
		}
	}
	return nil
}

// startClient starts a client of a service and its plan.
func (d *Deployment) startClient(ctx context.Context, s *core.Service, plan client.Plan) error {
	n := len(d.clients)
	c, err := client.Start(client.Options{
		Name:         fmt.Sprintf("%s-%d", s.Name, n),
		Service:      s.Addr,
		SilenceLimit: d.opts.SilenceLimit,
		MoveAllowed:  d.zones.moveAllowed,
		Seed:         d.opts.Seed + uint64(n),
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.clients = append(d.clients, c)
	d.mu.Unlock()
	d.plans.Go(func() { c.Run(ctx, plan) })
	return nil
}

// StopClients ends the clients' plans. Requests in progress are abandoned.
func (d *Deployment) StopClients() {
	d.cancelPlans()
	d.plans.Wait()
}

// Close ends the clients, the entry VMs, the targets and the fabric.
func (d *Deployment) Close() {
	d.StopClients()
	for _, c := range d.clients {
		c.Close()
	}
	for _, e := range d.entryVMs {
		e.Kill()
	}
	for _, s := range d.services {
		for _, t := range s.targets {
			t.Close()
		}
	}
	d.fabric.Close()
}
