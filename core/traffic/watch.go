package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

const (
	// watchTime bounds the memory of registrations. It covers the longest meetings and festivals.
	watchTime  = 12 * time.Hour
	maxWatches = 1 << 15
	// plannedAfter is the time for which a former holder has to stay reachable to count as having
	// handed its state over; the loss of a silent peer is noticed after 2 s.
	plannedAfter = 3 * time.Second
)

// watch is the registration of a live feed as seen by its ingress VM. A holder that dies loses the
// registrations of its targets; the ingress VM of each can ask the next holder to renew it. A feed
// that has ended meanwhile is ended again by its caller, which rejects the messages.
type watch struct {
	req core.Request
	// holder is the VM that has the registration, as far as known.
	holder core.VMName
	// changedAt is when another holder was first seen; 0 while there is none.
	changedAt time.Duration
	until     time.Duration
	ended     bool
}

// watches holds registrations in the order of arrival.
type watches struct {
	m map[feedKey]*watch
	// flows counts the registrations of each flow.
	flows map[core.FlowKey]int
	order fifo[*watch]
	// fresh lists the registrations whose holder is not known yet.
	fresh []*watch
}

func newWatches() watches {
	return watches{m: map[feedKey]*watch{}, flows: map[core.FlowKey]int{}}
}

func (t *watches) add(w *watch) {
	k := feedKeyOf(&w.req)
	t.remove(k)
	t.m[k] = w
	t.flows[k.flow]++
	t.order.push(w)
	t.fresh = append(t.fresh, w)
}

func (t *watches) remove(k feedKey) {
	w := t.m[k]
	if w == nil {
		return
	}
	w.ended = true
	delete(t.m, k)
	t.flows[k.flow]--
	if t.flows[k.flow] == 0 {
		delete(t.flows, k.flow)
	}
}

// find returns the key of the registration that a request of the flow ends. A request that names no
// feed ends the flow's only one.
func (t *watches) find(r *core.Request) (feedKey, bool) {
	if w := t.m[feedKeyOf(r)]; w != nil {
		return feedKeyOf(r), true
	}
	if t.flows[r.Flow] == 0 || r.Feed != 0 {
		return feedKey{}, false
	}
	for _, w := range t.order.items[t.order.head:] {
		if w.ended || w.req.Flow != r.Flow {
			continue
		}
		if withdraws(r.ID, w.req.ID) || r.Method == core.MethodUnsubscribe && t.flows[r.Flow] == 1 {
			return feedKeyOf(&w.req), true
		}
	}
	return feedKey{}, false
}

func (t *watches) expire(now time.Duration) {
	for t.order.len() > 0 {
		w := *t.order.first()
		if !w.ended && now < w.until {
			return
		}
		t.order.pop()
		if !w.ended {
			t.remove(feedKeyOf(&w.req))
		}
	}
}

// watch notes the registration or the end of a feed.
func (s *Shard) watch(r *core.Request) {
	switch r.Method {
	case core.MethodSubscribe:
		if s.watches.order.len() < maxWatches {
			s.watches.add(&watch{req: *r, until: s.now + watchTime})
		}
	case core.MethodUnsubscribe, core.MethodCancel:
		if k, ok := s.watches.find(r); ok {
			s.watches.remove(k)
		}
	}
}

// noteHolders notes who holds the targets of new registrations.
func (s *Shard) noteHolders() {
	s.watches.fresh = compact(s.watches.fresh, func(w *watch) bool {
		if !w.ended {
			s.follow(w)
		}
		return !w.ended && w.holder == ""
	})
}

// followHolders asks the new holders of lost VMs' targets to renew the watched feeds.
func (s *Shard) followHolders() {
	if s.snap == nil {
		return
	}
	list := &s.watches.order
	for _, w := range list.items[list.head:] {
		if !w.ended {
			s.follow(w)
		}
	}
}

func (s *Shard) follow(w *watch) {
	e := s.notes.get(&w.req.Flow)
	if e == nil {
		return
	}
	v := s.view(e.target)
	if v == nil || v.Owner == "" || v.Owner == w.holder {
		return
	}
	if w.holder == "" {
		w.holder = v.Owner
		return
	}
	if w.changedAt == 0 {
		w.changedAt = s.now
	}
	lost := !s.reachable(w.holder)
	if !lost && s.now-w.changedAt < plannedAfter {
		return
	}
	w.holder = v.Owner
	w.changedAt = 0
	if lost {
		f := s.renewalFor(w.req, e.target)
		// The lost holder may have redirected a flow that was only guessed to be on its target.
		f.FlowKnown = e.seen&guessFlag == 0
		s.dispatch(f)
	}
}
