package coretest

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Deployment describes a service on equal targets, spread over zones in turn.
type Deployment struct {
	Service     string
	Zones       []core.ZoneName
	Targets     int
	Slots       int
	Connections int
	ServiceTime time.Duration
	Contract    core.Contract
	VMs         int
}

// Randstad returns the pleinwacht deployment of today's size.
func Randstad() Deployment {
	return Deployment{
		Service: "pleinwacht", Zones: []core.ZoneName{"randstad-ut", "randstad-dt", "randstad-hl"},
		Targets: 14, Slots: 2, Connections: 2000, ServiceTime: 20 * time.Millisecond,
		Contract: DefaultContract(), VMs: 8,
	}
}

// Sfax returns the ledger-desk deployment of today's size.
func Sfax() Deployment {
	d := Randstad()
	d.Service, d.Slots = "ledger-desk", 4
	d.Zones = []core.ZoneName{"sfax-medina", "sfax-sakiet", "sfax-thyna"}
	return d
}

// DefaultContract returns the defaults of a manifest.
func DefaultContract() core.Contract {
	return core.Contract{
		ColdLimit: 1, Ramp: 10 * time.Second, Drain: 60 * time.Second, QueueLimit: 64,
		DefaultDeadline: 5 * time.Second,
		MaxWait: [core.NumClasses]time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second,
			5 * time.Second},
	}
}

// Config returns the deployment's configuration.
func (d Deployment) Config() core.Config {
	id := core.NewServiceID(d.Service)
	c := core.Config{Deployment: d.Service}
	for _, z := range d.Zones {
		c.Zones = append(c.Zones, core.Zone{Name: z})
	}
	s := core.Service{ID: id, Name: d.Service, Contract: d.Contract,
		Addr: netip.MustParseAddrPort("127.1.0.1:5683")}
	for i := range d.Targets {
		s.Targets = append(s.Targets, d.Target(i))
	}
	c.Services = []core.Service{s}
	return c
}

// Target returns the i-th target of the deployment.
func (d Deployment) Target(i int) core.Target {
	name := fmt.Sprintf("%s-%02d", d.Service, i+1)
	return core.Target{
		ID: core.NewTargetID(d.Service, name, ""), Service: core.NewServiceID(d.Service), Name: name,
		Addr:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(i >> 8), byte(i)}), 5683),
		Zone:  d.Zones[i%len(d.Zones)],
		Slots: d.Slots, Connections: d.Connections, Weight: 1, ReportsLoad: true,
	}
}

// VMName returns the name of the i-th entry VM.
func VMName(i int) core.VMName { return core.VMName(fmt.Sprintf("vm-%d", i+1)) }

// Start builds a World of the deployment with warm targets and running VMs, and waits until the
// VMs hold all targets.
func (d Deployment) Start(opts Options) *World {
	w := New(opts)
	c := d.Config()
	w.Apply(c)
	for _, t := range c.Services[0].Targets {
		w.AddTarget(t, d.Contract, d.ServiceTime, true)
	}
	for i := range d.VMs {
		w.StartVM(VMName(i), d.Zones[i%len(d.Zones)])
	}
	w.Run(d.Contract.Ramp + 10*time.Second)
	return w
}
