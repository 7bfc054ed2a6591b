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
	// messageOverhead approximates the bytes of envelope, yamux and TLS framing per message.
	messageOverhead = 12 + 12 + 22
)

// cluster connects several Control instances through an in-memory network with virtual time.
type cluster struct {
	now        time.Duration
	events     events
	eventCount uint64
	rng        *rand.Rand
	vms        []*vm
	platform   platform
	configs    map[core.Generation]*core.Config
	// cutLinks holds the pairs of VMs of which the first can't send messages to the second.
	cutLinks map[[2]core.VMName]bool
	loss     float64
	maxDelay time.Duration
	check    func()
	trace    func(format string, args ...any)
}

// vm is a VM with its current process's Control and a stand-in for its traffic shard.
type vm struct {
	cluster     *cluster
	name        core.VMName
	zone        core.ZoneName
	addr        netip.AddrPort
	incarnation core.Incarnation
	seeds       []core.ListedVM
	control     *control.Control
	// process counts the VM's processes, so that events of an ended process are dropped.
	process       int
	alive, paused bool
	// isolated is true while the VM can't reach the platform.
	isolated          bool
	backlog           []core.Input
	dials             map[core.VMName]bool
	snapshot          *core.Snapshot
	owned             map[core.TargetID]*ownedTarget
	highestGeneration core.Generation
	drained           bool
	// takeOver is the newest takeover that Control requested.
	takeOver core.TakeOver
	// sentMessages, sentBytes and receivedBytes count control traffic.
	sentMessages, sentBytes, receivedBytes int
	actionCounts                           map[string]int
}

// ownedTarget is the state of a target in the stand-in for a shard.
type ownedTarget struct {
	token              core.FencingToken
	previousOwnerUntil time.Duration
	// handover is the handover in progress; the target is not used meanwhile.
	handover *core.StartHandover
}

// platform is a stand-in for the platform's object API.
type platform struct {
	down bool
	// responseLoss is the probability that a response is lost, after a write has taken effect.
	responseLoss float64
	generation   core.Generation
	members      map[core.ZoneName]core.MembersRead
	lastEpoch    core.Epoch
	calls        int
	writes       int
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

func newCluster(seed uint64) *cluster {
	return &cluster{
		now:      time.Hour,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		configs:  map[core.Generation]*core.Config{},
		cutLinks: map[[2]core.VMName]bool{},
		maxDelay: 4 * time.Millisecond,
		platform: platform{members: map[core.ZoneName]core.MembersRead{}},
		check:    func() {},
		trace:    func(string, ...any) {},
	}
}

func (c *cluster) after(d time.Duration, run func()) {
	c.eventCount++
	heap.Push(&c.events, event{c.now + d, c.eventCount, run})
}

// advance runs all events of the next d of virtual time.
func (c *cluster) advance(d time.Duration) {
	end := c.now + d
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
		c.check()
	}
	c.now = end
}

func (c *cluster) delay() time.Duration {
	return time.Millisecond + time.Duration(c.rng.Int64N(int64(c.maxDelay)))
}

// accept makes a configuration the newest generation of the platform.
func (c *cluster) accept(cfg *core.Config) {
	c.platform.generation++
	cfg.Generation = c.platform.generation
	cfg.Text = make([]byte, 100+150*len(targetsOf(cfg)))
	cfg.Text[0] = byte(cfg.Generation)
	c.configs[cfg.Generation] = cfg
}

func (c *cluster) addVM(name core.VMName, zone core.ZoneName) *vm {
	n := len(c.vms) + 1
	v := &vm{cluster: c, name: name, zone: zone, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)}
	c.vms = append(c.vms, v)
	return v
}

func (c *cluster) vm(name core.VMName) *vm {
	i := slices.IndexFunc(c.vms, func(v *vm) bool { return v.name == name })
	return c.vms[i]
}

// start starts a new process of the VM.
func (v *vm) start() {
	v.process++
	v.incarnation++
	v.alive, v.paused, v.drained = true, false, false
	v.backlog = nil
	v.dials = map[core.VMName]bool{}
	v.owned = map[core.TargetID]*ownedTarget{}
	v.snapshot = nil
	v.highestGeneration = 0
	v.actionCounts = map[string]int{}
	v.control = control.New(control.Options{
		Self: v.name, Zone: v.zone, Addr: v.addr, Incarnation: v.incarnation, Seeds: v.seeds,
		Decode: func(g core.Generation, text []byte) (*core.Config, error) {
			if cfg := v.cluster.configs[g]; cfg != nil && text[0] == byte(g) {
				return cfg, nil
			}
			return nil, fmt.Errorf("unknown generation %d", g)
		},
		RandomSeed: uint64(v.incarnation),
	})
	v.tick(v.process)
}

// kill ends the process; its machine refuses connections from then on.
func (v *vm) kill() {
	v.alive = false
	for _, other := range v.cluster.vms {
		if other != v && other.dials[v.name] {
			other.dial(v.name, other.process)
		}
	}
}

func (v *vm) tick(process int) {
	if v.process != process || !v.alive {
		return
	}
	if !v.paused {
		v.handle(core.Tick{})
	}
	v.cluster.after(tickInterval, func() { v.tick(process) })
}

// resume ends a pause and handles at once what arrived during it.
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

// inputAfter delivers an input after a delay unless the process has ended by then.
func (v *vm) inputAfter(d time.Duration, in core.Input) {
	process := v.process
	v.cluster.after(d, func() {
		if v.process == process {
			v.input(in)
		}
	})
}

func (v *vm) handle(in core.Input) {
	if m, ok := in.(core.PeerMessage); ok && v.onHandoverMessage(m) {
		return
	}
	if l, ok := in.(core.LinkEvent); ok && l.State == core.LinkRefused {
		v.cancelHandovers(l.Peer)
	}
	for _, a := range v.control.Handle(in, v.cluster.now, nil) {
		v.perform(a)
	}
}

func (v *vm) perform(a core.Action) {
	v.actionCounts[fmt.Sprintf("%T", a)]++
	switch a := a.(type) {
	case core.SendPeer:
		v.send(a.To, a.Msg)
	case core.PublishSnapshot:
		v.snapshot = a.Snapshot
	case core.ToShard:
		v.handleShardInput(a.Input)
	case core.Dial:
		v.dials[a.Peer] = true
		v.dial(a.Peer, v.process)
	case core.CloseLink:
		delete(v.dials, a.Peer)
	case core.Drained:
		v.drained = true
	case core.Event:
		v.cluster.trace("%v %s event %d vm=%s zone=%s target=%d value=%d", v.cluster.now-time.Hour, v.name, a.Kind, a.VM, a.Zone, a.Target, a.Value)
	default:
		v.call(a)
	}
}

func (c *cluster) connected(a, b *vm) bool { return !c.cutLinks[[2]core.VMName{a.name, b.name}] }

// setCut cuts or restores the traffic from a to b; the opposite direction is separate.
func (c *cluster) setCut(a, b *vm, cut bool) { c.cutLinks[[2]core.VMName{a.name, b.name}] = cut }

func (v *vm) send(to core.VMName, m core.Message) {
	i := slices.IndexFunc(v.cluster.vms, func(o *vm) bool { return o.name == to })
	if i < 0 {
		return
	}
	peer := v.cluster.vms[i]
	v.sentMessages++
	v.sentBytes += size(m)
	if !v.cluster.connected(v, peer) || v.cluster.rng.Float64() < v.cluster.loss {
		return
	}
	peer.receivedBytes += size(m)
	peer.inputAfter(v.cluster.delay(), core.PeerMessage{From: v.name, Msg: m})
}

// dial tries to reach a peer until a link is up.
func (v *vm) dial(to core.VMName, process int) {
	v.cluster.after(v.cluster.delay(), func() {
		if v.process != process || !v.alive || !v.dials[to] {
			return
		}
		i := slices.IndexFunc(v.cluster.vms, func(o *vm) bool { return o.name == to })
		if i < 0 {
			return
		}
		peer := v.cluster.vms[i]
		reachable := v.cluster.connected(v, peer) && v.cluster.connected(peer, v)
		if reachable && peer.alive && !peer.paused {
			v.input(core.LinkEvent{Peer: to, State: core.LinkUp})
			peer.input(core.LinkEvent{Peer: v.name, State: core.LinkUp})
			return
		}
		if reachable && !peer.alive {
			v.input(core.LinkEvent{Peer: to, State: core.LinkDown})
			v.input(core.LinkEvent{Peer: to, State: core.LinkRefused})
		}
		v.cluster.after(redialAfter, func() { v.dial(to, process) })
	})
}

// handleShardInput stands in for the traffic shards: it owns targets and hands them over in one message.
func (v *vm) handleShardInput(in core.Input) {
	switch in := in.(type) {
	case core.TakeOver:
		v.takeOver = in
		v.owned[in.Target] = &ownedTarget{token: in.FencingToken, previousOwnerUntil: in.PreviousOwnerUntil}
		v.report(core.OwnerChanged{Target: in.Target, Owner: v.name, FencingToken: in.FencingToken})
	case core.StartHandover:
		if state := v.owned[in.Target]; state != nil {
			state.handover = &in
			v.send(in.To, &core.HandoverEnd{Target: in.Target, FencingToken: in.FencingToken})
		}
	case core.DropTarget:
		delete(v.owned, in.Target)
	}
}

func (v *vm) report(r core.Action) { v.inputAfter(0, core.ShardReport{Action: r}) }

// onHandoverMessage handles the messages of a handover between stand-ins, and reports whether the message
// was one.
func (v *vm) onHandoverMessage(in core.PeerMessage) bool {
	switch m := in.Msg.(type) {
	case *core.HandoverEnd:
		if state := v.owned[m.Target]; state == nil || state.token < m.FencingToken {
			v.owned[m.Target] = &ownedTarget{token: m.FencingToken}
			v.report(core.OwnerChanged{Target: m.Target, Owner: v.name, FencingToken: m.FencingToken})
		}
		v.send(in.From, &core.HandoverAck{Target: m.Target, FencingToken: m.FencingToken, OK: true})
		return true
	case *core.HandoverAck:
		if state := v.owned[m.Target]; state != nil && state.handover != nil && state.handover.FencingToken == m.FencingToken {
			delete(v.owned, m.Target)
			v.report(core.OwnerChanged{Target: m.Target, Owner: in.From, FencingToken: m.FencingToken})
		}
		return true
	}
	return false
}

// cancelHandovers cancels handovers to a VM that is known to be dead.
func (v *vm) cancelHandovers(to core.VMName) {
	for _, id := range sortedKeys(v.owned) {
		if state := v.owned[id]; state.handover != nil && state.handover.To == to {
			state.handover = nil
			v.report(core.OwnerChanged{Target: id, Owner: v.name, FencingToken: state.token})
		}
	}
}

// call performs a call of the platform.
func (v *vm) call(a core.Action) {
	p := &v.cluster.platform
	sent := v.cluster.now
	p.calls++
	process := v.process
	v.cluster.after(v.cluster.delay(), func() {
		if p.down || v.isolated {
			v.inputAfter(100*time.Millisecond, failure(a))
			return
		}
		response := p.respond(v.cluster, a, sent)
		if response == nil || v.process != process {
			return
		}
		if v.cluster.rng.Float64() < p.responseLoss {
			response = failure(a)
		}
		v.inputAfter(v.cluster.delay(), response)
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

func (p *platform) respond(c *cluster, a core.Action, sent time.Duration) core.Input {
	switch a := a.(type) {
	case core.ReadHeads:
		epochs := map[core.ZoneName]core.Epoch{}
		for z, m := range p.members {
			epochs[z] = m.Epoch
		}
		return core.HeadsRead{StartedAt: sent, Generation: p.generation, Epochs: epochs}
	case core.ReadManifest:
		cfg := c.configs[p.generation]
		if cfg == nil {
			return core.PlatformFailed{Object: core.ObjectManifest}
		}
		return core.ManifestRead{StartedAt: sent, Generation: p.generation, Text: cfg.Text}
	case core.ReadMembers:
		m := p.members[a.Zone]
		m.StartedAt, m.Zone = sent, a.Zone
		return m
	case core.ReadVMList:
		var list []core.ListedVM
		for _, v := range c.vms {
			if v.process > 0 {
				list = append(list, core.ListedVM{Name: v.name, Zone: v.zone, Addr: v.addr})
			}
		}
		return core.VMListRead{VMs: list}
	case core.WriteMembers:
		p.writes++
		if p.members[a.Zone].Epoch != a.Expect {
			return core.MembersWritten{Zone: a.Zone, Outcome: core.WriteConflict}
		}
		p.lastEpoch++
		p.members[a.Zone] = core.MembersRead{Epoch: p.lastEpoch, Members: a.Members}
		return core.MembersWritten{Zone: a.Zone, Outcome: core.WriteDone, Epoch: p.lastEpoch}
	}
	return nil
}

// hasAuthority reports whether the VM may decide alone about a target now.
func (v *vm) hasAuthority(id core.TargetID) bool {
	state := v.owned[id]
	if !v.alive || v.paused || state == nil || state.handover != nil || v.snapshot == nil {
		return false
	}
	target := v.snapshot.Targets[id]
	if target == nil || target.Owner != v.name || target.FencingToken != state.token {
		return false
	}
	return v.snapshot.AuthorityUntil > v.cluster.now && state.previousOwnerUntil <= v.cluster.now
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

func sortedKeys(m map[core.TargetID]*ownedTarget) []core.TargetID {
	var ids []core.TargetID
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
