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
	// linkSilence is the time after which package link closes a link on which nothing is received.
	linkSilence = 5 * time.Second
	// messageFraming is the number of bytes that the length prefix (4), the yamux header (12) and the TLS
	// record (22) add to a message.
	messageFraming = 4 + 12 + 22
)

// ClusterOptions describes a cluster. Zones and Services default to 1.
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

// Cluster runs and connects the Control instances of several VMs in one process and in virtual time. A stub
// replaces the traffic shards. It completes takeovers at once and handovers after handoverTime.
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

// vm is an entry VM and its process.
type vm struct {
	info        core.ListedVM
	control     *control.Control
	incarnation core.Incarnation
	alive       bool
	poweredOff  bool
	dials       map[core.VMName]bool
	generation  core.Generation
	snapshot    *core.Snapshot
	owned       map[core.TargetID]bool
	messages    uint64
	bytes       uint64
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

// NewCluster returns a cluster whose VMs start at random times within its first second.
func NewCluster(opts ClusterOptions) *Cluster {
	opts.Zones = max(opts.Zones, 1)
	opts.Services = max(opts.Services, 1)
	if opts.CrossZone == 0 {
		opts.CrossZone = linkLatency
	}
	c := &Cluster{Opts: opts, now: time.Hour, rng: rand.New(rand.NewPCG(opts.Seed, 1)), byName: map[core.VMName]*vm{}}
	c.Platform.members = map[core.ZoneName]core.MembersRead{}
	c.Apply()
	for i := range opts.VMs {
		c.addVM(i)
	}
	for _, v := range c.vms {
		c.after(time.Duration(c.rng.Int64N(int64(time.Second))), func() { c.Start(v.info.Name) })
	}
	return c
}

// VMName returns the name of the i-th VM.
func VMName(i int) core.VMName { return core.VMName(fmt.Sprintf("vm-%05d", i)) }

// zoneName returns the name of the i-th zone.
func zoneName(i int) core.ZoneName { return core.ZoneName(fmt.Sprintf("zone-%02d", i)) }

func (c *Cluster) addVM(i int) {
	addr := netip.AddrFrom4([4]byte{127, 9, byte(i >> 8), byte(i)})
	v := &vm{info: core.ListedVM{Name: VMName(i), Zone: zoneName(i % c.Opts.Zones), Addr: netip.AddrPortFrom(addr, 7000)}}
	c.vms = append(c.vms, v)
	c.byName[v.info.Name] = v
	c.Platform.list = append(c.Platform.list, v.info)
}

// Start starts a new process on a VM.
func (c *Cluster) Start(name core.VMName) {
	v := c.byName[name]
	v.incarnation++
	v.alive = true
	v.dials = map[core.VMName]bool{}
	v.generation = 0
	v.snapshot = nil
	v.owned = map[core.TargetID]bool{}
	// The seeds of the first incarnation are the VMs before and after this one. Later incarnations have
	// other seeds.
	n := len(c.vms)
	i := (int(v.incarnation) + c.indexOf(v)) % n
	v.control = control.New(control.Options{
		Self: name, Zone: v.info.Zone, Addr: v.info.Addr, Incarnation: v.incarnation, RandomSeed: c.Opts.Seed,
		Seeds:  []core.ListedVM{c.vms[i].info, c.vms[(i+n-2)%n].info},
		Decode: c.Platform.decode,
	})
	c.tick(v, v.incarnation)
}

func (c *Cluster) indexOf(v *vm) int {
	for i := range c.vms {
		if c.vms[i] == v {
			return i
		}
	}
	return -1
}

// Kill ends the process of a VM. The VM stays up and refuses connections.
func (c *Cluster) Kill(name core.VMName) {
	v := c.byName[name]
	v.alive = false
	for _, other := range c.vms {
		if other.alive && other.dials[name] {
			c.dial(other, other.incarnation, name)
		}
	}
}

// PowerOff powers a VM off. Peers receive nothing from it, and their links to it close after linkSilence.
func (c *Cluster) PowerOff(name core.VMName) {
	c.byName[name].alive = false
	c.byName[name].poweredOff = true
	for _, v := range c.vms {
		if v.alive && v.dials[name] {
			c.inputAfter(v, linkSilence, core.LinkEvent{Peer: name, State: core.LinkDown})
		}
	}
}

// Run advances virtual time by d and runs the events that are due.
func (c *Cluster) Run(d time.Duration) {
	end := c.now + d
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

func (c *Cluster) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{c.now + d, c.seq, run})
}

func (c *Cluster) tick(v *vm, incarnation core.Incarnation) {
	if !v.alive || v.incarnation != incarnation {
		return
	}
	c.input(v, core.Tick{})
	c.after(tickInterval, func() { c.tick(v, incarnation) })
}

// inputAfter delivers an input to a process after d, unless the process has ended by then.
func (c *Cluster) inputAfter(v *vm, d time.Duration, in core.Input) {
	incarnation := v.incarnation
	c.after(d, func() {
		if v.alive && v.incarnation == incarnation {
			c.input(v, in)
		}
	})
}

func (c *Cluster) input(v *vm, in core.Input) {
	for _, a := range v.control.Handle(in, c.now, nil) {
		c.perform(v, a)
	}
}

func (c *Cluster) perform(v *vm, a core.Action) {
	switch a := a.(type) {
	case core.SendPeer:
		c.send(v, a)
	case core.Dial:
		v.dials[a.Peer] = true
		incarnation := v.incarnation
		c.after(linkLatency, func() { c.dial(v, incarnation, a.Peer) })
	case core.CloseLink:
		delete(v.dials, a.Peer)
	case core.PublishSnapshot:
		v.snapshot = a.Snapshot
	case core.ToShard:
		c.handleShardInput(v, a.Input)
	case core.Event:
		if a.Kind == core.EventConfigInstalled {
			v.generation = core.Generation(a.Value)
		}
	default:
		c.callPlatform(v, a)
	}
}

// send counts a message and delivers it unless it is lost or its receiver is down.
func (c *Cluster) send(v *vm, a core.SendPeer) {
	data, err := wire.Encode(a.Msg, wire.MaxVersion)
	if err != nil {
		panic("capacity: control sent a message that cannot be encoded: " + err.Error())
	}
	v.messages++
	v.bytes += uint64(len(data) + messageFraming)
	to := c.byName[a.To]
	if to == nil || !to.alive || c.rng.Float64() < c.Opts.Loss {
		return
	}
	c.inputAfter(to, c.latency(v, to), core.PeerMessage{From: v.info.Name, Msg: a.Msg})
}

func (c *Cluster) latency(a, b *vm) time.Duration {
	if a.info.Zone != b.info.Zone {
		return c.Opts.CrossZone
	}
	return linkLatency
}

// dial connects a VM to a peer. It tries again after redialAfter when the connection is refused. The attempt
// has no result when the peer is powered off.
func (c *Cluster) dial(v *vm, incarnation core.Incarnation, peer core.VMName) {
	to := c.byName[peer]
	if !v.alive || v.incarnation != incarnation || !v.dials[peer] || to == nil {
		return
	}
	if to.alive {
		c.input(v, core.LinkEvent{Peer: peer, State: core.LinkUp})
		return
	}
	if to.poweredOff {
		return
	}
	c.input(v, core.LinkEvent{Peer: peer, State: core.LinkDown})
	c.input(v, core.LinkEvent{Peer: peer, State: core.LinkRefused})
	c.after(redialAfter, func() { c.dial(v, incarnation, peer) })
}

// handleShardInput replaces the traffic shards: it completes each takeover and handover, without flows.
func (c *Cluster) handleShardInput(v *vm, in core.Input) {
	switch in := in.(type) {
	case core.TakeOver:
		v.owned[in.Target] = true
		c.inputAfter(v, 0, ownerChanged(in.Target, v.info.Name, in.FencingToken))
	case core.DropTarget:
		delete(v.owned, in.Target)
	case core.StartHandover:
		if to := c.byName[in.To]; to != nil && to.alive {
			delete(v.owned, in.Target)
			to.owned[in.Target] = true
			c.inputAfter(to, handoverTime, ownerChanged(in.Target, in.To, in.FencingToken))
			c.inputAfter(v, 2*handoverTime, ownerChanged(in.Target, in.To, in.FencingToken))
		}
	}
}

// Ownership describes who owns the targets and what the VMs' snapshots say about it, as shares from 0 to 1.
type Ownership struct {
	// NoOwner is the share of (VM, target) pairs in which the VM's snapshot has no owner of the target.
	// WrongOwner is the share of pairs in which it names a VM that is down or does not own the target.
	NoOwner, WrongOwner float64
	// Unowned is the share of targets that no VM owns, and MultipleOwners that of targets that several own.
	Unowned, MultipleOwners float64
	// Authority is the share of running VMs that have authority.
	Authority float64
}

// Ownership returns the shares over the VMs that run and have a snapshot.
func (c *Cluster) Ownership() Ownership {
	var shares Ownership
	owners := map[core.TargetID]int{}
	var pairs, alive float64
	for _, v := range c.vms {
		if !v.alive || v.snapshot == nil {
			continue
		}
		alive++
		if v.snapshot.AuthorityUntil > c.now {
			shares.Authority++
		}
		for id := range v.owned {
			owners[id]++
		}
		for id, t := range v.snapshot.Targets {
			pairs++
			if t.Owner == "" {
				shares.NoOwner++
			} else if owner := c.byName[t.Owner]; !owner.alive || !owner.owned[id] {
				shares.WrongOwner++
			}
		}
	}
	targets := float64(c.Opts.Targets)
	for _, s := range c.Platform.config.Services {
		for i := range s.Targets {
			switch n := owners[s.Targets[i].ID]; {
			case n == 0:
				shares.Unowned += 1 / targets
			case n > 1:
				shares.MultipleOwners += 1 / targets
			}
		}
	}
	shares.Authority /= max(alive, 1)
	shares.NoOwner /= max(pairs, 1)
	shares.WrongOwner /= max(pairs, 1)
	return shares
}

func ownerChanged(t core.TargetID, owner core.VMName, token core.FencingToken) core.Input {
	return core.ShardReport{Action: core.OwnerChanged{Target: t, Owner: owner, FencingToken: token}}
}

// InForce reports whether all VMs that run have at least the given generation in force.
func (c *Cluster) InForce(g core.Generation) bool {
	for _, v := range c.vms {
		if v.alive && v.generation < g {
			return false
		}
	}
	return true
}

// TimeUntilInForce applies a change and returns the time until it is in force on all VMs. It stops waiting at
// limit.
func (c *Cluster) TimeUntilInForce(limit time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	start := c.now
	g := c.Apply()
	for !c.InForce(g) && c.now-start < limit {
		c.Run(step)
	}
	return c.now - start
}
