package forward

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core/admission"
)

// Guards against targets that stay reserved although no policy arrives, as in a zone whose reader has an earlier release.
func TestInitialReservationEnds(t *testing.T) {
	snapshot := loadedSnapshot(40, false)
	snapshot.service().Prioritized = true
	f := testForwarder(snapshot)
	recordRequests(f, 1, 1000, time.Minute)
	recordRequests(f, 2, 1000, time.Minute)
	reserved := func(now time.Duration) (n int) {
		_, targets := placements(f, 1000, now)
		for token, flows := range targets {
			if admission.Reserved(uint32(token), admission.InitialReservation) {
				n += flows
			}
		}
		return n
	}
	if n := reserved(time.Minute); n > 50 {
		t.Errorf("%d of the first 1,000 less urgent flows go to reserved targets, want 50 at most", n)
	}
	if n := reserved(time.Minute + 11*time.Second); n < 100 {
		t.Errorf("%d of 1,000 less urgent flows go to the reserved targets after 11 s without a policy, want 100 at least", n)
	}
}
