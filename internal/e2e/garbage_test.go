package e2e

import (
	"math/rand/v2"
	"net"

	"github.com/mangoweir/mangoweir/internal/carrier"
)

// garbagePackets is the number of datagrams that sendGarbage sends to each UDP port.
const garbagePackets = 200

// sendGarbage sends bytes that no client, target or VM sends to all ports of a VM: random, truncated,
// oversized and repeated datagrams over UDP, and random bytes over TCP.
func (d *deployment) sendGarbage(v *entryVM) error {
	rng := rand.New(rand.NewPCG(1, uint64(len(v.name))))
	random := func(n int) []byte {
		b := make([]byte, n)
		for i := range b {
			b[i] = byte(rng.Uint32())
		}
		return b
	}
	probe, err := carrier.AppendProbe(nil, 1)
	if err != nil {
		return err
	}
	for _, port := range []string{":5683", ":5684"} {
		conn, err := net.Dial("udp", v.addr+port)
		if err != nil {
			return err
		}
		for i := range garbagePackets {
			packets := [][]byte{random(1 + i), probe[:i%len(probe)], random(carrier.MaxDatagram + 100), probe}
			// The error of a datagram that a closed port refuses is ignored.
			_, _ = conn.Write(packets[i%len(packets)])
		}
		_ = conn.Close()
	}
	for _, port := range []string{":7400", ":8080"} {
		conn, err := net.Dial("tcp", v.addr+port)
		if err != nil {
			return err
		}
		_, _ = conn.Write(random(5000))
		_ = conn.Close()
	}
	return nil
}
