package carrier

import (
	"context"
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against truncated datagrams that are passed on, and against a Serve that does not return.
func TestSocket(t *testing.T) {
	Convey("A socket delivers whole datagrams, counts larger ones, and Serve returns when its context ends", t, func() {
		local := netip.MustParseAddrPort("127.0.0.1:0")
		a, err := Listen(local)
		So(err, ShouldBeNil)
		b, err := Listen(local)
		So(err, ShouldBeNil)
		defer a.Close()
		ctx, cancel := context.WithCancel(t.Context())
		got := make(chan string, 1)
		done := make(chan error, 1)
		go func() {
			done <- b.Serve(ctx, func(data []byte, from netip.AddrPort) { got <- string(data) + from.String() })
		}()
		So(a.Write(make([]byte, MaxDatagram+1), b.Addr()), ShouldBeNil)
		So(a.Write([]byte("whole"), b.Addr()), ShouldBeNil)
		So(<-got, ShouldEqual, "whole"+a.Addr().String())
		So(b.Counters().Oversized, ShouldEqual, 1)
		So(b.Counters().Received, ShouldEqual, 1)
		cancel()
		So(<-done, ShouldBeNil)
	})
}
