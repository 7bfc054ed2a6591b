package caller

import (
	"context"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// feedTick is how often a feed checks its clocks.
const feedTick = 20 * time.Millisecond

// feed is a live feed from the caller's side.
type feed struct {
	c *Client
	x *exchange
	// datagram is the registration that waits for an answer; nil when none does.
	datagram                    []byte
	sent                        int
	began, nextRepeat, comeBack time.Time
	pause                       time.Duration
	open                        bool
	heard                       time.Time
	// silentSince is when the silence began that may count as broken.
	silentSince    time.Time
	silenceCounted bool
	observe        uint32
	last           target.Reply
}

// Watch keeps a live feed open until the context ends, and then closes it.
func (c *Client) Watch(ctx context.Context) {
	f := &feed{c: c, x: c.begin(core.ClassFeed)}
	defer c.end(f.x)
	ticker := time.NewTicker(feedTick)
	defer ticker.Stop()
	f.register(time.Now())
	for {
		select {
		case <-ctx.Done():
			f.deregister()
			return
		case m := <-f.x.messages:
			f.receive(&m, time.Now())
		case now := <-ticker.C:
			f.tick(now)
		}
	}
}

// register sends a registration with the feed's token and a new message id.
func (f *feed) register(now time.Time) {
	m := withPath(codes.GET, target.PathFeed, nil)
	carrier.SetOptionUint(&m, carrier.OptionObserve, carrier.ObserveRegister)
	f.datagram = f.c.encode(f.x, m, f.c.opts.Deadline)
	f.began, f.comeBack, f.pause, f.sent = now, time.Time{}, f.c.opts.RetransmitAfter, 0
	f.repeat(now)
}

// repeat sends the registration and sets the time of the next repeat.
func (f *feed) repeat(now time.Time) {
	f.c.send(f.datagram)
	f.sent++
	f.nextRepeat = now.Add(f.c.spread(f.pause))
	f.pause = min(2*f.pause, maxRepeat)
}

// deregister closes the feed; nobody waits for the answer.
func (f *feed) deregister() {
	m := withPath(codes.GET, target.PathFeed, nil)
	carrier.SetOptionUint(&m, carrier.OptionObserve, carrier.ObserveDeregister)
	f.c.send(f.c.encode(f.x, m, f.c.opts.Deadline))
}

// tick repeats, gives up, renews and detects silence.
func (f *feed) tick(now time.Time) {
	switch {
	case f.datagram != nil && now.Sub(f.began) >= f.c.opts.Deadline:
		f.finish(Outcome{Status: Silent}, now)
		f.register(now)
	case f.datagram != nil && now.After(f.nextRepeat):
		f.repeat(now)
	case f.datagram != nil:
	case !f.comeBack.IsZero():
		if now.After(f.comeBack) {
			f.register(now)
		}
	case now.Sub(f.heard) > f.c.opts.RenewAfter:
		f.register(now)
	}
	f.checkSilence(now)
}

// checkSilence counts a feed as broken once per silence. The silence of a target that flows
// have to leave begins when they no longer have to.
func (f *feed) checkSilence(now time.Time) {
	if !f.open || f.silenceCounted {
		return
	}
	if f.c.opts.MoveAllowed(f.last.Target, f.last.Zone, now) {
		f.silentSince = now
		return
	}
	if now.Sub(f.silentSince) <= f.c.opts.SilenceLimit {
		return
	}
	f.silenceCounted = true
	f.c.count(func(s *Stats) {
		s.BrokenFlows++
		s.BrokenSilent++
	})
}

// finish records the end of a registration.
func (f *feed) finish(out Outcome, now time.Time) {
	f.datagram = nil
	out.Took, out.Transmissions = now.Sub(f.began), f.sent
	f.c.count(func(s *Stats) { s.Outcomes[core.ClassFeed][out.Status]++ })
	f.c.opts.OnOutcome(core.ClassFeed, out)
}

// receive handles a message with the feed's token.
func (f *feed) receive(m *message.Message, now time.Time) {
	observe, ok := carrier.OptionUint(m, carrier.OptionObserve)
	out := outcome(m)
	if ok && out.Status == Answered && m.Code>>5 == 2 {
		if f.datagram != nil {
			f.finish(out, now)
		}
		f.update(out.Reply, observe, now)
		return
	}
	if f.datagram == nil {
		return
	}
	f.finish(out, now)
	f.comeBack = now.Add(max(out.RetryAfter, f.c.spread(minComeBack)))
}

// update takes in the message of an open feed.
func (f *feed) update(r target.Reply, observe uint32, now time.Time) {
	stale := f.open && now.Sub(f.heard) < observeWindow && !newer(f.observe, observe)
	gaps := missing(f.last, r, f.open)
	opened := !f.open
	f.open, f.heard, f.silentSince, f.silenceCounted = true, now, now, false
	f.c.count(func(s *Stats) {
		s.Notifications++
		switch {
		case opened:
			s.FeedsOpened++
		case stale:
			s.StaleNotifications++
		default:
			s.FeedGaps += gaps
		}
	})
	if !stale {
		f.last, f.observe = r, observe
	}
}

// observeWindow is the time after which any Observe value is newer (RFC 7641, 3.4).
const observeWindow = 128 * time.Second

// newer reports whether an Observe value is newer than the last one (RFC 7641, 3.4).
func newer(last, v uint32) bool {
	diff := (v - last) & 0xffffff
	return diff != 0 && diff < 1<<23
}

// missing returns the number of notifications that were lost between two of one registration.
func missing(last, r target.Reply, open bool) uint64 {
	if !open || r.Boot != last.Boot || r.Seq <= last.Seq {
		return 0
	}
	return r.Seq - last.Seq - 1
}
