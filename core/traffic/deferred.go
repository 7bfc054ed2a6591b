package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// deferredRequest waits for an owner of its target to become known or reachable, or for the end of
// a handover.
type deferredRequest struct {
	request    *core.ForwardRequest
	deferredAt time.Duration
	until      time.Duration
}

// deferredKey identifies a deferred packet. The method is part of it, because a cancellation has
// the id of its request.
type deferredKey struct {
	request requestKey
	method  core.Method
}

func deferredKeyOf(f *core.ForwardRequest) deferredKey {
	return deferredKey{requestKeyOf(&f.Request), f.Request.Method}
}

// deferredRequests holds deferred requests in the order of arrival.
type deferredRequests struct {
	list []deferredRequest
	keys map[deferredKey]bool
}

func newDeferredRequests() deferredRequests { return deferredRequests{keys: map[deferredKey]bool{}} }

// take removes and returns the requests that match.
func (t *deferredRequests) take(match func(*deferredRequest) bool) []deferredRequest {
	var taken []deferredRequest
	t.list = compact(t.list, func(d deferredRequest) bool {
		if !match(&d) {
			return true
		}
		taken = append(taken, d)
		delete(t.keys, deferredKeyOf(d.request))
		return false
	})
	return taken
}

// resumed returns a deferred request with its age updated to now.
func (d *deferredRequest) resumed(now time.Duration) *core.ForwardRequest {
	f := *d.request
	f.Age += now - d.deferredAt
	return &f
}

// deferRequest keeps a request for at most the given time, and never beyond its deadline.
func (s *Shard) deferRequest(f *core.ForwardRequest, wait time.Duration) {
	key := deferredKeyOf(f)
	if s.deferred.keys[key] {
		s.emitEvent(core.EventDuplicateAbsorbed, f.Target)
		return
	}
	left := s.remainingTime(f)
	if len(s.deferred.list) >= maxDeferred || left <= 0 {
		s.refuseForward(f, core.ReasonOwnerUnreachable)
		return
	}
	if f.Renewal {
		wait = left
	}
	s.deferred.keys[key] = true
	s.deferred.list = append(s.deferred.list, deferredRequest{f, s.now, s.now + min(wait, left)})
}

// remainingTime returns the time until a forwarded request's deadline.
func (s *Shard) remainingTime(f *core.ForwardRequest) time.Duration {
	return s.initialDeadline(&f.Request) - f.Age
}

// initialDeadline returns the time that a request had left when it reached its ingress VM.
func (s *Shard) initialDeadline(r *core.Request) time.Duration {
	if r.Deadline > 0 {
		return min(r.Deadline, core.MaxDeadline)
	}
	if c := s.targetSets[r.Flow.Service]; c != nil && c.snapshot.Service.Contract.DefaultDeadline > 0 {
		return c.snapshot.Service.Contract.DefaultDeadline
	}
	return 5 * time.Second
}

// retryDeferred routes the deferred requests whose owner is reachable now.
func (s *Shard) retryDeferred() {
	if s.snapshot == nil {
		return
	}
	ready := s.deferred.take(func(d *deferredRequest) bool { return s.canRoute(d.request.Target) })
	for i := range ready {
		s.route(ready[i].resumed(s.now))
	}
}

// canRoute reports whether a request for the target would not be deferred again.
func (s *Shard) canRoute(id core.TargetID) bool {
	if o := s.owned[id]; o != nil {
		return o.handover == nil || s.receiverUnreachable(o)
	}
	owner := s.reachableOwner(id)
	return owner != "" && owner != s.opts.Self
}

func (s *Shard) route(f *core.ForwardRequest) {
	if s.owned[f.Target] != nil {
		s.onForward(f)
		return
	}
	s.dispatch(f)
}

// expireDeferred ends the wait of requests whose time is over: a request goes to its next
// candidate, or is refused.
func (s *Shard) expireDeferred() {
	expired := s.deferred.take(func(d *deferredRequest) bool { return s.now >= d.until })
	for i := range expired {
		f := expired[i].resumed(s.now)
		if len(f.RemainingCandidates) > 0 && s.owned[f.Target] == nil && s.remainingTime(f) > 0 {
			s.tryNextCandidate(f, false)
			continue
		}
		s.refuseForward(f, core.ReasonOwnerUnreachable)
	}
}
