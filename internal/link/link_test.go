package link

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against two links per pair of VMs, or none, when both sides dial at the same time.
func TestBothDial(t *testing.T) {
	for range 20 {
		a, b := startVM(t, "vm-a", nil), startVM(t, "vm-b", nil)
		go a.Dial("vm-b", b.Addr())
		go b.Dial("vm-a", a.Addr())
		same := func() bool {
			id := a.linkID("vm-b")
			return id != 0 && id == b.linkID("vm-a")
		}
		eventually(t, "one link", same)
		time.Sleep(20 * time.Millisecond)
		eventually(t, "still one link", same)
		if !a.Send("vm-b", forward()) || !b.Send("vm-a", heartbeat(1)) {
			t.Fatal("message not queued")
		}
		eventually(t, "forward", func() bool { return b.received(isForward) == 1 })
		eventually(t, "heartbeat", func() bool { return a.received(isHeartbeat) == 1 })
		a.Close()
		b.Close()
	}
}

// Guards against keeping a silent connection although new connections work. The cases are that either side
// dialed, that both sides detect the silence at the same time, and that only one direction is silent.
func TestSilentLinkReplaced(t *testing.T) {
	cases := []struct {
		what     string
		dialer   core.VMName
		bothDial bool
		silence  func(*relay)
	}{
		{"the lower name dialed", "vm-a", false, (*relay).dropAll},
		{"the higher name dialed", "vm-z", false, (*relay).dropAll},
		{"both dial", "vm-a", true, (*relay).dropAll},
		{"the listener receives nothing", "vm-a", true, (*relay).dropToListener},
	}
	for _, c := range cases {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			a, b := startVM(t, c.dialer, nil), startVM(t, "vm-b", nil)
			relayToB, relayToA := startRelay(t, b.Addr(), 0), startRelay(t, a.Addr(), 0)
			a.Dial("vm-b", relayToB.addr())
			eventually(t, "link", func() bool { return a.linkID("vm-b") != 0 && b.Stats().Links == 1 })
			if c.bothDial {
				b.Dial(c.dialer, relayToA.addr())
			}
			a.sendHeartbeats(t, "vm-b")
			b.sendHeartbeats(t, c.dialer)
			eventually(t, "heartbeats", func() bool { return a.received(isHeartbeat) > 0 && b.received(isHeartbeat) > 0 })
			before := a.linkID("vm-b")
			c.silence(relayToB)
			took := eventually(t, "replacement", func() bool {
				id := a.linkID("vm-b")
				return id != 0 && id != before && b.linkID(c.dialer) == id
			})
			receivedA, receivedB := a.received(isHeartbeat), b.received(isHeartbeat)
			eventually(t, "heartbeats again", func() bool { return a.received(isHeartbeat) > receivedA && b.received(isHeartbeat) > receivedB })
			t.Logf("replaced after %v", took)
			if took > 2500*time.Millisecond {
				t.Fatalf("replacement took %v", took)
			}
			if !c.bothDial && (a.reported(core.LinkDown) != 0 || a.reported(core.LinkUp) != 1) {
				t.Fatalf("OnLink reported the replacement: %v", a.events)
			}
		})
	}
}

// Guards against link states without recovery: after a period in which connections go silent at random,
// every pair of VMs must agree on one link again.
func TestLinksConverge(t *testing.T) {
	t.Parallel()
	const seed, size = 7, 4
	random := rand.New(rand.NewPCG(seed, 0))
	var vms []*vm
	var relays []*relay
	for i := range size {
		vms = append(vms, startVM(t, core.VMName(fmt.Sprint("vm-", i)), nil))
	}
	for _, v := range vms {
		for _, other := range vms {
			if v != other {
				r := startRelay(t, other.Addr(), 0)
				relays = append(relays, r)
				v.Dial(other.cfg.Name, r.addr())
				v.sendHeartbeats(t, other.cfg.Name)
			}
		}
	}
	for range 25 {
		time.Sleep(200 * time.Millisecond)
		r := relays[random.IntN(len(relays))]
		if random.IntN(2) == 0 {
			r.dropAll()
		} else {
			r.dropToListener()
		}
	}
	// The last silent link is detected after silentAfter.
	time.Sleep(silentAfter + 500*time.Millisecond)
	eventually(t, "agreement", func() bool {
		for _, v := range vms {
			for _, other := range vms {
				if id := v.linkID(other.cfg.Name); v != other && (id == 0 || id != other.linkID(v.cfg.Name)) {
					return false
				}
			}
		}
		return true
	})
	before := make([]int, size)
	for i, v := range vms {
		before[i] = v.received(isHeartbeat)
	}
	for i, v := range vms {
		eventually(t, "heartbeats of all", func() bool { return v.received(isHeartbeat) >= before[i]+2*(size-1) })
	}
}

// Guards against replacing a link that works but carries no messages: its peer answers the pings.
func TestQuietLinkStays(t *testing.T) {
	t.Parallel()
	a, b := startVM(t, "vm-a", nil), startVM(t, "vm-b", nil)
	a.Dial("vm-b", b.Addr())
	eventually(t, "link", func() bool { return a.linkID("vm-b") != 0 })
	id := a.linkID("vm-b")
	time.Sleep(4 * time.Second)
	if a.linkID("vm-b") != id || a.Stats().LinksReplaced != 0 {
		t.Fatal("a link without messages was replaced")
	}
}

// Guards against a slow or missing proof that a peer's process has ended: the end of the process must be
// followed by a refused dial, and its restart by a new link.
func TestRefused(t *testing.T) {
	a, b := startVM(t, "vm-a", nil), startVM(t, "vm-b", nil)
	a.Dial("vm-b", b.Addr())
	eventually(t, "link", func() bool { return a.reported(core.LinkUp) == 1 })
	if a.reported(core.LinkRefused) != 0 {
		t.Fatal("LinkRefused was reported before the process ended")
	}
	addr := b.Addr()
	b.Close()
	took := eventually(t, "refused", func() bool { return a.reported(core.LinkRefused) > 0 })
	t.Logf("dial refused %v after the end of the process", took)
	// The end of a process must be proven within 1.5 s of its last heartbeat, which is up to 500 ms old.
	if took > time.Second {
		t.Fatalf("the refused dial took %v", took)
	}
	if a.reported(core.LinkDown) != 1 || a.Send("vm-b", heartbeat(1)) {
		t.Fatal("the link of an ended process is still in use")
	}
	startVM(t, "vm-b", func(c *Config) { c.Listen, c.Incarnation = addr, 2 })
	eventually(t, "new link", func() bool { return a.reported(core.LinkUp) == 2 })
}

// Guards against treating an unresponsive peer as ended, and against treating a restarted peer as its
// previous process.
func TestNotRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	a := startVM(t, "vm-a", nil)
	a.Dial("vm-b", l.Addr().(*net.TCPAddr).AddrPort())
	time.Sleep(2500 * time.Millisecond)
	if a.reported(core.LinkRefused) != 0 || a.reported(core.LinkUp) != 0 {
		t.Fatalf("events of an unresponsive peer: %v", a.events)
	}
	first := startVM(t, "vm-b", nil)
	first.Dial("vm-a", a.Addr())
	eventually(t, "first process", func() bool { return a.reported(core.LinkUp) == 1 })
	second := startVM(t, "vm-b", func(c *Config) { c.Incarnation = 2 })
	second.Dial("vm-a", a.Addr())
	eventually(t, "second process", func() bool { return a.reported(core.LinkDown) == 1 && a.reported(core.LinkUp) == 2 })
}

// Guards against connections of programs that are not peers and that stay open, use memory or are
// accepted as peers.
func TestNonPeersRefused(t *testing.T) {
	a := startVM(t, "vm-a", nil)
	sendAndAwaitClose := func(data string) {
		conn, err := net.Dial("tcp", a.Addr().String())
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = conn.Write([]byte(data))
		So(err, ShouldBeNil)
		So(conn.SetReadDeadline(time.Now().Add(waitTimeout)), ShouldBeNil)
		_, err = io.Copy(io.Discard, conn)
		var timeout net.Error
		So(errors.As(err, &timeout) && timeout.Timeout(), ShouldBeFalse)
	}
	Convey("Connections that do not start with a Hello are refused and counted", t, func() {
		before := a.Stats().ConnectionsRefused
		for _, data := range []string{"GET / HTTP/1.1\r\n\r\n", magic + "\xff\xff\xff\xff\x7f", magic + "\x03abc", magic, ""} {
			sendAndAwaitClose(data)
		}
		eventually(t, "count", func() bool { return a.Stats().ConnectionsRefused == before+5 })
	})
	Convey("A Hello for another VM, or with the listener's own name, is refused", t, func() {
		h := &wire.Hello{Name: "vm-x", Zone: "z", Incarnation: 1, MinVersion: 1, MaxVersion: 2, LinkID: 1, Peer: "vm-b"}
		_, err := rawHello(t, a.Addr(), h)
		So(err, ShouldNotBeNil)
		h.Name, h.Peer = "vm-a", "vm-a"
		_, err = rawHello(t, a.Addr(), h)
		So(err, ShouldNotBeNil)
		So(a.Stats().Links, ShouldEqual, 0)
	})
	Convey("A release without a common version receives the supported versions", t, func() {
		h := &wire.Hello{Name: "vm-x", Zone: "z", Incarnation: 1, MinVersion: 8, MaxVersion: 9, LinkID: 1, Peer: "vm-a"}
		answer, err := rawHello(t, a.Addr(), h)
		So(err, ShouldBeNil)
		So(answer.MaxVersion, ShouldEqual, wire.MaxVersion)
		So(a.Stats().Links, ShouldEqual, 0)
	})
}

// Guards against consecutive releases that cannot run side by side.
func TestOldRelease(t *testing.T) {
	a := startVM(t, "vm-a", func(c *Config) { c.MaxVersion = wire.Version1 })
	b := startVM(t, "vm-b", nil)
	a.Dial("vm-b", b.Addr())
	eventually(t, "link", func() bool { return a.linkID("vm-b") != 0 && b.linkID("vm-a") != 0 })
	m := heartbeat(1)
	b.Send("vm-a", m)
	eventually(t, "heartbeat", func() bool { return a.received(isHeartbeat) == 1 })
	if got := a.messages[0].Msg.(*core.Heartbeat); got.BackupSeq != core.NoBackupSeq || got.Seq != m.Seq {
		t.Fatalf("received %+v", got)
	}
}

// Guards against requests that wait behind the transfer of a large manifest.
func TestConfigDoesNotDelayRequests(t *testing.T) {
	t.Parallel()
	const rate = 1 << 20
	a, b := startVM(t, "vm-a", nil), startVM(t, "vm-b", nil)
	r := startRelay(t, b.Addr(), rate)
	a.Dial("vm-b", r.addr())
	eventually(t, "link", func() bool { return a.linkID("vm-b") != 0 && b.Stats().Links == 1 })
	start := time.Now()
	a.Send("vm-b", &core.ConfigPush{Generation: 7, Text: make([]byte, 1<<20)})
	var worst time.Duration
	for range 5 {
		time.Sleep(50 * time.Millisecond)
		have := b.received(isForward)
		a.Send("vm-b", forward())
		worst = max(worst, eventually(t, "request", func() bool { return b.received(isForward) > have }))
		if b.received(isConfig) > 0 {
			t.Fatal("the manifest was transferred before the last request was sent")
		}
	}
	eventually(t, "manifest", func() bool { return b.received(isConfig) == 1 })
	transferTime := time.Since(start)
	t.Logf("manifest %v, slowest request %v", transferTime, worst)
	if worst > transferTime/4 {
		t.Fatalf("the slowest request took %v", worst)
	}
}

// Guards against a Send that blocks, or that does not report dropped messages, when a peer does not read.
func TestSendNeverBlocks(t *testing.T) {
	block := make(chan struct{})
	a := startVM(t, "vm-a", nil)
	b := startVM(t, "vm-b", func(c *Config) { c.OnMessage = func(core.PeerMessage) { <-block } })
	t.Cleanup(func() { close(block) })
	a.Dial("vm-b", b.Addr())
	eventually(t, "link", func() bool { return a.linkID("vm-b") != 0 })
	big := forward()
	big.Request.Payload = make([]byte, 32<<10)
	start := time.Now()
	queued := 0
	for range 1000 {
		if a.Send("vm-b", big) {
			queued++
		}
	}
	s := a.Stats()
	if time.Since(start) > 2*time.Second || queued == 1000 || s.QueueFull != uint64(1000-queued) {
		t.Fatalf("queued %d, dropped %d in %v", queued, s.QueueFull, time.Since(start))
	}
	if a.Send("vm-c", big) || a.Stats().NoLink != 1 {
		t.Fatal("queued a message for an unknown peer, or did not count it")
	}
	big.Request.Payload = make([]byte, wire.MaxSize)
	if a.Send("vm-b", big) || a.Stats().Unencodable != 1 {
		t.Fatal("queued a message that is too large, or did not count it")
	}
}

// Guards against a Close that loses queued messages, such as the last reports of a leaving VM, also while
// the peer continues to send: closing a socket with unread bytes resets the connection and drops what was
// sent.
func TestCloseFlushes(t *testing.T) {
	for range 10 {
		a, b := startVM(t, "vm-a", nil), startVM(t, "vm-b", nil)
		a.Dial("vm-b", b.Addr())
		eventually(t, "link", func() bool { return a.linkID("vm-b") != 0 && b.linkID("vm-a") != 0 })
		stop := make(chan struct{})
		var sending sync.WaitGroup
		sending.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					b.Send("vm-a", forward())
				}
			}
		})
		for range 3000 {
			a.Send("vm-b", forward())
		}
		a.Close()
		eventually(t, "all messages", func() bool { return b.received(isForward) == 3000 })
		close(stop)
		sending.Wait()
		b.Close()
	}
}

// Guards against heartbeats that exceed the control budget of 5 KB/s, including received bytes and yamux
// framing, for 8 VMs that each send 14 heartbeats a second and receive as many.
func TestControlBudget(t *testing.T) {
	t.Parallel()
	a, b := startVM(t, "vm-a", nil), startVM(t, "vm-b", nil)
	measureBudget(t, a, b)
}

// measureBudget exchanges heartbeats between two VMs and fails when their bytes exceed the budget.
func measureBudget(t *testing.T, a, b *vm) {
	const count = 50
	a.Dial("vm-b", b.Addr())
	eventually(t, "link", func() bool { return a.linkID("vm-b") != 0 && b.linkID("vm-a") != 0 })
	time.Sleep(100 * time.Millisecond)
	before := a.Stats()
	for i := range uint64(count) {
		a.Send("vm-b", heartbeat(i))
		b.Send("vm-a", heartbeat(i))
		time.Sleep(10 * time.Millisecond)
	}
	eventually(t, "heartbeats", func() bool { return a.received(isHeartbeat) == count && b.received(isHeartbeat) == count })
	after := a.Stats()
	wireBytes := after.WireSent - before.WireSent + after.WireReceived - before.WireReceived
	each := float64(wireBytes) / (2 * count)
	t.Logf("%.1f bytes per heartbeat on the wire, %.0f bytes/s sent and received, %.0f sent", each, 28*each, 14*each)
	if 28*each > 5000 {
		t.Fatal("heartbeats exceed the control budget of 5 KB/s")
	}
}
