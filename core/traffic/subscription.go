package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

const (
	// subscriptionLifetime bounds the memory of registrations. It covers the longest meetings and festivals.
	subscriptionLifetime = 12 * time.Hour
	maxSubscriptions     = 1 << 15
	// handoverAssumedAfter is the time for which a former holder has to stay reachable to count as having
	// handed its state over; the loss of a silent peer is noticed after 2 s.
	handoverAssumedAfter = 3 * time.Second
)

// subscription is the registration of a live feed as seen by its ingress VM. A holder that dies loses the
// registrations of its targets; the ingress VM of each can ask the next holder to renew it. A feed
// that has ended meanwhile is ended again by its caller, which rejects the messages.
type subscription struct {
	req core.Request
	// owner is the VM that has the registration, as far as known.
	owner core.VMName
	// ownerChangedAt is when another holder was first seen; 0 while there is none.
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
	// ownerUnknown lists the registrations whose holder is not known yet.
	ownerUnknown []*subscription
}

func newSubscriptionTable() subscriptionTable {
	return subscriptionTable{byKey: map[feedKey]*subscription{}, perFlow: map[core.FlowKey]int{}}
}

func (t *subscriptionTable) add(w *subscription) {
	k := feedKeyOf(&w.req)
	t.remove(k)
	t.byKey[k] = w
	t.perFlow[k.flow]++
	t.order.push(w)
	t.ownerUnknown = append(t.ownerUnknown, w)
}

func (t *subscriptionTable) remove(k feedKey) {
	w := t.byKey[k]
	if w == nil {
		return
	}
	w.ended = true
	delete(t.byKey, k)
	t.perFlow[k.flow]--
	if t.perFlow[k.flow] == 0 {
		delete(t.perFlow, k.flow)
	}
}

// findEndedBy returns the key of the registration that a request of the flow ends. A request that names no
// feed ends the flow's only one.
func (t *subscriptionTable) findEndedBy(r *core.Request) (feedKey, bool) {
	if w := t.byKey[feedKeyOf(r)]; w != nil {
		return feedKeyOf(r), true
	}
	if t.perFlow[r.Flow] == 0 || r.Feed != 0 {
		return feedKey{}, false
	}
	for _, w := range t.order.items[t.order.head:] {
		if w.ended || w.req.Flow != r.Flow {
			continue
		}
		if cancelMatches(r.ID, w.req.ID) || r.Method == core.MethodUnsubscribe && t.perFlow[r.Flow] == 1 {
			return feedKeyOf(&w.req), true
		}
	}
	return feedKey{}, false
}

func (t *subscriptionTable) expire(now time.Duration) {
	for t.order.len() > 0 {
		w := *t.order.first()
		if !w.ended && now < w.expiresAt {
			return
		}
		t.order.pop()
		if !w.ended {
			t.remove(feedKeyOf(&w.req))
		}
	}
}

// trackSubscription notes the registration or the end of a feed.
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

// setSubscriptionOwners notes who holds the targets of new registrations.
func (s *Shard) setSubscriptionOwners() {
	s.subscriptions.ownerUnknown = compact(s.subscriptions.ownerUnknown, func(w *subscription) bool {
		if !w.ended {
			s.updateSubscriptionOwner(w)
		}
		return !w.ended && w.owner == ""
	})
}

// updateSubscriptionOwners asks the new holders of lost VMs' targets to renew the watched feeds.
func (s *Shard) updateSubscriptionOwners() {
	if s.snapshot == nil {
		return
	}
	list := &s.subscriptions.order
	for _, w := range list.items[list.head:] {
		if !w.ended {
			s.updateSubscriptionOwner(w)
		}
	}
}

func (s *Shard) updateSubscriptionOwner(w *subscription) {
	e := s.ingressFlows.get(&w.req.Flow)
	if e == nil {
		return
	}
	v := s.targetSnapshot(e.target)
	if v == nil || v.Owner == "" || v.Owner == w.owner {
		return
	}
	if w.owner == "" {
		w.owner = v.Owner
		return
	}
	if w.ownerChangedAt == 0 {
		w.ownerChangedAt = s.now
	}
	lost := !s.reachable(w.owner)
	if !lost && s.now-w.ownerChangedAt < handoverAssumedAfter {
		return
	}
	w.owner = v.Owner
	w.ownerChangedAt = 0
	if lost {
		f := s.renewalFor(w.req, e.target)
		// The lost holder may have redirected a flow that was only guessed to be on its target.
		f.FlowKnown = e.seenAt&unconfirmedFlag == 0
		s.dispatch(f)
	}
}
