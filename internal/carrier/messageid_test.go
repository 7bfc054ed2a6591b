package carrier

import (
	"net/netip"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
)

// Guards against message ids that a target has seen from the same caller, which it would take for
// duplicates (RFC 7252, 4.2).
func TestAttemptMessageID(t *testing.T) {
	Convey("The attempts of 1000 consecutive requests have different message ids", t, func() {
		seen := map[uint16]bool{}
		for caller := range uint16(1000) {
			for attempt := range uint8(core.RenewalAttempt) {
				seen[attemptMessageID(caller, &core.SendTarget{Attempt: attempt})] = true
			}
		}
		So(len(seen), ShouldEqual, 3000)
		Convey("and renewals of a feed stay apart from them", func() {
			for n := range uint32(200) {
				a := core.SendTarget{Attempt: core.RenewalAttempt, Token: core.NewAttemptToken(7, n)}
				So(seen[attemptMessageID(500, &a)], ShouldBeFalse)
			}
		})
	})
}

// Guards against a second feed for every repeated registration: a flow then had many feeds, all of
// which were renewed at each handover and overloaded cold targets.
func TestFeedIsKnownByToken(t *testing.T) {
	Convey("Registrations with one token and different message ids are one feed", t, func() {
		feed := func(mid int32, token string) uint64 {
			m := message.Message{Code: codes.GET, Token: []byte(token), MessageID: mid}
			SetOptionUint(&m, OptionObserve, ObserveRegister)
			h := Header{Source: netip.MustParseAddrPort("127.0.0.1:5000"), Destination: netip.MustParseAddrPort("127.0.0.2:5683")}
			data, err := AppendDatagram(nil, h, &m)
			So(err, ShouldBeNil)
			req, _, err := DecodeRequest(data)
			So(err, ShouldBeNil)
			So(req.Method, ShouldEqual, core.MethodSubscribe)
			return req.Feed
		}
		So(feed(1, "a"), ShouldEqual, feed(2, "a"))
		So(feed(1, "a"), ShouldNotEqual, feed(1, "b"))
	})
}
