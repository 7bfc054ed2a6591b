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
		Addr: ServiceAddr(1)}
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
func (d Deployment) Start(opts Options) *Cluster {
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

// Capacity returns the requests a second that the warm targets bear.
func (d Deployment) Capacity() float64 {
	return float64(d.Targets*d.Slots) / d.ServiceTime.Seconds()
}

// AddLoad adds callers with a feed each that together offer a fraction of the capacity: as many
// reads as postings and a tenth of uploads.
func (d Deployment) AddLoad(w *Cluster, callers int, fraction float64) {
	interval := time.Duration(float64(callers) / (fraction * d.Capacity()) * float64(time.Second))
	for range callers {
		w.AddClient(ClientOptions{
			Service: core.NewServiceID(d.Service), Feed: true,
			ReadEvery: interval * 100 / 45, PostEvery: interval * 100 / 45, UploadEvery: interval * 10,
			StartDelay: time.Duration(w.Rand.Int64N(int64(2*time.Second))) + time.Millisecond,
		})
	}
}

// SetZone applies a configuration in which a zone has the given state.
func (w *Cluster) SetZone(zone core.ZoneName, state core.ZoneState) core.Generation {
	c := w.Config()
	for i := range c.Zones {
		if c.Zones[i].Name == zone {
			c.Zones[i].State = state
		}
	}
	return w.Apply(c)
}

// ChangeTarget applies a configuration in which a target of the first service is changed.
func (w *Cluster) ChangeTarget(name string, change func(*core.Target)) core.Generation {
	c := w.Config()
	for i := range c.Services[0].Targets {
		if t := &c.Services[0].Targets[i]; t.Name == name {
			change(t)
		}
	}
	return w.Apply(c)
}

// AddConfiguredTarget applies a configuration with another target and starts its process, cold.
func (w *Cluster) AddConfiguredTarget(d Deployment, t core.Target) core.Generation {
	c := w.Config()
	c.Services[0].Targets = append(c.Services[0].Targets, t)
	w.AddTarget(t, d.Contract, d.ServiceTime, false)
	return w.Apply(c)
}

// RemoveTarget applies a configuration without a target; its process goes on.
func (w *Cluster) RemoveTarget(name string) core.Generation {
	c := w.Config()
	kept := c.Services[0].Targets[:0]
	for _, t := range c.Services[0].Targets {
		if t.Name != name {
			kept = append(kept, t)
		}
	}
	c.Services[0].Targets = kept
	return w.Apply(c)
}

// RestartZone restarts the processes of all targets in a zone, cold.
func (w *Cluster) RestartZone(zone core.ZoneName) {
	for _, t := range w.sortedTargets() {
		if t.Target.Zone == zone {
			t.Restart()
		}
	}
}

// Targets returns all target processes in the order of their addresses.
func (w *Cluster) Targets() []*Target { return w.sortedTargets() }

// ServiceAddr returns the address of the i-th service.
func ServiceAddr(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, i}), 5683)
}
