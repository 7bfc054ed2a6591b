package traffic

import (
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// feed is a live feed of a flow on a target that this shard holds.
type feed struct {
	o *owner
	// req is the registration as the caller sent it.
	req core.Request
	// token and addr are those of the newest registration at the target.
	token core.AttemptToken
	addr  netip.AddrPort
	seen  time.Duration
	// renew is true when the feed has to be registered again from renewAt on.
	renew   bool
	renewAt time.Duration
	// pending is true while the feed is in the list of due renewals or its renewal is in flight.
	pending bool
	ended   bool
}

// feedSet holds the feeds of a target, at most one per flow.
type feedSet struct {
	m map[core.FlowKey]*feed
	// order lists the feeds in the order of registration; ended ones are removed on ticks.
	order []*feed
	due   fifo[*feed]
	// lastWasRenewal makes renewals alternate with requests.
	lastWasRenewal bool
}

func newFeedSet() feedSet { return feedSet{m: map[core.FlowKey]*feed{}} }

func (t *feedSet) put(fd *feed) {
	if t.m[fd.req.Flow] == fd {
		return
	}
	t.m[fd.req.Flow] = fd
	t.order = append(t.order, fd)
}

// remove ends a feed, if it is still the flow's feed.
func (t *feedSet) remove(fd *feed) {
	fd.ended = true
	if t.m[fd.req.Flow] == fd {
		delete(t.m, fd.req.Flow)
	}
}

// nextRenewal returns the first feed to register again, or nil.
func (t *feedSet) nextRenewal(o *owner, now time.Duration) *feed {
	for t.due.len() > 0 {
		fd := *t.due.first()
		if fd.ended || !fd.renew {
			t.due.pop()
			fd.pending = false
			continue
		}
		if o.remote.flowBusy(fd.req.Flow) || o.active[keyOf(&fd.req)] != nil {
			t.due.pop()
			fd.pending = false
			fd.renewAt = now + minComeBack
			continue
		}
		return fd
	}
	return nil
}

// openFeed returns the feed that an attempt registers.
func (s *Shard) openFeed(o *owner, r *request, a *attempt) *feed {
	if fd := o.feeds.m[r.req.Flow]; r.renewal && fd != nil {
		return fd
	}
	return &feed{o: o, req: r.req, seen: s.now}
}

// registered handles the first answer to a registration.
func (s *Shard) registered(a *attempt, m core.TargetAnswer) {
	fd, o := a.feed, a.o
	if fd.ended {
		s.sendCancel(o, a.token, core.RenewalAttempt, a.addr, &fd.req)
		return
	}
	if m.Status != core.AnswerNotification {
		// The target answers, but there is no feed (any more).
		s.forgetFeed(fd)
		return
	}
	if old := o.feeds.m[fd.req.Flow]; old != nil && old != fd {
		s.forgetFeed(old)
		s.sendCancel(o, old.token, core.RenewalAttempt, old.addr, &old.req)
	}
	if fd.token != 0 && fd.token != a.token {
		delete(s.feeds, fd.token)
		s.sendCancel(o, fd.token, core.RenewalAttempt, a.addr, &fd.req)
	}
	fd.token = a.token
	fd.addr = a.addr
	fd.seen = s.now
	fd.renew = false
	fd.pending = false
	s.feeds[a.token] = fd
	if s.owners[o.id] != o {
		// The new holder has the registration and renews it.
		s.oldFeeds = append(s.oldFeeds, oldFeed{a.token, s.now + oldFeedTime})
		return
	}
	o.feeds.put(fd)
}

func (s *Shard) forgetFeed(fd *feed) {
	fd.o.feeds.remove(fd)
	if s.feeds[fd.token] == fd {
		delete(s.feeds, fd.token)
	}
}

// onNotification hands a message of a feed to the caller.
func (s *Shard) onNotification(fd *feed, m core.TargetAnswer) {
	o := fd.o
	fd.seen = s.now
	if e := o.flows.get(&fd.req.Flow); e != nil && e.target == o.id {
		e.touch(s.now)
	}
	if m.Load != nil {
		s.coldEvent(o, o.ramp.onReport(m.Load, true, s.now))
	}
	switch m.Status {
	case core.AnswerNotification:
		s.answer(&fd.req, m.Payload, true)
	case core.AnswerOK:
		s.answer(&fd.req, m.Payload, true)
		s.forgetFeed(fd)
	default:
		// The target dropped the feed; it is registered again.
		delete(s.feeds, fd.token)
		s.renewLater(o, fd.req.Flow, shedPause)
	}
}

// endFeed ends a flow's feed at the caller's request.
func (s *Shard) endFeed(o *owner, flow core.FlowKey) {
	fd := o.feeds.m[flow]
	if fd == nil {
		return
	}
	s.forgetFeed(fd)
	if fd.token != 0 {
		s.sendCancel(o, fd.token, core.RenewalAttempt, fd.addr, &fd.req)
	}
}

// adoptFeed takes over a feed whose target left service or whose holder handed it over.
func (s *Shard) adoptFeed(o *owner, r *core.Request) {
	if old := o.feeds.m[r.Flow]; old != nil && old.req.ID == r.ID {
		return
	}
	o.feeds.put(&feed{o: o, req: *r, seen: s.now, renew: true, renewAt: s.now})
	s.queueRenewals(o)
	s.pump(o)
}

// renewLater registers a flow's feed again after a pause.
func (s *Shard) renewLater(o *owner, flow core.FlowKey, pause time.Duration) {
	fd := o.feeds.m[flow]
	if fd == nil {
		return
	}
	fd.renew = true
	fd.pending = false
	fd.renewAt = s.now + pause
}

// renew sends the registration of a feed again.
func (s *Shard) renew(o *owner, fd *feed) {
	o.feeds.due.pop()
	r := &request{
		key:      keyOf(&fd.req),
		req:      fd.req,
		arrived:  s.now,
		deadline: s.now + renewalTimeout,
		renewal:  true,
	}
	r.req.Idempotent = true
	r.req.Class = core.ClassFeed
	o.active[r.key] = r
	o.live = append(o.live, r)
	s.sendAttempt(o, r)
}

// queueRenewals lists the feeds whose renewal is due.
func (s *Shard) queueRenewals(o *owner) {
	for _, fd := range o.feeds.order {
		if fd.renew && !fd.pending && !fd.ended && s.now >= fd.renewAt {
			fd.pending = true
			o.feeds.due.push(fd)
		}
	}
}

// tickFeeds removes ended feeds, moves those of a target that gets no packets any more, and lists
// due renewals.
func (s *Shard) tickFeeds(o *owner) {
	o.feeds.order = compact(o.feeds.order, func(fd *feed) bool { return !fd.ended })
	if o.handover != nil {
		return
	}
	if o.evicted(s.now) {
		s.moveFeeds(o)
		return
	}
	for _, fd := range o.feeds.order {
		if s.now-fd.seen > feedIdle {
			s.endFeed(o, fd.req.Flow)
		}
	}
	s.queueRenewals(o)
}

// moveFeeds places some feeds on accepting targets. The new target's owner registers them.
func (s *Shard) moveFeeds(o *owner) {
	moved := 0
	for _, fd := range o.feeds.order {
		if fd.ended {
			continue
		}
		if moved == movesPerTick || !s.moveFeed(o, fd) {
			return
		}
		moved++
	}
}

func (s *Shard) moveFeed(o *owner, fd *feed) bool {
	flow := fd.req.Flow
	target := core.TargetID(0)
	if e := o.flows.get(&flow); e != nil && e.target != o.id {
		target = e.target
	} else {
		target = s.choose(o, flow, nil)
	}
	if target == 0 || target == o.id || s.holderOf(target) == "" {
		return false
	}
	o.feeds.remove(fd)
	s.retire(fd)
	o.setFlow(flow, target, s.now)
	o.moved.put(flow, s.now+core.RequestLifetime)
	s.event(core.EventFlowRedirected, target)
	s.redirect(o, target, s.renewalFor(fd.req, o.id))
	return true
}

// renewalFor returns the message that asks a target's holder to register a feed again.
func (s *Shard) renewalFor(r core.Request, target core.TargetID) *core.ForwardRequest {
	r.Deadline = core.MaxDeadline
	return &core.ForwardRequest{
		Request:    r,
		Target:     target,
		Known:      true,
		Renewal:    true,
		Ingress:    s.opts.Self,
		Hops:       1,
		Generation: s.snap.Config.Generation,
	}
}

// oldFeed is a feed that another VM or target has taken over. Its notifications are relayed until
// the new registration has replaced it.
type oldFeed struct {
	token core.AttemptToken
	until time.Duration
}

func (s *Shard) retire(fd *feed) {
	if s.feeds[fd.token] == fd {
		s.oldFeeds = append(s.oldFeeds, oldFeed{fd.token, s.now + oldFeedTime})
	}
}

// retireFeeds keeps relaying the feeds of a target that this shard stops holding.
func (s *Shard) retireFeeds(o *owner) {
	for _, fd := range o.feeds.order {
		if !fd.ended {
			s.retire(fd)
		}
	}
}

func (s *Shard) expireOldFeeds() {
	n := 0
	for n < len(s.oldFeeds) && s.oldFeeds[n].until <= s.now {
		delete(s.feeds, s.oldFeeds[n].token)
		n++
	}
	s.oldFeeds = s.oldFeeds[n:]
}
