package fleet

import (
	"errors"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/internal/standin/objects"
)

// testTarget returns a running target that started long ago, and a connection that receives its packets to clients.
func testTarget(t *testing.T) (*Target, *net.UDPConn) {
	f := &Fleet{Store: objects.New(), Checker: NewChecker()}
	if err := f.reserveNetwork(); err != nil {
		t.Fatal(err)
	}
	target := &Target{
		fleet: f, ID: "i-1", Zone: "zone-a", Service: "desk", numericID: 1, addr: netip.AddrPortFrom(f.address(30, 1), targetPort),
	}
	f.targets = []*Target{target}
	if err := target.Start(false); err != nil {
		t.Fatal(err)
	}
	target.mu.Lock()
	target.startMillis = time.Now().Add(-2 * StabilityWindow).UnixMilli()
	target.mu.Unlock()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.address(60, 1), PacketPort)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		target.Kill()
		_ = conn.Close()
		_ = f.networkLock.Close()
	})
	return target, conn
}

// request sends a packet with data on a flow and returns the target's answer. Retransmitted responses to earlier requests are
// skipped.
func request(t *testing.T, target *Target, conn *net.UDPConn, flow netip.AddrPort, data string) *packet {
	target.mu.Lock()
	state := target.flows[flow]
	p := &packet{src: flow, dst: state.dst, flags: flagACK, seq: state.clientSeq, ack: state.seq, data: []byte(data)}
	if !state.open {
		p.ack++
	}
	target.mu.Unlock()
	target.handle(p)
	for {
		if answer := receivePacket(t, conn); answer.seq == p.ack {
			return answer
		}
	}
}

func receivePacket(t *testing.T, conn *net.UDPConn) *packet {
	b := make([]byte, maxFrame)
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	n, _, err := conn.ReadFromUDPAddrPort(b)
	if err != nil {
		t.Fatal(err)
	}
	p, err := decode(b[:n])
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against a full target that runs what it rejects, resets a flow that it has answered, or accepts connections, which would
// hide faults of the forwarder.
func TestFullTarget(t *testing.T) {
	target, conn := testTarget(t)
	route := netip.MustParseAddrPort("198.18.0.0:443")
	var flows [2]netip.AddrPort
	for i := range flows {
		flows[i] = netip.AddrPortFrom(target.fleet.address(60, 1), uint16(20000+i))
		target.handle(&packet{src: flows[i], dst: route, flags: flagSYN, seq: 7})
		receivePacket(t, conn)
	}
	if p := request(t, target, conn, flows[0], "1 safe desk"); len(p.data) != responseSize || !strings.HasPrefix(string(p.data), "done 1 i-1 ") {
		t.Fatalf("the response is %q", p.data)
	}
	target.SetFull(time.Minute)
	if p := request(t, target, conn, flows[0], "2 safe desk"); string(p.data) != "full 2 i-1" {
		t.Errorf("the response of the full target is %q", p.data)
	}
	if p := request(t, target, conn, flows[1], "3 safe desk"); p.flags&flagRST == 0 || p.sum == 0 {
		t.Errorf("a request on a new flow got the packet %+v, want a reset of the target", p)
	}
	if runs := target.fleet.Checker.executedBy; len(runs) != 1 {
		t.Errorf("the target ran %v, want request 1 only", runs)
	}
	c, err := net.DialTimeout("tcp4", target.addr.String(), time.Second)
	if err == nil {
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, err = c.Read(make([]byte, 1))
		_ = c.Close()
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

// Guards against a checker that ignores resets by a VM of the flows of a full target, or counts the target's own resets.
func TestResetsOfFullTarget(t *testing.T) {
	target, _ := testTarget(t)
	target.SetFull(time.Minute)
	c := &client{fleet: target.fleet}
	flow := &clientFlow{route: netip.MustParseAddrPort("198.18.0.0:443"), target: target.ID, open: true}
	byTarget := &packet{src: flow.route, dst: netip.MustParseAddrPort("127.0.0.1:20000"), flags: flagRST}
	byTarget.encode()
	c.checkReset(flow, byTarget)
	if v := target.fleet.Checker.Violations(); len(v) != 0 {
		t.Errorf("the target's own reset gave %v", v)
	}
	byVM := &packet{src: flow.route, flags: flagRST}
	c.checkReset(flow, byVM)
	if v := target.fleet.Checker.Violations(); len(v) != 1 || v[0].Rule != "FLOW" {
		t.Errorf("a VM's reset gave %v, want one violation of FLOW", v)
	}
	unanswered := &clientFlow{local: netip.MustParseAddrPort("127.0.0.1:20001"), route: flow.route, open: true}
	c.checkReset(unanswered, byVM)
	if v := target.fleet.Checker.Violations(); len(v) != 1 {
		t.Errorf("a VM's reset of a flow that is open at no target gave %v", v[1:])
	}
	target.mu.Lock()
	target.flows[unanswered.local] = &targetFlow{open: true}
	target.mu.Unlock()
	c.checkReset(unanswered, byVM)
	if v := target.fleet.Checker.Violations(); len(v) != 2 || v[1].Rule != "FLOW" {
		t.Errorf("a VM's reset of a flow without a response gave %v, want one more violation of FLOW", v)
	}
}
