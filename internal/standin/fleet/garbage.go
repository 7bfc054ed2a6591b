package fleet

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// SendGarbage sends truncated, oversized, random and forged packets, and random bytes over TCP, to the ports of
// a VM.
func (f *Fleet) SendGarbage(vm *VM) {
	random := make([]byte, rand.N(1500))
	for i := range random {
		random[i] = byte(rand.Uint32())
	}
	forged := (&packet{
		src: netip.AddrPortFrom(f.address(99, 1), 4000), dst: f.route(services[0]),
		flags: flagSYN | flagACK, token: rand.Uint32(), data: []byte("forged"),
	}).encode()
	stray := (&packet{src: netip.AddrPortFrom(f.address(99, 2), 4000), dst: f.route(services[0]), flags: flagACK}).encode()
	for _, b := range [][]byte{nil, random, forged[:20], append(forged, 0), forged, stray, make([]byte, 9000)} {
		// The error is ignored: packets may be lost.
		_, _ = f.router.conn.WriteToUDPAddrPort(b, vm.packets())
	}
	for _, addr := range []string{vm.httpAddr(), vm.feedAddr()} {
		conn, err := net.DialTimeout("tcp4", addr, time.Second)
		if err != nil {
			continue
		}
		// The error is ignored: the VM may close the connection immediately.
		_, _ = conn.Write(random)
		_ = conn.Close()
	}
}
