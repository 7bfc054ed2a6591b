package forward

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core/targetload"
)

// Guards against a route whose responses have become shorter while a target of its service rejects requests: each response would be a
// rejection, and these alone would keep the service loaded.
func TestShorterResponsesAreLearned(t *testing.T) {
	f := testForwarder(loadedSnapshot(10, true))
	learnWork(f)
	f.SetLoad(targetload.NewTable(groupLoad("zone-a", 1, 0.1), 0), nil)
	target := f.snapshot.service().Local[0].Token
	last := 0
	for i := range 500 {
		f.Handle(data(testFlow(i), target, 100, 900), 0)
		f.Handle(ack(testFlow(i), target, 1100), testWork)
		for _, r := range f.TakeLoadReports(time.Duration(i+1) * time.Second) {
			if r.Rejected > 0 {
				last = i
			}
		}
	}
	if last == 0 || last > 200 {
		t.Errorf("the last of 500 responses that counts as a rejection is the one with index %d, want 1 to 200", last)
	}
}

// Guards against targets whose machine is gone but which are never ejected, as the failures of a loaded service count as rejections. A
// full target answers SYNs; it turns away the request that follows.
func TestUnansweredSYNIsNoRejection(t *testing.T) {
	f := testForwarder(loadedSnapshot(1, true))
	learnWork(f)
	f.snapshot.service().Remote = nil
	f.SetLoad(targetload.NewTable(groupLoad("zone-a", 4, 0.1), 0), nil)
	f.Handle(syn(testFlow(1), 0), 0)
	f.Handle(syn(testFlow(2), 0), maxOverdue)
	if n := f.TakeFailures(maxOverdue); len(n) != 1 {
		t.Errorf("failures %v, want one of the unanswered SYN", n)
	}
	if reports := f.TakeLoadReports(maxOverdue); len(reports) != 0 {
		t.Errorf("reports %+v, want none", reports)
	}
}
