package forward

import (
	"math/rand/v2"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Forwarder decides about the packets that one VM takes. It belongs to one goroutine.
type Forwarder struct {
	zone   core.ZoneName
	random *rand.Rand
	view   *Snapshot
	// viewNumber counts views, so that flows need not keep old ones in memory.
	viewNumber uint32
	// freshSince and freshUntil are the times since which and until which the view has counted as
	// current without a gap.
	freshSince, freshUntil time.Duration

	flows  flowTable
	loads  map[Token]*load
	events Events
}

// Events counts what a Forwarder observed since it started.
type Events struct {
	// Suspected counts how often a target was left out because it did not answer.
	Suspected uint64
}

// New returns a Forwarder of a VM in the given zone. The seed decides its random choices.
func New(zone core.ZoneName, seed uint64) *Forwarder {
	return &Forwarder{
		zone:   zone,
		random: rand.New(rand.NewPCG(seed, seed)),
		view:   &Snapshot{},
		flows:  newFlowTable(),
		loads:  map[Token]*load{},
	}
}

// Events returns what was observed so far.
func (f *Forwarder) Events() Events { return f.events }

// Install installs a view. Views must come in the order in which control built them. It returns the resets
// of flows with a request under way at targets that have exited since the view before.
func (f *Forwarder) Install(v *Snapshot) []FlowReset {
	before := f.view
	f.view = v
	f.viewNumber++
	var exited []*load
	for token, l := range f.loads {
		t := v.Targets[token]
		switch {
		case t == nil:
			if l.open == 0 {
				delete(f.loads, token)
			}
		case before.exited(token) && t.Condition != Exited:
			// It is back: what probes showed meanwhile no longer holds.
			l.endedUntil, l.silentUntil = 0, 0
		case !before.exited(token) && t.Condition == Exited:
			exited = append(exited, l)
		}
	}
	return f.resetWorking(exited...)
}

// SetFresh says since when and until when the view counts as current without a gap: control heard a
// short time ago that nothing had changed.
func (f *Forwarder) SetFresh(since, until time.Duration) { f.freshSince, f.freshUntil = since, until }

func (f *Forwarder) fresh(now time.Duration) bool { return now < f.freshUntil }

// Handle decides about a packet that a client sent.
func (f *Forwarder) Handle(h *Header, now time.Duration) Decision {
	f.flows.expire(now, f.view.IdleTimeout)
	switch {
	case h.opens():
		return f.open(h, now)
	case h.Flags.Has(SYN) || h.Flags.Has(Relayed):
		// A SYN with ACK comes from a target, which answers clients directly; targets would take it
		// for forged.
		return Decision{Reason: NotFromClient}
	default:
		return f.follow(h, now)
	}
}

// follow decides about a packet of an open flow.
func (f *Forwarder) follow(h *Header, now time.Duration) Decision {
	s := f.flows.get(h.Flow)
	if s == nil || s.viewNumber != f.viewNumber || s.token != h.Token {
		// The first packet of the flow under this view.
		if _, dropped := f.view.DroppedRoutes[h.Flow.Service]; dropped {
			f.forget(h.Flow)
			return Decision{Action: Reset, Reason: RouteDropped}
		}
		t := f.view.Targets[h.Token]
		if t == nil {
			return f.unknown(h, now)
		}
		s = f.resolve(h, s, t)
	}
	t := s.target
	if t.Condition == Exited || t.Condition == Gone && f.fresh(now) {
		f.forget(h.Flow)
		return Decision{Action: Reset, Reason: TargetGone, Target: t}
	}
	if reason, lost := s.lost(h, now); lost {
		f.forget(h.Flow)
		return Decision{Action: Reset, Reason: reason, Target: t}
	}
	d := Decision{Action: Forward, Reason: OnFlow, Target: t}
	f.observe(h, s, &d, now)
	return d
}

// resolve remembers that a flow, which may be new to this VM, goes to a target under the present view.
func (f *Forwarder) resolve(h *Header, s *flowState, t *Target) *flowState {
	if s == nil {
		s = f.flows.add(h.Flow)
		s.ack = h.Ack
	}
	if s.load == nil || s.token != t.Token {
		s.unknown = false
		s.attach(f.load(t.Token), t.Token)
	}
	s.target, s.viewNumber = t, f.viewNumber
	return s
}

const (
	// listedAfter is how long a view must have been current before a target that it lacks counts as
	// gone: entries that lapsed in an outage of the store are back two seconds after it.
	listedAfter = 3 * time.Second
	// unknownFor is how long packets of a flow must have named an unknown target before the flow is
	// reset. A target that another VM knows reaches this one within some 100 ms.
	unknownFor = time.Second
)

// unknown decides about a packet whose token names no target in the view. The target may be one that
// control has not heard of yet, so the packet is dropped and the ends repeat it. If that goes on while
// the view is current, the target ended before this VM knew it, and the client must not wait for its
// deadline.
func (f *Forwarder) unknown(h *Header, now time.Duration) Decision {
	s := f.flows.get(h.Flow)
	if s == nil {
		s = f.flows.add(h.Flow)
	}
	if !s.unknown {
		s.detach()
		*s = flowState{unknown: true, since: now}
	}
	listed := f.fresh(now) && now-f.freshSince >= listedAfter && f.view.UnreadableEntries == 0
	if h.Token == 0 || !listed || now-s.since < unknownFor {
		return Decision{Reason: UnknownToken}
	}
	f.forget(h.Flow)
	return Decision{Action: Reset, Reason: UnknownToken}
}

// open decides about a SYN.
func (f *Forwarder) open(h *Header, now time.Duration) Decision {
	if f.view.ConfigVersion == 0 {
		return Decision{Reason: NoSnapshot}
	}
	route := f.view.Routes[h.Flow.Service]
	if route == nil {
		return f.refuse(h, now, NoRoute)
	}
	var d Decision
	first := f.flows.get(h.Flow)
	if first != nil && first.opening && h.Ack > 0 {
		f.noteSilence(first.load, synSilence, now)
		f.suspect(&d, first.load, f.view.Targets[first.token], now)
	}
	service := route.pick(f.random)
	if service == nil {
		return f.refuse(h, now, NoTarget)
	}
	d.Target, d.Reason = f.place(service, first, now)
	switch {
	case d.Target == nil && d.Reason == ColdLimit:
		// The client repeats its SYN after 200 and 600 ms, when the budget may allow it.
		return d
	case d.Target == nil:
		refused := f.refuse(h, now, d.Reason)
		refused.Probe = d.Probe
		return refused
	case h.Ack > 0:
		d.Reason = PlacedAgain
	}
	d.Action = Forward
	f.noteOpening(h.Flow, d.Target, now)
	return d
}

// refuse answers a SYN that cannot be served. A copy of a SYN is never answered by a reset, since a
// target may have accepted the first one meanwhile; neither is any SYN while the view is old, since
// what is missing may exist.
func (f *Forwarder) refuse(h *Header, now time.Duration, reason Reason) Decision {
	if h.Ack > 0 || !f.fresh(now) {
		return Decision{Reason: reason}
	}
	return Decision{Action: Reset, Reason: reason}
}

// pick chooses a service by weight; nil when the route has none.
func (r *Route) pick(random *rand.Rand) *Service {
	if r.TotalWeight <= 0 {
		return nil
	}
	at := 0
	if len(r.Backends) > 1 {
		at = random.IntN(r.TotalWeight)
	}
	for i := range r.Backends {
		if at -= r.Backends[i].Weight; at < 0 {
			return r.Backends[i].Service
		}
	}
	return nil
}
