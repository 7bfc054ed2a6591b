package daemon

import (
	"context"
	"errors"
	"sync"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/platform"
)

// platformAdapter carries out the core's calls to the platform. Each call runs in a goroutine of its own;
// their number is bounded, because the core has at most one call per object at a time.
type platformAdapter struct {
	client   *platform.Client
	zone     core.ZoneName
	runtime  *runtime
	snapshot func() *core.Snapshot
	wg       sync.WaitGroup
	ctx      context.Context
}

// perform starts a call to the platform. It reports false when the action is not such a call.
func (p *platformAdapter) perform(a core.Action) bool {
	var call func(context.Context, core.Action) core.Input
	switch a.(type) {
	case core.ReadHeads:
		call = p.readHeads
	case core.ReadManifest:
		call = p.readManifest
	case core.ReadMembers:
		call = p.readMembers
	case core.ReadVMList:
		call = p.readVMList
	case core.WriteMembers:
		call = p.writeMembers
	case core.WriteStatus:
		call = p.writeStatus
	default:
		return false
	}
	p.wg.Go(func() {
		if in := call(p.ctx, a); in != nil {
			p.runtime.post(in)
		}
	})
	return true
}

// zones returns the zones whose epochs are read: this VM's own and those of the manifest.
func (p *platformAdapter) zones() []core.ZoneName {
	names := []core.ZoneName{p.zone}
	snap := p.snapshot()
	if snap == nil || snap.Config == nil {
		return names
	}
	for _, z := range snap.Config.Zones {
		if z.Name != p.zone {
			names = append(names, z.Name)
		}
	}
	return names
}

func (p *platformAdapter) readHeads(ctx context.Context, _ core.Action) core.Input {
	in := core.HeadsRead{StartedAt: p.runtime.now(), Epochs: map[core.ZoneName]core.Epoch{}}
	zones := p.zones()
	keys := []string{platform.ManifestKey}
	for _, z := range zones {
		keys = append(keys, platform.MembersKey(z))
	}
	heads, err := p.client.Heads(ctx, keys...)
	if err != nil {
		return core.PlatformFailed{Object: core.ObjectHeads}
	}
	in.Generation = core.Generation(heads[0].Version)
	for i, z := range zones {
		in.Epochs[z] = core.Epoch(heads[i+1].Version)
	}
	return in
}

func (p *platformAdapter) readManifest(ctx context.Context, _ core.Action) core.Input {
	started := p.runtime.now()
	o, err := p.client.Get(ctx, platform.ManifestKey)
	if err != nil || o.Version == 0 {
		return core.PlatformFailed{Object: core.ObjectManifest}
	}
	return core.ManifestRead{StartedAt: started, Generation: core.Generation(o.Version), Text: o.Value}
}

func (p *platformAdapter) readMembers(ctx context.Context, a core.Action) core.Input {
	zone := a.(core.ReadMembers).Zone
	started := p.runtime.now()
	failed := core.PlatformFailed{Object: core.MembersObject(zone)}
	o, err := p.client.Get(ctx, platform.MembersKey(zone))
	if err != nil {
		return failed
	}
	members, err := platform.DecodeMembers(o.Value)
	if err != nil {
		return failed
	}
	return core.MembersRead{StartedAt: started, Zone: zone, Epoch: core.Epoch(o.Version), Members: members}
}

func (p *platformAdapter) readVMList(ctx context.Context, _ core.Action) core.Input {
	vms, err := p.client.VMs(ctx)
	if err != nil {
		return core.PlatformFailed{Object: core.ObjectVMList}
	}
	return core.VMListRead{VMs: vms}
}

func (p *platformAdapter) writeMembers(ctx context.Context, a core.Action) core.Input {
	write := a.(core.WriteMembers)
	out := core.MembersWritten{Zone: write.Zone, Outcome: core.WriteUnknown}
	value, err := platform.EncodeMembers(write.Members)
	if err != nil {
		return out
	}
	version, err := p.client.Put(ctx, platform.MembersKey(write.Zone), value, uint64(write.Expect))
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		out.Outcome, out.Epoch = core.WriteDone, core.Epoch(version)
	case errors.As(err, &conflict):
		out.Outcome = core.WriteConflict
	}
	return out
}

// writeStatus replaces a zone's status. It ignores errors, because the next write replaces the status anyway.
func (p *platformAdapter) writeStatus(ctx context.Context, a core.Action) core.Input {
	write := a.(core.WriteStatus)
	value, err := platform.EncodeStatus(write.VMs)
	if err != nil {
		return nil
	}
	_, _ = p.client.Replace(ctx, platform.StatusKey(write.Zone), value)
	return nil
}
