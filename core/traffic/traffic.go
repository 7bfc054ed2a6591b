// Package traffic decides about flows and requests: which target a flow belongs to, when a request
// may be sent, and what its client receives.
//
// A Shard has the state of the targets that hash to it and the flow table entries of the flows that
// hash to it. Each shard has one writer; nothing is shared between shards.
package traffic

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Options configures a shard.
type Options struct {
	Self core.VMName
	// Source distinguishes the attempts of this process from those of all others.
	Source core.AttemptSource
	// ShardIndex and ShardCount keep the attempt tokens of the shards of one VM apart: a shard uses
	// the tokens that are equal to its index modulo the number of shards.
	ShardIndex, ShardCount uint32
	// Seed makes jitter and the placement of flow table entries reproducible.
	Seed uint64
}

// Shard is the traffic state of one traffic thread of an entry VM. It is not safe for concurrent
// use.
type Shard struct {
	opts       Options
	snapshot   *core.Snapshot
	targetSets map[core.ServiceID]*serviceSets
	// handoverSets are previous target sets that arrived with handovers; they may be older than
	// this VM.
	handoverSets map[core.ServiceID][]core.PreviousSet

	now     time.Duration
	out     []core.Action
	running bool
	// afterPause is true while the first input after a pause of the process is handled;
	// authoritySuspended is true from then until the next snapshot.
	afterPause bool
	// discardUntil is the time until which a request may come from a queue that filled during a
	// pause.
	discardUntil       time.Duration
	authoritySuspended bool
	stopping           bool
	drained            bool

	// ingressFlows has the flows of which this VM received packets as their ingress VM.
	ingressFlows flowTable
	owned        map[core.TargetID]*ownedTarget
	// ownedInOrder has the owned targets in the order of their ids.
	ownedInOrder []*ownedTarget
	// released has the targets that this shard no longer owns and whose requests it still finishes.
	released    []*ownedTarget
	deferred    deferredRequests
	unreachable map[core.VMName]bool
	attempts    map[core.AttemptToken]*attempt
	// tokenCounter is the lower half of the next attempt's token.
	tokenCounter uint32
	// retryBudget is the number of retries that are allowed now.
	retryBudget   float64
	feeds         map[core.AttemptToken]*feed
	replacedFeeds []replacedFeed
	// rejections counts the notifications of unknown feeds that were rejected since the last tick.
	rejections        int
	backupCopies      map[core.TargetID]*backupCopy
	backupRoles       map[core.TargetID]backupRole
	subscriptions     subscriptionTable
	incomingHandovers map[core.TargetID]*incomingHandover
	queries           flowQueries
	recentPlacements  placementCounter
	// answerBytes is the size of the stored answers of all records.
	answerBytes int
}

// New returns an empty shard. It refuses all requests until it receives its first snapshot.
func New(opts Options) *Shard {
	opts.ShardCount = max(opts.ShardCount, 1)
	return &Shard{
		opts:              opts,
		tokenCounter:      opts.ShardIndex,
		targetSets:        map[core.ServiceID]*serviceSets{},
		handoverSets:      map[core.ServiceID][]core.PreviousSet{},
		ingressFlows:      newFlowTable(opts.Seed),
		deferred:          newDeferredRequests(),
		owned:             map[core.TargetID]*ownedTarget{},
		unreachable:       map[core.VMName]bool{},
		attempts:          map[core.AttemptToken]*attempt{},
		retryBudget:       initialRetryBudget,
		feeds:             map[core.AttemptToken]*feed{},
		backupCopies:      map[core.TargetID]*backupCopy{},
		backupRoles:       map[core.TargetID]backupRole{},
		subscriptions:     newSubscriptionTable(),
		incomingHandovers: map[core.TargetID]*incomingHandover{},
		queries:           newFlowQueries(),
		recentPlacements:  newPlacementCounter(),
	}
}

// Handle processes one input and appends the resulting actions to out.
func (s *Shard) Handle(in core.Input, now time.Duration, out []core.Action) []core.Action {
	s.out = out
	s.advance(now)
	s.handle(in)
	s.reportDrained()
	out = s.out
	s.out = nil
	return out
}

// advance sets the current time and detects that the process was paused.
func (s *Shard) advance(now time.Duration) {
	s.afterPause = s.running && now-s.now > core.ClockJumpThreshold
	s.running = true
	if s.afterPause {
		s.authoritySuspended = true
		s.discardUntil = now + discardAfterPause
		s.emit(core.Event{Kind: core.EventClockJump, VM: s.opts.Self})
	}
	s.now = max(s.now, now)
}

func (s *Shard) handle(in core.Input) {
	switch in := in.(type) {
	case core.SnapshotPublished:
		s.onSnapshot(in.Snapshot)
	case core.ClientRequest:
		if s.discardsRequest(s.opts.Self) {
			return
		}
		s.onClientRequest(in.Request)
	case core.TargetAnswer:
		s.onAnswer(in)
	case core.TargetProbe:
		s.onProbe(in)
	case core.PeerMessage:
		s.onPeerMessage(in.From, in.Msg)
	case core.TakeOver:
		s.onTakeOver(in)
	case core.StartHandover:
		s.onStartHandover(in)
	case core.DropTarget:
		s.onDropTarget(in)
	case core.LinkEvent:
		s.onLink(in)
	case core.Tick:
		s.onTick()
	case core.Stop:
		s.stopping = true
	}
}

// discardsRequest reports whether a request that has just been read may have waited during a pause
// of this process. Its age is not known then, and records of its other copies may have expired, so
// it is dropped; its client sends it again if the deadline has not passed.
func (s *Shard) discardsRequest(from core.VMName) bool {
	if s.now >= s.discardUntil {
		return false
	}
	s.emit(core.Event{Kind: core.EventPacketDropped, VM: from})
	return true
}

func (s *Shard) onPeerMessage(from core.VMName, m core.Message) {
	switch m := m.(type) {
	case *core.ForwardRequest:
		if from != s.opts.Self && s.discardsRequest(from) {
			return
		}
		s.onForward(m)
	case *core.FlowLearned:
		s.ingressFlows.put(m.Flow, m.Target, s.now)
	case *core.FlowQuery:
		s.onQuery(from, m)
	case *core.FlowReply:
		s.onReply(from, m)
	case *core.RecordStarted:
		s.onRecordStarted(from, m)
	case *core.RecordAck:
		s.onRecordAck(from, m)
	case *core.HandoverBegin:
		s.onHandoverBegin(from, m)
	case *core.HandoverChunk:
		s.onHandoverChunk(from, m)
	case *core.HandoverEnd:
		s.onHandoverEnd(from, m)
	case *core.HandoverAck:
		s.onHandoverAck(from, m)
	case *core.RequestOutcome:
		s.onRequestOutcome(m)
	}
}

// onSnapshot installs a snapshot and reconsiders everything that waits for one.
func (s *Shard) onSnapshot(snapshot *core.Snapshot) {
	if snapshot.Config == nil {
		// A VM that has just started has a list of peers before it has a configuration.
		return
	}
	// A snapshot that arrives as the first input after a pause may be older than the pause.
	s.authoritySuspended = s.afterPause
	s.snapshot = snapshot
	s.refreshSets()
	s.updateBackupRoles()
	for _, o := range s.ownedInOrder {
		s.applySnapshot(o)
	}
	s.confirmHandovers()
	s.updateSubscriptionOwners()
	s.retryDeferred()
	s.sendQueuedAll()
}

// onLink records which peers are unreachable.
func (s *Shard) onLink(e core.LinkEvent) {
	if e.State == core.LinkUp {
		delete(s.unreachable, e.Peer)
	} else {
		s.unreachable[e.Peer] = true
	}
	if e.State == core.LinkRefused {
		s.abortHandovers(e.Peer)
	}
	s.updateSubscriptionOwners()
	s.retryDeferred()
}

// onTick advances everything that depends on time, in bounded steps.
func (s *Shard) onTick() {
	s.rejections = 0
	if s.snapshot == nil {
		return
	}
	s.expireAttempts()
	for _, o := range slices.Clone(s.ownedInOrder) {
		s.tickTarget(o)
	}
	for _, o := range s.released {
		s.tickRequests(o)
		s.expireRemote(o)
	}
	s.released = compact(s.released, s.hasUnfinished)
	s.expireDeferred()
	s.expireQueries()
	s.expireReplacedFeeds()
	s.expireBackups()
	s.expireIncoming()
	s.subscriptions.expire(s.now)
	s.setSubscriptionOwners()
	s.sweepIngressFlows()
	s.sendQueuedAll()
}

// hasUnfinished reports whether a target that this VM no longer owns has requests to finish. If it
// has none, its stored answers are subtracted from answerBytes.
func (s *Shard) hasUnfinished(o *ownedTarget) bool {
	if o.inFlight > 0 || len(o.activeInOrder) > 0 {
		return true
	}
	s.answerBytes -= o.records.bytes
	return false
}

// compact removes the elements for which keep returns false, in place.
func compact[T any](list []T, keep func(T) bool) []T {
	kept := list[:0]
	for _, v := range list {
		if keep(v) {
			kept = append(kept, v)
		}
	}
	clear(list[len(kept):])
	return kept
}

// reportDrained reports to control, once, that a leaving shard has nothing left to finish.
func (s *Shard) reportDrained() {
	leaving := s.stopping || s.snapshot != nil && s.snapshot.Leaving
	if !leaving || s.drained {
		return
	}
	busy := len(s.ownedInOrder) + len(s.released) + len(s.deferred.list) + len(s.attempts) + len(s.queries.waiting)
	if busy > 0 || len(s.replacedFeeds) > 0 {
		// A new owner registers feeds no faster than the target can handle; until then their
		// notifications come here.
		return
	}
	s.drained = true
	s.emit(core.ShardDrained{})
}

// authority reports whether this VM may start non-idempotent requests and send to cold targets.
func (s *Shard) authority() bool {
	return s.snapshot != nil && !s.authoritySuspended && s.now < s.snapshot.AuthorityUntil
}

func (s *Shard) emit(a core.Action) { s.out = append(s.out, a) }

func (s *Shard) send(to core.VMName, m core.Message) {
	s.emit(core.SendPeer{To: to, Msg: m})
}

func (s *Shard) emitEvent(kind core.EventKind, target core.TargetID) {
	s.emit(core.Event{Kind: kind, VM: s.opts.Self, Target: target})
}

// targetSnapshot returns the snapshot of a target, or nil.
func (s *Shard) targetSnapshot(id core.TargetID) *core.TargetSnapshot {
	if s.snapshot == nil {
		return nil
	}
	return s.snapshot.Targets[id]
}
