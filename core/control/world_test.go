package control_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/control"
)

const (
	tickInterval = 50 * time.Millisecond
	redialAfter  = 500 * time.Millisecond
	// messageOverhead approximates envelope, yamux and TLS framing per message.
	messageOverhead = 12 + 12 + 22
)

// world connects several Control instances through an in-memory network with virtual time.
type world struct {
	now      time.Duration
	events   events
	count    uint64
	rng      *rand.Rand
	vms      []*vm
	platform platform
	configs  map[core.Generation]*core.Config
	// cut holds pairs of VMs that can't exchange messages.
	cut      map[[2]core.VMName]bool
	loss     float64
	maxDelay time.Duration
	check    func()
	trace    func(format string, args ...any)
}

// vm is one process with its Control and a stand-in for its traffic shard.
type vm struct {
	w           *world
	name        core.VMName
	zone        core.ZoneName
	addr        netip.AddrPort
	incarnation core.Incarnation
	seeds       []core.ListedVM
	control     *control.Control
	// run counts processes, so that events of an ended process are dropped.
	run           int
	alive, paused bool
	// isolated cuts the VM off from the platform.
	isolated bool
	backlog  []core.Input
	dials    map[core.VMName]bool
	snapshot *core.Snapshot
	holds    map[core.TargetID]*held
	highest  core.Generation
	drained  bool
	// taken is the newest takeover.
	taken core.TakeOver
	// sent and received count messages and bytes of control traffic.
	sentMessages, sentBytes, receivedBytes int
	actions                                map[string]int
}

// held is the state of a target in the stand-in for a shard.
type held struct {
	number      core.FencingToken
	formerUntil time.Duration
	// releasing is the handover under way; the target is not used meanwhile.
	releasing *core.StartHandover
}

// platform is a stand-in for the object API.
type platform struct {
	down bool
	// lost is the probability that an answer gets lost, after a write has taken effect.
	lost     float64
	manifest core.Generation
	members  map[core.ZoneName]core.MembersRead
	version  core.Epoch
	calls    int
	writes   int
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(seed uint64) *world {
	return &world{
		now:      time.Hour,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		configs:  map[core.Generation]*core.Config{},
		cut:      map[[2]core.VMName]bool{},
		maxDelay: 4 * time.Millisecond,
		platform: platform{members: map[core.ZoneName]core.MembersRead{}},
		check:    func() {},
		trace:    func(string, ...any) {},
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.count++
	heap.Push(&w.events, event{w.now + d, w.count, run})
}

// advance runs all events of the next d of virtual time.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
		w.check()
	}
	w.now = end
}

func (w *world) delay() time.Duration {
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(w.maxDelay)))
}

// accept makes a configuration the newest generation of the platform.
func (w *world) accept(cfg *core.Config) {
	w.platform.manifest++
	cfg.Generation = w.platform.manifest
	cfg.Text = make([]byte, 100+150*len(targetsOf(cfg)))
	cfg.Text[0] = byte(cfg.Generation)
	w.configs[cfg.Generation] = cfg
}

func (w *world) addVM(name core.VMName, zone core.ZoneName) *vm {
	n := len(w.vms) + 1
	v := &vm{w: w, name: name, zone: zone, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)}
	w.vms = append(w.vms, v)
	return v
}

func (w *world) vm(name core.VMName) *vm {
	i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.name == name })
	return w.vms[i]
}

// start starts a new process of the VM.
func (v *vm) start() {
	v.run++
	v.incarnation++
	v.alive, v.paused, v.drained = true, false, false
	v.backlog = nil
	v.dials = map[core.VMName]bool{}
	v.holds = map[core.TargetID]*held{}
	v.snapshot = nil
	v.highest = 0
	v.actions = map[string]int{}
	v.control = control.New(control.Options{
		Self: v.name, Zone: v.zone, Addr: v.addr, Incarnation: v.incarnation, Seeds: v.seeds,
		Decode: func(g core.Generation, text []byte) (*core.Config, error) {
			if cfg := v.w.configs[g]; cfg != nil && text[0] == byte(g) {
				return cfg, nil
			}
			return nil, fmt.Errorf("generation %d is not known", g)
		},
		RandomSeed: uint64(v.incarnation),
	})
	v.tick(v.run)
}

// kill ends the process; its machine refuses connections.
func (v *vm) kill() {
	v.alive = false
	for _, other := range v.w.vms {
		if other != v && other.dials[v.name] {
			other.dial(v.name, other.run)
		}
	}
}

func (v *vm) tick(run int) {
	if v.run != run || !v.alive {
		return
	}
	if !v.paused {
		v.handle(core.Tick{})
	}
	v.w.after(tickInterval, func() { v.tick(run) })
}

// resume ends a pause; what arrived meanwhile is handled at once.
func (v *vm) resume() {
	v.paused = false
	backlog := v.backlog
	v.backlog = nil
	for _, in := range backlog {
		v.input(in)
	}
}

// input delivers an input to the process.
func (v *vm) input(in core.Input) {
	switch {
	case !v.alive:
	case v.paused:
		v.backlog = append(v.backlog, in)
	default:
		v.handle(in)
	}
}

// later delivers an input after a delay unless the process has ended by then.
func (v *vm) later(d time.Duration, in core.Input) {
	run := v.run
	v.w.after(d, func() {
		if v.run == run {
			v.input(in)
		}
	})
}

func (v *vm) handle(in core.Input) {
	if m, ok := in.(core.PeerMessage); ok && v.handover(m) {
		return
	}
	if l, ok := in.(core.LinkEvent); ok && l.State == core.LinkRefused {
		v.resumeHeld(l.Peer)
	}
	for _, a := range v.control.Handle(in, v.w.now, nil) {
		v.carryOut(a)
	}
}

func (v *vm) carryOut(a core.Action) {
	v.actions[fmt.Sprintf("%T", a)]++
	switch a := a.(type) {
	case core.SendPeer:
		v.send(a.To, a.Msg)
	case core.PublishSnapshot:
		v.snapshot = a.Snapshot
	case core.ToShard:
		v.shard(a.Input)
	case core.Dial:
		v.dials[a.Peer] = true
		v.dial(a.Peer, v.run)
	case core.CloseLink:
		delete(v.dials, a.Peer)
	case core.Drained:
		v.drained = true
	case core.Event:
		v.w.trace("%v %s event %d vm=%s zone=%s target=%d value=%d", v.w.now-time.Hour, v.name, a.Kind, a.VM, a.Zone, a.Target, a.Value)
	default:
		v.call(a)
	}
}

func (w *world) connected(a, b *vm) bool { return !w.cut[[2]core.VMName{a.name, b.name}] }

// setCut cuts or restores the traffic from a to b; the other way is separate.
func (w *world) setCut(a, b *vm, cut bool) { w.cut[[2]core.VMName{a.name, b.name}] = cut }

func (v *vm) send(to core.VMName, m core.Message) {
	i := slices.IndexFunc(v.w.vms, func(o *vm) bool { return o.name == to })
	if i < 0 {
		return
	}
	peer := v.w.vms[i]
	v.sentMessages++
	v.sentBytes += size(m)
	if !v.w.connected(v, peer) || v.w.rng.Float64() < v.w.loss {
		return
	}
	peer.receivedBytes += size(m)
	peer.later(v.w.delay(), core.PeerMessage{From: v.name, Msg: m})
}

// dial keeps trying to reach a peer until a link is up.
func (v *vm) dial(to core.VMName, run int) {
	v.w.after(v.w.delay(), func() {
		if v.run != run || !v.alive || !v.dials[to] {
			return
		}
		i := slices.IndexFunc(v.w.vms, func(o *vm) bool { return o.name == to })
		if i < 0 {
			return
		}
		peer := v.w.vms[i]
		reachable := v.w.connected(v, peer) && v.w.connected(peer, v)
		if reachable && peer.alive && !peer.paused {
			v.input(core.LinkEvent{Peer: to, State: core.LinkUp})
			peer.input(core.LinkEvent{Peer: v.name, State: core.LinkUp})
			return
		}
		if reachable && !peer.alive {
			v.input(core.LinkEvent{Peer: to, State: core.LinkDown})
			v.input(core.LinkEvent{Peer: to, State: core.LinkRefused})
		}
		v.w.after(redialAfter, func() { v.dial(to, run) })
	})
}

// shard stands in for the traffic shards: it holds targets and hands them over in one message.
func (v *vm) shard(in core.Input) {
	switch in := in.(type) {
	case core.TakeOver:
		v.taken = in
		v.holds[in.Target] = &held{number: in.FencingToken, formerUntil: in.PreviousOwnerUntil}
		v.report(core.OwnerChanged{Target: in.Target, Owner: v.name, FencingToken: in.FencingToken})
	case core.StartHandover:
		if h := v.holds[in.Target]; h != nil {
			h.releasing = &in
			v.send(in.To, &core.HandoverEnd{Target: in.Target, FencingToken: in.FencingToken})
		}
	case core.DropTarget:
		delete(v.holds, in.Target)
	}
}

func (v *vm) report(r core.Action) { v.later(0, core.ShardReport{Action: r}) }

// handover handles the messages of the stand-in for handovers.
func (v *vm) handover(in core.PeerMessage) bool {
	switch m := in.Msg.(type) {
	case *core.HandoverEnd:
		if h := v.holds[m.Target]; h == nil || h.number < m.FencingToken {
			v.holds[m.Target] = &held{number: m.FencingToken}
			v.report(core.OwnerChanged{Target: m.Target, Owner: v.name, FencingToken: m.FencingToken})
		}
		v.send(in.From, &core.HandoverAck{Target: m.Target, FencingToken: m.FencingToken, OK: true})
		return true
	case *core.HandoverAck:
		if h := v.holds[m.Target]; h != nil && h.releasing != nil && h.releasing.FencingToken == m.FencingToken {
			delete(v.holds, m.Target)
			v.report(core.OwnerChanged{Target: m.Target, Owner: in.From, FencingToken: m.FencingToken})
		}
		return true
	}
	return false
}

// resumeHeld ends handovers to a VM that is known to be dead.
func (v *vm) resumeHeld(to core.VMName) {
	for _, id := range sortedKeys(v.holds) {
		if h := v.holds[id]; h.releasing != nil && h.releasing.To == to {
			h.releasing = nil
			v.report(core.OwnerChanged{Target: id, Owner: v.name, FencingToken: h.number})
		}
	}
}

// call carries out a call of the platform.
func (v *vm) call(a core.Action) {
	p := &v.w.platform
	sent := v.w.now
	p.calls++
	run := v.run
	v.w.after(v.w.delay(), func() {
		if p.down || v.isolated {
			v.later(100*time.Millisecond, failure(a))
			return
		}
		answer := p.answer(v.w, a, sent)
		if answer == nil || v.run != run {
			return
		}
		if v.w.rng.Float64() < p.lost {
			answer = failure(a)
		}
		v.later(v.w.delay(), answer)
	})
}

func failure(a core.Action) core.Input {
	switch a := a.(type) {
	case core.ReadHeads:
		return core.PlatformFailed{Object: core.ObjectHeads}
	case core.ReadManifest:
		return core.PlatformFailed{Object: core.ObjectManifest}
	case core.ReadVMList:
		return core.PlatformFailed{Object: core.ObjectVMList}
	case core.ReadMembers:
		return core.PlatformFailed{Object: core.MembersObject(a.Zone)}
	case core.WriteMembers:
		return core.MembersWritten{Zone: a.Zone, Outcome: core.WriteUnknown}
	}
	return core.Tick{}
}

func (p *platform) answer(w *world, a core.Action, sent time.Duration) core.Input {
	switch a := a.(type) {
	case core.ReadHeads:
		epochs := map[core.ZoneName]core.Epoch{}
		for z, m := range p.members {
			epochs[z] = m.Epoch
		}
		return core.HeadsRead{StartedAt: sent, Generation: p.manifest, Epochs: epochs}
	case core.ReadManifest:
		cfg := w.configs[p.manifest]
		if cfg == nil {
			return core.PlatformFailed{Object: core.ObjectManifest}
		}
		return core.ManifestRead{StartedAt: sent, Generation: p.manifest, Text: cfg.Text}
	case core.ReadMembers:
		m := p.members[a.Zone]
		m.StartedAt, m.Zone = sent, a.Zone
		return m
	case core.ReadVMList:
		var list []core.ListedVM
		for _, v := range w.vms {
			if v.run > 0 {
				list = append(list, core.ListedVM{Name: v.name, Zone: v.zone, Addr: v.addr})
			}
		}
		return core.VMListRead{VMs: list}
	case core.WriteMembers:
		p.writes++
		if p.members[a.Zone].Epoch != a.Expect {
			return core.MembersWritten{Zone: a.Zone, Outcome: core.WriteConflict}
		}
		p.version++
		p.members[a.Zone] = core.MembersRead{Epoch: p.version, Members: a.Members}
		return core.MembersWritten{Zone: a.Zone, Outcome: core.WriteDone, Epoch: p.version}
	}
	return nil
}

// hasAuthority reports whether the VM may now decide alone about a target.
func (v *vm) hasAuthority(id core.TargetID) bool {
	h := v.holds[id]
	if !v.alive || v.paused || h == nil || h.releasing != nil || v.snapshot == nil {
		return false
	}
	view := v.snapshot.Targets[id]
	if view == nil || view.Owner != v.name || view.FencingToken != h.number {
		return false
	}
	return v.snapshot.AuthorityUntil > v.w.now && h.formerUntil <= v.w.now
}

// size approximates the bytes of a message on the link.
func size(m core.Message) int {
	switch m := m.(type) {
	case *core.Heartbeat:
		n := len(m.Zone) + 2 + 8 + 6 + 9 + 9 + 2 + 4 + 5
		for _, e := range m.Epochs {
			n += len(e.Zone) + 2 + 5
		}
		return messageOverhead + n + len(m.OwnedTargets)*(2+5+8+14)
	case *core.ConfigPush:
		return messageOverhead + len(m.Text) + 16
	case *core.MembersPush:
		n := len(m.Zone) + 8
		for _, e := range m.Members {
			n += len(e.Name) + 24
		}
		return messageOverhead + n
	}
	return messageOverhead + 16
}

func targetsOf(cfg *core.Config) []core.Target {
	var list []core.Target
	for _, s := range cfg.Services {
		list = append(list, s.Targets...)
	}
	return list
}

func sortedKeys(m map[core.TargetID]*held) []core.TargetID {
	var ids []core.TargetID
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
