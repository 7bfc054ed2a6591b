package coretest

import (
	"fmt"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Platform is a fake of the platform's object API.
type Platform struct {
	// Down makes every call fail after platformTimeout, one second.
	Down bool
	// LoseResponses is the number of subsequent writes that are processed but whose response is lost.
	LoseResponses int
	// Reads and Writes count the calls.
	Reads, Writes uint64

	generation core.Generation
	configs    map[core.Generation]*core.Config
	acceptedAt map[core.Generation]time.Duration
	epochs     map[core.ZoneName]core.Epoch
	members    map[core.ZoneName][]core.Member
	vms        []core.ListedVM
}

func (p *Platform) init() {
	p.configs = map[core.Generation]*core.Config{}
	p.acceptedAt = map[core.Generation]time.Duration{}
	p.epochs = map[core.ZoneName]core.Epoch{}
	p.members = map[core.ZoneName][]core.Member{}
}

// addToList adds a VM to the platform's list of VMs, from which no VM is ever removed.
func (p *Platform) addToList(vm core.ListedVM) {
	for _, v := range p.vms {
		if v.Name == vm.Name {
			return
		}
	}
	p.vms = append(p.vms, vm)
}

// decode returns the configuration of a generation. It ignores the manifest's text.
func (p *Platform) decode(gen core.Generation, _ []byte) (*core.Config, error) {
	c := p.configs[gen]
	if c == nil {
		return nil, fmt.Errorf("generation %d was never accepted", gen)
	}
	return c, nil
}

// Apply accepts a configuration as the next generation, and returns that generation.
func (c *Cluster) Apply(config core.Config) core.Generation {
	p := &c.Platform
	p.generation++
	config.Generation = p.generation
	config.Text = fmt.Appendf(nil, "generation %d", p.generation)
	p.configs[p.generation] = &config
	p.acceptedAt[p.generation] = c.now
	return p.generation
}

// Config returns a copy of the newest configuration, with its own zones, services and targets.
func (c *Cluster) Config() core.Config {
	config := *c.Platform.configs[c.Platform.generation]
	config.Zones = append([]core.Zone(nil), config.Zones...)
	config.Services = append([]core.Service(nil), config.Services...)
	for i := range config.Services {
		config.Services[i].Targets = append([]core.Target(nil), config.Services[i].Targets...)
	}
	return config
}

// Accepted returns the newest generation and the time at which the platform accepted it.
func (c *Cluster) Accepted() (core.Generation, time.Duration) {
	return c.Platform.generation, c.Platform.acceptedAt[c.Platform.generation]
}

// callPlatform responds to a VM's call to the platform.
func (c *Cluster) callPlatform(m *machine, call core.Action) {
	name, incarnation, started := m.info.Name, m.incarnation, c.now
	respond := func(d time.Duration, in core.Input) {
		c.After(d, func() {
			if m.incarnation == incarnation {
				c.handleInput(name, in)
			}
		})
	}
	down := c.Platform.Down || c.partitioned(m, "platform", "platform")
	if write, ok := call.(core.WriteMembers); ok {
		c.Platform.Writes++
		if down {
			respond(platformTimeout, core.MembersWritten{Zone: write.Zone, Outcome: core.WriteUnknown})
			return
		}
		c.After(platformLatency/2, func() { c.writeMembers(write, respond) })
		return
	}
	if _, ok := call.(core.WriteStatus); ok {
		c.Platform.Writes++
		return
	}
	c.Platform.Reads++
	if down {
		respond(platformTimeout, core.PlatformFailed{Object: objectName(call)})
		return
	}
	c.After(platformLatency/2, func() {
		if in := c.read(call, started); in != nil {
			respond(platformLatency/2, in)
		}
	})
}

// read returns the result of a read at the current time, or nil when the call is not a read.
func (c *Cluster) read(call core.Action, started time.Duration) core.Input {
	p := &c.Platform
	switch call := call.(type) {
	case core.ReadHeads:
		epochs := map[core.ZoneName]core.Epoch{}
		for z, e := range p.epochs {
			epochs[z] = e
		}
		return core.HeadsRead{StartedAt: started, Generation: p.generation, Epochs: epochs}
	case core.ReadManifest:
		if p.generation == 0 {
			return core.PlatformFailed{Object: core.ObjectManifest}
		}
		return core.ManifestRead{StartedAt: started, Generation: p.generation, Text: p.configs[p.generation].Text}
	case core.ReadMembers:
		return core.MembersRead{StartedAt: started, Zone: call.Zone, Epoch: p.epochs[call.Zone],
			Members: append([]core.Member(nil), p.members[call.Zone]...)}
	case core.ReadVMList:
		return core.VMListRead{VMs: append([]core.ListedVM(nil), p.vms...)}
	}
	return nil
}

// writeMembers executes a conditional write.
func (c *Cluster) writeMembers(write core.WriteMembers, respond func(time.Duration, core.Input)) {
	p := &c.Platform
	result := core.MembersWritten{Zone: write.Zone, Outcome: core.WriteConflict}
	if p.epochs[write.Zone] == write.Expect {
		p.epochs[write.Zone]++
		p.members[write.Zone] = append([]core.Member(nil), write.Members...)
		result.Outcome, result.Epoch = core.WriteDone, p.epochs[write.Zone]
	}
	if p.LoseResponses > 0 {
		p.LoseResponses--
		respond(platformTimeout, core.MembersWritten{Zone: write.Zone, Outcome: core.WriteUnknown})
		return
	}
	respond(platformLatency/2, result)
}

// objectName returns the name of the object that a call reads.
func objectName(call core.Action) string {
	switch call := call.(type) {
	case core.ReadManifest:
		return core.ObjectManifest
	case core.ReadMembers:
		return core.MembersObject(call.Zone)
	case core.ReadVMList:
		return core.ObjectVMList
	}
	return core.ObjectHeads
}
