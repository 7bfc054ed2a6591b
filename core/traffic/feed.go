package traffic

import (
	"net/netip"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// feed is a live feed of a flow on a target that this shard owns.
type feed struct {
	target *ownedTarget
	// req is the registration as the client sent it.
	req core.Request
	// token and addr are those of the newest registration at the target.
	token         core.AttemptToken
	addr          netip.AddrPort
	lastMessageAt time.Duration
	// needsRenewal is true when the feed has to be registered again from renewAt on.
	needsRenewal bool
	renewAt      time.Duration
	// renewalPending is true while the feed is in the list of due renewals or its renewal is in flight.
	renewalPending bool
	ended          bool
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
	byFlow map[core.FlowKey][]*feed
	// order lists the feeds in the order of registration; ended ones are removed on ticks.
	order       []*feed
	dueRenewals fifo[*feed]
	// lastWasRenewal makes renewals alternate with requests.
	lastWasRenewal bool
}

func newFeedSet() feedSet { return feedSet{byFlow: map[core.FlowKey][]*feed{}} }

// get returns the feed with a key, or nil.
func (t *feedSet) get(k feedKey) *feed {
	for _, fd := range t.byFlow[k.flow] {
		if feedKeyOf(&fd.req) == k {
			return fd
		}
	}
	return nil
}

// has reports whether a flow has a feed.
func (t *feedSet) has(flow core.FlowKey) bool { return len(t.byFlow[flow]) > 0 }

func (t *feedSet) put(fd *feed) {
	flow := fd.req.Flow
	if slices.Contains(t.byFlow[flow], fd) {
		return
	}
	t.byFlow[flow] = append(t.byFlow[flow], fd)
	t.order = append(t.order, fd)
}

// remove ends a feed.
func (t *feedSet) remove(fd *feed) {
	fd.ended = true
	flow := fd.req.Flow
	t.byFlow[flow] = compact(t.byFlow[flow], func(x *feed) bool { return x != fd })
	if len(t.byFlow[flow]) == 0 {
		delete(t.byFlow, flow)
	}
}

// nextRenewal returns the first feed to register again, or nil.
func (t *feedSet) nextRenewal(o *ownedTarget, now time.Duration) *feed {
	for t.dueRenewals.len() > 0 {
		fd := *t.dueRenewals.first()
		if fd.ended || !fd.needsRenewal {
			t.dueRenewals.pop()
			fd.renewalPending = false
			continue
		}
		if o.remote.flowBusy(fd.req.Flow) || o.active[requestKeyOf(&fd.req)] != nil {
			t.dueRenewals.pop()
			fd.renewalPending = false
			fd.renewAt = now + minRetryAfter
			continue
		}
		return fd
	}
	return nil
}

// openFeed returns the feed that an attempt registers.
func (s *Shard) openFeed(o *ownedTarget, r *request, a *attempt) *feed {
	if fd := o.feeds.get(feedKeyOf(&r.req)); r.renewal && fd != nil {
		return fd
	}
	return &feed{target: o, req: r.req, lastMessageAt: s.now}
}

// onRegistered handles the first answer to a registration.
func (s *Shard) onRegistered(a *attempt, m core.TargetAnswer) {
	fd, o := a.feed, a.target
	if fd.ended {
		s.sendCancel(o, a.token, core.RenewalAttempt, a.addr, &fd.req)
		return
	}
	if m.Status != core.AnswerNotification {
		// The target answered, but it has no feed (any more).
		s.removeFeed(fd)
		return
	}
	if old := o.feeds.get(feedKeyOf(&fd.req)); old != nil && old != fd {
		s.removeFeed(old)
		s.sendCancel(o, old.token, core.RenewalAttempt, old.addr, &old.req)
	}
	if fd.token != 0 && fd.token != a.token {
		delete(s.feeds, fd.token)
		s.sendCancel(o, fd.token, core.RenewalAttempt, a.addr, &fd.req)
	}
	fd.token = a.token
	fd.addr = a.addr
	fd.lastMessageAt = s.now
	fd.needsRenewal = false
	fd.renewalPending = false
	s.feeds[a.token] = fd
	if s.owned[o.id] != o {
		// The new owner has the registration and renews it.
		s.replacedFeeds = append(s.replacedFeeds, replacedFeed{a.token, s.now + feedRelayTime})
		return
	}
	o.feeds.put(fd)
}

func (s *Shard) removeFeed(fd *feed) {
	fd.target.feeds.remove(fd)
	if s.feeds[fd.token] == fd {
		delete(s.feeds, fd.token)
	}
}

// onNotification passes a message of a feed to the client.
func (s *Shard) onNotification(fd *feed, m core.TargetAnswer) {
	o := fd.target
	fd.lastMessageAt = s.now
	if e := o.flows.get(&fd.req.Flow); e != nil && e.target == o.id {
		e.touch(s.now)
	}
	if m.Load != nil {
		s.emitIfCold(o, o.admission.onReport(m.Load, true, s.now))
	}
	switch m.Status {
	case core.AnswerNotification:
		s.answer(&fd.req, m.Payload, true)
	case core.AnswerOK:
		s.answer(&fd.req, m.Payload, true)
		s.removeFeed(fd)
	default:
		// The target dropped the feed; it is registered again.
		delete(s.feeds, fd.token)
		s.renewLater(fd, renewalPause)
	}
}

// endFeed ends a feed at the client's request.
func (s *Shard) endFeed(fd *feed) {
	s.removeFeed(fd)
	if fd.token != 0 {
		s.sendCancel(fd.target, fd.token, core.RenewalAttempt, fd.addr, &fd.req)
	}
}

// unsubscribe ends the feed that a request names, or the flow's only one. Otherwise the client ends
// it by rejecting its next message.
func (s *Shard) unsubscribe(o *ownedTarget, r *core.Request) {
	list := o.feeds.byFlow[r.Flow]
	fd := o.feeds.get(feedKeyOf(r))
	if fd == nil && r.Feed == 0 && len(list) == 1 {
		fd = list[0]
	}
	if fd != nil {
		s.endFeed(fd)
	}
}

// cancelFeed ends the feed whose registration has the given id. It reports whether there is one.
func (s *Shard) cancelFeed(o *ownedTarget, key requestKey) bool {
	for _, fd := range o.feeds.byFlow[key.flow] {
		if cancelMatches(key.id, fd.req.ID) {
			s.endFeed(fd)
			return true
		}
	}
	return false
}

// takeOverFeed takes over a feed whose target left service or whose owner handed it over.
func (s *Shard) takeOverFeed(o *ownedTarget, r *core.Request) {
	if o.feeds.get(feedKeyOf(r)) != nil {
		return
	}
	o.feeds.put(&feed{target: o, req: *r, lastMessageAt: s.now, needsRenewal: true, renewAt: s.now})
	s.queueRenewals(o)
	s.sendQueued(o)
}

// renewLater schedules the renewal of a feed after a pause.
func (s *Shard) renewLater(fd *feed, pause time.Duration) {
	fd.needsRenewal = true
	fd.renewalPending = false
	fd.renewAt = s.now + pause
}

// sendRenewal sends the registration of a feed again.
func (s *Shard) sendRenewal(o *ownedTarget, fd *feed) {
	o.feeds.dueRenewals.pop()
	if o.snapshot.Target.Service != fd.req.Flow.Service {
		s.removeFeed(fd)
		return
	}
	r := &request{
		key:      requestKeyOf(&fd.req),
		req:      fd.req,
		arrived:  s.now,
		deadline: s.now + renewalTimeout,
		renewal:  true,
	}
	r.req.Idempotent = true
	r.req.Class = core.ClassFeed
	o.active[r.key] = r
	o.activeInOrder = append(o.activeInOrder, r)
	s.sendAttempt(o, r)
}

// queueRenewals lists the feeds whose renewal is due.
func (s *Shard) queueRenewals(o *ownedTarget) {
	for _, fd := range o.feeds.order {
		if fd.needsRenewal && !fd.renewalPending && !fd.ended && s.now >= fd.renewAt {
			fd.renewalPending = true
			o.feeds.dueRenewals.push(fd)
		}
	}
}

// tickFeeds removes ended feeds, moves the feeds of a target that gets no packets any more, and
// lists due renewals.
func (s *Shard) tickFeeds(o *ownedTarget) {
	o.feeds.order = compact(o.feeds.order, func(fd *feed) bool { return !fd.ended })
	if o.handover != nil {
		return
	}
	if o.outOfService(s.now) {
		s.moveFeeds(o)
		return
	}
	for _, fd := range o.feeds.order {
		if s.now-fd.lastMessageAt > feedIdle {
			s.endFeed(fd)
		}
	}
	s.queueRenewals(o)
}

// moveFeeds moves some feeds to targets that accept new flows. The new target's owner registers
// them.
func (s *Shard) moveFeeds(o *ownedTarget) {
	moved := 0
	for _, fd := range o.feeds.order {
		if fd.ended {
			continue
		}
		if moved == feedMovesPerTick || !s.moveFeed(o, fd) {
			return
		}
		moved++
	}
}

func (s *Shard) moveFeed(o *ownedTarget, fd *feed) bool {
	flow := fd.req.Flow
	target := core.TargetID(0)
	if e := o.flows.get(&flow); e != nil && e.target != o.id {
		target = e.target
	} else {
		target = s.chooseTarget(o, flow, nil)
	}
	if target == 0 || target == o.id || s.reachableOwner(target) == "" {
		return false
	}
	o.feeds.remove(fd)
	s.relayReplaced(fd)
	o.setFlow(flow, target, s.now)
	o.movedAway.put(flow, s.now+core.RequestLifetime)
	s.recentPlacements.add(target, s.now)
	s.emitEvent(core.EventFlowRedirected, target)
	s.redirect(o, target, s.renewalFor(fd.req, o.id))
	return true
}

// renewalFor returns the message that asks a target's owner to register a feed again.
func (s *Shard) renewalFor(r core.Request, target core.TargetID) *core.ForwardRequest {
	r.Deadline = core.MaxDeadline
	return &core.ForwardRequest{
		Request:    r,
		Target:     target,
		FlowKnown:  true,
		Renewal:    true,
		Ingress:    s.opts.Self,
		Hops:       1,
		Generation: s.snapshot.Config.Generation,
	}
}

// replacedFeed is a feed that another VM or target has taken over. Its notifications are relayed
// until the new registration has replaced it.
type replacedFeed struct {
	token core.AttemptToken
	until time.Duration
}

func (s *Shard) relayReplaced(fd *feed) {
	if s.feeds[fd.token] == fd {
		s.replacedFeeds = append(s.replacedFeeds, replacedFeed{fd.token, s.now + feedRelayTime})
	}
}

// relayAllReplaced keeps relaying the feeds of a target that this shard no longer owns.
func (s *Shard) relayAllReplaced(o *ownedTarget) {
	for _, fd := range o.feeds.order {
		if !fd.ended {
			s.relayReplaced(fd)
		}
	}
}

func (s *Shard) expireReplacedFeeds() {
	n := 0
	for n < len(s.replacedFeeds) && s.replacedFeeds[n].until <= s.now {
		delete(s.feeds, s.replacedFeeds[n].token)
		n++
	}
	s.replacedFeeds = s.replacedFeeds[n:]
}
