package capacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/control"
	"github.com/mangoweir/mangoweir/internal/wire"
)

const (
	tickInterval = 50 * time.Millisecond
	linkLatency  = time.Millisecond
	redialAfter  = 500 * time.Millisecond
	handoverTime = 5 * time.Millisecond
	// linkSilence is the time after which package link closes a silent link.
	linkSilence = 5 * time.Second
	// messageFraming is the length prefix (4), yamux header (12) and TLS record (22) of a message.
	messageFraming = 4 + 12 + 22
)

// ClusterOptions describes a fleet.
type ClusterOptions struct {
	Seed     uint64
	VMs      int
	Zones    int
	Targets  int
	Services int
	// Loss is the probability that a message between VMs is lost.
	Loss float64
	// CrossZone is the one-way latency between zones; default linkLatency.
	CrossZone time.Duration
}

// Cluster connects Control instances of one process in virtual time. The traffic shards are replaced
// by a stub that accepts every takeover and handover at once.
type Cluster struct {
	Opts     ClusterOptions
	Platform Platform

	now    time.Duration
	rng    *rand.Rand
	seq    uint64
	events eventHeap
	vms    []*vm
	byName map[core.VMName]*vm
}

// vm is an entry VM with its process.
type vm struct {
	info       core.ListedVM
	control    *control.Control
	inc        core.Incarnation
	alive      bool
	lost       bool
	dials      map[core.VMName]bool
	generation core.Generation
	snapshot   *core.Snapshot
	held       map[core.TargetID]bool
	messages   uint64
	bytes      uint64
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// NewCluster starts all VMs of a fleet at slightly different times.
func NewCluster(opts ClusterOptions) *Cluster {
	opts.Zones = max(opts.Zones, 1)
	opts.Services = max(opts.Services, 1)
	if opts.CrossZone == 0 {
		opts.CrossZone = linkLatency
	}
	f := &Cluster{Opts: opts, now: time.Hour, rng: rand.New(rand.NewPCG(opts.Seed, 1)), byName: map[core.VMName]*vm{}}
	f.Platform.members = map[core.ZoneName]core.MembersRead{}
	f.Apply()
	for i := range opts.VMs {
		f.addVM(i)
	}
	for _, v := range f.vms {
		f.after(time.Duration(f.rng.Int64N(int64(time.Second))), func() { f.Start(v.info.Name) })
	}
	return f
}

// VMName returns the name of the i-th VM.
func VMName(i int) core.VMName { return core.VMName(fmt.Sprintf("vm-%05d", i)) }

// zoneName returns the name of the i-th zone.
func zoneName(i int) core.ZoneName { return core.ZoneName(fmt.Sprintf("zone-%02d", i)) }

func (f *Cluster) addVM(i int) {
	addr := netip.AddrFrom4([4]byte{127, 9, byte(i >> 8), byte(i)})
	v := &vm{info: core.ListedVM{Name: VMName(i), Zone: zoneName(i % f.Opts.Zones), Addr: netip.AddrPortFrom(addr, 7000)}}
	f.vms = append(f.vms, v)
	f.byName[v.info.Name] = v
	f.Platform.list = append(f.Platform.list, v.info)
}

// Start starts a new process of a VM.
func (f *Cluster) Start(name core.VMName) {
	v := f.byName[name]
	v.inc++
	v.alive = true
	v.dials = map[core.VMName]bool{}
	v.generation = 0
	v.snapshot = nil
	v.held = map[core.TargetID]bool{}
	// A VM's settings name the VMs before and after it.
	n := len(f.vms)
	i := (int(v.inc) + f.indexOf(v)) % n
	v.control = control.New(control.Options{
		Self: name, Zone: v.info.Zone, Addr: v.info.Addr, Incarnation: v.inc, RandomSeed: f.Opts.Seed,
		Seeds:  []core.ListedVM{f.vms[i].info, f.vms[(i+n-2)%n].info},
		Decode: f.Platform.decode,
	})
	f.tick(v, v.inc)
}

func (f *Cluster) indexOf(v *vm) int {
	for i := range f.vms {
		if f.vms[i] == v {
			return i
		}
	}
	return -1
}

// Kill ends the process of a VM; its machine refuses connections.
func (f *Cluster) Kill(name core.VMName) {
	v := f.byName[name]
	v.alive = false
	for _, other := range f.vms {
		if other.alive && other.dials[name] {
			f.dial(other, other.inc, name)
		}
	}
}

// PowerOff takes the machine of a VM away; peers hear nothing, and their links close after a while.
func (f *Cluster) PowerOff(name core.VMName) {
	f.byName[name].alive = false
	f.byName[name].lost = true
	for _, v := range f.vms {
		if v.alive && v.dials[name] {
			f.later(v, linkSilence, core.LinkEvent{Peer: name, State: core.LinkDown})
		}
	}
}

// Run lets virtual time pass.
func (f *Cluster) Run(d time.Duration) {
	end := f.now + d
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *Cluster) after(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{f.now + d, f.seq, run})
}

func (f *Cluster) tick(v *vm, inc core.Incarnation) {
	if !v.alive || v.inc != inc {
		return
	}
	f.input(v, core.Tick{})
	f.after(tickInterval, func() { f.tick(v, inc) })
}

// later hands an input to a process unless it has ended by then.
func (f *Cluster) later(v *vm, d time.Duration, in core.Input) {
	inc := v.inc
	f.after(d, func() {
		if v.alive && v.inc == inc {
			f.input(v, in)
		}
	})
}

func (f *Cluster) input(v *vm, in core.Input) {
	for _, a := range v.control.Handle(in, f.now, nil) {
		f.perform(v, a)
	}
}

func (f *Cluster) perform(v *vm, a core.Action) {
	switch a := a.(type) {
	case core.SendPeer:
		f.send(v, a)
	case core.Dial:
		v.dials[a.Peer] = true
		inc := v.inc
		f.after(linkLatency, func() { f.dial(v, inc, a.Peer) })
	case core.CloseLink:
		delete(v.dials, a.Peer)
	case core.PublishSnapshot:
		v.snapshot = a.Snapshot
	case core.ToShard:
		f.shard(v, a.Input)
	case core.Event:
		if a.Kind == core.EventConfigInstalled {
			v.generation = core.Generation(a.Value)
		}
	default:
		f.call(v, a)
	}
}

// send counts and delivers a message.
func (f *Cluster) send(v *vm, a core.SendPeer) {
	data, err := wire.Encode(a.Msg, wire.MaxVersion)
	if err != nil {
		panic("capacity: control sent a message that cannot be encoded: " + err.Error())
	}
	v.messages++
	v.bytes += uint64(len(data) + messageFraming)
	to := f.byName[a.To]
	if to == nil || !to.alive || f.rng.Float64() < f.Opts.Loss {
		return
	}
	f.later(to, f.latency(v, to), core.PeerMessage{From: v.info.Name, Msg: a.Msg})
}

func (f *Cluster) latency(a, b *vm) time.Duration {
	if a.info.Zone != b.info.Zone {
		return f.Opts.CrossZone
	}
	return linkLatency
}

// dial connects a VM with a peer, and repeats a refused attempt.
func (f *Cluster) dial(v *vm, inc core.Incarnation, peer core.VMName) {
	to := f.byName[peer]
	if !v.alive || v.inc != inc || !v.dials[peer] || to == nil {
		return
	}
	if to.alive {
		f.input(v, core.LinkEvent{Peer: peer, State: core.LinkUp})
		return
	}
	if to.lost {
		return
	}
	f.input(v, core.LinkEvent{Peer: peer, State: core.LinkDown})
	f.input(v, core.LinkEvent{Peer: peer, State: core.LinkRefused})
	f.after(redialAfter, func() { f.dial(v, inc, peer) })
}

// shard stands in for the traffic shards.
func (f *Cluster) shard(v *vm, in core.Input) {
	switch in := in.(type) {
	case core.TakeOver:
		v.held[in.Target] = true
		f.later(v, 0, holds(in.Target, v.info.Name, in.FencingToken))
	case core.DropTarget:
		delete(v.held, in.Target)
	case core.StartHandover:
		if to := f.byName[in.To]; to != nil && to.alive {
			delete(v.held, in.Target)
			to.held[in.Target] = true
			f.later(to, handoverTime, holds(in.Target, in.To, in.FencingToken))
			f.later(v, 2*handoverTime, holds(in.Target, in.To, in.FencingToken))
		}
	}
}

// Ownership is what the VMs of a fleet know, as shares from 0 to 1.
type Ownership struct {
	// NoOwner is the share of (VM, target) pairs in which the VM knows no holder, and WrongOwner
	// that in which it names a VM that does not hold the target.
	NoOwner, WrongOwner float64
	// Unowned and Doubled are the shares of targets that no VM and more than one VM holds.
	Unowned, MultipleOwners float64
	// Authority is the share of VMs that have authority.
	Authority float64
}

// Ownership returns what the living VMs know now.
func (f *Cluster) Ownership() Ownership {
	var k Ownership
	holders := map[core.TargetID]int{}
	var pairs, alive float64
	for _, v := range f.vms {
		if !v.alive || v.snapshot == nil {
			continue
		}
		alive++
		if v.snapshot.AuthorityUntil > f.now {
			k.Authority++
		}
		for id := range v.held {
			holders[id]++
		}
		for id, t := range v.snapshot.Targets {
			pairs++
			if t.Owner == "" {
				k.NoOwner++
			} else if h := f.byName[t.Owner]; !h.alive || !h.held[id] {
				k.WrongOwner++
			}
		}
	}
	targets := float64(f.Opts.Targets)
	for _, s := range f.Platform.config.Services {
		for i := range s.Targets {
			switch n := holders[s.Targets[i].ID]; {
			case n == 0:
				k.Unowned += 1 / targets
			case n > 1:
				k.MultipleOwners += 1 / targets
			}
		}
	}
	k.Authority /= max(alive, 1)
	k.NoOwner /= max(pairs, 1)
	k.WrongOwner /= max(pairs, 1)
	return k
}

func holds(t core.TargetID, vm core.VMName, n core.FencingToken) core.Input {
	return core.ShardReport{Action: core.OwnerChanged{Target: t, Owner: vm, FencingToken: n}}
}

// InForce reports whether all living VMs have a generation in force.
func (f *Cluster) InForce(g core.Generation) bool {
	for _, v := range f.vms {
		if v.alive && v.generation < g {
			return false
		}
	}
	return true
}

// TimeUntilInForce applies a change and returns the time until it is in force on all VMs, or limit.
func (f *Cluster) TimeUntilInForce(limit time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	start := f.now
	g := f.Apply()
	for !f.InForce(g) && f.now-start < limit {
		f.Run(step)
	}
	return f.now - start
}
