package forward

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

const (
	zoneA = core.ZoneName("zone-a")
	zoneB = core.ZoneName("zone-b")
)

// deskAddr is the address of the only route of test snapshots.
var deskAddr = Endpoint{IP: 0xc6120001, Port: 443}

// testTarget returns the n-th target of a zone.
func testTarget(zone core.ZoneName, n int) *Target {
	id := fmt.Sprintf("i-%s%02x", zone[len(zone)-1:], n)
	return &Target{
		ID: id, NumericID: uint64(n), Zone: zone, Service: "desk", Slots: 4, Token: NewToken(id, 1),
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, zone[len(zone)-1], byte(n)}), 8080),
	}
}

// testSnapshot returns the snapshot of a VM in zoneA, with n ready targets in each of two zones.
func testSnapshot(n int) *Snapshot {
	s := &Service{Name: "desk", ColdLimit: 5}
	snapshot := &Snapshot{
		ConfigVersion: 1,
		Routes:        map[Endpoint]*Route{deskAddr: {Backends: []Backend{{Service: s, Weight: 1}}, TotalWeight: 1}},
		DroppedRoutes: map[Endpoint]struct{}{},
		Targets:       map[Token]*Target{},
		ZoneVMs:       1,
	}
	for i := range n {
		local, remote := testTarget(zoneA, i), testTarget(zoneB, i)
		s.Local, s.Remote = append(s.Local, local), append(s.Remote, remote)
		snapshot.Targets[local.Token], snapshot.Targets[remote.Token] = local, remote
	}
	return snapshot
}

func (s *Snapshot) service() *Service { return s.Routes[deskAddr].Backends[0].Service }

// testForwarder returns a Forwarder of zoneA with a fresh snapshot.
func testForwarder(snapshot *Snapshot) *Forwarder {
	f := New(zoneA, 1)
	f.Install(snapshot)
	f.SetFresh(-time.Hour, time.Hour)
	return f
}

func testFlow(n int) Flow {
	return Flow{Client: Endpoint{IP: 0x64400000 + uint32(n), Port: 40001}, Service: deskAddr}
}

// syn returns the SYN of a flow after the given number of earlier transmissions.
func syn(flow Flow, copies int) *Header {
	return &Header{Flow: flow, Flags: SYN, Ack: uint32(copies)}
}

// data returns a data packet of a flow.
func data(flow Flow, token Token, seq, ack uint32) *Header {
	return &Header{Flow: flow, Flags: ACK, Token: token, Seq: seq, Ack: ack, Length: 100}
}

// ack returns a packet without data.
func ack(flow Flow, token Token, ack uint32) *Header {
	return &Header{Flow: flow, Flags: ACK, Token: token, Ack: ack}
}
