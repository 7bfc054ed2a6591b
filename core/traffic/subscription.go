package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

const (
	// subscriptionLifetime bounds the time for which registrations are kept. It covers the longest
	// meetings and festivals.
	subscriptionLifetime = 12 * time.Hour
	maxSubscriptions     = 1 << 15
	// handoverAssumedAfter is the time for which a previous owner has to stay reachable to count as
	// having handed its state over; the loss of a silent peer is detected after 2 s.
	handoverAssumedAfter = 3 * time.Second
)

// subscription is the registration of a live feed as recorded by its ingress VM. An owner that
// fails loses the registrations of its targets; the ingress VM of each can ask the next owner to
// renew it. If the client has ended the feed meanwhile, it rejects the messages, which ends the
// renewed feed.
type subscription struct {
	req core.Request
	// owner is the VM that has the registration; empty while it is not known.
	owner core.VMName
	// ownerChangedAt is when a snapshot first named another owner; 0 while none does.
	ownerChangedAt time.Duration
	expiresAt      time.Duration
	ended          bool
}

// subscriptionTable holds registrations in the order of arrival.
type subscriptionTable struct {
	byKey map[feedKey]*subscription
	// perFlow counts the registrations of each flow.
	perFlow map[core.FlowKey]int
	order   fifo[*subscription]
	// ownerUnknown lists the registrations whose owner is not known yet.
	ownerUnknown []*subscription
}

func newSubscriptionTable() subscriptionTable {
	return subscriptionTable{byKey: map[feedKey]*subscription{}, perFlow: map[core.FlowKey]int{}}
}

func (t *subscriptionTable) add(sub *subscription) {
	k := feedKeyOf(&sub.req)
	t.remove(k)
	t.byKey[k] = sub
	t.perFlow[k.flow]++
	t.order.push(sub)
	t.ownerUnknown = append(t.ownerUnknown, sub)
}

func (t *subscriptionTable) remove(k feedKey) {
	sub := t.byKey[k]
	if sub == nil {
		return
	}
	sub.ended = true
	delete(t.byKey, k)
	t.perFlow[k.flow]--
	if t.perFlow[k.flow] == 0 {
		delete(t.perFlow, k.flow)
	}
}

// findEndedBy returns the key of the registration that a request of the flow ends. A request that
// names no feed ends the flow's only one.
func (t *subscriptionTable) findEndedBy(r *core.Request) (feedKey, bool) {
	if sub := t.byKey[feedKeyOf(r)]; sub != nil {
		return feedKeyOf(r), true
	}
	if t.perFlow[r.Flow] == 0 || r.Feed != 0 {
		return feedKey{}, false
	}
	for _, sub := range t.order.items[t.order.head:] {
		if sub.ended || sub.req.Flow != r.Flow {
			continue
		}
		if cancelMatches(r.ID, sub.req.ID) || r.Method == core.MethodUnsubscribe && t.perFlow[r.Flow] == 1 {
			return feedKeyOf(&sub.req), true
		}
	}
	return feedKey{}, false
}

func (t *subscriptionTable) expire(now time.Duration) {
	for t.order.len() > 0 {
		sub := *t.order.first()
		if !sub.ended && now < sub.expiresAt {
			return
		}
		t.order.pop()
		if !sub.ended {
			t.remove(feedKeyOf(&sub.req))
		}
	}
}

// trackSubscription records the registration or the end of a feed.
func (s *Shard) trackSubscription(r *core.Request) {
	switch r.Method {
	case core.MethodSubscribe:
		if s.subscriptions.order.len() < maxSubscriptions {
			s.subscriptions.add(&subscription{req: *r, expiresAt: s.now + subscriptionLifetime})
		}
	case core.MethodUnsubscribe, core.MethodCancel:
		if k, ok := s.subscriptions.findEndedBy(r); ok {
			s.subscriptions.remove(k)
		}
	}
}

// setSubscriptionOwners records which VMs own the targets of new registrations.
func (s *Shard) setSubscriptionOwners() {
	s.subscriptions.ownerUnknown = compact(s.subscriptions.ownerUnknown, func(sub *subscription) bool {
		if !sub.ended {
			s.updateSubscriptionOwner(sub)
		}
		return !sub.ended && sub.owner == ""
	})
}

// updateSubscriptionOwners asks the new owners of lost VMs' targets to renew the recorded feeds.
func (s *Shard) updateSubscriptionOwners() {
	if s.snapshot == nil {
		return
	}
	list := &s.subscriptions.order
	for _, sub := range list.items[list.head:] {
		if !sub.ended {
			s.updateSubscriptionOwner(sub)
		}
	}
}

func (s *Shard) updateSubscriptionOwner(sub *subscription) {
	e := s.ingressFlows.get(&sub.req.Flow)
	if e == nil {
		return
	}
	target := s.targetSnapshot(e.target)
	if target == nil || target.Owner == "" || target.Owner == sub.owner {
		return
	}
	if sub.owner == "" {
		sub.owner = target.Owner
		return
	}
	if sub.ownerChangedAt == 0 {
		sub.ownerChangedAt = s.now
	}
	lost := !s.reachable(sub.owner)
	if !lost && s.now-sub.ownerChangedAt < handoverAssumedAfter {
		return
	}
	sub.owner = target.Owner
	sub.ownerChangedAt = 0
	if lost {
		f := s.renewalFor(sub.req, e.target)
		// The lost owner may have redirected a flow whose target no owner has confirmed.
		f.FlowKnown = e.seenAt&unconfirmedFlag == 0
		s.dispatch(f)
	}
}
