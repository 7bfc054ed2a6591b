package traffic

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// incomingTime bounds the wait for the rest of a handover.
const incomingTime = 5 * time.Second

// handoverOut is a handover that the receiver has not confirmed yet.
type handoverOut struct {
	to       core.VMName
	number   core.FencingToken
	chunks   uint32
	lastEnd  time.Duration
	began    time.Duration
	outcomes []*core.RequestOutcome
}

// handoverIn is a handover that has not been received in full.
type handoverIn struct {
	from   core.VMName
	begin  core.HandoverBegin
	chunks []*core.HandoverChunk
	since  time.Duration
}

// onRelease starts to hand a target over.
func (s *Shard) onRelease(r core.StartHandover) {
	o := s.owners[r.Target]
	if o == nil || r.To == s.opts.Self || r.FencingToken <= o.number {
		return
	}
	if old := o.handover; old != nil {
		if r.FencingToken <= old.number {
			return
		}
		// Control has given the first receiver up.
		s.abortHandover(o)
	}
	h := &handoverOut{to: r.To, number: r.FencingToken, began: s.now}
	o.handover = h
	s.event(core.EventHandoverStarted, o.id)
	s.send(h.to, s.handoverBegin(o, h))
	w := chunkWriter{s: s, o: o, h: h}
	w.writeFlows()
	w.writeRecords()
	w.flush()
	s.sendEnd(o)
}

func (s *Shard) handoverBegin(o *owner, h *handoverOut) *core.HandoverBegin {
	b := &core.HandoverBegin{
		Target:            o.id,
		FencingToken:      h.number,
		Limit:             uint16(o.ramp.limit),
		Cold:              o.ramp.cold,
		SinceRampStep:     s.now - o.ramp.stepAt,
		BootID:            o.ramp.boot,
		InFlight:          uint16(o.inFlight),
		QuarantineLeft:    max(o.quarantineUntil-s.now, 0),
		PreviousOwnerLeft: max(o.formerUntil-s.now, 0),
		RecoveryLeft:      max(o.rebuildUntil-s.now, 0),
	}
	if o.view == nil {
		return b
	}
	if c := s.sets[o.view.Target.Service]; c != nil {
		for _, f := range c.former {
			if age := s.now - f.ReplacedAt; age <= core.FlowIdleTimeout && len(b.PreviousSets) < core.MaxPreviousSets {
				b.PreviousSets = append(b.PreviousSets, core.PreviousSetAge{Set: f.Set, Age: age})
			}
		}
	}
	return b
}

// chunkWriter sends a target's state in chunks of bounded size.
type chunkWriter struct {
	s     *Shard
	o     *owner
	h     *handoverOut
	chunk *core.HandoverChunk
	size  int
}

// Sizes of encoded items without their variable parts, rounded up.
const (
	flowBytes   = 64
	feedBytes   = 160
	recordBytes = 96
)

// room starts a new chunk when n more bytes do not fit.
func (w *chunkWriter) room(n int) {
	if w.chunk != nil && w.size+n > maxChunkBytes {
		w.flush()
	}
	if w.chunk == nil {
		w.chunk = &core.HandoverChunk{Target: w.o.id, FencingToken: w.h.number}
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
	// A registration in flight stays here; the new holder registers it again for later messages.
	opening := newFeedSet()
	for _, a := range w.o.flights {
		if a.feed != nil && a.r.state == reqSent && w.o.feeds.get(feedKeyOf(&a.feed.req)) == nil {
			opening.put(a.feed)
		}
	}
	w.o.flows.all(func(e *flowEntry) {
		f := core.FlowState{Flow: e.key, Target: e.target, Idle: e.idle(w.s.now)}
		f.RetransmissionWindow = max(w.o.unsure.m[e.key], w.o.moved.m[e.key]) - w.s.now
		f.RetransmissionWindow = max(f.RetransmissionWindow, 0)
		f.MayBeElsewhere = w.o.doubts[e.key] != nil
		feeds := slices.Concat(w.o.feeds.flows[e.key], opening.flows[e.key])
		if e.target != w.o.id || len(feeds) == 0 {
			w.writeFlow(f, nil)
			return
		}
		for _, fd := range feeds {
			w.writeFlow(f, fd)
		}
	})
}

// writeFlow writes a flow, once for each of its feeds.
func (w *chunkWriter) writeFlow(f core.FlowState, fd *feed) {
	size := flowBytes
	if fd != nil {
		r := fd.req
		f.Feed = &r
		f.FeedToken = fd.token
		size += feedBytes + len(r.Payload)
	}
	w.room(size)
	w.chunk.Flows = append(w.chunk.Flows, f)
}

func (w *chunkWriter) writeRecords() {
	for _, a := range w.o.flights {
		left := max(a.r.deadline-w.s.now, 0) + cancelGrace
		if a.freeAt != 0 {
			left = a.freeAt - w.s.now
		}
		w.writeRecord(core.RequestRecord{
			Flow:       a.r.key.flow,
			ID:         a.r.key.id,
			State:      core.RecordSent,
			TTL:        max(left, 0),
			Idempotent: true,
		})
	}
	for _, k := range w.o.remote.order {
		v := w.o.remote.m[k]
		for range v.slots {
			w.writeRecord(core.RequestRecord{
				Flow:       k.flow,
				ID:         k.id,
				State:      core.RecordSent,
				TTL:        max(v.until-w.s.now, 0),
				Idempotent: true,
			})
		}
	}
	seen := map[reqKey]bool{}
	order := &w.o.records.order
	for _, k := range order.items[order.head:] {
		rec := w.o.records.m[k]
		if rec == nil || seen[k] || rec.state == core.RecordQueued {
			continue
		}
		seen[k] = true
		m := core.RequestRecord{
			Flow:   k.flow,
			ID:     k.id,
			State:  rec.state,
			TTL:    rec.until - w.s.now,
			Answer: rec.answer,
		}
		if rec.noAnswer || len(rec.answer) > maxChunkBytes-recordBytes {
			m.State = core.RecordUnknown
			m.Answer = nil
		}
		w.writeRecord(m)
	}
}

func (w *chunkWriter) writeRecord(m core.RequestRecord) {
	w.room(recordBytes + len(m.Answer))
	w.chunk.Records = append(w.chunk.Records, m)
}

func (s *Shard) sendEnd(o *owner) {
	h := o.handover
	h.lastEnd = s.now
	s.send(h.to, &core.HandoverEnd{Target: o.id, FencingToken: h.number, Chunks: h.chunks})
}

// tickHandover repeats the end message until the receiver confirms.
func (s *Shard) tickHandover(o *owner) {
	if o.handover != nil && s.now-o.handover.lastEnd >= handoverResend {
		s.sendEnd(o)
	}
}

// holdBack keeps a request that arrives during a handover.
func (s *Shard) holdBack(o *owner, f *core.ForwardRequest) { s.park(f, handoverWait) }

// onHandoverAck completes a handover, or resumes when the receiver declines.
func (s *Shard) onHandoverAck(from core.VMName, m *core.HandoverAck) {
	o := s.owners[m.Target]
	if o == nil || o.handover == nil || o.handover.to != from || o.handover.number != m.FencingToken {
		return
	}
	if m.OK {
		s.completeHandover(o)
		return
	}
	s.resumeHolding(o)
}

// confirmHandovers completes the handovers that control knows to have succeeded.
func (s *Shard) confirmHandovers() {
	for _, o := range slices.Clone(s.ordered) {
		h := o.handover
		if h != nil && o.view != nil && o.view.Owner == h.to && o.view.FencingToken >= h.number {
			s.completeHandover(o)
		}
	}
}

// abortHandovers resumes when the receiver's process is known to be dead. It may have confirmed and
// started requests before, which leads to a quarantine.
func (s *Shard) abortHandovers(peer core.VMName) {
	for _, o := range slices.Clone(s.ordered) {
		if o.handover != nil && o.handover.to == peer {
			s.abortHandover(o)
		}
	}
}

func (s *Shard) abortHandover(o *owner) {
	o.quarantineUntil = max(o.quarantineUntil, s.now+core.RequestLifetime)
	s.resumeHolding(o)
}

// receiverSuspect reports whether a handover's receiver has been out of reach for handoverWait. Until
// its fate is known, idempotent requests are served here, unless the target is cold.
func (s *Shard) receiverSuspect(o *owner) bool {
	h := o.handover
	return h != nil && !s.reachable(h.to) && s.now-h.began >= handoverWait && !o.ramp.cold
}

// heldBack reports whether a request waits for the end of a handover.
func (s *Shard) heldBack(o *owner, r *core.Request) bool {
	return o.handover != nil && !(r.Idempotent && s.receiverSuspect(o))
}

func (s *Shard) resumeHolding(o *owner) {
	o.handover = nil
	s.event(core.EventHandoverFailed, o.id)
	s.retryParked()
	s.pump(o)
}

// completeHandover ends the holding and forwards what has waited.
func (s *Shard) completeHandover(o *owner) {
	h := o.handover
	o.handover = nil
	o.to = h.to
	o.next = h.to
	o.toNumber = h.number
	s.uninstall(o)
	s.emit(core.OwnerChanged{Target: o.id, Owner: h.to, FencingToken: h.number})
	for _, m := range h.outcomes {
		s.send(o.to, m)
	}
	s.handOnAll(o, o.to, true)
	s.forwardHeldBack(o)
}

// handOnAll forwards the requests that wait at a former holder. cleared is true when the new one
// has all records.
func (s *Shard) handOnAll(o *owner, to core.VMName, cleared bool) {
	for _, r := range slices.Clone(o.live) {
		if r.state != reqSent {
			s.handOn(o, r, to, cleared)
		}
	}
}

// handOn forwards a request that was not sent to the new holder.
func (s *Shard) handOn(o *owner, r *request, to core.VMName, cleared bool) {
	s.finish(o, r)
	delete(o.records.m, r.key)
	if r.renewal {
		return
	}
	f := r.forward(s)
	f.Target = o.id
	f.NoRecordElsewhere = f.NoRecordElsewhere && cleared
	s.send(to, f)
}

// forwardHeldBack sends the requests that arrived during the handover to the new holder.
func (s *Shard) forwardHeldBack(o *owner) {
	held := s.parked.take(func(p *parkedRequest) bool { return p.f.Target == o.id })
	for i := range held {
		f := held[i].resumed(s.now)
		f.Hops++
		s.send(o.to, f)
	}
}

// reportOutcome tells the new holder about the end of an attempt that stayed here.
func (s *Shard) reportOutcome(o *owner, a *attempt) {
	if o.to == "" && o.handover == nil {
		return
	}
	r := a.r
	m := &core.RequestOutcome{
		Target:       o.id,
		FencingToken: o.toNumber,
		Idempotent:   r.req.Idempotent,
		Record:       core.RequestRecord{Flow: r.key.flow, ID: r.key.id, State: core.RecordUnknown},
	}
	if rec := o.records.get(r.key); rec != nil {
		m.Record.State = rec.state
		m.Record.TTL = rec.until - s.now
		m.Record.Answer = rec.answer
	}
	if o.handover != nil {
		m.FencingToken = o.handover.number
		o.handover.outcomes = append(o.handover.outcomes, m)
		return
	}
	s.send(o.to, m)
}

// handOnRequeued gives a request that is to be sent again to the new holder.
func (s *Shard) handOnRequeued(o *owner, r *request) {
	if !r.requeued || r.state != reqSent {
		return
	}
	if o.next == "" {
		s.refuseRequest(o, r, core.ReasonTargetLost)
		return
	}
	s.handOn(o, r, o.next, o.to != "")
}
