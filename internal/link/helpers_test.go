package link

import (
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// waitTimeout bounds the waits of these tests.
const waitTimeout = 10 * time.Second

// vm is a Manager that records the messages and events passed to its callbacks.
type vm struct {
	*Manager
	mu       sync.Mutex
	messages []core.PeerMessage
	events   []core.LinkEvent
}

// startVM starts a Manager, which is closed at the end of the test. change may modify its Config.
func startVM(t *testing.T, name core.VMName, change func(*Config)) *vm {
	t.Helper()
	v := &vm{}
	cfg := Config{Name: name, Zone: "zone-1", Incarnation: 1, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		Log: slog.New(slog.DiscardHandler)}
	cfg.OnMessage = func(m core.PeerMessage) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.messages = append(v.messages, m)
	}
	cfg.OnLink = func(e core.LinkEvent) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.events = append(v.events, e)
	}
	if change != nil {
		change(&cfg)
	}
	m, err := Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	v.Manager = m
	t.Cleanup(m.Close)
	return v
}

// received returns the number of received messages for which match returns true.
func (v *vm) received(match func(core.Message) bool) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, m := range v.messages {
		if match(m.Msg) {
			n++
		}
	}
	return n
}

// reported returns the number of link events with the given state.
func (v *vm) reported(state core.LinkState) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, e := range v.events {
		if e.State == state {
			n++
		}
	}
	return n
}

// linkID returns the id of the link to a peer, or 0.
func (v *vm) linkID(name core.VMName) uint64 {
	v.Manager.mu.RLock()
	defer v.Manager.mu.RUnlock()
	if p := v.peers[name]; p != nil && p.current != nil {
		return p.current.id
	}
	return 0
}

// sendHeartbeats sends heartbeats to a peer until the test ends.
func (v *vm) sendHeartbeats(t *testing.T, to core.VMName) {
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	go func() {
		for seq := uint64(1); ; seq++ {
			v.Send(to, heartbeat(seq))
			select {
			case <-stop:
				return
			case <-time.After(core.HeartbeatInterval):
			}
		}
	}()
}

// eventually waits until ok returns true and returns how long that took.
func eventually(t *testing.T, what string, ok func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > waitTimeout {
			t.Fatalf("%s: not within %v", what, waitTimeout)
		}
		time.Sleep(2 * time.Millisecond)
	}
	return time.Since(start)
}

// heartbeat returns a heartbeat with the size that it has in the larger example deployment.
func heartbeat(seq uint64) *core.Heartbeat {
	m := &core.Heartbeat{Zone: "sfax-sakiet", Addr: netip.MustParseAddrPort("10.20.30.40:7400"), Incarnation: 1764800000,
		Seq: 1_000_000 + seq, AckSeq: 1_000_000, State: core.VMLive, Generation: 100_000, BackupSeq: 1_000_000}
	for _, zone := range []core.ZoneName{"sfax-medina", "sfax-sakiet", "sfax-thyna"} {
		m.Epochs = append(m.Epochs, core.ZoneEpoch{Zone: zone, Epoch: 20_000})
	}
	for i := range core.TargetID(3) {
		m.OwnedTargets = append(m.OwnedTargets, core.OwnedTarget{Target: 0xdead0000 + i, FencingToken: 20_000<<16 | 3,
			Load: core.TargetLoad{Flows: 2000, InFlight: 4, Limit: 4, Queued: 12}})
	}
	return m
}

func isHeartbeat(m core.Message) bool { _, ok := m.(*core.Heartbeat); return ok }
func isForward(m core.Message) bool   { _, ok := m.(*core.ForwardRequest); return ok }
func isConfig(m core.Message) bool    { _, ok := m.(*core.ConfigPush); return ok }

func forward() *core.ForwardRequest {
	flow := core.NewFlowKey(netip.MustParseAddrPort("192.0.2.7:9000"), 5)
	return &core.ForwardRequest{Request: core.Request{Flow: flow, Payload: make([]byte, 200)}, Target: 1, Ingress: "vm-a"}
}

// relay is a TCP relay that can drop the data of its open connections or limit the rate.
type relay struct {
	listener net.Listener
	to       string
	// rate is in bytes per second; 0 means no limit.
	rate int
	mu   sync.Mutex
	// dropsToDialer and dropsToListener have a flag per connection that makes copy drop the data of one
	// direction.
	dropsToDialer, dropsToListener []*atomic.Bool
}

func startRelay(t *testing.T, to netip.AddrPort, rate int) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, to: to.String(), rate: rate}
	t.Cleanup(func() { _ = l.Close() })
	go r.serve()
	return r
}

func (r *relay) addr() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		dropForward, dropBackward := &atomic.Bool{}, &atomic.Bool{}
		r.mu.Lock()
		r.dropsToListener = append(r.dropsToListener, dropForward)
		r.dropsToDialer = append(r.dropsToDialer, dropBackward)
		r.mu.Unlock()
		go r.copy(out, in, dropForward)
		go r.copy(in, out, dropBackward)
	}
}

// dropAll drops the data of both directions on the connections that are open now.
func (r *relay) dropAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.dropsToDialer {
		r.dropsToDialer[i].Store(true)
		r.dropsToListener[i].Store(true)
	}
}

// dropToListener drops the data sent to listeners on the connections that are open now.
func (r *relay) dropToListener() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, dropping := range r.dropsToListener {
		dropping.Store(true)
	}
}

// copy forwards data from src to dst until a connection is closed; after dropping is set it reads and
// drops the data.
func (r *relay) copy(dst, src net.Conn, dropping *atomic.Bool) {
	defer dst.Close()
	_ = src.(*net.TCPConn).SetReadBuffer(32 << 10)
	buf := make([]byte, 8<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if dropping.Load() {
			_, _ = io.Copy(io.Discard, src)
			return
		}
		if r.rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(r.rate))
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// rawHello sends a Hello on a new TCP connection without TLS and returns the answer.
func rawHello(t *testing.T, to netip.AddrPort, h *wire.Hello) (*wire.Hello, error) {
	t.Helper()
	conn, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	if err := sendHello(conn, h); err != nil {
		t.Fatal(err)
	}
	return receiveHello(conn)
}
