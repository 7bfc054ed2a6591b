package fabric

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/faultproxy"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// echoVM starts a VM that returns every packet to its client through the fabric.
func echoVM(ctx context.Context, f *Fabric) *carrier.Socket {
	s, err := carrier.Listen(loopback)
	So(err, ShouldBeNil)
	go s.Serve(ctx, func(data []byte, _ netip.AddrPort) {
		h, body, err := carrier.SplitDatagram(data)
		if err != nil {
			return
		}
		out, _ := carrier.AppendHeader(nil, carrier.Header{Source: h.Destination, Destination: h.Source})
		_ = s.Write(append(out, body...), f.ReturnAddr())
	})
	return s
}

// Guards against packets that all go to one VM or reach a removed VM, and against answers from the
// wrong address.
func TestFabric(t *testing.T) {
	Convey("Packets are spread over the current VMs and answers come from the service's address", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, err := Start(Options{Services: []netip.AddrPort{loopback, loopback}, Seed: 7})
		So(err, ShouldBeNil)
		defer f.Close()
		for i := range 3 {
			f.AddVM(fmt.Sprint("vm-", i), echoVM(ctx, f).Addr())
		}
		client, err := carrier.Listen(loopback)
		So(err, ShouldBeNil)
		answers := make(chan netip.AddrPort, 1000)
		go client.Serve(ctx, func(_ []byte, from netip.AddrPort) { answers <- from })
		roundTrips := func(n int, service netip.AddrPort) {
			for range n {
				So(client.Write([]byte("request"), service), ShouldBeNil)
				So(<-answers, ShouldEqual, service)
			}
		}
		roundTrips(150, f.ServiceAddrs()[0])
		roundTrips(150, f.ServiceAddrs()[1])
		for _, v := range f.Counters().VMs {
			So(v.Packets, ShouldBeBetween, 60, 140)
			So(v.Answers, ShouldEqual, v.Packets)
		}
		f.RemoveVM("vm-1")
		before := f.Counters().VMs[1].Packets
		roundTrips(50, f.ServiceAddrs()[0])
		So(f.Counters().VMs[1].Packets, ShouldEqual, before)

		So(f.SetFaults(faultproxy.Faults{Duplicate: 1, Delay: time.Millisecond}, faultproxy.Faults{}), ShouldBeNil)
		roundTrips(1, f.ServiceAddrs()[0])
		<-answers
		So(f.SetFaults(faultproxy.Faults{Drop: 1}, faultproxy.Faults{}), ShouldBeNil)
		So(client.Write([]byte("request"), f.ServiceAddrs()[0]), ShouldBeNil)
		select {
		case <-answers:
			So("a dropped packet was answered", ShouldBeEmpty)
		case <-time.After(50 * time.Millisecond):
		}
		So(f.SetFaults(faultproxy.Faults{Drop: 2}, faultproxy.Faults{}), ShouldNotBeNil)
	})
}
