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

// watches holds at most one registration per flow, in the order of arrival.
type watches struct {
	m     map[core.FlowKey]*watch
	order fifo[*watch]
}

func newWatches() watches { return watches{m: map[core.FlowKey]*watch{}} }

func (t *watches) remove(k core.FlowKey) {
	if w := t.m[k]; w != nil {
		w.ended = true
		delete(t.m, k)
	}
}

func (t *watches) expire(now time.Duration) {
	for t.order.len() > 0 {
		w := *t.order.first()
		if !w.ended && now < w.until {
			return
		}
		t.order.pop()
		if t.m[w.req.Flow] == w {
			delete(t.m, w.req.Flow)
		}
	}
}

// watch notes the registration or the end of a feed.
func (s *Shard) watch(r *core.Request) {
	switch r.Method {
	case core.MethodSubscribe:
		s.watches.remove(r.Flow)
		if s.watches.order.len() >= maxWatches {
			return
		}
		w := &watch{req: *r, until: s.now + watchTime}
		s.watches.m[r.Flow] = w
		s.watches.order.push(w)
	case core.MethodUnsubscribe:
		s.watches.remove(r.Flow)
	case core.MethodCancel:
		if w := s.watches.m[r.Flow]; w != nil && w.req.ID == r.ID {
			s.watches.remove(r.Flow)
		}
	}
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
	if v == nil || v.Holder == "" || v.Holder == w.holder {
		return
	}
	if w.holder == "" {
		w.holder = v.Holder
		return
	}
	if w.changedAt == 0 {
		w.changedAt = s.now
	}
	lost := !s.reachable(w.holder)
	if !lost && s.now-w.changedAt < plannedAfter {
		return
	}
	w.holder = v.Holder
	w.changedAt = 0
	if lost {
		s.dispatch(s.renewalFor(w.req, e.target))
	}
}
