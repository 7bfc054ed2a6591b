package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/control"
	"github.com/mangoweir/mangoweir/core/traffic"
	"github.com/mangoweir/mangoweir/core/vm"
)

// tickInterval is the time between two ticks of the core, which needs at least one every 50 ms.
const tickInterval = 20 * time.Millisecond

// handler is a part of the decision core: control or a traffic shard. Only one goroutine calls Handle.
type handler interface {
	Handle(in core.Input, now time.Duration, out []core.Action) []core.Action
}

// actionPerformer carries out the actions that leave the VM. Its methods must not block.
type actionPerformer interface {
	perform(a core.Action)
}

// runtime runs the decision core of one VM: a goroutine for control and one per traffic shard. Its only
// state is the mailboxes and the published snapshot.
type runtime struct {
	self      core.VMName
	start     time.Time
	control   *mailbox
	shards    []*mailbox
	performer actionPerformer
	// publishedSnapshot is set to the newest snapshot, for the adapters.
	publishedSnapshot *atomic.Pointer[core.Snapshot]
	wg                sync.WaitGroup
}

// newRuntime starts the goroutines of a VM's core.
func newRuntime(opts control.Options, shards int, performer actionPerformer) *runtime {
	r := &runtime{self: opts.Self, start: time.Now(), performer: performer}
	opts.Shards = shards
	r.control = r.startHandler(control.New(opts))
	for i := range shards {
		r.shards = append(r.shards, newMailbox())
		s := traffic.New(traffic.Options{Self: opts.Self, Source: core.NewAttemptSource(opts.Self, opts.Incarnation),
			ShardIndex: uint32(i), ShardCount: uint32(shards), Seed: opts.RandomSeed + uint64(i)})
		r.startLoop(s, r.shards[i])
	}
	return r
}

// now returns the time since the runtime started, on the monotonic clock.
func (r *runtime) now() time.Duration { return time.Since(r.start) }

// startHandler starts a goroutine for h and returns its mailbox.
func (r *runtime) startHandler(h handler) *mailbox {
	m := newMailbox()
	r.startLoop(h, m)
	return m
}

// startLoop starts a goroutine that passes the inputs of m to h, one at a time, and dispatches the actions.
func (r *runtime) startLoop(h handler, m *mailbox) {
	r.wg.Go(func() {
		var batch []core.Input
		var actions []core.Action
		for {
			batch = m.take(batch)
			if batch == nil {
				return
			}
			for i, in := range batch {
				actions = h.Handle(in, r.now(), actions[:0])
				for _, a := range actions {
					r.dispatch(a)
				}
				batch[i] = nil
			}
		}
	})
}

// dispatch delivers an action to control or a shard of this VM, or else passes it to the performer.
func (r *runtime) dispatch(a core.Action) {
	if p, ok := a.(core.PublishSnapshot); ok {
		r.publishedSnapshot.Store(p.Snapshot)
	}
	in := vm.InternalInput(a, r.self)
	if in == nil {
		r.performer.perform(a)
		return
	}
	if t, ok := a.(core.ToShard); ok {
		r.shards[vm.TargetShard(t.Target, len(r.shards))].put(in)
		return
	}
	r.post(in)
}

// post puts an input into the mailboxes that it is routed to. It reports false when one of them dropped it.
func (r *runtime) post(in core.Input) bool {
	dest := vm.Route(in, len(r.shards))
	ok := true
	if dest.Control {
		ok = r.control.put(in)
	}
	switch {
	case dest.AllShards:
		for _, s := range r.shards {
			ok = s.put(in) && ok
		}
	case dest.Shard >= 0:
		ok = r.shards[dest.Shard].put(in)
	}
	return ok
}

// tick posts ticks until the context ends.
func (r *runtime) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			r.post(core.Tick{})
		}
	}
}

// close ends all goroutines of the core after they have handled the inputs in their mailboxes.
func (r *runtime) close() {
	r.control.close()
	for _, s := range r.shards {
		s.close()
	}
	r.wg.Wait()
}
