package traffic

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// owner is the state of a target that this shard holds.
type owner struct {
	id       core.TargetID
	number   core.FencingToken
	contract core.Contract
	view     *core.TargetSnapshot
	// addressReused is true when the target was removed and another one has its address.
	addressReused bool

	flows flowTable
	// redirects is the number of flows in the table that are placed on other targets.
	redirects int
	// moved holds flows that left this target, and unsure flows that came from another one, each
	// until no repetition of a request from before the move can arrive.
	moved  untilTable[core.FlowKey]
	unsure untilTable[core.FlowKey]

	// doubts holds flows that were placed although another VM may know them elsewhere.
	doubts map[core.FlowKey]*doubt
	// origins holds the targets that flows came back from, whose holders may have records of them,
	// until no repetition of a request from before the move can arrive.
	origins targetTable[core.FlowKey]
	// away holds the targets named by peers that non-idempotent requests were sent to.
	away targetTable[reqKey]
	// guessed holds flows that were placed although peers had not answered in time.
	guessed untilTable[core.FlowKey]
	// passed holds flows that went on to other candidates while lost flows may appear here.
	passed untilTable[core.FlowKey]
	// relayed holds flows about which a late reply was passed on.
	relayed untilTable[core.FlowKey]

	ramp     ramp
	inFlight int
	// uploads is the part of inFlight that are uploads.
	uploads int
	// flights lists the attempts that take slots in the order of sending.
	flights []*attempt
	// active has all requests that have not ended; live has the same in order of arrival.
	active   map[reqKey]*request
	live     []*request
	queue    queue
	records  records
	feeds    feedSet
	remote   remoteRequests
	sequence uint64

	// formerUntil is the time until which a former holder may still act.
	formerUntil time.Duration
	// formerCold is true when the former holder may have found the target cold. Otherwise idempotent
	// requests are served at the cold limit before formerUntil: a warm target bears both holders.
	formerCold bool
	// quarantineUntil is the time until which a request may arrive that a former holder started.
	quarantineUntil time.Duration
	// inheritedUntil is the part of quarantineUntil that came with a handover.
	inheritedUntil time.Duration
	// wasBackup is true when this shard kept copies of the former holder's records.
	wasBackup bool
	// rebuildUntil is the time until which flows may appear that the lost former holder had.
	rebuildUntil time.Duration

	handover *handoverOut
	// receivedFrom is the former holder; to and toNumber are the new one after a handover.
	receivedFrom core.VMName
	to           core.VMName
	// next is the new holder, with or without a handover; empty when none is known.
	next     core.VMName
	toNumber core.FencingToken
	reported core.TargetLoad
	// reportedAt is the time of the last load report; negative before the first.
	reportedAt time.Duration
}

// newOwner returns the state of a target that starts cold.
func (s *Shard) newOwner(id core.TargetID, number core.FencingToken) *owner {
	o := &owner{
		id:         id,
		number:     number,
		flows:      newFlowTable(s.opts.Seed),
		active:     map[reqKey]*request{},
		records:    newRecords(),
		feeds:      newFeedSet(),
		remote:     newRemoteRequests(),
		reportedAt: -loadInterval,
	}
	o.doubts = map[core.FlowKey]*doubt{}
	o.origins.init()
	o.away.init()
	o.guessed.init()
	o.passed.init()
	o.relayed.init()
	o.moved.init()
	o.unsure.init()
	s.applyView(o)
	o.ramp.setCold(s.now)
	return o
}

// addressReused reports whether another target of the configuration has a removed target's address.
// The process there is not the removed target, so that its flows cannot go on.
func (s *Shard) addressReused(v *core.TargetSnapshot) bool {
	if !v.Removed {
		return false
	}
	for _, t := range s.snap.Targets {
		if t.Target.ID != v.Target.ID && !t.Removed && t.Target.Addr == v.Target.Addr {
			return true
		}
	}
	return false
}

// applyView takes over what a new snapshot says about the target.
func (s *Shard) applyView(o *owner) {
	out := o.view != nil && o.evicted(s.now)
	o.view = s.view(o.id)
	if o.view == nil {
		return
	}
	o.addressReused = s.addressReused(o.view)
	if out && !o.evicted(s.now) {
		// A target that returns to service is cold.
		o.ramp.setCold(s.now)
		s.event(core.EventTargetCold, o.id)
	}
	o.number = max(o.number, s.ownNumber(o))
	if sv := s.snap.Services[o.view.Target.Service]; sv != nil {
		o.contract = sv.Service.Contract
	}
	o.ramp.configure(o.contract, o.view.Target.Slots)
}

func (s *Shard) ownNumber(o *owner) core.FencingToken {
	if o.view.Owner == s.opts.Self {
		return o.view.FencingToken
	}
	return 0
}

func (s *Shard) install(o *owner) {
	old := s.owners[o.id]
	if old != nil {
		old.next = s.opts.Self
		s.uninstall(old)
	}
	s.owners[o.id] = o
	s.ordered = append(s.ordered, o)
	slices.SortFunc(s.ordered, func(a, b *owner) int { return int(int64(a.id) - int64(b.id)) })
	s.drained = false
	s.emit(core.OwnerChanged{Target: o.id, Owner: s.opts.Self, FencingToken: o.number})
	if old != nil {
		s.handOnAll(old, s.opts.Self, false)
	}
}

// uninstall ends the holding of a target. Attempts in flight are finished by the former owner.
func (s *Shard) uninstall(o *owner) {
	delete(s.owners, o.id)
	s.ordered = compact(s.ordered, func(x *owner) bool { return x != o })
	s.retireFeeds(o)
	s.answerBytes -= o.records.bytes
	o.records.bytes = 0
	if o.inFlight > 0 || len(o.live) > 0 {
		s.former = append(s.former, o)
	}
}

// onTakeOver starts to hold a target whose former holder handed nothing over.
func (s *Shard) onTakeOver(t core.TakeOver) {
	if old := s.owners[t.Target]; old != nil {
		if h := old.handover; h != nil && t.FencingToken > h.number {
			// Control has given the receiver up.
			old.formerUntil = max(old.formerUntil, t.PreviousOwnerUntil)
			old.number = t.FencingToken
			s.abortHandover(old)
			old.quarantineUntil = max(old.quarantineUntil, t.PreviousOwnerUntil+core.RequestLifetime)
		}
		old.number = max(old.number, t.FencingToken)
		s.waitForFormer(old, t)
		s.emit(core.OwnerChanged{Target: old.id, Owner: s.opts.Self, FencingToken: old.number})
		s.pump(old)
		return
	}
	o := s.newOwner(t.Target, t.FencingToken)
	o.wasBackup = s.wasBackup(t.Target)
	o.formerCold = o.view == nil || o.view.Load.Limit == 0 || o.view.Load.Cold
	s.waitForFormer(o, t)
	if !t.FirstOwner {
		o.rebuildUntil = s.now + core.FlowIdleTimeout
		s.adoptBackup(o)
		s.emit(core.Event{Kind: core.EventTakeOver, VM: s.opts.Self, Target: t.Target, Value: uint64(t.FencingToken)})
	}
	delete(s.backups, t.Target)
	s.install(o)
	s.retryParked()
}

// waitForFormer takes over the times until which a former holder may act and its requests may
// arrive. They replace those of an earlier takeover, but not a quarantine that was handed over.
func (s *Shard) waitForFormer(o *owner, t core.TakeOver) {
	o.formerUntil = t.PreviousOwnerUntil
	o.quarantineUntil = o.inheritedUntil
	if t.FirstOwner {
		return
	}
	last := max(t.PreviousOwnerUntil, t.PreviousOwnerEndedBy)
	wait := core.RequestLifetime
	if t.BackupInSync && o.wasBackup {
		// Refusals of the former holder are not in the backup's copy.
		wait = refusalMemory
	}
	o.quarantineUntil = max(o.quarantineUntil, last+wait)
}

// onDrop ends the holding because another VM has a higher number.
func (s *Shard) onDrop(d core.DropTarget) {
	o := s.owners[d.Target]
	if o == nil || d.FencingToken <= o.number {
		return
	}
	if h := o.handover; h != nil && h.to == d.Owner && h.number <= d.FencingToken {
		s.completeHandover(o)
		return
	}
	o.next = d.Owner
	s.uninstall(o)
	// The new holder did not get this VM's records, so nothing can be said about what ends here.
	o.quarantineUntil = s.now + core.RequestLifetime
	s.emit(core.OwnerChanged{Target: o.id, Owner: d.Owner, FencingToken: d.FencingToken})
	s.handOnAll(o, d.Owner, false)
	for _, fd := range o.feeds.order {
		if !fd.ended {
			s.send(d.Owner, s.renewalFor(fd.req, o.id))
		}
	}
}

// evicted reports whether the target gets no packets any more, not even of its flows.
func (o *owner) evicted(now time.Duration) bool {
	v := o.view
	return v == nil || v.ZoneOut || v.Removed && (o.addressReused || now >= v.RemovedAt+o.drainTime())
}

func (o *owner) drainTime() time.Duration {
	if o.contract.Drain > 0 {
		return o.contract.Drain
	}
	return time.Minute
}

// uncertain reports whether a handover is unconfirmed, so that the receiver may hold the target.
func (o *owner) uncertain() bool { return o.handover != nil }

// tickOwner advances what depends on time at one target.
func (s *Shard) tickOwner(o *owner) {
	s.tickRequests(o)
	s.tickHandover(o)
	o.records.expire(s, s.now)
	o.origins.expire(s.now)
	o.away.expire(s.now)
	o.guessed.expire(s.now)
	o.passed.expire(s.now)
	o.relayed.expire(s.now)
	o.moved.expire(s.now)
	o.unsure.expire(s.now)
	s.expireRemote(o)
	s.tickFeeds(o)
	s.sweepFlows(o)
	if o.view != nil {
		s.reportLoad(o)
	} else if len(o.feeds.order) == 0 && len(o.live) == 0 {
		s.forget(o)
	}
}

// forget ends the holding of a target that control does not know any more.
func (s *Shard) forget(o *owner) {
	s.uninstall(o)
	s.emit(core.OwnerChanged{Target: o.id, FencingToken: o.number})
}

// sweepFlows removes some idle flows. A redirect is needed for as long as its flow lives, and the
// flow's packets need not pass here: the target's holder is asked before it is removed.
func (s *Shard) sweepFlows(o *owner) {
	o.flows.sweep(sweepPerTick, func(e *flowEntry) {
		if e.idle(s.now) <= core.FlowIdleTimeout {
			return
		}
		k := e.key
		if e.target == o.id {
			if !o.feeds.has(k) {
				delete(o.doubts, k)
				o.flows.remove(&k)
			}
			return
		}
		holder := s.holderOf(e.target)
		if e.seen&probedFlag == 0 && holder != "" {
			e.seen = toSeen(s.now-core.FlowIdleTimeout+time.Second*10) | probedFlag
			s.send(holder, &core.FlowQuery{Flow: k})
			return
		}
		o.redirects--
		o.flows.remove(&k)
	})
}

// touch notes a packet of a flow.
func (e *flowEntry) touch(now time.Duration) { e.seen = toSeen(now) }

// setFlow places a flow, on this target or by a redirect on another one.
func (o *owner) setFlow(k core.FlowKey, target core.TargetID, now time.Duration) {
	if e := o.flows.get(&k); e != nil && e.target != o.id {
		o.redirects--
	}
	if target != o.id {
		delete(o.doubts, k)
	}
	o.flows.put(k, target, now)
	if target != o.id {
		o.redirects++
	}
}

// placed returns the number of flows on this target.
func (o *owner) placed() int { return o.flows.count - o.redirects }

// reportLoad tells control a changed load, at most every loadInterval.
func (s *Shard) reportLoad(o *owner) {
	load := core.TargetLoad{
		Flows:    uint32(o.placed()),
		InFlight: uint16(o.inFlight),
		Limit:    uint16(o.ramp.limit),
		Queued:   uint16(o.queue.len()),
		Cold:     o.ramp.cold,
		Draining: o.ramp.draining(),
	}
	if load == o.reported || s.now-o.reportedAt < loadInterval {
		return
	}
	o.reported = load
	o.reportedAt = s.now
	s.emit(core.LoadChanged{Target: o.id, Load: load})
}
