// Package vm combines control and traffic into one entry VM, for drivers with a single thread.
package vm

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/control"
	"github.com/mangoweir/mangoweir/core/rendezvous"
	"github.com/mangoweir/mangoweir/core/traffic"
)

// VM is the decision core of one entry VM. It is not safe for concurrent use.
type VM struct {
	self    core.VMName
	control *control.Control
	shards  []*traffic.Shard
}

// Options configures a VM.
type Options struct {
	Control control.Options
	// Shards is the number of traffic shards; default 1.
	Shards int
}

// New returns a VM without configuration.
func New(opts Options) *VM {
	n := max(opts.Shards, 1)
	opts.Control.Shards = n
	v := &VM{self: opts.Control.Self, control: control.New(opts.Control)}
	for i := range n {
		v.shards = append(v.shards, traffic.New(traffic.Options{
			Self:       opts.Control.Self,
			Source:     core.NewAttemptSource(opts.Control.Self, opts.Control.Incarnation),
			ShardIndex: uint32(i),
			ShardCount: uint32(n),
			Seed:       opts.Control.RandomSeed + uint64(i),
		}))
	}
	return v
}

// Handle processes one input and returns the actions for the driver. It delivers messages between control and
// shards, and from shard to shard, before it returns.
func (v *VM) Handle(in core.Input, now time.Duration) []core.Action {
	var out []core.Action
	queue := []routedInput{{Route(in, len(v.shards)), in}}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, a := range v.deliver(next, now) {
			if inner, ok := v.internalInput(a); ok {
				queue = append(queue, inner)
				continue
			}
			out = append(out, a)
		}
	}
	return out
}

// routedInput is an input with its destination.
type routedInput struct {
	dest Destination
	in   core.Input
}

// deliver passes an input to control, to one shard or to all shards, and returns their actions.
func (v *VM) deliver(r routedInput, now time.Duration) []core.Action {
	var out []core.Action
	if r.dest.Control {
		out = v.control.Handle(r.in, now, out)
	}
	switch {
	case r.dest.AllShards:
		for _, s := range v.shards {
			out = s.Handle(r.in, now, out)
		}
	case r.dest.Shard >= 0:
		out = v.shards[r.dest.Shard].Handle(r.in, now, out)
	}
	return out
}

// internalInput returns the input that an action becomes inside the VM, and false when the driver must
// execute the action.
func (v *VM) internalInput(a core.Action) (routedInput, bool) {
	in := InternalInput(a, v.self)
	if in == nil {
		return routedInput{}, false
	}
	dest := Route(in, len(v.shards))
	if toShard, ok := a.(core.ToShard); ok {
		dest = Destination{Shard: TargetShard(toShard.Target, len(v.shards))}
	}
	return routedInput{dest, in}, true
}

// InternalInput returns the input that an action becomes inside the same VM, or nil when the driver must
// execute the action.
func InternalInput(a core.Action, self core.VMName) core.Input {
	switch a := a.(type) {
	case core.PublishSnapshot:
		return core.SnapshotPublished(a)
	case core.ToShard:
		return a.Input
	case core.SendPeer:
		if a.To == self {
			return core.PeerMessage{From: self, Msg: a.Msg}
		}
	case core.OwnerChanged, core.LoadChanged, core.ShardDrained:
		return core.ShardReport{Action: a}
	}
	return nil
}

// Destination lists the parts of a VM that receive an input.
type Destination struct {
	Control   bool
	AllShards bool
	// Shard is the index of a shard, or -1.
	Shard int
}

// Route returns the destination of an input in a VM with n shards.
func Route(in core.Input, n int) Destination {
	none := Destination{Shard: -1}
	switch in := in.(type) {
	case core.ClientRequest:
		return Destination{Shard: FlowShard(in.Request.Flow, n)}
	case core.TargetAnswer:
		// The counter of an attempt token is congruent to the shard's index modulo the number of shards.
		return Destination{Shard: int(uint32(in.Token)) % n}
	case core.SnapshotPublished:
		return Destination{AllShards: true, Shard: -1}
	case core.TakeOver:
		return Destination{Shard: TargetShard(in.Target, n)}
	case core.StartHandover:
		return Destination{Shard: TargetShard(in.Target, n)}
	case core.DropTarget:
		return Destination{Shard: TargetShard(in.Target, n)}
	case core.TargetProbe:
		return Destination{Shard: TargetShard(in.Target, n)}
	case core.Tick, core.LinkEvent, core.Stop:
		return Destination{Control: true, AllShards: true, Shard: -1}
	case core.PeerMessage:
		return routeMessage(in.Msg, n)
	case core.ShardReport, core.HeadsRead, core.ManifestRead, core.MembersRead, core.VMListRead,
		core.MembersWritten, core.PlatformFailed:
		return Destination{Control: true, Shard: -1}
	}
	return none
}

// routeMessage returns the destination of a peer's message.
func routeMessage(m core.Message, n int) Destination {
	switch m := m.(type) {
	case *core.ForwardRequest:
		return Destination{Shard: TargetShard(m.Target, n)}
	case *core.FlowLearned:
		return Destination{Shard: FlowShard(m.Flow, n)}
	case *core.FlowQuery, *core.FlowReply:
		// Flow table entries are sharded by flow, placements by target: every shard may have one.
		return Destination{AllShards: true, Shard: -1}
	case *core.RecordStarted:
		return Destination{Shard: TargetShard(m.Target, n)}
	case *core.RecordAck:
		return Destination{Shard: TargetShard(m.Target, n)}
	case *core.HandoverBegin:
		return Destination{Shard: TargetShard(m.Target, n)}
	case *core.HandoverChunk:
		return Destination{Shard: TargetShard(m.Target, n)}
	case *core.HandoverEnd:
		return Destination{Shard: TargetShard(m.Target, n)}
	case *core.HandoverAck:
		return Destination{Shard: TargetShard(m.Target, n)}
	case *core.RequestOutcome:
		return Destination{Shard: TargetShard(m.Target, n)}
	}
	return Destination{Control: true, Shard: -1}
}

// FlowShard returns the index of the shard that keeps the flow table entry of a flow.
func FlowShard(k core.FlowKey, n int) int { return int(k.Hash() % uint64(n)) }

// TargetShard returns the index of the shard that keeps the state of a target.
func TargetShard(id core.TargetID, n int) int {
	return int(rendezvous.Mix(uint64(id), 1) % uint64(n))
}
