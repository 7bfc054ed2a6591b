// Package fabric is a stand-in for the network fabric in front of the entry VMs.
//
// It listens on one UDP socket per service address and forwards each datagram of a client, with a PROXY
// header, to an entry VM chosen at random, so that any packet may reach any VM. VMs send answers to the
// fabric's return address, and the fabric sends them to the clients from the socket of the service. A
// Fabric owns its sockets, the list of VMs and its random number generator.
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
	// Services has the addresses to listen on; port 0 selects a free port.
	Services []netip.AddrPort
	// ReturnAddr is the address that VMs send answers to; default 127.0.0.1 with a free port.
	ReturnAddr netip.AddrPort
	// Seed seeds the random choice of a VM for each packet and of the packets that faults affect.
	Seed uint64
}

// Counters has the packet counts of a Fabric.
type Counters struct {
	FromClients, ToClients uint64
	// NoVM counts packets of clients that were dropped because there was no VM.
	NoVM uint64
	// BadAnswers counts packets at the return address that cannot be decoded or name no service of
	// this fabric.
	BadAnswers        uint64
	Inbound, Outbound faultproxy.Counts
	VMs               []VMCounters
}

// VMCounters has the packet counts of a VM. They are kept after the VM is removed.
type VMCounters struct {
	Name    string
	Packets uint64
	Bytes   uint64
	// Answers counts packets from the VM's address; answers that the VM sends from another address
	// are not included.
	Answers uint64
	Removed bool
}

// Fabric is a running fabric. It is safe for concurrent use.
type Fabric struct {
	services          []*carrier.Socket
	serviceByAddr     map[netip.AddrPort]*carrier.Socket
	returnSocket      *carrier.Socket
	inbound, outbound *faultproxy.Impairment
	cancel            context.CancelFunc
	done              sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// current has the VMs that get packets; all also has the removed VMs.
	current, all []*vm

	fromClients, toClients, noVM, badAnswers atomic.Uint64
}

// vm is the fabric's entry for an entry VM.
type vm struct {
	name                    string
	addr                    netip.AddrPort
	packets, bytes, answers atomic.Uint64
	removed                 bool
}

// Start opens the sockets and starts to forward packets. It returns an error when it cannot listen on
// an address.
func Start(opts Options) (*Fabric, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fabric{
		serviceByAddr: map[netip.AddrPort]*carrier.Socket{},
		inbound:       faultproxy.NewImpairment(opts.Seed),
		outbound:      faultproxy.NewImpairment(opts.Seed + 1),
		rng:           rand.New(rand.NewPCG(opts.Seed, 0x66616272)),
		cancel:        cancel,
	}
	if err := f.listen(opts); err != nil {
		f.Close()
		return nil, fmt.Errorf("fabric: %w", err)
	}
	for _, s := range f.services {
		f.serve(ctx, s, func(data []byte, from netip.AddrPort) { f.fromClient(s, data, from) })
	}
	f.serve(ctx, f.returnSocket, f.fromVM)
	return f, nil
}

// listen opens the sockets of the services and the return address.
func (f *Fabric) listen(opts Options) error {
	for _, addr := range opts.Services {
		s, err := carrier.Listen(addr)
		if err != nil {
			return err
		}
		f.services = append(f.services, s)
		f.serviceByAddr[s.Addr()] = s
	}
	returnAddr := opts.ReturnAddr
	if !returnAddr.IsValid() {
		returnAddr = netip.MustParseAddrPort("127.0.0.1:0")
	}
	s, err := carrier.Listen(returnAddr)
	f.returnSocket = s
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
func (f *Fabric) ReturnAddr() netip.AddrPort { return f.returnSocket.Addr() }

// AddVM starts to forward packets to a VM; it replaces a VM with the same name.
func (f *Fabric) AddVM(name string, addr netip.AddrPort) {
	f.RemoveVM(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &vm{name: name, addr: addr}
	f.current = append(f.current, v)
	f.all = append(f.all, v)
}

// RemoveVM stops forwarding packets to a VM.
func (f *Fabric) RemoveVM(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = slices.DeleteFunc(f.current, func(v *vm) bool {
		v.removed = v.removed || v.name == name
		return v.removed
	})
}

// SetFaults replaces the faults of packets from clients to VMs and from VMs to clients. It returns an
// error when a rate or time is out of range.
func (f *Fabric) SetFaults(inbound, outbound faultproxy.Faults) error {
	if err := f.inbound.Set(inbound); err != nil {
		return err
	}
	return f.outbound.Set(outbound)
}

// Counters returns the current counts.
func (f *Fabric) Counters() Counters {
	c := Counters{
		FromClients: f.fromClients.Load(),
		ToClients:   f.toClients.Load(),
		NoVM:        f.noVM.Load(),
		BadAnswers:  f.badAnswers.Load(),
		Inbound:     f.inbound.Counts(),
		Outbound:    f.outbound.Counts(),
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
	f.inbound.Close()
	f.outbound.Close()
	for _, s := range append(f.services, f.returnSocket) {
		if s != nil {
			_ = s.Close()
		}
	}
	f.done.Wait()
}

// fromClient forwards a client's packet to a VM.
func (f *Fabric) fromClient(s *carrier.Socket, data []byte, from netip.AddrPort) {
	f.fromClients.Add(1)
	header := carrier.Header{Source: from, Destination: s.Addr()}
	packet, err := carrier.AppendHeader(make([]byte, 0, len(data)+64), header)
	if err != nil {
		return
	}
	f.inbound.Pass(append(packet, data...), f.toVM)
}

// toVM sends a packet to a VM chosen at random.
func (f *Fabric) toVM(packet []byte) {
	v := f.randomVM()
	if v == nil {
		f.noVM.Add(1)
		return
	}
	v.packets.Add(1)
	v.bytes.Add(uint64(len(packet)))
	// The port of a VM that has just ended refuses packets. The error is ignored because clients
	// retransmit.
	_ = f.returnSocket.Write(packet, v.addr)
}

// randomVM returns a random VM, or nil when there is none.
func (f *Fabric) randomVM() *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.current) == 0 {
		return nil
	}
	return f.current[f.rng.IntN(len(f.current))]
}

// fromVM sends a VM's answer to its client.
func (f *Fabric) fromVM(data []byte, from netip.AddrPort) {
	f.countAnswer(from)
	h, body, err := carrier.SplitDatagram(data)
	if err != nil {
		f.badAnswers.Add(1)
		return
	}
	s := f.serviceByAddr[h.Source]
	if s == nil {
		f.badAnswers.Add(1)
		return
	}
	f.outbound.Pass(body, func(b []byte) {
		f.toClients.Add(1)
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
