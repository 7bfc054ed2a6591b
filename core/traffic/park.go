package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// parkedRequest waits for the holder of its target to become known or reachable.
type parkedRequest struct {
	f     *core.ForwardRequest
	since time.Duration
	until time.Duration
}

// parkKey identifies a parked packet: a withdrawal has the id of its request.
type parkKey struct {
	request reqKey
	method  core.Method
}

func parkKeyOf(f *core.ForwardRequest) parkKey {
	return parkKey{keyOf(&f.Request), f.Request.Method}
}

// parking holds parked requests in the order of arrival.
type parking struct {
	list []parkedRequest
	keys map[parkKey]bool
}

func newParking() parking { return parking{keys: map[parkKey]bool{}} }

// take removes and returns the requests that match.
func (t *parking) take(match func(*parkedRequest) bool) []parkedRequest {
	var taken []parkedRequest
	t.list = compact(t.list, func(p parkedRequest) bool {
		if !match(&p) {
			return true
		}
		taken = append(taken, p)
		delete(t.keys, parkKeyOf(p.f))
		return false
	})
	return taken
}

// resumed returns a parked request as it goes on now.
func (p *parkedRequest) resumed(now time.Duration) *core.ForwardRequest {
	f := *p.f
	f.Age += now - p.since
	return &f
}

// park keeps a request for at most the given time, and never beyond its deadline.
func (s *Shard) park(f *core.ForwardRequest, wait time.Duration) {
	key := parkKeyOf(f)
	if s.parked.keys[key] {
		s.event(core.EventDuplicateAbsorbed, f.Target)
		return
	}
	left := s.remaining(f)
	if len(s.parked.list) >= maxParked || left <= 0 {
		s.refuseForward(f, core.ReasonOwnerUnreachable)
		return
	}
	if f.Renewal {
		wait = left
	}
	s.parked.keys[key] = true
	s.parked.list = append(s.parked.list, parkedRequest{f, s.now, s.now + min(wait, left)})
}

// remaining returns the time until a forwarded request's deadline.
func (s *Shard) remaining(f *core.ForwardRequest) time.Duration {
	return s.deadline(&f.Request) - f.Age
}

// deadline returns the time that a request had when it reached its ingress VM.
func (s *Shard) deadline(r *core.Request) time.Duration {
	if r.Deadline > 0 {
		return min(r.Deadline, core.MaxDeadline)
	}
	if c := s.sets[r.Flow.Service]; c != nil && c.view.Service.Contract.DefaultDeadline > 0 {
		return c.view.Service.Contract.DefaultDeadline
	}
	return 5 * time.Second
}

// retryParked routes the parked requests again whose holder can now be reached.
func (s *Shard) retryParked() {
	if s.snap == nil {
		return
	}
	ready := s.parked.take(func(p *parkedRequest) bool { return s.canRoute(p.f.Target) })
	for i := range ready {
		s.route(ready[i].resumed(s.now))
	}
}

// canRoute reports whether a request for the target would not be parked again.
func (s *Shard) canRoute(id core.TargetID) bool {
	if o := s.owners[id]; o != nil {
		return o.handover == nil || s.receiverSuspect(o)
	}
	h := s.holderOf(id)
	return h != "" && h != s.opts.Self
}

func (s *Shard) route(f *core.ForwardRequest) {
	if s.owners[f.Target] != nil {
		s.onForward(f)
		return
	}
	s.dispatch(f)
}

// expireParked gives up waiting: the request goes to its next candidate, or is refused.
func (s *Shard) expireParked() {
	over := s.parked.take(func(p *parkedRequest) bool { return s.now >= p.until })
	for i := range over {
		f := over[i].resumed(s.now)
		if len(f.RemainingCandidates) > 0 && s.owners[f.Target] == nil && s.remaining(f) > 0 {
			s.passOn(f, false)
			continue
		}
		s.refuseForward(f, core.ReasonOwnerUnreachable)
	}
}
