package target

import (
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
)

// feed is a live feed of a client.
type feed struct {
	attempt
	seq     uint64
	lastMID uint16
	timer   *time.Timer
}

// subscribe answers the registration of a feed and starts the feed.
func (t *Target) subscribe(w *work, reply Reply) {
	f := &feed{attempt: w.attempt}
	t.feeds[w.key] = f
	t.answer(&w.attempt, codes.Content, reply, observeOption(0))
	t.schedule(f)
}

// schedule sends notifications at the feed's interval until the feed ends.
func (t *Target) schedule(f *feed) {
	f.timer = time.AfterFunc(t.opts.FeedInterval, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.feeds[f.key] == f {
			t.notify(f)
			t.schedule(f)
		}
	})
}

// notify sends a notification to the VM that last sent a packet of the client.
func (t *Target) notify(f *feed) {
	f.seq++
	reply := t.reply(&f.attempt)
	reply.Seq = f.seq
	t.stats.Notifications++
	t.respond(&f.attempt, codes.Content, reply.encode(), t.report(), observeOption(f.seq))
	f.lastMID = t.nextMID
}

// observeOption returns the Observe option of a feed's message. Its value is the lower 24 bits of seq.
func observeOption(seq uint64) message.Option {
	var m message.Message
	carrier.SetOptionUint(&m, carrier.OptionObserve, uint32(seq)&0xffffff)
	return m.Options[0]
}

// unsubscribe ends the feed that was registered with the same token and confirms the end. It also
// confirms for a feed that does not exist, because such a feed has ended already.
func (t *Target) unsubscribe(a attempt) {
	for key, w := range t.work {
		if key == a.key && w.req.Method == core.MethodSubscribe {
			w.timer.Stop()
			delete(t.work, key)
		}
	}
	t.endFeed(a.key)
	report := t.report()
	report.Cancelled = true
	t.respond(&a, codes.Content, t.reply(&a).encode(), report)
}

// endFeed stops a feed and deletes it.
func (t *Target) endFeed(key attemptKey) {
	if f := t.feeds[key]; f != nil {
		f.timer.Stop()
		delete(t.feeds, key)
	}
}
