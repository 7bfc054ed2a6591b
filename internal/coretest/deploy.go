package coretest

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Deployment describes a service with equal targets and its entry VMs, both assigned to the zones in turn.
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

// Randstad returns the pleinwacht deployment at its present size.
func Randstad() Deployment {
	return Deployment{
		Service: "pleinwacht", Zones: []core.ZoneName{"randstad-ut", "randstad-dt", "randstad-hl"},
		Targets: 14, Slots: 2, Connections: 2000, ServiceTime: 20 * time.Millisecond,
		Contract: DefaultContract(), VMs: 8,
	}
}

// Sfax returns the ledger-desk deployment at its present size.
func Sfax() Deployment {
	d := Randstad()
	d.Service, d.Slots = "ledger-desk", 4
	d.Zones = []core.ZoneName{"sfax-medina", "sfax-sakiet", "sfax-thyna"}
	return d
}

// DefaultContract returns a contract with the defaults of a manifest, but a ramp of 10 s and wait limits of 2
// s, 5 s for uploads.
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
	config := core.Config{Deployment: d.Service}
	for _, z := range d.Zones {
		config.Zones = append(config.Zones, core.Zone{Name: z})
	}
	s := core.Service{ID: id, Name: d.Service, Contract: d.Contract,
		Addr: ServiceAddr(1)}
	for i := range d.Targets {
		s.Targets = append(s.Targets, d.Target(i))
	}
	config.Services = []core.Service{s}
	return config
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

// Start builds a Cluster of the deployment with warm targets and running VMs, and runs it for the ramp of the
// contract and 10 s, in which the VMs become the owners of all targets.
func (d Deployment) Start(opts Options) *Cluster {
	c := New(opts)
	config := d.Config()
	c.Apply(config)
	for _, t := range config.Services[0].Targets {
		c.AddTarget(t, d.Contract, d.ServiceTime, true)
	}
	for i := range d.VMs {
		c.StartVM(VMName(i), d.Zones[i%len(d.Zones)])
	}
	c.Run(d.Contract.Ramp + 10*time.Second)
	return c
}

// Capacity returns the requests per second that the warm targets sustain.
func (d Deployment) Capacity() float64 {
	return float64(d.Targets*d.Slots) / d.ServiceTime.Seconds()
}

// AddLoad adds clients with one feed each that together offer a fraction of the capacity: 45 % reads, 45 %
// postings and 10 % uploads.
func (d Deployment) AddLoad(c *Cluster, clients int, fraction float64) {
	interval := time.Duration(float64(clients) / (fraction * d.Capacity()) * float64(time.Second))
	for range clients {
		c.AddClient(ClientOptions{
			Service: core.NewServiceID(d.Service), Feed: true,
			ReadEvery: interval * 100 / 45, PostEvery: interval * 100 / 45, UploadEvery: interval * 10,
			StartDelay: time.Duration(c.Rand.Int64N(int64(2*time.Second))) + time.Millisecond,
		})
	}
}

// SetZone applies a configuration in which a zone has the given state, and returns its generation.
func (c *Cluster) SetZone(zone core.ZoneName, state core.ZoneState) core.Generation {
	config := c.Config()
	for i := range config.Zones {
		if config.Zones[i].Name == zone {
			config.Zones[i].State = state
		}
	}
	return c.Apply(config)
}

// ChangeTarget applies a configuration in which a target of the first service is changed, and returns its
// generation.
func (c *Cluster) ChangeTarget(name string, change func(*core.Target)) core.Generation {
	config := c.Config()
	for i := range config.Services[0].Targets {
		if t := &config.Services[0].Targets[i]; t.Name == name {
			change(t)
		}
	}
	return c.Apply(config)
}

// AddConfiguredTarget starts the process of another target, cold, and applies a configuration with it.
func (c *Cluster) AddConfiguredTarget(d Deployment, t core.Target) core.Generation {
	config := c.Config()
	config.Services[0].Targets = append(config.Services[0].Targets, t)
	c.AddTarget(t, d.Contract, d.ServiceTime, false)
	return c.Apply(config)
}

// RemoveTarget applies a configuration without a target; its process keeps running.
func (c *Cluster) RemoveTarget(name string) core.Generation {
	config := c.Config()
	kept := config.Services[0].Targets[:0]
	for _, t := range config.Services[0].Targets {
		if t.Name != name {
			kept = append(kept, t)
		}
	}
	config.Services[0].Targets = kept
	return c.Apply(config)
}

// RestartZone restarts the processes of all targets in a zone; they start cold.
func (c *Cluster) RestartZone(zone core.ZoneName) {
	for _, t := range c.sortedTargets() {
		if t.Target.Zone == zone {
			t.Restart()
		}
	}
}

// Targets returns all target processes in the order of their addresses.
func (c *Cluster) Targets() []*Target { return c.sortedTargets() }

// ServiceAddr returns the address of the i-th service.
func ServiceAddr(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, i}), 5683)
}
