// Package traffic decides about flows and requests: which target a flow belongs to, when a request
// may be sent, and what its caller is told.
//
// A Shard owns the state of the targets that hash to it and the ingress notes of the flows that
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
	// ShardIndex and ShardCount keep the attempt tokens of the shards of one VM apart.
	ShardIndex, ShardCount uint32
	// Seed makes jitter reproducible.
	Seed uint64
}

// Shard is the traffic state of one traffic thread of an entry VM. It is not safe for concurrent
// use.
type Shard struct {
	opts Options
	snap *core.Snapshot
	sets map[core.ServiceID]*serviceSets
	// inherited are former target sets from handovers, which may be older than this VM.
	inherited map[core.ServiceID][]core.PreviousSet

	now     time.Duration
	out     []core.Action
	running bool
	// jumped is true while the first input after a pause of the process is handled; lapsed is true
	// from then until the next snapshot.
	jumped bool
	// discardUntil is the time until which requests may come from queues that filled in a pause.
	discardUntil time.Duration
	lapsed       bool
	stopped      bool
	drained      bool

	notes    flowTable
	owners   map[core.TargetID]*owner
	ordered  []*owner
	former   []*owner
	parked   parking
	down     map[core.VMName]bool
	attempts map[core.AttemptToken]*attempt
	// token is the lower half of the next attempt's token.
	token uint32
	// retryFund is the number of retries that the retry budget allows now.
	retryFund float64
	feeds     map[core.AttemptToken]*feed
	oldFeeds  []oldFeed
	// rejects counts the notifications of unknown feeds since the last tick.
	rejects  int
	backups  map[core.TargetID]*backupCopy
	duties   map[core.TargetID]backupDuty
	watches  watches
	incoming map[core.TargetID]*handoverIn
	queries  queries
	recent   recentPlacements
	// answerBytes is the size of the stored answers of all records.
	answerBytes int
}

// New returns an empty shard. It refuses all requests until it gets its first snapshot.
func New(opts Options) *Shard {
	opts.ShardCount = max(opts.ShardCount, 1)
	return &Shard{
		opts:      opts,
		token:     opts.ShardIndex,
		sets:      map[core.ServiceID]*serviceSets{},
		inherited: map[core.ServiceID][]core.PreviousSet{},
		notes:     newFlowTable(opts.Seed),
		parked:    newParking(),
		owners:    map[core.TargetID]*owner{},
		down:      map[core.VMName]bool{},
		attempts:  map[core.AttemptToken]*attempt{},
		retryFund: retryReserve,
		feeds:     map[core.AttemptToken]*feed{},
		backups:   map[core.TargetID]*backupCopy{},
		duties:    map[core.TargetID]backupDuty{},
		watches:   newWatches(),
		incoming:  map[core.TargetID]*handoverIn{},
		queries:   newQueries(),
		recent:    newRecentPlacements(),
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
	s.jumped = s.running && now-s.now > core.ClockJumpThreshold
	s.running = true
	if s.jumped {
		s.lapsed = true
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
		if s.discards(s.opts.Self) {
			return
		}
		s.onCaller(in.Request)
	case core.TargetAnswer:
		s.onAnswer(in)
	case core.TargetProbe:
		s.onProbe(in)
	case core.PeerMessage:
		s.onMessage(in.From, in.Msg)
	case core.TakeOver:
		s.onTakeOver(in)
	case core.StartHandover:
		s.onRelease(in)
	case core.DropTarget:
		s.onDrop(in)
	case core.LinkEvent:
		s.onLink(in)
	case core.Tick:
		s.onTick()
	case core.Stop:
		s.stopped = true
	}
}

// discards reports whether a request that has just been read may have waited during a pause of this
// process. Its age is not known then, and records of its other copies may have expired, so it is
// dropped; its caller repeats it if it is young.
func (s *Shard) discards(from core.VMName) bool {
	if s.now >= s.discardUntil {
		return false
	}
	s.emit(core.Event{Kind: core.EventPacketDropped, VM: from})
	return true
}

func (s *Shard) onMessage(from core.VMName, m core.Message) {
	switch m := m.(type) {
	case *core.ForwardRequest:
		if from != s.opts.Self && s.discards(from) {
			return
		}
		s.onForward(m)
	case *core.FlowLearned:
		s.notes.put(m.Flow, m.Target, s.now)
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
		s.onOutcome(m)
	}
}

// onSnapshot installs a snapshot and reconsiders everything that waits for one.
func (s *Shard) onSnapshot(snap *core.Snapshot) {
	if snap.Config == nil {
		// A VM that has just started knows peers before it knows the configuration.
		return
	}
	// A snapshot that arrives as the first input after a pause may be older than the pause.
	s.lapsed = s.jumped
	s.snap = snap
	s.refreshSets()
	s.noteBackupDuties()
	for _, o := range s.ordered {
		s.applyView(o)
	}
	s.confirmHandovers()
	s.followHolders()
	s.retryParked()
	s.pumpAll()
}

// onLink notes which peers cannot be reached.
func (s *Shard) onLink(e core.LinkEvent) {
	if e.State == core.LinkUp {
		delete(s.down, e.Peer)
	} else {
		s.down[e.Peer] = true
	}
	if e.State == core.LinkRefused {
		s.abortHandovers(e.Peer)
	}
	s.followHolders()
	s.retryParked()
}

// onTick advances everything that depends on time, in bounded steps.
func (s *Shard) onTick() {
	s.rejects = 0
	if s.snap == nil {
		return
	}
	s.expireAttempts()
	for _, o := range slices.Clone(s.ordered) {
		s.tickOwner(o)
	}
	for _, o := range s.former {
		s.tickRequests(o)
		s.expireRemote(o)
	}
	s.former = compact(s.former, s.stillNeeded)
	s.expireParked()
	s.expireQueries()
	s.expireOldFeeds()
	s.expireBackups()
	s.expireIncoming()
	s.watches.expire(s.now)
	s.noteHolders()
	s.sweepNotes()
	s.pumpAll()
}

// stillNeeded reports whether a former owner has requests to finish.
func (s *Shard) stillNeeded(o *owner) bool {
	if o.inFlight > 0 || len(o.live) > 0 {
		return true
	}
	s.answerBytes -= o.records.bytes
	return false
}

// compact removes the elements that are not to be kept, in place.
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

// reportDrained tells control once that a leaving shard has nothing left to finish.
func (s *Shard) reportDrained() {
	leaving := s.stopped || s.snap != nil && s.snap.Leaving
	if !leaving || s.drained {
		return
	}
	busy := len(s.ordered) + len(s.former) + len(s.parked.list) + len(s.attempts) + len(s.queries.waiting)
	if busy > 0 || len(s.oldFeeds) > 0 {
		// A new holder registers feeds at the pace that the target bears; until then their
		// notifications come here.
		return
	}
	s.drained = true
	s.emit(core.ShardDrained{})
}

// authority reports whether this VM may start non-idempotent requests and send to cold targets.
func (s *Shard) authority() bool {
	return s.snap != nil && !s.lapsed && s.now < s.snap.AuthorityUntil
}

func (s *Shard) emit(a core.Action) { s.out = append(s.out, a) }

func (s *Shard) send(to core.VMName, m core.Message) {
	s.emit(core.SendPeer{To: to, Msg: m})
}

func (s *Shard) event(kind core.EventKind, target core.TargetID) {
	s.emit(core.Event{Kind: kind, VM: s.opts.Self, Target: target})
}

// view returns what control knows about a target, or nil.
func (s *Shard) view(id core.TargetID) *core.TargetSnapshot {
	if s.snap == nil {
		return nil
	}
	return s.snap.Targets[id]
}
