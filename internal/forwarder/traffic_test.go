package forwarder

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

// Guards against packets that are lost, and retransmitted by clients after 200 ms, because they arrive within some
// ms of the start, and against flows placed before the zones out of service are known.
func TestPacketsWaitForFirstSnapshot(t *testing.T) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	target, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	c, _ := testControl(t)
	c.shared.lastTick.Store(int64(c.shared.clock.now()))
	service := netip.MustParseAddrPort("198.18.0.1:443")
	endpoint, _ := forward.NewEndpoint(service)
	tr := &traffic{
		shared: c.shared, conn: conn, forwarder: forward.New("zone-a", 1), prober: newProber(func() {}), startHold: 10 * time.Second,
		metrics: newTrafficMetrics(telemetry.NewMetrics().Set()), log: newFlowLog(slog.New(slog.DiscardHandler)),
		format: PacketFormat{
			Prefix: 8, MaxSize: 64, SetTarget: func([]byte, uint64, forward.Token) {},
			Decode: func(_ []byte, h *forward.Header) error {
				*h = forward.Header{Flow: forward.Flow{Client: forward.Endpoint{IP: 1, Port: 4000}, Service: endpoint}, Flags: forward.SYN}
				return nil
			},
		},
	}
	done := make(chan error, 1)
	go func() { done <- tr.run() }()
	client, err := net.DialUDP("udp4", nil, conn.LocalAddr().(*net.UDPAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if _, err := client.Write([]byte("syn")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	now := c.shared.clock.now()
	c.handleUpdate(&registry.Update{Kind: registry.Configs, Full: true, AsOf: rev(8), Records: []registry.Record{{
		Name: registry.ConfigName, Revision: rev(8), Config: &registry.Config{Version: 3, Services: []registry.Service{{Name: "desk"}},
			Routes: []registry.Route{{Name: "r", Addr: service, Backends: []registry.Backend{{Service: "desk", Weight: 1}}}}},
	}}}, now, false)
	c.handleUpdate(&registry.Update{Kind: registry.Targets, Full: true, AsOf: rev(8), Records: []registry.Record{{
		Name: "i-1", Revision: rev(7), Target: &registry.Target{
			StartMillis: 1000, NumericID: 1, Service: "desk", Zone: "zone-a", Addr: target.LocalAddr().(*net.UDPAddr).AddrPort(),
		},
	}}}, now, false)
	c.publish()
	if c.shared.ready() {
		t.Error("ready before the zones out of service are known")
	}
	c.handleUpdate(&registry.Update{Kind: registry.ZonesOut, Full: true, AsOf: rev(8)}, now, false)
	c.publish()
	if !c.shared.ready() {
		t.Error("not ready although all kinds were read")
	}
	if err := target.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := target.Read(make([]byte, 80)); err != nil {
		t.Errorf("the packet from before the first snapshot did not arrive: %v", err)
	}
	_ = conn.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
