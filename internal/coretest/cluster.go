// Package coretest runs several instances of the decision core in virtual time, with small fakes at its
// interfaces: a network, targets, clients and the platform. Tests and the bench command use it to cause
// failures at exact moments; runs with equal seeds are equal.
//
// A Cluster contains all state and is not safe for concurrent use.
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
	tickInterval    = 50 * time.Millisecond
	linkLatency     = 1 * time.Millisecond
	clientLatency   = 3 * time.Millisecond
	targetLatency   = 500 * time.Microsecond
	platformLatency = 4 * time.Millisecond
	platformTimeout = time.Second
	redialInterval  = 100 * time.Millisecond
	linkTimeout     = 1500 * time.Millisecond
	// fabricLag is the time for which the fabric still delivers packets to a VM whose process has ended or
	// whose planned stop has begun.
	fabricLag = 300 * time.Millisecond
)

// Options configures a Cluster.
type Options struct {
	Seed uint64
	// DropRate, DuplicateRate and LateRate are the probabilities of faults on the path between clients and
	// VMs, per packet.
	DropRate, DuplicateRate, LateRate float64
	// Shards is the number of traffic shards per VM; default 1.
	Shards int
	// NewVM creates the decision core of a VM; default vm.New. Benchmarks set it to compare other cores with
	// vm.New.
	NewVM func(vm.Options) Handler
	// Trace receives a line for every input and action that concerns the flow of client number
	// TraceClient and, when TraceEvents is set, for the events that do not occur with every request.
	Trace       func(line string)
	TraceClient int
	TraceEvents bool
}

// Handler is the decision core of one VM.
type Handler interface {
	Handle(in core.Input, now time.Duration) []core.Action
}

// Cluster is a deployment of VMs, targets and clients in virtual time.
type Cluster struct {
	Opts     Options
	Rand     *rand.Rand
	Platform Platform
	Stats    Stats

	now    time.Duration
	seq    uint64
	timers timerHeap
	vms    map[core.VMName]*machine
	// startOrder lists the VMs in the order of their first start.
	startOrder  []core.VMName
	targets     map[netip.AddrPort]*Target
	clients     map[core.FlowKey]*Client
	fabricVMs   []core.VMName
	cut         map[pair]bool
	lastArrival map[linkKey]time.Duration
}

// install is the time at which a VM installed a generation.
type install struct {
	generation core.Generation
	at         time.Duration
}

// machine is an entry VM with its current process.
type machine struct {
	info        core.ListedVM
	core        Handler
	incarnation core.Incarnation
	alive       bool
	paused      bool
	drained     bool
	// poweredOff is true when the whole VM is down, so that connections to it time out.
	poweredOff bool
	queued     []core.Input
	dialed     map[core.VMName]bool
	links      map[core.VMName]bool
	generation core.Generation
	// installs lists the generations that the current process has installed.
	installs []install
	// ControlBytes, ControlMessages and TrafficMessages count what the VM's processes have sent, by kind of
	// traffic.
	ControlBytes    uint64
	ControlMessages uint64
	TrafficMessages uint64
}

// pair is two places between which no packets pass, each the name of a zone or a VM, or "platform".
type pair struct{ a, b string }

type linkKey struct{ from, to core.VMName }

type timer struct {
	at  time.Duration
	seq uint64
	run func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return e
}

// New returns a Cluster without VMs, whose platform has no manifest yet.
func New(opts Options) *Cluster {
	if opts.NewVM == nil {
		opts.NewVM = func(o vm.Options) Handler { return vm.New(o) }
	}
	c := &Cluster{
		Opts:        opts,
		Rand:        rand.New(rand.NewPCG(opts.Seed, 1)),
		vms:         map[core.VMName]*machine{},
		targets:     map[netip.AddrPort]*Target{},
		clients:     map[core.FlowKey]*Client{},
		cut:         map[pair]bool{},
		lastArrival: map[linkKey]time.Duration{},
	}
	c.Platform.init()
	return c
}

// Now returns the virtual time.
func (c *Cluster) Now() time.Duration { return c.now }

// At schedules a function at a virtual time, or at the current time if that is later.
func (c *Cluster) At(at time.Duration, run func()) {
	c.seq++
	heap.Push(&c.timers, timer{max(at, c.now), c.seq, run})
}

// After schedules a function after a delay.
func (c *Cluster) After(d time.Duration, run func()) { c.At(c.now+d, run) }

// Run advances the virtual time by d and runs all functions that are scheduled until then.
func (c *Cluster) Run(d time.Duration) {
	end := c.now + d
	for len(c.timers) > 0 && c.timers[0].at <= end {
		e := heap.Pop(&c.timers).(timer)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// StartVM starts an entry VM, or its next process when a VM of that name exists.
func (c *Cluster) StartVM(name core.VMName, zone core.ZoneName) {
	m := c.vms[name]
	if m == nil {
		port := uint16(20000 + len(c.vms))
		m = &machine{info: core.ListedVM{Name: name, Zone: zone,
			Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)}}
		c.vms[name] = m
		c.startOrder = append(c.startOrder, name)
	}
	m.incarnation++
	m.alive, m.paused, m.drained, m.poweredOff = true, false, false, false
	m.queued, m.generation, m.installs = nil, 0, nil
	m.dialed, m.links = map[core.VMName]bool{}, map[core.VMName]bool{}
	m.core = c.Opts.NewVM(vm.Options{Shards: c.Opts.Shards, Control: control.Options{
		Self: name, Zone: zone, Addr: m.info.Addr, Incarnation: m.incarnation, Seeds: c.seedVMs(name),
		Decode: c.Platform.decode, RandomSeed: c.Opts.Seed + uint64(len(c.startOrder)),
	}})
	c.Platform.addToList(m.info)
	c.fabricVMs = append(c.fabricVMs, name)
	incarnation := m.incarnation
	c.After(time.Duration(c.Rand.Int64N(int64(tickInterval))), func() { c.tick(name, incarnation) })
}

// seedVMs returns the running VMs, which a new VM's settings list as its first peers.
func (c *Cluster) seedVMs(self core.VMName) []core.ListedVM {
	var seeds []core.ListedVM
	for _, n := range c.startOrder {
		if m := c.vms[n]; n != self && m.alive {
			seeds = append(seeds, m.info)
		}
	}
	return seeds
}

// tick sends ticks to a process of a VM until the process ends.
func (c *Cluster) tick(name core.VMName, incarnation core.Incarnation) {
	m := c.vms[name]
	if m.incarnation != incarnation || !m.alive {
		return
	}
	c.handleInput(name, core.Tick{})
	c.After(tickInterval, func() { c.tick(name, incarnation) })
}

// Kill ends a VM's process at once. The machine stays up, so peers get "connection refused".
func (c *Cluster) Kill(name core.VMName) {
	c.endProcess(name)
}

// PowerOff stops the whole machine; peers get no response from it.
func (c *Cluster) PowerOff(name core.VMName) {
	c.vms[name].poweredOff = true
	c.endProcess(name)
}

func (c *Cluster) endProcess(name core.VMName) {
	m := c.vms[name]
	if !m.alive {
		return
	}
	m.alive = false
	incarnation := m.incarnation
	c.After(fabricLag, func() {
		if m.incarnation == incarnation {
			c.removeFromFabric(name)
		}
	})
	if m.poweredOff {
		return
	}
	for _, peer := range c.startOrder {
		if c.vms[peer].links[name] {
			c.closeLink(peer, name)
		}
	}
}

// removeFromFabric makes the fabric stop delivering packets to a VM.
func (c *Cluster) removeFromFabric(name core.VMName) {
	kept := c.fabricVMs[:0]
	for _, n := range c.fabricVMs {
		if n != name {
			kept = append(kept, n)
		}
	}
	c.fabricVMs = kept
}

// Pause suspends a VM's process. Its inputs are queued, apart from ticks.
func (c *Cluster) Pause(name core.VMName) { c.vms[name].paused = true }

// Resume resumes a suspended process, which then processes all queued inputs.
func (c *Cluster) Resume(name core.VMName) {
	m := c.vms[name]
	m.paused = false
	queued := m.queued
	m.queued = nil
	for _, in := range queued {
		c.handleInput(name, in)
	}
}

// Stop starts a planned stop. The process ends when its core reports that it is drained.
func (c *Cluster) Stop(name core.VMName) {
	c.After(fabricLag, func() { c.removeFromFabric(name) })
	c.handleInput(name, core.Stop{})
}

// Alive reports whether a VM's process runs, paused or not.
func (c *Cluster) Alive(name core.VMName) bool { return c.vms[name] != nil && c.vms[name].alive }

// Partition stops all packets between two places, each a zone's name, a VM's name or "platform".
func (c *Cluster) Partition(a, b string) { c.cut[pair{a, b}], c.cut[pair{b, a}] = true, true }

// Heal ends all partitions.
func (c *Cluster) Heal() { clear(c.cut) }

// partitioned reports whether a partition separates a VM from a place in a zone.
func (c *Cluster) partitioned(m *machine, name string, zone core.ZoneName) bool {
	for _, a := range [2]string{string(m.info.Name), string(m.info.Zone)} {
		for _, b := range [2]string{name, string(zone)} {
			if c.cut[pair{a, b}] {
				return true
			}
		}
	}
	return false
}

// handleInput passes an input to a VM's core and executes the returned actions.
func (c *Cluster) handleInput(name core.VMName, in core.Input) {
	m := c.vms[name]
	if !m.alive {
		return
	}
	if m.paused {
		if _, tick := in.(core.Tick); !tick {
			m.queued = append(m.queued, in)
		}
		return
	}
	c.trace(m, "in ", in)
	for _, a := range m.core.Handle(in, c.now) {
		c.trace(m, "out", a)
		c.perform(m, a)
	}
}

// perform executes an action of a VM.
func (c *Cluster) perform(m *machine, action core.Action) {
	switch action := action.(type) {
	case core.SendTarget:
		c.sendTarget(m, action)
	case core.AnswerClient:
		c.sendToClient(action.Flow, func(client *Client) { client.handleAnswer(action) })
	case core.RefuseClient:
		c.Stats.Refused[action.Reason]++
		c.sendToClient(action.Flow, func(client *Client) { client.handleRefusal(action) })
	case core.SendPeer:
		c.sendPeer(m, action)
	case core.Dial:
		if !m.dialed[action.Peer] {
			m.dialed[action.Peer] = true
			c.dial(m, m.incarnation, action.Peer)
		}
	case core.CloseLink:
		delete(m.dialed, action.Peer)
		delete(m.links, action.Peer)
	case core.Drained:
		m.drained = true
		c.endProcess(m.info.Name)
	case core.Event:
		c.recordEvent(m, action)
	default:
		c.callPlatform(m, action)
	}
}

// recordEvent counts an event and checks that the VM's configuration does not revert to an older one.
func (c *Cluster) recordEvent(m *machine, e core.Event) {
	c.Stats.Events[e.Kind]++
	c.traceEvent(m, e)
	if e.Kind != core.EventConfigInstalled {
		return
	}
	gen := core.Generation(e.Value)
	if gen < m.generation {
		c.recordViolation("configuration of %s reverted from generation %d to %d", m.info.Name, m.generation, gen)
	}
	m.generation = gen
	m.installs = append(m.installs, install{gen, c.now})
}

// installedSince returns when the current process installed the generation or a newer one, and whether it did.
func (m *machine) installedSince(gen core.Generation) (time.Duration, bool) {
	for _, i := range m.installs {
		if i.generation >= gen {
			return i.at, true
		}
	}
	return 0, false
}

// Generation returns the generation in force on a VM.
func (c *Cluster) Generation(name core.VMName) core.Generation { return c.vms[name].generation }

// ControlTraffic returns the control messages and bytes that a VM has sent.
func (c *Cluster) ControlTraffic(name core.VMName) (messages, bytes uint64) {
	m := c.vms[name]
	return m.ControlMessages, m.ControlBytes
}

// recordViolation records a violation of a guarantee of the core.
func (c *Cluster) recordViolation(format string, args ...any) {
	c.Stats.Violations = append(c.Stats.Violations,
		fmt.Sprintf("%8.3fs ", c.now.Seconds())+fmt.Sprintf(format, args...))
}
