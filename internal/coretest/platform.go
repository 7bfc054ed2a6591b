package coretest

import (
	"fmt"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Platform is the fake of the platform's object API.
type Platform struct {
	// Down makes every call fail after a second.
	Down bool
	// LoseAnswers is the number of next writes that take effect without an answer.
	LoseAnswers int
	// Reads and Writes count calls.
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

// list adds a VM to the platform's list, which keeps VMs that have gone.
func (p *Platform) list(vm core.ListedVM) {
	for _, v := range p.vms {
		if v.Name == vm.Name {
			return
		}
	}
	p.vms = append(p.vms, vm)
}

// decode returns the configuration whose text names its generation.
func (p *Platform) decode(gen core.Generation, _ []byte) (*core.Config, error) {
	c := p.configs[gen]
	if c == nil {
		return nil, fmt.Errorf("generation %d was never accepted", gen)
	}
	return c, nil
}

// Apply accepts a configuration as the next generation.
func (w *Cluster) Apply(c core.Config) core.Generation {
	p := &w.Platform
	p.generation++
	c.Generation = p.generation
	c.Text = fmt.Appendf(nil, "generation %d", p.generation)
	p.configs[p.generation] = &c
	p.acceptedAt[p.generation] = w.now
	return p.generation
}

// Config returns a copy of the newest configuration, with its own zones, services and targets.
func (w *Cluster) Config() core.Config {
	c := *w.Platform.configs[w.Platform.generation]
	c.Zones = append([]core.Zone(nil), c.Zones...)
	c.Services = append([]core.Service(nil), c.Services...)
	for i := range c.Services {
		c.Services[i].Targets = append([]core.Target(nil), c.Services[i].Targets...)
	}
	return c
}

// Accepted returns the newest generation and the time at which the platform accepted it.
func (w *Cluster) Accepted() (core.Generation, time.Duration) {
	return w.Platform.generation, w.Platform.acceptedAt[w.Platform.generation]
}

// platformCall answers a VM's call to the platform.
func (w *Cluster) platformCall(m *machine, a core.Action) {
	name, inc, started := m.info.Name, m.inc, w.now
	answer := func(d time.Duration, in core.Input) {
		w.After(d, func() {
			if m.inc == inc {
				w.input(name, in)
			}
		})
	}
	down := w.Platform.Down || w.severed(m, "platform", "platform")
	if write, ok := a.(core.WriteMembers); ok {
		w.Platform.Writes++
		if down {
			answer(platformFail, core.MembersWritten{Zone: write.Zone, Outcome: core.WriteUnknown})
			return
		}
		w.After(platformTime/2, func() { w.writeMembers(write, answer) })
		return
	}
	if _, ok := a.(core.WriteStatus); ok {
		w.Platform.Writes++
		return
	}
	w.Platform.Reads++
	if down {
		answer(platformFail, core.PlatformFailed{Object: object(a)})
		return
	}
	w.After(platformTime/2, func() {
		if in := w.read(a, started); in != nil {
			answer(platformTime/2, in)
		}
	})
}

// read returns the answer to a read at this moment.
func (w *Cluster) read(a core.Action, started time.Duration) core.Input {
	p := &w.Platform
	switch a := a.(type) {
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
		return core.MembersRead{StartedAt: started, Zone: a.Zone, Epoch: p.epochs[a.Zone],
			Members: append([]core.Member(nil), p.members[a.Zone]...)}
	case core.ReadVMList:
		return core.VMListRead{VMs: append([]core.ListedVM(nil), p.vms...)}
	}
	return nil
}

// writeMembers carries out a conditional write.
func (w *Cluster) writeMembers(a core.WriteMembers, answer func(time.Duration, core.Input)) {
	p := &w.Platform
	out := core.MembersWritten{Zone: a.Zone, Outcome: core.WriteConflict}
	if p.epochs[a.Zone] == a.Expect {
		p.epochs[a.Zone]++
		p.members[a.Zone] = append([]core.Member(nil), a.Members...)
		out.Outcome, out.Epoch = core.WriteDone, p.epochs[a.Zone]
	}
	if p.LoseAnswers > 0 {
		p.LoseAnswers--
		answer(platformFail, core.MembersWritten{Zone: a.Zone, Outcome: core.WriteUnknown})
		return
	}
	answer(platformTime/2, out)
}

// object returns the name of the object that a call is about.
func object(a core.Action) string {
	switch a := a.(type) {
	case core.ReadManifest:
		return core.ObjectManifest
	case core.ReadMembers:
		return core.MembersObject(a.Zone)
	case core.ReadVMList:
		return core.ObjectVMList
	}
	return core.ObjectHeads
}
