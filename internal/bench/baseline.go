package bench

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/control"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// pollInterval is the time between two reads of the manifest and the VM list by a baseline VM.
const pollInterval = time.Second

// BaselineOptions selects a baseline variant. The zero value is rendezvous hashing without a flow table.
type BaselineOptions struct {
	// FlowTable keeps a flow table on each VM, so that a flow keeps its target when the target set changes.
	FlowTable bool
	// HomeVMs forwards each packet to the flow's home VM, chosen by rendezvous hashing over this VM
	// and the VMs to which it has a link.
	HomeVMs bool
}

// Baseline is the decision core of the simpler variants. It assigns flows by rendezvous hashing over the
// configuration that the VM has installed. Each VM may use a static share of each target's slots, and only
// the VM that serves a request keeps a record of it.
type Baseline struct {
	opts      BaselineOptions
	vmOptions control.Options
	// source makes the attempt tokens of this process differ from those of all other processes.
	source  core.AttemptSource
	now     time.Duration
	actions []core.Action

	config     *core.Config
	activeSets map[core.ServiceID]*activeSet
	targets    map[core.TargetID]*core.Target
	polledAt   time.Duration
	vms        []core.VMName
	links      map[core.VMName]bool

	flowTable      map[core.FlowKey]core.TargetID
	work           map[core.TargetID]*targetWork
	records        map[recordKey]*record
	byDeadline     []*record
	attempts       map[core.AttemptToken]*record
	feeds          map[core.AttemptToken]*record
	attemptCounter uint32
	stopping       bool
}

// activeSet holds the targets of a service that accept new flows.
type activeSet struct {
	ids     []core.TargetID
	hashes  []uint64
	weights []float64
}

// NewBaseline returns a core that has no configuration yet.
func NewBaseline(opts BaselineOptions, vm control.Options) *Baseline {
	return &Baseline{
		opts: opts, vmOptions: vm, polledAt: -pollInterval,
		source:    core.NewAttemptSource(vm.Self, vm.Incarnation),
		vms:       []core.VMName{vm.Self},
		links:     map[core.VMName]bool{},
		flowTable: map[core.FlowKey]core.TargetID{},
		work:      map[core.TargetID]*targetWork{},
		records:   map[recordKey]*record{},
		attempts:  map[core.AttemptToken]*record{},
		feeds:     map[core.AttemptToken]*record{},
	}
}

// Handle processes one input.
func (b *Baseline) Handle(in core.Input, now time.Duration) []core.Action {
	b.now = now
	b.actions = nil
	switch in := in.(type) {
	case core.ClientRequest:
		b.onClientRequest(in.Request)
	case core.TargetAnswer:
		b.onTargetAnswer(in)
	case core.PeerMessage:
		if f, ok := in.Msg.(*core.ForwardRequest); ok {
			b.serve(f.Request)
		}
	case core.LinkEvent:
		b.links[in.Peer] = in.State == core.LinkUp
	case core.ManifestRead:
		b.install(in)
	case core.VMListRead:
		b.onVMList(in)
	case core.Stop:
		b.stopping = true
	case core.Tick:
		b.tick()
	}
	return b.actions
}

func (b *Baseline) emit(a core.Action) { b.actions = append(b.actions, a) }

func (b *Baseline) tick() {
	if b.now-b.polledAt >= pollInterval {
		b.polledAt = b.now
		b.emit(core.ReadManifest{})
		b.emit(core.ReadVMList{})
	}
	b.expire()
	if b.stopping && len(b.attempts) == 0 {
		b.emit(core.Drained{})
	}
}

// install decodes a configuration and installs it. It ignores older and invalid ones.
func (b *Baseline) install(in core.ManifestRead) {
	if b.config != nil && in.Generation <= b.config.Generation {
		return
	}
	c, err := b.vmOptions.Decode(in.Generation, in.Text)
	if err != nil {
		return
	}
	b.config = c
	b.activeSets = map[core.ServiceID]*activeSet{}
	b.targets = map[core.TargetID]*core.Target{}
	for i := range c.Services {
		b.activeSets[c.Services[i].ID] = b.activeSet(&c.Services[i])
	}
	b.emit(core.Event{Kind: core.EventConfigInstalled, VM: b.vmOptions.Self, Value: uint64(c.Generation)})
}

// activeSet returns the targets of a service that accept new flows. It also adds all targets outside zones
// that are out, draining ones included, to b.targets.
func (b *Baseline) activeSet(s *core.Service) *activeSet {
	set := &activeSet{}
	for i := range s.Targets {
		t := &s.Targets[i]
		if b.config.ZoneState(t.Zone) == core.ZoneOut {
			continue
		}
		b.targets[t.ID] = t
		if t.State != core.TargetActive {
			continue
		}
		set.ids = append(set.ids, t.ID)
		set.hashes = append(set.hashes, rendezvous.Mix(uint64(t.ID), 1))
		set.weights = append(set.weights, t.Weight)
	}
	return set
}

// onVMList stores the platform's list of VMs and, with home VMs, connects to all peers.
func (b *Baseline) onVMList(in core.VMListRead) {
	b.vms = b.vms[:0]
	for _, v := range in.VMs {
		b.vms = append(b.vms, v.Name)
		if b.opts.HomeVMs && v.Name != b.vmOptions.Self {
			b.emit(core.Dial{Peer: v.Name, Zone: v.Zone, Addr: v.Addr})
		}
	}
	slices.Sort(b.vms)
}

// homeVM returns the flow's home VM among this VM and the VMs to which it has a link.
func (b *Baseline) homeVM(flow core.FlowKey) core.VMName {
	var names []core.VMName
	var hashes []uint64
	for _, n := range b.vms {
		if n == b.vmOptions.Self || b.links[n] {
			names = append(names, n)
			hashes = append(hashes, rendezvous.HashString(string(n)))
		}
	}
	if i := rendezvous.Pick(flow.Hash(), hashes, nil); i >= 0 {
		return names[i]
	}
	return b.vmOptions.Self
}

// target returns the flow's target, or nil when its service is unknown or has no target for new flows.
func (b *Baseline) target(flow core.FlowKey) *core.Target {
	if b.opts.FlowTable {
		if t := b.targets[b.flowTable[flow]]; t != nil {
			return t
		}
	}
	set := b.activeSets[flow.Service]
	if set == nil {
		return nil
	}
	i := rendezvous.Pick(flow.Hash(), set.hashes, set.weights)
	if i < 0 {
		return nil
	}
	if b.opts.FlowTable {
		b.flowTable[flow] = set.ids[i]
	}
	return b.targets[set.ids[i]]
}
