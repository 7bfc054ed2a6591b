package forward

import (
	"math/rand/v2"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/linkload"
)

// Forwarder decides about the packets that one VM receives. It belongs to one goroutine.
type Forwarder struct {
	zone     core.ZoneName
	random   *rand.Rand
	snapshot *Snapshot
	// snapshotNumber is the number of the snapshot. Flows store it instead of a pointer, which would keep
	// old snapshots in memory.
	snapshotNumber uint32
	// freshSince and freshUntil bound the time in which the snapshot is fresh without a gap.
	freshSince, freshUntil time.Duration

	flows      flowTable
	loads      map[Token]*load
	routeLoads map[Endpoint]*routeLoad
	noRoute    routeLoad
	// movedAt is the time of the last data of an open flow that this VM had not seen before. Routers have then
	// distributed flows anew. Packets without data may belong to flows that this VM has seen end.
	movedAt time.Duration
	reach   remoteReach
	// answeredAt is when a target of a zone last answered a flow.
	answeredAt map[core.ZoneName]time.Duration
	// failing are the targets with failures since the last report, which may be made from nextFailureReport on.
	failing           []*load
	nextFailureReport time.Duration
	events            Events
	shared            sharedLoad
	link              *linkload.Limiter
}

// Events counts what a Forwarder observed since it started.
type Events struct {
	// Suspected counts how often a target became suspected, and avoided in placement, because it did not answer.
	Suspected uint64
}

// New returns a Forwarder of a VM in the given zone. seed initializes its random number generator.
func New(zone core.ZoneName, seed uint64) *Forwarder {
	return &Forwarder{
		zone:       zone,
		random:     rand.New(rand.NewPCG(seed, seed)),
		snapshot:   &Snapshot{},
		flows:      newFlowTable(),
		loads:      map[Token]*load{},
		routeLoads: map[Endpoint]*routeLoad{},
		answeredAt: map[core.ZoneName]time.Duration{},
		link:       linkload.New(0),
		shared:     sharedLoad{mixes: map[string]*priorityMix{}},
	}
}

// Events returns the counts since the start.
func (f *Forwarder) Events() Events { return f.events }

// Install replaces the snapshot. Snapshots must be installed in the order in which control built them. It
// returns the resets of flows with a pending request at targets that have exited since the last snapshot.
func (f *Forwarder) Install(snapshot *Snapshot) []FlowReset {
	previous := f.snapshot
	f.snapshot = snapshot
	f.snapshotNumber++
	var exited []*load
	for token, l := range f.loads {
		t := snapshot.Targets[token]
		switch {
		case t == nil:
			if l.open == 0 {
				delete(f.loads, token)
			}
		case previous.exited(token) && t.Condition != Exited:
			// The target is running again, so earlier probe results no longer apply.
			l.endedUntil, l.silentUntil = 0, 0
		case !previous.exited(token) && t.Condition == Exited:
			exited = append(exited, l)
		}
	}
	for service, r := range f.routeLoads {
		if r.waiting == 0 && snapshot.Routes[service] == nil {
			delete(f.routeLoads, service)
		}
	}
	f.removeUnusedMixes()
	return f.resetPending(exited...)
}

// SetFresh sets the time in which the snapshot is fresh without a gap: the store has confirmed a short time
// ago that nothing has changed.
func (f *Forwarder) SetFresh(since, until time.Duration) { f.freshSince, f.freshUntil = since, until }

func (f *Forwarder) fresh(now time.Duration) bool { return now < f.freshUntil }

// Handle decides about a packet that a client sent.
func (f *Forwarder) Handle(h *Header, now time.Duration) Decision {
	f.flows.expire(now, f.snapshot.IdleTimeout)
	switch {
	case h.Opens():
		return f.handleSYN(h, now)
	case h.Flags.Has(SYN) || h.Flags.Has(Relayed):
		// Only targets send a SYN with ACK, and they answer clients directly. Targets would reject such a
		// packet as forged.
		return Decision{Reason: NotFromClient}
	default:
		return f.handleOpenFlow(h, now)
	}
}

// handleOpenFlow decides about a packet of an open flow.
func (f *Forwarder) handleOpenFlow(header *Header, now time.Duration) Decision {
	state := f.flows.get(header.Flow)
	if state == nil || state.target == nil || state.snapshotNumber != f.snapshotNumber || state.token != header.Token {
		// This is the flow's first packet under this snapshot, or its target is not known.
		if _, dropped := f.snapshot.DroppedRoutes[header.Flow.Service]; dropped {
			f.removeFlow(header.Flow)
			return Decision{Action: Reset, Reason: RouteDropped}
		}
		target := f.snapshot.Targets[header.Token]
		if target == nil {
			return f.handleUnknownToken(header, now)
		}
		if state == nil && header.Length > 0 {
			f.movedAt = now
		}
		state = f.setTarget(header, state, target)
	}
	target := state.target
	if target.Condition == Exited || target.Condition == Gone && f.fresh(now) {
		f.removeFlow(header.Flow)
		return Decision{Action: Reset, Reason: TargetGone, Target: target}
	}
	if reason, lost := state.lost(header, now); lost {
		f.removeFlow(header.Flow)
		return Decision{Action: Reset, Reason: reason, Target: target}
	}
	decision := Decision{Action: Forward, Reason: OnFlow, Target: target}
	f.trackPacket(header, state, &decision, now)
	return decision
}

// setTarget records the target of a flow in the current snapshot. state is nil for a flow that is new to
// this VM.
func (f *Forwarder) setTarget(h *Header, state *flowState, t *Target) *flowState {
	if state == nil {
		state = f.flows.add(h.Flow)
		state.ack = h.Ack
	}
	if state.load == nil || state.load.token != t.Token {
		state.unknown = false
		state.attach(f.load(t.Token), f.routeLoad(h.Flow.Service))
	}
	state.target, state.token, state.snapshotNumber = t, h.Token, f.snapshotNumber
	return state
}

const (
	// minFreshTime is how long a snapshot must have been fresh before a target that it does not contain
	// counts as gone: entries that expired during an outage of the store are back two seconds after it.
	minFreshTime = 3 * time.Second
	// unknownTokenTime is how long the packets of a flow must have carried an unknown token before the flow
	// is reset. A new target reaches all VMs within about 100 ms of the first one.
	unknownTokenTime = time.Second
)

// handleUnknownToken decides about a packet whose token names no target in the snapshot. The target may be
// so new that this VM has not received its entry yet, so the packet is dropped and its sender retransmits it.
// If the token stays unknown while the snapshot is fresh, the target ended before this VM received its entry.
// The flow is then reset, so that the client does not wait for its deadline.
func (f *Forwarder) handleUnknownToken(header *Header, now time.Duration) Decision {
	state := f.flows.get(header.Flow)
	if state == nil {
		state = f.flows.add(header.Flow)
	}
	if !state.unknown {
		state.detach()
		*state = flowState{unknown: true, since: now}
	}
	complete := f.fresh(now) && now-f.freshSince >= minFreshTime && f.snapshot.UnreadableEntries == 0
	if header.Token == 0 || !complete || now-state.since < unknownTokenTime {
		return Decision{Reason: UnknownToken}
	}
	f.removeFlow(header.Flow)
	return Decision{Action: Reset, Reason: UnknownToken}
}
