package traffic

import (
	"net/netip"
	"slices"
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

// feedKey identifies a feed.
type feedKey struct {
	flow core.FlowKey
	feed uint64
}

func feedKeyOf(r *core.Request) feedKey {
	if r.Feed != 0 {
		return feedKey{r.Flow, r.Feed}
	}
	return feedKey{r.Flow, r.ID.Hi*0x9e3779b97f4a7c15 ^ r.ID.Lo}
}

// feedSet holds the feeds of a target.
type feedSet struct {
	flows map[core.FlowKey][]*feed
	// order lists the feeds in the order of registration; ended ones are removed on ticks.
	order []*feed
	due   fifo[*feed]
	// lastWasRenewal makes renewals alternate with requests.
	lastWasRenewal bool
}

func newFeedSet() feedSet { return feedSet{flows: map[core.FlowKey][]*feed{}} }

// get returns the feed with a key, or nil.
func (t *feedSet) get(k feedKey) *feed {
	for _, fd := range t.flows[k.flow] {
		if feedKeyOf(&fd.req) == k {
			return fd
		}
	}
	return nil
}

// has reports whether a flow has a feed.
func (t *feedSet) has(flow core.FlowKey) bool { return len(t.flows[flow]) > 0 }

func (t *feedSet) put(fd *feed) {
	flow := fd.req.Flow
	if slices.Contains(t.flows[flow], fd) {
		return
	}
	t.flows[flow] = append(t.flows[flow], fd)
	t.order = append(t.order, fd)
}

// remove ends a feed.
func (t *feedSet) remove(fd *feed) {
	fd.ended = true
	flow := fd.req.Flow
	t.flows[flow] = compact(t.flows[flow], func(x *feed) bool { return x != fd })
	if len(t.flows[flow]) == 0 {
		delete(t.flows, flow)
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
	if fd := o.feeds.get(feedKeyOf(&r.req)); r.renewal && fd != nil {
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
	if old := o.feeds.get(feedKeyOf(&fd.req)); old != nil && old != fd {
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
		s.renewLater(fd, shedPause)
	}
}

// endFeed ends a feed at the caller's request.
func (s *Shard) endFeed(fd *feed) {
	s.forgetFeed(fd)
	if fd.token != 0 {
		s.sendCancel(fd.o, fd.token, core.RenewalAttempt, fd.addr, &fd.req)
	}
}

// unsubscribe ends the feed that a request names, or the flow's only one. Otherwise the caller ends
// it by rejecting its next message.
func (s *Shard) unsubscribe(o *owner, r *core.Request) {
	list := o.feeds.flows[r.Flow]
	fd := o.feeds.get(feedKeyOf(r))
	if fd == nil && r.Feed == 0 && len(list) == 1 {
		fd = list[0]
	}
	if fd != nil {
		s.endFeed(fd)
	}
}

// cancelFeed ends the feed whose registration has the given id. It reports whether there is one.
func (s *Shard) cancelFeed(o *owner, key reqKey) bool {
	for _, fd := range o.feeds.flows[key.flow] {
		if withdraws(key.id, fd.req.ID) {
			s.endFeed(fd)
			return true
		}
	}
	return false
}

// adoptFeed takes over a feed whose target left service or whose holder handed it over.
func (s *Shard) adoptFeed(o *owner, r *core.Request) {
	if o.feeds.get(feedKeyOf(r)) != nil {
		return
	}
	o.feeds.put(&feed{o: o, req: *r, seen: s.now, renew: true, renewAt: s.now})
	s.queueRenewals(o)
	s.pump(o)
}

// renewLater registers a feed again after a pause.
func (s *Shard) renewLater(fd *feed, pause time.Duration) {
	fd.renew = true
	fd.pending = false
	fd.renewAt = s.now + pause
}

// renew sends the registration of a feed again.
func (s *Shard) renew(o *owner, fd *feed) {
	o.feeds.due.pop()
	if o.view.Target.Service != fd.req.Flow.Service {
		s.forgetFeed(fd)
		return
	}
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
			s.endFeed(fd)
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
	s.recent.add(target, s.now)
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
		FlowKnown:  true,
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
