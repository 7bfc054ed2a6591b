package capacity

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// platformTime is the time that a call to the platform takes.
const platformTime = 4 * time.Millisecond

// Platform is a stand-in for the object API.
type Platform struct {
	// Reads and Writes count calls.
	Reads, Writes uint64
	// Down makes every call fail after platformTime.
	Down bool

	config  *core.Config
	former  map[core.Generation]*core.Config
	members map[core.ZoneName]core.MembersRead
	list    []core.ListedVM
}

// decode returns an accepted configuration. Decoding the text is measured on its own.
func (p *Platform) decode(g core.Generation, _ []byte) (*core.Config, error) {
	if c := p.former[g]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("generation %d was never accepted", g)
}

// Apply accepts the next generation, in which one target has another weight.
func (f *Cluster) Apply() core.Generation {
	p := &f.Platform
	var g core.Generation = 1
	if p.config != nil {
		g = p.config.Generation + 1
	}
	c := newConfig(g, f.Opts)
	if p.former == nil {
		p.former = map[core.Generation]*core.Config{}
	}
	p.config = c
	p.former[g] = c
	delete(p.former, g-min(g, 100))
	return g
}

// Sizes of the generated manifest's text; see ManifestText.
const (
	textPerService = 130
	textPerTarget  = 130
)

// newConfig returns a configuration with equal services. Its text has the size that the manifest
// would have.
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

// call answers a call of a VM to the platform.
func (f *Cluster) call(v *vm, a core.Action) {
	p := &f.Platform
	if p.Down {
		f.refuse(v, a)
		return
	}
	switch a := a.(type) {
	case core.WriteMembers:
		p.Writes++
		f.later(v, platformTime, f.writeMembers(a))
	case core.WriteStatus:
		p.Writes++
	case core.ReadHeads:
		p.Reads++
		epochs := map[core.ZoneName]core.Epoch{}
		for z, m := range p.members {
			epochs[z] = m.Epoch
		}
		f.later(v, platformTime, core.HeadsRead{StartedAt: f.now, Generation: p.config.Generation, Epochs: epochs})
	case core.ReadManifest:
		p.Reads++
		f.later(v, platformTime, core.ManifestRead{StartedAt: f.now, Generation: p.config.Generation, Text: p.config.Text})
	case core.ReadMembers:
		p.Reads++
		m := p.members[a.Zone]
		f.later(v, platformTime, core.MembersRead{StartedAt: f.now, Zone: a.Zone, Epoch: m.Epoch, Members: m.Members})
	case core.ReadVMList:
		p.Reads++
		f.later(v, platformTime, core.VMListRead{VMs: p.list})
	}
}

// refuse lets a call fail.
func (f *Cluster) refuse(v *vm, a core.Action) {
	failed := func(object string) { f.later(v, platformTime, core.PlatformFailed{Object: object}) }
	switch a := a.(type) {
	case core.WriteMembers:
		f.later(v, platformTime, core.MembersWritten{Zone: a.Zone, Outcome: core.WriteUnknown})
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

func (f *Cluster) writeMembers(a core.WriteMembers) core.Input {
	p := &f.Platform
	m := p.members[a.Zone]
	if m.Epoch != a.Expect {
		return core.MembersWritten{Zone: a.Zone, Outcome: core.WriteConflict}
	}
	p.members[a.Zone] = core.MembersRead{Zone: a.Zone, Epoch: m.Epoch + 1, Members: a.Members}
	return core.MembersWritten{Zone: a.Zone, Outcome: core.WriteDone, Epoch: m.Epoch + 1}
}
