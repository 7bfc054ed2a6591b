package traffic

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// ownedTarget is the state of a target that this shard owns.
type ownedTarget struct {
	id           core.TargetID
	fencingToken core.FencingToken
	contract     core.Contract
	snapshot     *core.TargetSnapshot
	// addressReused is true when the target was removed and another one has its address.
	addressReused bool

	flows flowTable
	// redirectCount is the number of flows in the table that are placed on other targets.
	redirectCount int
	// movedAway holds flows that left this target, and recordsElsewhere flows that came from another
	// one or whose requests may have records at other owners, each until no retransmission of a
	// request from before the move can arrive.
	movedAway        expiringKeys[core.FlowKey]
	recordsElsewhere expiringKeys[core.FlowKey]

	// unconfirmed holds flows that were placed although another VM may have them on another target.
	unconfirmed map[core.FlowKey]*unconfirmedPlacement
	// returnedFrom holds the targets that flows came back from, until no retransmission of a request
	// from before the move can arrive. The owners of these targets may have records of the flows'
	// requests.
	returnedFrom expiringTargets[core.FlowKey]
	// forwardedTo holds the targets to which non-idempotent requests were forwarded because a peer
	// named them.
	forwardedTo expiringTargets[requestKey]
	// placedAfterQuery holds flows that were placed after a query that not all peers may have
	// answered in time.
	placedAfterQuery expiringKeys[core.FlowKey]
	// passedOn holds flows that were forwarded to other candidates during the recovery of this
	// target.
	passedOn expiringKeys[core.FlowKey]
	// lateReplyRelayed holds flows about which a late reply was relayed.
	lateReplyRelayed expiringKeys[core.FlowKey]

	admission admissionLimit
	inFlight  int
	// uploads is the number of uploads in inFlight.
	uploads int
	// attempts lists the attempts that take slots, in the order of sending.
	attempts []*attempt
	// active has all requests that have not ended; activeInOrder has the same in the order of
	// arrival.
	active        map[requestKey]*request
	activeInOrder []*request
	queue         requestQueue
	records       records
	feeds         feedSet
	remote        remoteRequests
	backupSeq     uint64

	// previousOwnerUntil is the time until which a previous owner may still act.
	previousOwnerUntil time.Duration
	// previousOwnerCold is true when the previous owner may have found the target cold. Otherwise
	// idempotent requests are served at the cold limit before previousOwnerUntil: a warm target can
	// handle the requests of both owners.
	previousOwnerCold bool
	// quarantineUntil is the time until which a request may arrive that a previous owner started.
	quarantineUntil time.Duration
	// handoverQuarantineUntil is the part of quarantineUntil that came with a handover.
	handoverQuarantineUntil time.Duration
	// wasBackup is true when this shard kept copies of the previous owner's records.
	wasBackup bool
	// recoveryUntil is the time until which flows of the lost previous owner may appear.
	recoveryUntil time.Duration

	handover *outgoingHandover
	// receivedFrom is the VM that handed the target over to this one, if any. handedTo and
	// handedToToken are the new owner and its fencing token after a handover to another VM.
	receivedFrom core.VMName
	handedTo     core.VMName
	// nextOwner is the new owner, with or without a handover; empty when none is known.
	nextOwner     core.VMName
	handedToToken core.FencingToken
	reportedLoad  core.TargetLoad
	// loadReportedAt is the time of the last load report; negative before the first.
	loadReportedAt time.Duration
}

// newOwnedTarget returns the state of a target that starts cold.
func (s *Shard) newOwnedTarget(id core.TargetID, token core.FencingToken) *ownedTarget {
	o := &ownedTarget{
		id:             id,
		fencingToken:   token,
		flows:          newFlowTable(s.opts.Seed),
		active:         map[requestKey]*request{},
		records:        newRecords(),
		feeds:          newFeedSet(),
		remote:         newRemoteRequests(),
		loadReportedAt: -loadInterval,
	}
	o.unconfirmed = map[core.FlowKey]*unconfirmedPlacement{}
	o.returnedFrom.init()
	o.forwardedTo.init()
	o.placedAfterQuery.init()
	o.passedOn.init()
	o.lateReplyRelayed.init()
	o.movedAway.init()
	o.recordsElsewhere.init()
	s.applySnapshot(o)
	o.admission.setCold(s.now)
	return o
}

// addressReused reports whether another target of the configuration has a removed target's address.
// The process there is not the removed target, so the flows of the removed target cannot go on.
func (s *Shard) addressReused(target *core.TargetSnapshot) bool {
	if !target.Removed {
		return false
	}
	for _, t := range s.snapshot.Targets {
		if t.Target.ID != target.Target.ID && !t.Removed && t.Target.Addr == target.Target.Addr {
			return true
		}
	}
	return false
}

// applySnapshot applies what a new snapshot says about the target.
func (s *Shard) applySnapshot(o *ownedTarget) {
	wasOutOfService := o.snapshot != nil && o.outOfService(s.now)
	o.snapshot = s.targetSnapshot(o.id)
	if o.snapshot == nil {
		return
	}
	o.addressReused = s.addressReused(o.snapshot)
	if wasOutOfService && !o.outOfService(s.now) {
		// A target that returns to service is cold.
		o.admission.setCold(s.now)
		s.emitEvent(core.EventTargetCold, o.id)
	}
	o.fencingToken = max(o.fencingToken, s.ownFencingToken(o))
	if service := s.snapshot.Services[o.snapshot.Target.Service]; service != nil {
		o.contract = service.Service.Contract
	}
	o.admission.configure(o.contract, o.snapshot.Target.Slots)
}

func (s *Shard) ownFencingToken(o *ownedTarget) core.FencingToken {
	if o.snapshot.Owner == s.opts.Self {
		return o.snapshot.FencingToken
	}
	return 0
}

func (s *Shard) startOwning(o *ownedTarget) {
	old := s.owned[o.id]
	if old != nil {
		old.nextOwner = s.opts.Self
		s.stopOwning(old)
	}
	s.owned[o.id] = o
	s.ownedInOrder = append(s.ownedInOrder, o)
	slices.SortFunc(s.ownedInOrder, func(a, b *ownedTarget) int { return int(int64(a.id) - int64(b.id)) })
	s.drained = false
	s.emit(core.OwnerChanged{Target: o.id, Owner: s.opts.Self, FencingToken: o.fencingToken})
	if old != nil {
		s.forwardAllWaiting(old, s.opts.Self, false)
	}
}

// stopOwning ends the ownership of a target. This shard still finishes the attempts in flight.
func (s *Shard) stopOwning(o *ownedTarget) {
	delete(s.owned, o.id)
	s.ownedInOrder = compact(s.ownedInOrder, func(x *ownedTarget) bool { return x != o })
	s.relayAllReplaced(o)
	s.answerBytes -= o.records.bytes
	o.records.bytes = 0
	if o.inFlight > 0 || len(o.activeInOrder) > 0 {
		s.released = append(s.released, o)
	}
}

// onTakeOver starts to own a target whose previous owner handed nothing over. A shard that already
// owns the target only updates its fencing token and waiting times, and aborts a handover that
// control has given up.
func (s *Shard) onTakeOver(t core.TakeOver) {
	if old := s.owned[t.Target]; old != nil {
		if h := old.handover; h != nil && t.FencingToken > h.fencingToken {
			// Control no longer expects the receiver to take the target.
			old.previousOwnerUntil = max(old.previousOwnerUntil, t.PreviousOwnerUntil)
			old.fencingToken = t.FencingToken
			s.abortHandover(old)
			old.quarantineUntil = max(old.quarantineUntil, t.PreviousOwnerUntil+core.RequestLifetime)
		}
		old.fencingToken = max(old.fencingToken, t.FencingToken)
		s.waitForPreviousOwner(old, t)
		s.emit(core.OwnerChanged{Target: old.id, Owner: s.opts.Self, FencingToken: old.fencingToken})
		s.sendQueued(old)
		return
	}
	o := s.newOwnedTarget(t.Target, t.FencingToken)
	o.wasBackup = s.wasBackup(t.Target)
	o.previousOwnerCold = o.snapshot == nil || o.snapshot.Load.Limit == 0 || o.snapshot.Load.Cold
	s.waitForPreviousOwner(o, t)
	if !t.FirstOwner {
		o.recoveryUntil = s.now + core.FlowIdleTimeout
		s.restoreFromBackup(o)
		s.emit(core.Event{Kind: core.EventTakeOver, VM: s.opts.Self, Target: t.Target, Value: uint64(t.FencingToken)})
	}
	delete(s.backupCopies, t.Target)
	s.startOwning(o)
	s.retryDeferred()
}

// waitForPreviousOwner sets the times until which a previous owner may act and its requests may
// arrive. They replace those of an earlier takeover, but not a quarantine that came with a
// handover.
func (s *Shard) waitForPreviousOwner(o *ownedTarget, t core.TakeOver) {
	o.previousOwnerUntil = t.PreviousOwnerUntil
	o.quarantineUntil = o.handoverQuarantineUntil
	if t.FirstOwner {
		return
	}
	last := max(t.PreviousOwnerUntil, t.PreviousOwnerEndedBy)
	wait := core.RequestLifetime
	if t.BackupInSync && o.wasBackup {
		// Refusals of the previous owner are not in the backup's copy.
		wait = refusalRepeatWindow
	}
	o.quarantineUntil = max(o.quarantineUntil, last+wait)
}

// onDropTarget ends the ownership because another VM has a higher fencing token.
func (s *Shard) onDropTarget(d core.DropTarget) {
	o := s.owned[d.Target]
	if o == nil || d.FencingToken <= o.fencingToken {
		return
	}
	if h := o.handover; h != nil && h.to == d.Owner && h.fencingToken <= d.FencingToken {
		s.completeHandover(o)
		return
	}
	o.nextOwner = d.Owner
	s.stopOwning(o)
	// The new owner has none of this VM's records, so the outcome of requests that end here is
	// unknown.
	o.quarantineUntil = s.now + core.RequestLifetime
	s.emit(core.OwnerChanged{Target: o.id, Owner: d.Owner, FencingToken: d.FencingToken})
	s.forwardAllWaiting(o, d.Owner, false)
	for _, fd := range o.feeds.order {
		if !fd.ended {
			s.send(d.Owner, s.renewalFor(fd.req, o.id))
		}
	}
}

// outOfService reports whether the target gets no packets any more, not even of its flows.
func (o *ownedTarget) outOfService(now time.Duration) bool {
	target := o.snapshot
	return target == nil || target.ZoneOut || target.Removed && (o.addressReused || now >= target.RemovedAt+o.drainTime())
}

func (o *ownedTarget) drainTime() time.Duration {
	if o.contract.Drain > 0 {
		return o.contract.Drain
	}
	return time.Minute
}

// handoverUnconfirmed reports whether a handover is unconfirmed, so that the receiver may own the
// target.
func (o *ownedTarget) handoverUnconfirmed() bool { return o.handover != nil }

// tickTarget advances what depends on time at one target.
func (s *Shard) tickTarget(o *ownedTarget) {
	s.tickRequests(o)
	s.tickHandover(o)
	o.records.expire(s, s.now)
	o.returnedFrom.expire(s.now)
	o.forwardedTo.expire(s.now)
	o.placedAfterQuery.expire(s.now)
	o.passedOn.expire(s.now)
	o.lateReplyRelayed.expire(s.now)
	o.movedAway.expire(s.now)
	o.recordsElsewhere.expire(s.now)
	s.expireRemote(o)
	s.tickFeeds(o)
	s.sweepFlows(o)
	if o.snapshot != nil {
		s.reportLoad(o)
	} else if len(o.feeds.order) == 0 && len(o.activeInOrder) == 0 {
		s.dropUnknown(o)
	}
}

// dropUnknown ends the ownership of a target that is no longer in the snapshot.
func (s *Shard) dropUnknown(o *ownedTarget) {
	s.stopOwning(o)
	s.emit(core.OwnerChanged{Target: o.id, FencingToken: o.fencingToken})
}

// sweepFlows removes some idle flows. A redirect is needed until its flow ends, and the flow's
// packets may bypass this VM. Before a redirect is removed, the owner of its target, if reachable, is
// asked for the flow and has 10 s to reply.
func (s *Shard) sweepFlows(o *ownedTarget) {
	o.flows.sweep(sweepPerTick, func(e *flowEntry) {
		if e.idleTime(s.now) <= core.FlowIdleTimeout {
			return
		}
		k := e.key
		if e.target == o.id {
			if !o.feeds.has(k) {
				delete(o.unconfirmed, k)
				o.flows.remove(&k)
			}
			return
		}
		owner := s.reachableOwner(e.target)
		if e.seenAt&queriedFlag == 0 && owner != "" {
			e.seenAt = toSeenAt(s.now-core.FlowIdleTimeout+time.Second*10) | queriedFlag
			s.send(owner, &core.FlowQuery{Flow: k})
			return
		}
		o.redirectCount--
		o.flows.remove(&k)
	})
}

// touch records a packet of a flow and clears the flag.
func (e *flowEntry) touch(now time.Duration) { e.seenAt = toSeenAt(now) }

// setFlow places a flow, on this target or by a redirect on another one.
func (o *ownedTarget) setFlow(k core.FlowKey, target core.TargetID, now time.Duration) {
	if e := o.flows.get(&k); e != nil && e.target != o.id {
		o.redirectCount--
	}
	if target != o.id {
		delete(o.unconfirmed, k)
	}
	o.flows.put(k, target, now)
	if target != o.id {
		o.redirectCount++
	}
}

// placedFlows returns the number of flows on this target.
func (o *ownedTarget) placedFlows() int { return o.flows.count - o.redirectCount }

// reportLoad reports a changed load to control, at most every loadInterval.
func (s *Shard) reportLoad(o *ownedTarget) {
	load := core.TargetLoad{
		Flows:    uint32(o.placedFlows()),
		InFlight: uint16(o.inFlight),
		Limit:    uint16(o.admission.limit),
		Queued:   uint16(o.queue.len()),
		Cold:     o.admission.cold,
		Draining: o.admission.draining(),
	}
	if load == o.reportedLoad || s.now-o.loadReportedAt < loadInterval {
		return
	}
	o.reportedLoad = load
	o.loadReportedAt = s.now
	s.emit(core.LoadChanged{Target: o.id, Load: load})
}
