// Package fabric is a stand-in for the network fabric in front of the entry VMs.
//
// It listens on one UDP socket per service address and hands each datagram of a caller, with a PROXY
// header, to an entry VM chosen at random: any packet may reach any VM. VMs send answers to its return
// address; it sends them to the callers from the socket of the service. A Fabric owns its sockets,
// the list of VMs and its random numbers.
package fabric

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/faultproxy"
)

// Options configures a Fabric.
type Options struct {
	// Services are the addresses to listen on; port 0 takes a free port.
	Services []netip.AddrPort
	// ReturnAddr is the address that VMs send answers to; default 127.0.0.1 with a free port.
	ReturnAddr netip.AddrPort
	// Seed decides which VM gets which packet and which packets faults hit.
	Seed uint64
}

// Counters count packets.
type Counters struct {
	FromClients, ToClients uint64
	// NoVM counts packets of callers that arrived while there was no VM.
	NoVM uint64
	// BadAnswers counts packets at the return address that name no service of this fabric.
	BadAnswers        uint64
	Inbound, Outbound faultproxy.Counts
	VMs               []VMCounters
}

// VMCounters count the packets of a VM. They are kept when the VM is removed.
type VMCounters struct {
	Name    string
	Packets uint64
	Bytes   uint64
	// Answers counts packets that came from the VM's address; a VM may send from another one.
	Answers uint64
	Removed bool
}

// Fabric is a running fabric. It is safe for concurrent use.
type Fabric struct {
	services []*carrier.Socket
	byAddr   map[netip.AddrPort]*carrier.Socket
	back     *carrier.Socket
	in, out  *faultproxy.Impairment
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// live are the VMs that get packets; all also has the removed ones.
	live, all []*vm

	fromCallers, toCallers, noVM, badAnswers atomic.Uint64
}

// vm is an entry VM as the fabric sees it.
type vm struct {
	name                    string
	addr                    netip.AddrPort
	packets, bytes, answers atomic.Uint64
	removed                 bool
}

// Start opens the sockets and starts to hand on packets.
func Start(opts Options) (*Fabric, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fabric{
		byAddr: map[netip.AddrPort]*carrier.Socket{},
		in:     faultproxy.NewImpairment(opts.Seed),
		out:    faultproxy.NewImpairment(opts.Seed + 1),
		rng:    rand.New(rand.NewPCG(opts.Seed, 0x66616272)),
		cancel: cancel,
	}
	if err := f.listen(opts); err != nil {
		f.Close()
		return nil, fmt.Errorf("fabric: %w", err)
	}
	for _, s := range f.services {
		f.serve(ctx, s, func(data []byte, from netip.AddrPort) { f.fromCaller(s, data, from) })
	}
	f.serve(ctx, f.back, f.fromVM)
	return f, nil
}

// listen opens the sockets.
func (f *Fabric) listen(opts Options) error {
	for _, addr := range opts.Services {
		s, err := carrier.Listen(addr)
		if err != nil {
			return err
		}
		f.services = append(f.services, s)
		f.byAddr[s.Addr()] = s
	}
	back := opts.ReturnAddr
	if !back.IsValid() {
		back = netip.MustParseAddrPort("127.0.0.1:0")
	}
	s, err := carrier.Listen(back)
	f.back = s
	return err
}

// serve handles the datagrams of a socket until the fabric is closed.
func (f *Fabric) serve(ctx context.Context, s *carrier.Socket, handle func([]byte, netip.AddrPort)) {
	f.done.Go(func() { _ = s.Serve(ctx, handle) })
}

// ServiceAddrs returns the addresses of the services in the order of Options.Services.
func (f *Fabric) ServiceAddrs() []netip.AddrPort {
	addrs := make([]netip.AddrPort, len(f.services))
	for i, s := range f.services {
		addrs[i] = s.Addr()
	}
	return addrs
}

// ReturnAddr returns the address that VMs send answers to.
func (f *Fabric) ReturnAddr() netip.AddrPort { return f.back.Addr() }

// AddVM starts to hand packets to a VM; it replaces a VM with the same name.
func (f *Fabric) AddVM(name string, addr netip.AddrPort) {
	f.RemoveVM(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &vm{name: name, addr: addr}
	f.live = append(f.live, v)
	f.all = append(f.all, v)
}

// RemoveVM stops to hand packets to a VM.
func (f *Fabric) RemoveVM(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live = slices.DeleteFunc(f.live, func(v *vm) bool {
		v.removed = v.removed || v.name == name
		return v.removed
	})
}

// SetFaults replaces the faults of packets from callers to VMs and from VMs to callers.
func (f *Fabric) SetFaults(inbound, outbound faultproxy.Faults) error {
	if err := f.in.Set(inbound); err != nil {
		return err
	}
	return f.out.Set(outbound)
}

// Counters returns the current counts.
func (f *Fabric) Counters() Counters {
	c := Counters{
		FromClients: f.fromCallers.Load(),
		ToClients:   f.toCallers.Load(),
		NoVM:        f.noVM.Load(),
		BadAnswers:  f.badAnswers.Load(),
		Inbound:     f.in.Counts(),
		Outbound:    f.out.Counts(),
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.all {
		c.VMs = append(c.VMs, VMCounters{Name: v.name, Packets: v.packets.Load(), Bytes: v.bytes.Load(),
			Answers: v.answers.Load(), Removed: v.removed})
	}
	return c
}

// Close stops the fabric and waits for its goroutines.
func (f *Fabric) Close() {
	f.cancel()
	f.in.Close()
	f.out.Close()
	for _, s := range append(f.services, f.back) {
		if s != nil {
			_ = s.Close()
		}
	}
	f.done.Wait()
}

// fromCaller hands a caller's packet to a VM.
func (f *Fabric) fromCaller(s *carrier.Socket, data []byte, from netip.AddrPort) {
	f.fromCallers.Add(1)
	header := carrier.Header{Source: from, Destination: s.Addr()}
	packet, err := carrier.AppendHeader(make([]byte, 0, len(data)+64), header)
	if err != nil {
		return
	}
	f.in.Pass(append(packet, data...), f.toVM)
}

// toVM sends a packet to a VM chosen at random.
func (f *Fabric) toVM(packet []byte) {
	v := f.pick()
	if v == nil {
		f.noVM.Add(1)
		return
	}
	v.packets.Add(1)
	v.bytes.Add(uint64(len(packet)))
	// A VM that has just died refuses packets; callers repeat them.
	_ = f.back.Write(packet, v.addr)
}

// pick returns a random VM, or nil when there is none.
func (f *Fabric) pick() *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.live) == 0 {
		return nil
	}
	return f.live[f.rng.IntN(len(f.live))]
}

// fromVM sends a VM's answer to its caller.
func (f *Fabric) fromVM(data []byte, from netip.AddrPort) {
	f.countAnswer(from)
	h, body, err := carrier.SplitDatagram(data)
	if err != nil {
		f.badAnswers.Add(1)
		return
	}
	s := f.byAddr[h.Source]
	if s == nil {
		f.badAnswers.Add(1)
		return
	}
	f.out.Pass(body, func(b []byte) {
		f.toCallers.Add(1)
		_ = s.Write(b, h.Destination)
	})
}

// countAnswer counts an answer for the VM that it came from.
func (f *Fabric) countAnswer(from netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.all {
		if v.addr == from && !v.removed {
			v.answers.Add(1)
			return
		}
	}
}
