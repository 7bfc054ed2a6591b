package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// platformLatency is the time that a call to the platform takes.
const platformLatency = 4 * time.Millisecond

// Platform replaces the platform's object API.
type Platform struct {
	// Reads and Writes count the calls while the platform is not down.
	Reads, Writes uint64
	// Down makes every call fail after platformLatency.
	Down bool

	config              *core.Config
	configsByGeneration map[core.Generation]*core.Config
	members             map[core.ZoneName]core.MembersRead
	list                []core.ListedVM
}

// decode returns the configuration of a generation without decoding its text, which is measured separately.
func (p *Platform) decode(g core.Generation, _ []byte) (*core.Config, error) {
	if c := p.configsByGeneration[g]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("generation %d was not accepted or is no longer kept", g)
}

// Apply makes the platform accept the next generation, in which one target has another weight. It keeps the
// last 100 generations.
func (c *Cluster) Apply() core.Generation {
	p := &c.Platform
	var g core.Generation = 1
	if p.config != nil {
		g = p.config.Generation + 1
	}
	cfg := newConfig(g, c.Opts)
	if p.configsByGeneration == nil {
		p.configsByGeneration = map[core.Generation]*core.Config{}
	}
	p.config = cfg
	p.configsByGeneration[g] = cfg
	delete(p.configsByGeneration, g-min(g, 100))
	return g
}

// Upper bounds of the length of a service and of a target in the text of ManifestText, in bytes.
const (
	textPerService = 130
	textPerTarget  = 130
)

// newConfig returns a configuration whose targets are spread evenly over its services. Its text consists
// of zero bytes and is about as long as the manifest would be.
func newConfig(g core.Generation, opts ClusterOptions) *core.Config {
	c := &core.Config{Generation: g, Deployment: "capacity"}
	for i := range opts.Zones {
		c.Zones = append(c.Zones, core.Zone{Name: zoneName(i)})
	}
	for i := range opts.Services {
		name := fmt.Sprintf("service-%d", i)
		c.Services = append(c.Services, core.Service{ID: core.NewServiceID(name), Name: name,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 5683)})
	}
	for i := range opts.Targets {
		s := &c.Services[i%opts.Services]
		s.Targets = append(s.Targets, newTarget(s, i, opts.Zones))
	}
	if opts.Targets > 0 {
		c.Services[0].Targets[0].Weight += float64(g%10) / 100
	}
	c.Text = make([]byte, textPerService*opts.Services+textPerTarget*opts.Targets)
	return c
}

func newTarget(s *core.Service, i, zones int) core.Target {
	name := fmt.Sprintf("target-%d", i)
	addr := netip.AddrFrom4([4]byte{127, 16 + byte(i>>16), byte(i >> 8), byte(i)})
	return core.Target{
		ID: core.NewTargetID(s.Name, name, ""), Service: s.ID, Name: name,
		Addr: netip.AddrPortFrom(addr, 5683), Zone: zoneName(i % zones),
		Slots: 4, Connections: 4000, Weight: 1, ReportsLoad: true,
	}
}

// callPlatform performs a VM's call to the platform and delivers the result after platformLatency.
func (c *Cluster) callPlatform(v *vm, a core.Action) {
	p := &c.Platform
	if p.Down {
		c.failCall(v, a)
		return
	}
	switch a := a.(type) {
	case core.WriteMembers:
		p.Writes++
		c.inputAfter(v, platformLatency, c.writeMembers(a))
	case core.WriteStatus:
		p.Writes++
	case core.ReadHeads:
		p.Reads++
		epochs := map[core.ZoneName]core.Epoch{}
		for z, m := range p.members {
			epochs[z] = m.Epoch
		}
		c.inputAfter(v, platformLatency, core.HeadsRead{StartedAt: c.now, Generation: p.config.Generation, Epochs: epochs})
	case core.ReadManifest:
		p.Reads++
		c.inputAfter(v, platformLatency, core.ManifestRead{StartedAt: c.now, Generation: p.config.Generation, Text: p.config.Text})
	case core.ReadMembers:
		p.Reads++
		m := p.members[a.Zone]
		c.inputAfter(v, platformLatency, core.MembersRead{StartedAt: c.now, Zone: a.Zone, Epoch: m.Epoch, Members: m.Members})
	case core.ReadVMList:
		p.Reads++
		c.inputAfter(v, platformLatency, core.VMListRead{VMs: p.list})
	}
}

// failCall delivers the failure of a call after platformLatency.
func (c *Cluster) failCall(v *vm, a core.Action) {
	failed := func(object string) { c.inputAfter(v, platformLatency, core.PlatformFailed{Object: object}) }
	switch a := a.(type) {
	case core.WriteMembers:
		c.inputAfter(v, platformLatency, core.MembersWritten{Zone: a.Zone, Outcome: core.WriteUnknown})
	case core.ReadHeads:
		failed(core.ObjectHeads)
	case core.ReadManifest:
		failed(core.ObjectManifest)
	case core.ReadMembers:
		failed(core.MembersObject(a.Zone))
	case core.ReadVMList:
		failed(core.ObjectVMList)
	}
}

func (c *Cluster) writeMembers(a core.WriteMembers) core.Input {
	p := &c.Platform
	m := p.members[a.Zone]
	if m.Epoch != a.Expect {
		return core.MembersWritten{Zone: a.Zone, Outcome: core.WriteConflict}
	}
	p.members[a.Zone] = core.MembersRead{Zone: a.Zone, Epoch: m.Epoch + 1, Members: a.Members}
	return core.MembersWritten{Zone: a.Zone, Outcome: core.WriteDone, Epoch: m.Epoch + 1}
}
