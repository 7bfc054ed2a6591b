package carrier

import (
	"testing"

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
