package carrier

import (
	"net/netip"
	"testing"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
)

// Guards against message ids that a target has already received from the same client, because it would
// drop these messages as duplicates (RFC 7252, 4.2).
func TestAttemptMessageID(t *testing.T) {
	Convey("The attempts of 1000 consecutive requests have different message ids", t, func() {
		seen := map[uint16]bool{}
		for clientMessageID := range uint16(1000) {
			for attempt := range uint8(core.RenewalAttempt) {
				seen[attemptMessageID(clientMessageID, &core.SendTarget{Attempt: attempt})] = true
			}
		}
		So(len(seen), ShouldEqual, 3000)
		Convey("and renewals of a live feed have other message ids", func() {
			for n := range uint32(200) {
				a := core.SendTarget{Attempt: core.RenewalAttempt, Token: core.NewAttemptToken(7, n)}
				So(seen[attemptMessageID(500, &a)], ShouldBeFalse)
			}
		})
	})
}

// Guards against treating every repeated registration as another live feed: a flow then had many feeds,
// which were all renewed at each handover and overloaded cold targets.
func TestFeedIdentifiedByToken(t *testing.T) {
	Convey("Registrations with the same token and different message ids are the same feed", t, func() {
		feed := func(messageID int32, token string) uint64 {
			m := message.Message{Code: codes.GET, Token: []byte(token), MessageID: messageID}
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
