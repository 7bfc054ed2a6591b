package traffic

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// incomingHandoverWait bounds the wait for the rest of a handover.
const incomingHandoverWait = 5 * time.Second

// outgoingHandover is a handover that the receiver has not confirmed yet.
type outgoingHandover struct {
	to           core.VMName
	fencingToken core.FencingToken
	chunks       uint32
	endSentAt    time.Duration
	startedAt    time.Duration
	outcomes     []*core.RequestOutcome
}

// incomingHandover is a handover that has not been received in full.
type incomingHandover struct {
	from      core.VMName
	begin     core.HandoverBegin
	chunks    []*core.HandoverChunk
	startedAt time.Duration
}

// onStartHandover starts to hand a target over.
func (s *Shard) onStartHandover(start core.StartHandover) {
	o := s.owned[start.Target]
	if o == nil || start.To == s.opts.Self || start.FencingToken <= o.fencingToken {
		return
	}
	if old := o.handover; old != nil {
		if start.FencingToken <= old.fencingToken {
			return
		}
		// Control has chosen another receiver.
		s.abortHandover(o)
	}
	h := &outgoingHandover{to: start.To, fencingToken: start.FencingToken, startedAt: s.now}
	o.handover = h
	s.emitEvent(core.EventHandoverStarted, o.id)
	s.send(h.to, s.handoverBegin(o, h))
	w := chunkWriter{s: s, o: o, h: h}
	w.writeFlows()
	w.writeRecords()
	w.flush()
	s.sendHandoverEnd(o)
}

func (s *Shard) handoverBegin(o *ownedTarget, h *outgoingHandover) *core.HandoverBegin {
	begin := &core.HandoverBegin{
		Target:            o.id,
		FencingToken:      h.fencingToken,
		Limit:             uint16(o.admission.limit),
		Cold:              o.admission.cold,
		SinceRampStep:     s.now - o.admission.stepAt,
		BootID:            o.admission.bootID,
		InFlight:          uint16(o.inFlight),
		QuarantineLeft:    max(o.quarantineUntil-s.now, 0),
		PreviousOwnerLeft: max(o.previousOwnerUntil-s.now, 0),
		RecoveryLeft:      max(o.recoveryUntil-s.now, 0),
	}
	if o.snapshot == nil {
		return begin
	}
	if sets := s.targetSets[o.snapshot.Target.Service]; sets != nil {
		for _, previous := range sets.previous {
			if age := s.now - previous.ReplacedAt; age <= core.FlowIdleTimeout && len(begin.PreviousSets) < core.MaxPreviousSets {
				begin.PreviousSets = append(begin.PreviousSets, core.PreviousSetAge{Set: previous.Set, Age: age})
			}
		}
	}
	return begin
}

// chunkWriter sends a target's state in chunks of bounded size.
type chunkWriter struct {
	s     *Shard
	o     *ownedTarget
	h     *outgoingHandover
	chunk *core.HandoverChunk
	size  int
}

// Sizes of encoded items without their variable parts, rounded up.
const (
	flowBytes   = 64
	feedBytes   = 160
	recordBytes = 96
)

// reserve starts a new chunk when n more bytes do not fit.
func (w *chunkWriter) reserve(n int) {
	if w.chunk != nil && w.size+n > maxChunkBytes {
		w.flush()
	}
	if w.chunk == nil {
		w.chunk = &core.HandoverChunk{Target: w.o.id, FencingToken: w.h.fencingToken}
	}
	w.size += n
}

func (w *chunkWriter) flush() {
	if w.chunk == nil {
		return
	}
	w.s.send(w.h.to, w.chunk)
	w.h.chunks++
	w.chunk = nil
	w.size = 0
}

func (w *chunkWriter) writeFlows() {
	// A registration in flight stays here; the new owner registers the feed again for later
	// messages.
	openingFeeds := newFeedSet()
	for _, a := range w.o.attempts {
		if a.feed != nil && a.request.state == requestSent && w.o.feeds.get(feedKeyOf(&a.feed.req)) == nil {
			openingFeeds.put(a.feed)
		}
	}
	w.o.flows.visitAll(func(e *flowEntry) {
		state := core.FlowState{Flow: e.key, Target: e.target, Idle: e.idleTime(w.s.now)}
		state.RetransmissionWindow = max(w.o.recordsElsewhere.expiresAt[e.key], w.o.movedAway.expiresAt[e.key]) - w.s.now
		state.RetransmissionWindow = max(state.RetransmissionWindow, 0)
		state.MayBeElsewhere = w.o.unconfirmed[e.key] != nil
		feeds := slices.Concat(w.o.feeds.byFlow[e.key], openingFeeds.byFlow[e.key])
		if e.target != w.o.id || len(feeds) == 0 {
			w.writeFlow(state, nil)
			return
		}
		for _, fd := range feeds {
			w.writeFlow(state, fd)
		}
	})
}

// writeFlow writes a flow, with one of its feeds if fd is not nil.
func (w *chunkWriter) writeFlow(f core.FlowState, fd *feed) {
	size := flowBytes
	if fd != nil {
		r := fd.req
		f.Feed = &r
		f.FeedToken = fd.token
		size += feedBytes + len(r.Payload)
	}
	w.reserve(size)
	w.chunk.Flows = append(w.chunk.Flows, f)
}

func (w *chunkWriter) writeRecords() {
	for _, a := range w.o.attempts {
		left := max(a.request.deadline-w.s.now, 0) + cancelGrace
		if a.slotFreeAt != 0 {
			left = a.slotFreeAt - w.s.now
		}
		w.writeRecord(core.RequestRecord{
			Flow:       a.request.key.flow,
			ID:         a.request.key.id,
			State:      core.RecordSent,
			TTL:        max(left, 0),
			Idempotent: true,
		})
	}
	for _, k := range w.o.remote.order {
		entry := w.o.remote.byKey[k]
		for range entry.slots {
			w.writeRecord(core.RequestRecord{
				Flow:       k.flow,
				ID:         k.id,
				State:      core.RecordSent,
				TTL:        max(entry.until-w.s.now, 0),
				Idempotent: true,
			})
		}
	}
	seen := map[requestKey]bool{}
	order := &w.o.records.order
	for _, k := range order.items[order.head:] {
		rec := w.o.records.byKey[k]
		if rec == nil || seen[k] || rec.state == core.RecordQueued {
			continue
		}
		seen[k] = true
		m := core.RequestRecord{
			Flow:   k.flow,
			ID:     k.id,
			State:  rec.state,
			TTL:    rec.expiresAt - w.s.now,
			Answer: rec.answer,
		}
		if rec.answerDropped || len(rec.answer) > maxChunkBytes-recordBytes {
			m.State = core.RecordUnknown
			m.Answer = nil
		}
		w.writeRecord(m)
	}
}

func (w *chunkWriter) writeRecord(m core.RequestRecord) {
	w.reserve(recordBytes + len(m.Answer))
	w.chunk.Records = append(w.chunk.Records, m)
}

func (s *Shard) sendHandoverEnd(o *ownedTarget) {
	h := o.handover
	h.endSentAt = s.now
	s.send(h.to, &core.HandoverEnd{Target: o.id, FencingToken: h.fencingToken, Chunks: h.chunks})
}

// tickHandover sends the end message again until the receiver confirms.
func (s *Shard) tickHandover(o *ownedTarget) {
	if o.handover != nil && s.now-o.handover.endSentAt >= handoverResend {
		s.sendHandoverEnd(o)
	}
}

// awaitAck defers a request that arrives during a handover.
func (s *Shard) awaitAck(o *ownedTarget, f *core.ForwardRequest) { s.deferRequest(f, handoverWait) }

// onHandoverAck completes a handover, or resumes ownership when the receiver declines.
func (s *Shard) onHandoverAck(from core.VMName, m *core.HandoverAck) {
	o := s.owned[m.Target]
	if o == nil || o.handover == nil || o.handover.to != from || o.handover.fencingToken != m.FencingToken {
		return
	}
	if m.OK {
		s.completeHandover(o)
		return
	}
	s.resumeOwning(o)
}

// confirmHandovers completes the handovers that have succeeded according to the snapshot.
func (s *Shard) confirmHandovers() {
	for _, o := range slices.Clone(s.ownedInOrder) {
		h := o.handover
		if h != nil && o.snapshot != nil && o.snapshot.Owner == h.to && o.snapshot.FencingToken >= h.fencingToken {
			s.completeHandover(o)
		}
	}
}

// abortHandovers resumes ownership when the receiver's process is known to have ended. The receiver
// may have confirmed and started requests before, which leads to a quarantine.
func (s *Shard) abortHandovers(peer core.VMName) {
	for _, o := range slices.Clone(s.ownedInOrder) {
		if o.handover != nil && o.handover.to == peer {
			s.abortHandover(o)
		}
	}
}

func (s *Shard) abortHandover(o *ownedTarget) {
	o.quarantineUntil = max(o.quarantineUntil, s.now+core.RequestLifetime)
	s.resumeOwning(o)
}

// receiverUnreachable reports whether a handover's receiver has been unreachable for handoverWait.
// Until control decides, idempotent requests are served here, unless the target is cold.
func (s *Shard) receiverUnreachable(o *ownedTarget) bool {
	h := o.handover
	return h != nil && !s.reachable(h.to) && s.now-h.startedAt >= handoverWait && !o.admission.cold
}

// waitsForHandover reports whether a request waits for the end of a handover.
func (s *Shard) waitsForHandover(o *ownedTarget, r *core.Request) bool {
	return o.handover != nil && !(r.Idempotent && s.receiverUnreachable(o))
}

func (s *Shard) resumeOwning(o *ownedTarget) {
	o.handover = nil
	s.emitEvent(core.EventHandoverFailed, o.id)
	s.retryDeferred()
	s.sendQueued(o)
}

// completeHandover ends the ownership and forwards the requests that have waited.
func (s *Shard) completeHandover(o *ownedTarget) {
	h := o.handover
	o.handover = nil
	o.handedTo = h.to
	o.nextOwner = h.to
	o.handedToToken = h.fencingToken
	s.stopOwning(o)
	s.emit(core.OwnerChanged{Target: o.id, Owner: h.to, FencingToken: h.fencingToken})
	for _, m := range h.outcomes {
		s.send(o.handedTo, m)
	}
	s.forwardAllWaiting(o, o.handedTo, true)
	s.forwardDeferred(o)
}

// forwardAllWaiting forwards the requests that wait at a previous owner. recordsComplete is true
// when the new owner has all records.
func (s *Shard) forwardAllWaiting(o *ownedTarget, to core.VMName, recordsComplete bool) {
	for _, r := range slices.Clone(o.activeInOrder) {
		if r.state != requestSent {
			s.forwardWaiting(o, r, to, recordsComplete)
		}
	}
}

// forwardWaiting forwards a waiting request to the new owner. Renewals are not forwarded because
// the new owner receives the feeds separately.
func (s *Shard) forwardWaiting(o *ownedTarget, r *request, to core.VMName, recordsComplete bool) {
	s.finish(o, r)
	delete(o.records.byKey, r.key)
	if r.renewal {
		return
	}
	f := r.forwardMessage(s)
	f.Target = o.id
	f.NoRecordElsewhere = f.NoRecordElsewhere && recordsComplete
	s.send(to, f)
}

// forwardDeferred sends the requests that arrived during the handover to the new owner.
func (s *Shard) forwardDeferred(o *ownedTarget) {
	deferred := s.deferred.take(func(d *deferredRequest) bool { return d.request.Target == o.id })
	for i := range deferred {
		f := deferred[i].resumed(s.now)
		f.Hops++
		s.send(o.handedTo, f)
	}
}

// reportOutcome reports the end of an attempt to the new owner, if the target is handed over or was.
func (s *Shard) reportOutcome(o *ownedTarget, a *attempt) {
	if o.handedTo == "" && o.handover == nil {
		return
	}
	r := a.request
	m := &core.RequestOutcome{
		Target:       o.id,
		FencingToken: o.handedToToken,
		Idempotent:   r.req.Idempotent,
		Record:       core.RequestRecord{Flow: r.key.flow, ID: r.key.id, State: core.RecordUnknown},
	}
	if rec := o.records.get(r.key); rec != nil {
		m.Record.State = rec.state
		m.Record.TTL = rec.expiresAt - s.now
		m.Record.Answer = rec.answer
	}
	if o.handover != nil {
		m.FencingToken = o.handover.fencingToken
		o.handover.outcomes = append(o.handover.outcomes, m)
		return
	}
	s.send(o.handedTo, m)
}

// forwardRequeued forwards a requeued request to the new owner, which sends it to the target again.
// Without a known new owner, the request is refused.
func (s *Shard) forwardRequeued(o *ownedTarget, r *request) {
	if !r.requeued || r.state != requestSent {
		return
	}
	if o.nextOwner == "" {
		s.refuseRequest(o, r, core.ReasonTargetLost)
		return
	}
	s.forwardWaiting(o, r, o.nextOwner, o.handedTo != "")
}
