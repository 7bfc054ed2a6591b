package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against decisions that the same seed does not reproduce.
func TestImpairmentIsReproducible(t *testing.T) {
	decide := func(seed uint64) (delays []time.Duration) {
		i := NewImpairment(seed)
		So(i.Set(Faults{Drop: 0.2, Duplicate: 0.2, Reorder: 0.2, Jitter: time.Millisecond}), ShouldBeNil)
		for range 200 {
			delays = append(append(delays, i.decide()...), -1)
		}
		c := i.Counts()
		So(c.Passed+c.Dropped, ShouldEqual, 200)
		So(min(c.Dropped, c.Duplicated, c.Reordered), ShouldBeGreaterThan, 10)
		return delays
	}
	Convey("The same seed gives the same faults", t, func() {
		So(decide(3), ShouldResemble, decide(3))
		So(decide(3), ShouldNotResemble, decide(4))
		So(NewImpairment(1).Set(Faults{Drop: -1}), ShouldNotBeNil)
		So(NewImpairment(1).Set(Faults{Delay: -1}), ShouldNotBeNil)
	})
}

// Guards against datagrams that are lost or changed without a fault.
func TestUDP(t *testing.T) {
	Convey("Datagrams pass in both directions, are dropped during a cut, and pass again afterwards", t, func() {
		echo, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		So(err, ShouldBeNil)
		defer echo.Close()
		go readAll(echo, func(b []byte, from netip.AddrPort) { _, _ = echo.WriteToUDPAddrPort(b, from) })
		p, err := ListenUDP(echo.LocalAddr().(*net.UDPAddr).AddrPort(), 1)
		So(err, ShouldBeNil)
		defer p.Close()
		conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(p.Addr()))
		So(err, ShouldBeNil)
		defer conn.Close()
		roundTrip := func() int {
			_, _ = conn.Write([]byte("ping"))
			_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			n, _ := conn.Read(make([]byte, 10))
			return n
		}
		So(roundTrip(), ShouldEqual, 4)
		p.SetCut(true)
		So(roundTrip(), ShouldEqual, 0)
		p.SetCut(false)
		So(p.SetFaults(Faults{Duplicate: 1}, Faults{Delay: 5 * time.Millisecond}), ShouldBeNil)
		So(roundTrip(), ShouldEqual, 4)
		forward, _ := p.Counts()
		So(forward.Duplicated, ShouldEqual, 1)
	})
}

// Guards against a Silence that also affects new connections, or that closes connections so that a peer
// detects it.
func TestTCP(t *testing.T) {
	Convey("Open connections become silent or are cut, and new ones work", t, func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go io.Copy(conn, conn)
			}
		}()
		p, err := ListenTCP(l.Addr().(*net.TCPAddr).AddrPort())
		So(err, ShouldBeNil)
		defer p.Close()
		dial := func() net.Conn {
			conn, err := net.Dial("tcp4", p.Addr().String())
			So(err, ShouldBeNil)
			Reset(func() { conn.Close() })
			return conn
		}
		roundTrip := func(conn net.Conn) error {
			_, _ = conn.Write([]byte("ping"))
			_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			_, err := io.ReadFull(conn, make([]byte, 4))
			return err
		}
		oldConn := dial()
		So(roundTrip(oldConn), ShouldBeNil)
		p.Silence()
		var netErr net.Error
		So(roundTrip(oldConn), ShouldImplement, (*net.Error)(nil))
		netErr = roundTrip(oldConn).(net.Error)
		So(netErr.Timeout(), ShouldBeTrue)
		newConn := dial()
		So(roundTrip(newConn), ShouldBeNil)
		p.Cut()
		So(roundTrip(newConn), ShouldNotBeNil)
		p.SetDelay(5 * time.Millisecond)
		So(roundTrip(dial()), ShouldBeNil)
		p.SetRefuse(true)
		So(roundTrip(dial()), ShouldNotBeNil)
		So(p.Accepted(), ShouldEqual, 4)
	})
}
