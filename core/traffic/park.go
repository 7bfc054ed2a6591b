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

// park keeps a request for at most the given time, and never beyond its deadline.
func (s *Shard) park(f *core.ForwardRequest, wait time.Duration) {
	for i := range s.parked {
		p := s.parked[i].f
		if keyOf(&p.Request) == keyOf(&f.Request) && p.Request.Method == f.Request.Method {
			s.event(core.EventDuplicateAbsorbed, f.Target)
			return
		}
	}
	left := s.remaining(f)
	if len(s.parked) >= maxParked || left <= 0 {
		s.refuseForward(f, core.ReasonOwnerUnreachable)
		return
	}
	if f.Renewal {
		wait = left
	}
	s.parked = append(s.parked, parkedRequest{f, s.now, s.now + min(wait, left)})
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
	waiting := s.parked
	s.parked = nil
	for _, p := range waiting {
		if !s.canRoute(p.f.Target) {
			s.parked = append(s.parked, p)
			continue
		}
		f := *p.f
		f.Age += s.now - p.since
		s.route(&f)
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
	waiting := s.parked
	s.parked = nil
	for _, p := range waiting {
		if s.now < p.until {
			s.parked = append(s.parked, p)
			continue
		}
		f := *p.f
		f.Age += s.now - p.since
		if len(f.Trail) > 0 && s.owners[f.Target] == nil && s.remaining(&f) > 0 {
			s.passOn(&f, false)
			continue
		}
		s.refuseForward(&f, core.ReasonOwnerUnreachable)
	}
}
