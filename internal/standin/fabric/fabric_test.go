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

var local = netip.MustParseAddrPort("127.0.0.1:0")

// echoVM sends every packet back through the fabric.
func echoVM(ctx context.Context, f *Fabric) *carrier.Socket {
	s, err := carrier.Listen(local)
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

// Guards against packets that stick to one VM, reach a removed VM, or return from the wrong address.
func TestFabric(t *testing.T) {
	Convey("Packets are spread over the current VMs and answers return from the service", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f, err := Start(Options{Services: []netip.AddrPort{local, local}, Seed: 7})
		So(err, ShouldBeNil)
		defer f.Close()
		for i := range 3 {
			f.AddVM(fmt.Sprint("vm-", i), echoVM(ctx, f).Addr())
		}
		caller, err := carrier.Listen(local)
		So(err, ShouldBeNil)
		answers := make(chan netip.AddrPort, 1000)
		go caller.Serve(ctx, func(_ []byte, from netip.AddrPort) { answers <- from })
		ask := func(n int, service netip.AddrPort) {
			for range n {
				So(caller.Write([]byte("request"), service), ShouldBeNil)
				So(<-answers, ShouldEqual, service)
			}
		}
		ask(150, f.ServiceAddrs()[0])
		ask(150, f.ServiceAddrs()[1])
		for _, v := range f.Counters().VMs {
			So(v.Packets, ShouldBeBetween, 60, 140)
			So(v.Answers, ShouldEqual, v.Packets)
		}
		f.RemoveVM("vm-1")
		before := f.Counters().VMs[1].Packets
		ask(50, f.ServiceAddrs()[0])
		So(f.Counters().VMs[1].Packets, ShouldEqual, before)

		So(f.SetFaults(faultproxy.Faults{Duplicate: 1, Delay: time.Millisecond}, faultproxy.Faults{}), ShouldBeNil)
		ask(1, f.ServiceAddrs()[0])
		<-answers
		So(f.SetFaults(faultproxy.Faults{Drop: 1}, faultproxy.Faults{}), ShouldBeNil)
		So(caller.Write([]byte("request"), f.ServiceAddrs()[0]), ShouldBeNil)
		select {
		case <-answers:
			So("a dropped packet was answered", ShouldBeEmpty)
		case <-time.After(50 * time.Millisecond):
		}
		So(f.SetFaults(faultproxy.Faults{Drop: 2}, faultproxy.Faults{}), ShouldNotBeNil)
	})
}
