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
