// Package coretest drives several instances of the decision core in virtual time, with small fakes
// at its interfaces: a network, targets, callers and the platform. Tests and the bench command use
// it to cause failures at exact moments; equal seeds give equal runs.
//
// A World owns all state; it has a single thread.
package coretest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/control"
	"github.com/mangoweir/mangoweir/core/vm"
)

// Latencies and intervals of the fakes.
const (
	tickInterval  = 50 * time.Millisecond
	linkLatency   = 1 * time.Millisecond
	callerLatency = 3 * time.Millisecond
	targetLatency = 500 * time.Microsecond
	platformTime  = 4 * time.Millisecond
	platformFail  = time.Second
	redialFast    = 100 * time.Millisecond
	linkTimeout   = 1500 * time.Millisecond
	// fabricLag is how long the fabric hands packets to a VM that has gone.
	fabricLag = 300 * time.Millisecond
)

// Options configures a World.
type Options struct {
	Seed uint64
	// Faults of the path between callers and VMs; probabilities per packet.
	DropRate, DuplicateRate, LateRate float64
	// Shards is the number of traffic shards per VM; default 1.
	Shards int
	// NewVM makes the decision core of a VM; default the real one. Measurements compare others.
	NewVM func(vm.Options) Handler
	// Trace gets a line for every input and action that concerns the flow of caller number
	// TraceClient, and for every event of control when TraceEvents is set.
	Trace       func(line string)
	TraceClient int
	TraceEvents bool
}

// Handler is the decision core of one VM.
type Handler interface {
	Handle(in core.Input, now time.Duration) []core.Action
}

// Cluster is a deployment in virtual time.
type Cluster struct {
	Opts     Options
	Rand     *rand.Rand
	Platform Platform
	Stats    Stats

	now     time.Duration
	seq     uint64
	events  eventHeap
	vms     map[core.VMName]*machine
	order   []core.VMName
	targets map[netip.AddrPort]*Target
	callers map[core.FlowKey]*Client
	fabric  []core.VMName
	cuts    map[cut]bool
	lastAt  map[linkKey]time.Duration
}

// install is the time at which a VM installed a generation.
type install struct {
	gen core.Generation
	at  time.Duration
}

// machine is an entry VM with its process.
type machine struct {
	info    core.ListedVM
	core    Handler
	inc     core.Incarnation
	alive   bool
	paused  bool
	drained bool
	// silent is true when the whole VM is gone, so that connections time out.
	silent bool
	queued []core.Input
	dials  map[core.VMName]bool
	links  map[core.VMName]bool
	gen    core.Generation
	// installs lists the generations that the present process has installed.
	installs []install
	// Bytes and Messages are counted per VM by kind of traffic.
	ControlBytes    uint64
	ControlMessages uint64
	TrafficMessages uint64
}

// cut is a severed pair of places: a zone, a VM or the platform.
type cut struct{ a, b string }

type linkKey struct{ from, to core.VMName }

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// New returns a World without VMs; the platform holds no manifest yet.
func New(opts Options) *Cluster {
	if opts.NewVM == nil {
		opts.NewVM = func(o vm.Options) Handler { return vm.New(o) }
	}
	w := &Cluster{
		Opts:    opts,
		Rand:    rand.New(rand.NewPCG(opts.Seed, 1)),
		vms:     map[core.VMName]*machine{},
		targets: map[netip.AddrPort]*Target{},
		callers: map[core.FlowKey]*Client{},
		cuts:    map[cut]bool{},
		lastAt:  map[linkKey]time.Duration{},
	}
	w.Platform.init()
	return w
}

// Now returns the virtual time.
func (w *Cluster) Now() time.Duration { return w.now }

// At schedules a function at a virtual time.
func (w *Cluster) At(at time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{max(at, w.now), w.seq, run})
}

// After schedules a function after a delay.
func (w *Cluster) After(d time.Duration, run func()) { w.At(w.now+d, run) }

// Run lets virtual time pass.
func (w *Cluster) Run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// StartVM starts an entry VM, or its next process when the name was used before.
func (w *Cluster) StartVM(name core.VMName, zone core.ZoneName) {
	m := w.vms[name]
	if m == nil {
		port := uint16(20000 + len(w.vms))
		m = &machine{info: core.ListedVM{Name: name, Zone: zone,
			Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}}
		w.vms[name] = m
		w.order = append(w.order, name)
	}
	m.inc++
	m.alive, m.paused, m.drained, m.silent = true, false, false, false
	m.queued, m.gen, m.installs = nil, 0, nil
	m.dials, m.links = map[core.VMName]bool{}, map[core.VMName]bool{}
	m.core = w.Opts.NewVM(vm.Options{Shards: w.Opts.Shards, Control: control.Options{
		Self: name, Zone: zone, Addr: m.info.Addr, Incarnation: m.inc, Seeds: w.seeds(name),
		Decode: w.Platform.decode, RandomSeed: w.Opts.Seed + uint64(len(w.order)),
	}})
	w.Platform.list(m.info)
	w.fabric = append(w.fabric, name)
	inc := m.inc
	w.After(time.Duration(w.Rand.Int64N(int64(tickInterval))), func() { w.tick(name, inc) })
}

// seeds returns the VMs that a new VM's settings name.
func (w *Cluster) seeds(self core.VMName) []core.ListedVM {
	var seeds []core.ListedVM
	for _, n := range w.order {
		if m := w.vms[n]; n != self && m.alive {
			seeds = append(seeds, m.info)
		}
	}
	return seeds
}

// tick drives a process of a VM until it ends.
func (w *Cluster) tick(name core.VMName, inc core.Incarnation) {
	m := w.vms[name]
	if m.inc != inc || !m.alive {
		return
	}
	w.input(name, core.Tick{})
	w.After(tickInterval, func() { w.tick(name, inc) })
}

// Kill ends a VM's process at once; the machine still answers, so peers get connection refused.
func (w *Cluster) Kill(name core.VMName) {
	w.end(name)
}

// PowerOff takes the whole machine away; peers hear nothing.
func (w *Cluster) PowerOff(name core.VMName) {
	w.vms[name].silent = true
	w.end(name)
}

func (w *Cluster) end(name core.VMName) {
	m := w.vms[name]
	if !m.alive {
		return
	}
	m.alive = false
	inc := m.inc
	w.After(fabricLag, func() {
		if m.inc == inc {
			w.removeFromFabric(name)
		}
	})
	if m.silent {
		return
	}
	for _, peer := range w.order {
		if w.vms[peer].links[name] {
			w.closeLink(peer, name)
		}
	}
}

// removeFromFabric stops the fabric from handing packets to a VM.
func (w *Cluster) removeFromFabric(name core.VMName) {
	kept := w.fabric[:0]
	for _, n := range w.fabric {
		if n != name {
			kept = append(kept, n)
		}
	}
	w.fabric = kept
}

// Pause freezes a VM's process; its inputs queue.
func (w *Cluster) Pause(name core.VMName) { w.vms[name].paused = true }

// Resume lets a frozen VM go on with all that has queued.
func (w *Cluster) Resume(name core.VMName) {
	m := w.vms[name]
	m.paused = false
	queued := m.queued
	m.queued = nil
	for _, in := range queued {
		w.input(name, in)
	}
}

// Stop begins a planned stop; the process ends when its core reports that it is drained.
func (w *Cluster) Stop(name core.VMName) {
	w.After(fabricLag, func() { w.removeFromFabric(name) })
	w.input(name, core.Stop{})
}

// Alive reports whether a VM's process runs.
func (w *Cluster) Alive(name core.VMName) bool { return w.vms[name] != nil && w.vms[name].alive }

// Partition severs two places, each a zone's name, a VM's name or "platform".
func (w *Cluster) Partition(a, b string) { w.cuts[cut{a, b}], w.cuts[cut{b, a}] = true, true }

// Heal restores all connections.
func (w *Cluster) Heal() { clear(w.cuts) }

// severed reports whether a VM cannot reach a place in a zone.
func (w *Cluster) severed(m *machine, name string, zone core.ZoneName) bool {
	for _, a := range [2]string{string(m.info.Name), string(m.info.Zone)} {
		for _, b := range [2]string{name, string(zone)} {
			if w.cuts[cut{a, b}] {
				return true
			}
		}
	}
	return false
}

// input hands an input to a VM and carries out the actions.
func (w *Cluster) input(name core.VMName, in core.Input) {
	m := w.vms[name]
	if !m.alive {
		return
	}
	if m.paused {
		if _, tick := in.(core.Tick); !tick {
			m.queued = append(m.queued, in)
		}
		return
	}
	w.trace(m, "in ", in)
	for _, a := range m.core.Handle(in, w.now) {
		w.trace(m, "out", a)
		w.perform(m, a)
	}
}

// perform carries out an action of a VM.
func (w *Cluster) perform(m *machine, a core.Action) {
	switch a := a.(type) {
	case core.SendTarget:
		w.sendTarget(m, a)
	case core.AnswerClient:
		w.toCaller(a.Flow, func(c *Client) { c.answered(a) })
	case core.RefuseClient:
		w.Stats.Refused[a.Reason]++
		w.toCaller(a.Flow, func(c *Client) { c.refused(a) })
	case core.SendPeer:
		w.sendPeer(m, a)
	case core.Dial:
		if !m.dials[a.Peer] {
			m.dials[a.Peer] = true
			w.dial(m, m.inc, a.Peer)
		}
	case core.CloseLink:
		delete(m.dials, a.Peer)
		delete(m.links, a.Peer)
	case core.Drained:
		m.drained = true
		w.end(m.info.Name)
	case core.Event:
		w.event(m, a)
	default:
		w.platformCall(m, a)
	}
}

// event counts an event and checks that no VM's configuration reverts.
func (w *Cluster) event(m *machine, e core.Event) {
	w.Stats.Events[e.Kind]++
	w.traceEvent(m, e)
	if e.Kind != core.EventConfigInstalled {
		return
	}
	gen := core.Generation(e.Value)
	if gen < m.gen {
		w.violate("config of %s reverted from %d to %d", m.info.Name, m.gen, gen)
	}
	m.gen = gen
	m.installs = append(m.installs, install{gen, w.now})
}

// hasSince returns since when a VM has a generation or a newer one, if it has.
func (m *machine) hasSince(gen core.Generation) (time.Duration, bool) {
	for _, i := range m.installs {
		if i.gen >= gen {
			return i.at, true
		}
	}
	return 0, false
}

// Generation returns the generation in force on a VM.
func (w *Cluster) Generation(name core.VMName) core.Generation { return w.vms[name].gen }

// ControlTraffic returns the control messages and bytes that a VM has sent.
func (w *Cluster) ControlTraffic(name core.VMName) (messages, bytes uint64) {
	m := w.vms[name]
	return m.ControlMessages, m.ControlBytes
}

// violate records a broken promise.
func (w *Cluster) violate(format string, args ...any) {
	w.Stats.Violations = append(w.Stats.Violations,
		fmt.Sprintf("%8.3fs ", w.now.Seconds())+fmt.Sprintf(format, args...))
}
