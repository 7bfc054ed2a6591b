package client

import (
	"context"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// feedCheckInterval is the time between two checks of a feed's timers.
const feedCheckInterval = 20 * time.Millisecond

// feed is the client's side of a live feed.
type feed struct {
	client   *Client
	exchange *exchange
	// registration is the datagram of a registration that has no answer yet; nil when there is none.
	registration                        []byte
	transmissions                       int
	registeredAt, retransmitAt, retryAt time.Time
	retransmitDelay                     time.Duration
	open                                bool
	lastMessageAt                       time.Time
	// silentSince is the time from which silence is measured. Silence longer than SilenceLimit counts as a
	// broken flow.
	silentSince    time.Time
	silenceCounted bool
	lastObserve    uint32
	lastReply      target.Reply
}

// Watch keeps a live feed open until the context ends, and then deregisters it.
func (c *Client) Watch(ctx context.Context) {
	f := &feed{client: c, exchange: c.beginExchange(core.ClassFeed)}
	defer c.endExchange(f.exchange)
	ticker := time.NewTicker(feedCheckInterval)
	defer ticker.Stop()
	f.register(time.Now())
	for {
		select {
		case <-ctx.Done():
			f.deregister()
			return
		case m := <-f.exchange.messages:
			f.receive(&m, time.Now())
		case now := <-ticker.C:
			f.checkTimers(now)
		}
	}
}

// register sends a registration with the feed's token and a new message id.
func (f *feed) register(now time.Time) {
	m := newRequest(codes.GET, target.PathFeed, nil)
	carrier.SetOptionUint(&m, carrier.OptionObserve, carrier.ObserveRegister)
	f.registration = f.client.encode(f.exchange, m, f.client.opts.Deadline)
	f.registeredAt, f.retryAt, f.retransmitDelay, f.transmissions = now, time.Time{}, f.client.opts.RetransmitAfter, 0
	f.transmit(now)
}

// transmit sends the registration and schedules its retransmission.
func (f *feed) transmit(now time.Time) {
	f.client.send(f.registration)
	f.transmissions++
	f.retransmitAt = now.Add(f.client.jitter(f.retransmitDelay))
	f.retransmitDelay = min(2*f.retransmitDelay, maxRetransmitDelay)
}

// deregister sends a request to end the feed and does not wait for the answer.
func (f *feed) deregister() {
	m := newRequest(codes.GET, target.PathFeed, nil)
	carrier.SetOptionUint(&m, carrier.OptionObserve, carrier.ObserveDeregister)
	f.client.send(f.client.encode(f.exchange, m, f.client.opts.Deadline))
}

// checkTimers retransmits a registration that has no answer, replaces it at its deadline, retries after a
// refusal, renews the feed and detects silence.
func (f *feed) checkTimers(now time.Time) {
	switch {
	case f.registration != nil && now.Sub(f.registeredAt) >= f.client.opts.Deadline:
		f.finishRegistration(Outcome{Status: Silent}, now)
		f.register(now)
	case f.registration != nil && now.After(f.retransmitAt):
		f.transmit(now)
	case f.registration != nil:
	case !f.retryAt.IsZero():
		if now.After(f.retryAt) {
			f.register(now)
		}
	case now.Sub(f.lastMessageAt) > f.client.opts.RenewAfter:
		f.register(now)
	}
	f.checkSilence(now)
}

// checkSilence counts the flow as broken once per silence. Silence does not count while flows may leave the
// target, and is measured from the end of that time.
func (f *feed) checkSilence(now time.Time) {
	if !f.open || f.silenceCounted {
		return
	}
	if f.client.opts.MoveAllowed(f.lastReply.Target, f.lastReply.Zone, now) {
		f.silentSince = now
		return
	}
	if now.Sub(f.silentSince) <= f.client.opts.SilenceLimit {
		return
	}
	f.silenceCounted = true
	f.client.updateStats(func(s *Stats) {
		s.BrokenFlows++
		s.BrokenSilent++
	})
}

// finishRegistration records the outcome of a registration.
func (f *feed) finishRegistration(out Outcome, now time.Time) {
	f.registration = nil
	out.Took, out.Transmissions = now.Sub(f.registeredAt), f.transmissions
	f.client.updateStats(func(s *Stats) { s.Outcomes[core.ClassFeed][out.Status]++ })
	f.client.opts.OnOutcome(core.ClassFeed, out)
}

// receive handles a message with the feed's token.
func (f *feed) receive(m *message.Message, now time.Time) {
	observe, ok := carrier.OptionUint(m, carrier.OptionObserve)
	out := parseOutcome(m)
	if ok && out.Status == Answered && m.Code>>5 == 2 {
		if f.registration != nil {
			f.finishRegistration(out, now)
		}
		f.handleNotification(out.Reply, observe, now)
		return
	}
	if f.registration == nil {
		return
	}
	f.finishRegistration(out, now)
	f.retryAt = now.Add(max(out.RetryAfter, f.client.jitter(minRetryDelay)))
}

// handleNotification processes an answer or a notification of a registered feed.
func (f *feed) handleNotification(reply target.Reply, observe uint32, now time.Time) {
	stale := f.open && now.Sub(f.lastMessageAt) < observeWindow && !newer(f.lastObserve, observe)
	gaps := missedNotifications(f.lastReply, reply, f.open)
	opened := !f.open
	f.open, f.lastMessageAt, f.silentSince, f.silenceCounted = true, now, now, false
	f.client.updateStats(func(s *Stats) {
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
		f.lastReply, f.lastObserve = reply, observe
	}
}

// observeWindow is the time after which any Observe value is newer (RFC 7641, 3.4).
const observeWindow = 128 * time.Second

// newer reports whether the Observe value v is newer than last (RFC 7641, 3.4).
func newer(last, v uint32) bool {
	diff := (v - last) & 0xffffff
	return diff != 0 && diff < 1<<23
}

// missedNotifications returns the number of notifications that were lost between two notifications of the
// same registration.
func missedNotifications(last, reply target.Reply, open bool) uint64 {
	if !open || reply.Boot != last.Boot || reply.Seq <= last.Seq {
		return 0
	}
	return reply.Seq - last.Seq - 1
}
