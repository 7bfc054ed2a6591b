package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/internal/standin/client"
	"github.com/mangoweir/mangoweir/internal/standin/fabric"
	"github.com/mangoweir/mangoweir/internal/standin/relay"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// startDeployment starts a service with one target and returns the service's address and its ledger.
func startDeployment() (netip.AddrPort, *target.Ledger) {
	f, err := fabric.Start(fabric.Options{Services: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:0")}})
	So(err, ShouldBeNil)
	ledger := target.NewLedger()
	t, err := target.Start(target.Options{Name: "a", Slots: 200, ReportsLoad: true, FeedInterval: 50 * time.Millisecond, Ledger: ledger})
	So(err, ShouldBeNil)
	r, err := relay.Start(relay.Options{FabricReturn: f.ReturnAddr(), Incarnation: 1,
		Targets: func(netip.AddrPort) []netip.AddrPort { return []netip.AddrPort{t.Addr()} }})
	So(err, ShouldBeNil)
	f.AddVM("vm", r.FabricAddr())
	Reset(func() {
		r.Kill()
		t.Close()
		f.Close()
	})
	return f.ServiceAddrs()[0], ledger
}

// Guards against a summary whose counts do not add up to the requests sent, and against runs that do not
// end.
func TestRun(t *testing.T) {
	Convey("A run counts the results of its clients and checks them against the ledger", t, func() {
		service, ledger := startDeployment()
		s, err := Run(t.Context(), Options{Services: []netip.AddrPort{service}, Clients: 10, Feeds: 4, ReadRate: 200,
			PostingRate: 100, UploadRate: 5, UploadSize: 5000, Duration: time.Second, AuditLimit: 100, Seed: 3})
		So(err, ShouldBeNil)
		So(s.Begun, ShouldBeBetween, 150, 450)
		for _, c := range s.Classes {
			So(c.Silent+c.Refused+c.Unknown, ShouldEqual, 0)
		}
		So(s.Classes[1].Answered+s.PostsDone+s.UploadsDone, ShouldEqual, uint64(s.Begun))
		So(s.PostsDone, ShouldEqual, uint64(ledger.Len()))
		So(*s.Audit, ShouldResemble, client.Audit{Checked: ledger.Len()})
		So(s.FeedsOpened, ShouldEqual, 4)
		So(s.Classes[1].P99, ShouldBeGreaterThanOrEqualTo, s.Classes[1].P50)
		So(s.Violation(), ShouldBeNil)
		var text, js bytes.Buffer
		So(s.WriteText(&text), ShouldBeNil)
		So(text.String(), ShouldContainSubstring, "0 doubled")
		So(json.NewEncoder(&js).Encode(s), ShouldBeNil)
	})
	Convey("A run ends at its maximum number of requests or when its context ends", t, func() {
		service, _ := startDeployment()
		s, err := Run(t.Context(), Options{Services: []netip.AddrPort{service}, ReadRate: 500, MaxRequests: 20, Duration: 300 * time.Millisecond})
		So(err, ShouldBeNil)
		So(s.Begun, ShouldEqual, 20)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err = Run(ctx, Options{Services: []netip.AddrPort{service}, ReadRate: 10, Duration: time.Minute})
		So(err, ShouldBeNil)
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})
	Convey("All options out of range are reported, and violations are listed", t, func() {
		_, err := Run(t.Context(), Options{Clients: -1, ReadRate: -1})
		var e *OptionError
		So(errors.As(err, &e), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "callers is -1")
		So(err.Error(), ShouldContainSubstring, "reads is -1")
		s := Summary{BrokenFlows: 2, Audit: &client.Audit{DuplicateRuns: 1}}
		So(s.Violation().Error(), ShouldContainSubstring, "2 broken flows, 1 postings run twice")
	})
}
