package daemon

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/internal/carrier"
)

// Guards against a missing reset, after which a target keeps a feed without a client, and against a missing
// acknowledgement, after which a target retransmits a confirmable message.
func TestEmptyMessagesToTargets(t *testing.T) {
	Convey("Given a VM that owns a target", t, func() {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(freeAddr))
		So(err, ShouldBeNil)
		defer conn.Close()
		url := startPlatform(t, noService, conn.LocalAddr().(*net.UDPAddr).AddrPort())
		d := startDaemon(t, Options{Settings: testSettings(url, "vm-a")})
		So(waitUntil(10*time.Second, d.Ready), ShouldBeTrue)
		toClient := carrier.Header{Source: noService, Destination: netip.MustParseAddrPort("127.94.50.1:4000")}
		send := func(m message.Message) {
			m.Code, m.Token = codes.Content, make([]byte, carrier.TokenSize)
			data, err := carrier.AppendDatagram(nil, toClient, &m)
			So(err, ShouldBeNil)
			_, err = conn.WriteToUDPAddrPort(data, d.ports.targets.Addr())
			So(err, ShouldBeNil)
		}
		// next returns the next message for the client. It skips probes, which have no client.
		next := func() message.Message {
			So(conn.SetReadDeadline(time.Now().Add(5*time.Second)), ShouldBeNil)
			for buf := make([]byte, carrier.MaxDatagram); ; {
				n, err := conn.Read(buf)
				So(err, ShouldBeNil)
				h, body, err := carrier.SplitDatagram(buf[:n])
				So(err, ShouldBeNil)
				if h.Source == toClient.Destination && h.Destination == toClient.Source {
					m, err := carrier.ParseMessage(body)
					So(err, ShouldBeNil)
					return m
				}
			}
		}
		Convey("it rejects a notification of an unknown feed", func() {
			for _, typ := range []message.Type{message.NonConfirmable, message.Confirmable} {
				m := message.Message{Type: typ, MessageID: 77}
				carrier.SetOptionUint(&m, carrier.OptionObserve, 5)
				send(m)
				got := next()
				So(got.Type, ShouldEqual, message.Reset)
				So(got.MessageID, ShouldEqual, 77)
			}
		})
		Convey("it acknowledges a confirmable answer", func() {
			send(message.Message{Type: message.Confirmable, MessageID: 78})
			got := next()
			So(got.Type, ShouldEqual, message.Acknowledgement)
			So(got.MessageID, ShouldEqual, 78)
		})
	})
}
