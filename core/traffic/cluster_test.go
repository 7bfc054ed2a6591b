package traffic

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

const testService = core.ServiceID(7)

// cluster is a set of VMs with one shard each and a common configuration. Messages between them
// arrive immediately.
type cluster struct {
	t     testing.TB
	now   time.Duration
	vms   map[core.VMName]*Shard
	names []core.VMName
	// disconnected has the VMs that get no messages and no ticks, and whose messages are lost.
	disconnected map[core.VMName]bool
	// holdMessage selects the messages that are kept in held instead of being delivered.
	holdMessage func(to core.VMName, m core.Message) bool
	held        []heldMessage
	// trace receives all inputs and actions.
	trace func(vm core.VMName, in core.Input, out []core.Action)

	config   *core.Config
	current  []core.TargetID
	previous []core.PreviousSet
	targets  map[core.TargetID]*core.TargetSnapshot
	// authority is the time for which publish gives authority.
	authority        time.Duration
	newestGeneration core.Generation

	sent         []core.SendTarget
	answers      []core.AnswerClient
	refusals     []core.RefuseClient
	rejections   []core.RejectNotification
	events       []core.Event
	loads        []core.LoadChanged
	ownerChanges []core.OwnerChanged
	drained      int
	// queries counts FlowQuery messages.
	queries int
}

type heldMessage struct {
	core.SendPeer
	from core.VMName
}

// newCluster returns VMs "a", "b" and so on that own the given number of targets in turn.
func newCluster(t testing.TB, vms, targets int) *cluster {
	f := &cluster{t: t, now: time.Hour, vms: map[core.VMName]*Shard{}, disconnected: map[core.VMName]bool{},
		targets: map[core.TargetID]*core.TargetSnapshot{}, authority: time.Hour}
	f.config = &core.Config{
		Generation: 1,
		Zones:      []core.Zone{{Name: "z"}},
		Services: []core.Service{{ID: testService, Contract: core.Contract{
			ColdLimit: 1, Ramp: 3 * time.Second, QueueLimit: 8,
			DefaultDeadline: 5 * time.Second, Drain: 10 * time.Second}}},
	}
	for i := range vms {
		name := core.VMName(rune('a' + i))
		f.names = append(f.names, name)
		f.vms[name] = New(Options{Self: name, Source: core.AttemptSource(i + 1), ShardCount: 1})
	}
	for i := range targets {
		f.addTarget(core.TargetID(i+1), f.names[i%vms])
	}
	f.publish()
	for i := range targets {
		id := core.TargetID(i + 1)
		f.in(f.targets[id].Owner, core.TakeOver{Target: id, FencingToken: 1, FirstOwner: true})
	}
	return f
}

func (f *cluster) addTarget(id core.TargetID, owner core.VMName) {
	addr := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:5683", id))
	f.targets[id] = &core.TargetSnapshot{
		Target: core.Target{ID: id, Service: testService, Addr: addr, Zone: "z", Slots: 4, Connections: 2000, Weight: 1},
		Owner:  owner, AssignedOwner: owner, FencingToken: 1,
	}
	f.current = append(f.current, id)
}

// replaceSet replaces the set of accepting targets; the present one becomes a previous set.
func (f *cluster) replaceSet(ids ...core.TargetID) {
	f.previous = append([]core.PreviousSet{{Set: targetSet(f.current), ReplacedAt: f.now}}, f.previous...)
	f.current = ids
	f.config.Generation++
}

func targetSet(ids []core.TargetID) core.TargetSet {
	s := core.TargetSet{IDs: slices.Clone(ids)}
	for range ids {
		s.Weights = append(s.Weights, 1)
	}
	return s
}

func (f *cluster) snapshot(name core.VMName) *core.Snapshot {
	cfg := *f.config
	s := &core.Snapshot{Self: name, Zone: "z", Config: &cfg,
		Services: map[core.ServiceID]*core.ServiceSnapshot{testService: {
			Service: &cfg.Services[0], Current: targetSet(f.current), PreviousSets: slices.Clone(f.previous)}},
		Targets:        map[core.TargetID]*core.TargetSnapshot{},
		AuthorityUntil: f.now + f.authority, NewestGeneration: max(f.newestGeneration, cfg.Generation), NewestGenerationSince: f.now}
	for id, v := range f.targets {
		c := *v
		s.Targets[id] = &c
	}
	for _, p := range f.names {
		if p != name && !f.disconnected[p] {
			s.Peers = append(s.Peers, p)
		}
	}
	return s
}

func (f *cluster) publish() {
	for _, n := range f.names {
		f.publishTo(n)
	}
}

func (f *cluster) publishTo(n core.VMName) { f.in(n, core.SnapshotPublished{Snapshot: f.snapshot(n)}) }

// in handles an input at a VM and all messages that result from it.
func (f *cluster) in(vm core.VMName, in core.Input) {
	out := f.vms[vm].Handle(in, f.now, nil)
	if f.trace != nil {
		f.trace(vm, in, out)
	}
	f.collect(vm, out)
}

func (f *cluster) collect(vm core.VMName, out []core.Action) {
	for _, a := range out {
		switch a := a.(type) {
		case core.SendPeer:
			f.deliver(vm, a)
		case core.SendTarget:
			f.sent = append(f.sent, a)
		case core.AnswerClient:
			f.answers = append(f.answers, a)
		case core.RefuseClient:
			f.refusals = append(f.refusals, a)
		case core.RejectNotification:
			f.rejections = append(f.rejections, a)
		case core.Event:
			f.events = append(f.events, a)
		case core.LoadChanged:
			f.loads = append(f.loads, a)
			if v := f.targets[a.Target]; v != nil {
				v.Load = a.Load
			}
		case core.OwnerChanged:
			f.ownerChanges = append(f.ownerChanges, a)
		case core.ShardDrained:
			f.drained++
		}
	}
}

func (f *cluster) deliver(from core.VMName, a core.SendPeer) {
	if _, ok := a.Msg.(*core.FlowQuery); ok {
		f.queries++
	}
	if f.holdMessage != nil && a.To != from && f.holdMessage(a.To, a.Msg) {
		f.held = append(f.held, heldMessage{a, from})
		return
	}
	if f.vms[a.To] != nil && !f.disconnected[a.To] && !(f.disconnected[from] && a.To != from) {
		f.in(a.To, core.PeerMessage{From: from, Msg: a.Msg})
	}
}

// tick advances the time in steps of 50 ms.
func (f *cluster) tick(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += 50 * time.Millisecond
		for _, n := range f.names {
			if !f.disconnected[n] {
				f.in(n, core.Tick{})
			}
		}
	}
}

func testFlow(i int) core.FlowKey {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(i >> 8), byte(i)}), 4000)
	return core.NewFlowKey(addr, testService)
}

func read(flow, id int) core.Request {
	return core.Request{Flow: testFlow(flow), ID: core.RequestID{Lo: uint64(id)}, Class: core.ClassRead, Idempotent: true}
}

func posting(flow, id int) core.Request {
	r := read(flow, id)
	r.Class = core.ClassPosting
	r.Idempotent = false
	return r
}

func subscribe(flow, id int) core.Request {
	r := read(flow, id)
	r.Class = core.ClassFeed
	r.Method = core.MethodSubscribe
	r.Payload = []byte("subscribe")
	return r
}

func upload(flow, id int) core.Request {
	r := read(flow, id)
	r.Class = core.ClassUpload
	r.Sticky = true
	return r
}

func (f *cluster) request(vm core.VMName, r core.Request) { f.in(vm, core.ClientRequest{Request: r}) }

// requests returns the messages to targets, without cancellations.
func (f *cluster) requests() []core.SendTarget {
	return slices.DeleteFunc(slices.Clone(f.sent), func(s core.SendTarget) bool { return s.Kind != core.SendRequest })
}

func (f *cluster) cancels() int { return len(f.sent) - len(f.requests()) }

// lastRequest returns the newest request sent to a target.
func (f *cluster) lastRequest() core.SendTarget {
	r := f.requests()
	if len(r) == 0 {
		f.t.Fatal("nothing was sent to a target")
	}
	return r[len(r)-1]
}

func answerTo(s core.SendTarget, status core.AnswerStatus, payload string) core.TargetAnswer {
	return core.TargetAnswer{From: s.Addr, Flow: s.Request.Flow, Token: s.Token, Status: status, Payload: []byte(payload)}
}

// answerAttempt answers an attempt at the VM that sent it.
func (f *cluster) answerAttempt(s core.SendTarget, status core.AnswerStatus, payload string) {
	vm := f.names[int(s.Token>>32)-1]
	f.in(vm, answerTo(s, status, payload))
}

// warm makes all targets warm at once.
func (f *cluster) warm() {
	for _, vm := range f.vms {
		for _, o := range vm.ownedInOrder {
			o.admission.cold = false
			o.admission.limit = 4
		}
	}
	f.tick(300 * time.Millisecond)
	f.publish()
}

func (f *cluster) countEvents(kind core.EventKind) int {
	n := 0
	for _, e := range f.events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func (f *cluster) owned(id core.TargetID) *ownedTarget {
	for _, n := range f.names {
		if o := f.vms[n].owned[id]; o != nil {
			return o
		}
	}
	return nil
}
