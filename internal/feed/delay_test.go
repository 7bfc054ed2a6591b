package feed

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core/registry"
)

// Guards against old data that counts as fresh: messages waited for seconds behind large ones on a small link, and their
// ages were those at the time at which they were queued (issue 21).
func TestDelayOfMessagesCounts(t *testing.T) {
	const (
		sent       = time.Hour
		subscribed = time.Minute
	)
	d := delayEstimator{subscribedAt: subscribed}
	for _, test := range []struct {
		name              string
		sentAt, arrival   time.Duration
		shortest, longest time.Duration
	}{
		{"the first message", sent, subscribed + 300*time.Millisecond, 0, 300 * time.Millisecond},
		{"a message that is as fast", sent + time.Second, subscribed + 1300*time.Millisecond, 0, 0},
		{"a faster message", sent + 2*time.Second, subscribed + 2100*time.Millisecond, 0, 0},
		{"a message that waited", sent + 3*time.Second, subscribed + 5100*time.Millisecond, 2 * time.Second, 2 * time.Second},
		{"a message of an earlier version", 0, subscribed + 6*time.Second, 0, 0},
	} {
		if delay := d.delay(test.sentAt, test.arrival); delay < test.shortest || delay > test.longest {
			t.Errorf("%s: delay %s, want %s to %s", test.name, delay, test.shortest, test.longest)
		}
	}
	m := Message{
		Ages: []time.Duration{time.Second}, Observations: []registry.Observation{{Age: time.Second}},
		Ejections: []registry.Ejection{{Remaining: 2 * time.Second}},
	}
	m.addDelay(time.Second)
	if m.Ages[0] != 2*time.Second || m.Observations[0].Age != 2*time.Second || m.Ejections[0].Remaining != time.Second {
		t.Errorf("ages after a delay of 1 s: %+v", m)
	}
}
