package wire

import (
	"math"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire/wirepb"
)

// decoder converts an envelope of the given version to a message and keeps the first error.
type decoder struct {
	version Version
	checker
}

// body returns the message of an envelope, or nil for a kind that this release does not support.
func (d *decoder) body(env *wirepb.Envelope) core.Message {
	switch b := env.Body.(type) {
	case *wirepb.Envelope_Heartbeat:
		return d.heartbeat(b.Heartbeat)
	case *wirepb.Envelope_ConfigPull:
		return &core.ConfigPull{Have: core.Generation(b.ConfigPull.GetHave())}
	case *wirepb.Envelope_ConfigPush:
		p := b.ConfigPush
		return &core.ConfigPush{Generation: core.Generation(p.GetGeneration()), Text: p.GetText(), Sum: p.GetSum()}
	case *wirepb.Envelope_MembersPull:
		p := b.MembersPull
		return &core.MembersPull{Zone: core.ZoneName(p.GetZone()), Have: core.Epoch(p.GetHave())}
	case *wirepb.Envelope_MembersPush:
		return d.membersPush(b.MembersPush)
	case *wirepb.Envelope_ForwardRequest:
		return d.forwardRequest(b.ForwardRequest)
	case *wirepb.Envelope_FlowLearned:
		p := b.FlowLearned
		return &core.FlowLearned{Flow: d.flow(p.GetFlow()), Target: core.TargetID(p.GetTarget())}
	case *wirepb.Envelope_FlowQuery:
		return &core.FlowQuery{Flow: d.flow(b.FlowQuery.GetFlow()), Seq: b.FlowQuery.GetSeq()}
	case *wirepb.Envelope_FlowReply:
		p := b.FlowReply
		return &core.FlowReply{Flow: d.flow(p.GetFlow()), Target: core.TargetID(p.GetTarget()), Unconfirmed: p.GetGuess(),
			Seq: p.GetSeq(), Shard: p.GetShard(), Shards: p.GetShards()}
	case *wirepb.Envelope_RecordStarted:
		return d.recordStarted(b.RecordStarted)
	case *wirepb.Envelope_RecordAck:
		p := b.RecordAck
		return &core.RecordAck{Target: core.TargetID(p.GetTarget()), FencingToken: core.FencingToken(p.GetNumber()), Seq: p.GetSeq()}
	case *wirepb.Envelope_HandoverBegin:
		return d.handoverBegin(b.HandoverBegin)
	case *wirepb.Envelope_HandoverChunk:
		return d.handoverChunk(b.HandoverChunk)
	case *wirepb.Envelope_HandoverEnd:
		p := b.HandoverEnd
		return &core.HandoverEnd{Target: core.TargetID(p.GetTarget()), FencingToken: core.FencingToken(p.GetNumber()), Chunks: p.GetChunks()}
	case *wirepb.Envelope_HandoverAck:
		p := b.HandoverAck
		return &core.HandoverAck{Target: core.TargetID(p.GetTarget()), FencingToken: core.FencingToken(p.GetNumber()), OK: p.GetOk()}
	case *wirepb.Envelope_RequestOutcome:
		p := b.RequestOutcome
		return &core.RequestOutcome{Target: core.TargetID(p.GetTarget()), FencingToken: core.FencingToken(p.GetNumber()),
			Record: d.record(p.GetRecord()), Idempotent: p.GetIdempotent()}
	case *wirepb.Envelope_StatusPull:
		return &core.StatusPull{}
	case *wirepb.Envelope_StatusPush:
		return d.statusPush(b.StatusPush)
	}
	return nil
}

func (d *decoder) heartbeat(p *wirepb.Heartbeat) *core.Heartbeat {
	m := &core.Heartbeat{
		Zone:        core.ZoneName(p.GetZone()),
		Addr:        addrFromBytes(p.GetAddr()),
		Incarnation: core.Incarnation(p.GetIncarnation()),
		Seq:         p.GetSeq(),
		AckSeq:      p.GetAckSeq(),
		State:       core.VMState(d.uint8("state", p.GetState())),
		Generation:  core.Generation(p.GetGeneration()),
		ConfirmAge:  core.NoConfirm,
		BackupSeq:   core.NoBackupSeq,
	}
	if p.GetConfirmAge() > 0 {
		m.ConfirmAge = d.millis("confirmation age", p.GetConfirmAge()-1)
	}
	if d.version >= Version2 {
		m.BackupSeq = p.GetBackupSeq()
	}
	m.Epochs = d.epochs(p)
	if i := int(p.GetZoneIndex()); i > 0 {
		d.check(i <= len(m.Epochs), "zone index is %d of %d", i, len(m.Epochs))
		if d.err == nil {
			m.Zone = m.Epochs[i-1].Zone
		}
	}
	m.OwnedTargets = d.ownedTargets(p)
	return m
}

func (d *decoder) epochs(p *wirepb.Heartbeat) []core.ZoneEpoch {
	zones, epochs := p.GetEpochZones(), p.GetEpochs()
	d.check(len(zones) == len(epochs), "%d epoch zones and %d epochs", len(zones), len(epochs))
	d.list("epochs", len(epochs), maxEpochs)
	if d.err != nil {
		return nil
	}
	var out []core.ZoneEpoch
	for i, zone := range zones {
		out = append(out, core.ZoneEpoch{Zone: core.ZoneName(zone), Epoch: core.Epoch(epochs[i])})
	}
	return out
}

func (d *decoder) ownedTargets(p *wirepb.Heartbeat) []core.OwnedTarget {
	targets, fencingTokens, loads := p.GetHoldingTargets(), p.GetHoldingNumbers(), p.GetHoldingLoads()
	complete := len(targets) == len(fencingTokens) && len(loads) == loadColumns*len(targets)
	d.check(complete, "%d owned targets, %d fencing tokens, %d load values", len(targets), len(fencingTokens), len(loads))
	d.list("holdings", len(targets), maxOwnedTargets)
	if d.err != nil {
		return nil
	}
	var out []core.OwnedTarget
	for i, target := range targets {
		out = append(out, core.OwnedTarget{
			Target:       core.TargetID(target),
			FencingToken: core.FencingToken(fencingTokens[i]),
			Load:         d.load(loads[i*loadColumns:]),
		})
	}
	return out
}

func (d *decoder) load(row []uint32) core.TargetLoad {
	return core.TargetLoad{
		Flows:    row[0],
		InFlight: d.uint16("in flight", row[1]),
		Limit:    d.uint16("limit", row[2]),
		Queued:   d.uint16("queued", row[3]),
		Cold:     row[4]&flagCold != 0,
		Draining: row[4]&flagDraining != 0,
	}
}

func (d *decoder) membersPush(p *wirepb.MembersPush) *core.MembersPush {
	m := &core.MembersPush{Zone: core.ZoneName(p.GetZone()), Epoch: core.Epoch(p.GetEpoch())}
	d.list("members", len(p.GetMembers()), maxMembers)
	if d.err != nil {
		return m
	}
	for _, member := range p.GetMembers() {
		m.Members = append(m.Members, core.Member{
			Name:            core.VMName(member.GetName()),
			Incarnation:     core.Incarnation(member.GetIncarnation()),
			Addr:            addrFromBytes(member.GetAddr()),
			Joined:          core.Epoch(member.GetJoined()),
			JoinedEmptyZone: member.GetFounder(),
		})
	}
	return m
}

// flow returns the zero FlowKey, which validate refuses, for an invalid client address.
func (d *decoder) flow(p *wirepb.FlowKey) core.FlowKey {
	client := addrFromBytes(p.GetCaller())
	if !client.IsValid() {
		d.check(false, "client address has %d bytes", len(p.GetCaller()))
		return core.FlowKey{}
	}
	return core.NewFlowKey(client, core.ServiceID(p.GetService()))
}

func (d *decoder) id(p *wirepb.RequestID) core.RequestID {
	return core.RequestID{Hi: p.GetHi(), Lo: p.GetLo()}
}

func (d *decoder) request(p *wirepb.Request) core.Request {
	return core.Request{
		Flow:       d.flow(p.GetFlow()),
		ID:         d.id(p.GetId()),
		Method:     core.Method(d.uint8("method", p.GetMethod())),
		Class:      core.Class(d.uint8("class", p.GetClass())),
		Idempotent: p.GetIdempotent(),
		Deadline:   d.millis("deadline", p.GetDeadlineMs()),
		Sticky:     p.GetSticky(),
		Trace:      d.trace(p.GetTrace()),
		Payload:    p.GetPayload(),
		Feed:       p.GetFeed(),
	}
}

func (d *decoder) trace(b []byte) core.TraceContext {
	var t core.TraceContext
	if d.version < Version2 || len(b) == 0 {
		return t
	}
	d.check(len(b) == len(t.TraceID)+len(t.SpanID), "trace has %d bytes", len(b))
	if d.err == nil {
		n := copy(t.TraceID[:], b)
		copy(t.SpanID[:], b[n:])
	}
	return t
}

func (d *decoder) forwardRequest(p *wirepb.ForwardRequest) *core.ForwardRequest {
	m := &core.ForwardRequest{
		Request:             d.request(p.GetRequest()),
		Target:              core.TargetID(p.GetTarget()),
		FlowKnown:           p.GetKnown(),
		NoRecordElsewhere:   p.GetCleared(),
		OwnerUnreachable:    p.GetUnreached(),
		Ingress:             core.VMName(p.GetIngress()),
		Hops:                d.uint8("hops", p.GetHops()),
		Generation:          core.Generation(p.GetGeneration()),
		Age:                 d.millis("age", p.GetAgeMs()),
		RemainingCandidates: d.targets("trail", p.GetTrail(), maxCandidates),
		AskedTargets:        d.targets("asked", p.GetAsked(), maxCandidates),
		FlowMoved:           p.GetMoved(),
		PeersQueried:        p.GetQueried(),
		Renewal:             p.GetRenewal(),
		KeepPlacement:       p.GetOnce(),
	}
	return m
}

// targets returns nil for a list that is longer than limit, and after an earlier error.
func (d *decoder) targets(name string, list []uint32, limit int) []core.TargetID {
	d.list(name, len(list), limit)
	if d.err != nil {
		return nil
	}
	var ids []core.TargetID
	for _, id := range list {
		ids = append(ids, core.TargetID(id))
	}
	return ids
}

func (d *decoder) recordStarted(p *wirepb.RecordStarted) *core.RecordStarted {
	return &core.RecordStarted{
		Target:       core.TargetID(p.GetTarget()),
		FencingToken: core.FencingToken(p.GetNumber()),
		Flow:         d.flow(p.GetFlow()),
		ID:           d.id(p.GetId()),
		Seq:          p.GetSeq(),
	}
}

func (d *decoder) handoverBegin(p *wirepb.HandoverBegin) *core.HandoverBegin {
	m := &core.HandoverBegin{
		Target:            core.TargetID(p.GetTarget()),
		FencingToken:      core.FencingToken(p.GetNumber()),
		Limit:             d.uint16("limit", p.GetLimit()),
		Cold:              p.GetCold(),
		SinceRampStep:     d.millis("warm", p.GetWarmMs()),
		BootID:            p.GetBoot(),
		InFlight:          d.uint16("in flight", p.GetInFlight()),
		QuarantineLeft:    d.millis("quarantine", p.GetQuarantineLeftMs()),
		PreviousOwnerLeft: d.millis("hold", p.GetHoldLeftMs()),
		RecoveryLeft:      d.millis("rebuild", p.GetRebuildLeftMs()),
	}
	d.list("previous target sets", len(p.GetFormer()), core.MaxPreviousSets)
	if d.err != nil {
		return m
	}
	for _, previous := range p.GetFormer() {
		d.check(len(previous.GetTargets()) == len(previous.GetWeights()), "previous target set has %d weights for %d targets",
			len(previous.GetWeights()), len(previous.GetTargets()))
		set := core.TargetSet{IDs: d.targets("previous targets", previous.GetTargets(), maxSetTargets), Weights: previous.GetWeights()}
		m.PreviousSets = append(m.PreviousSets, core.PreviousSetAge{Set: set, Age: d.millis("previous set age", previous.GetAgeMs())})
	}
	return m
}

func (d *decoder) record(p *wirepb.RequestRecord) core.RequestRecord {
	return core.RequestRecord{
		Flow:   d.flow(p.GetFlow()),
		ID:     d.id(p.GetId()),
		State:  core.RecordState(d.uint8("record state", p.GetState())),
		TTL:    d.millis("left", p.GetLeftMs()),
		Answer: p.GetAnswer(),

		Idempotent: p.GetIdempotent(),
	}
}

func (d *decoder) handoverChunk(p *wirepb.HandoverChunk) *core.HandoverChunk {
	m := &core.HandoverChunk{Target: core.TargetID(p.GetTarget()), FencingToken: core.FencingToken(p.GetNumber())}
	d.list("flows", len(p.GetFlows()), maxFlows)
	d.list("records", len(p.GetRecords()), maxRecords)
	if d.err != nil {
		return m
	}
	for _, f := range p.GetFlows() {
		state := core.FlowState{
			Flow: d.flow(f.GetFlow()), Target: core.TargetID(f.GetTarget()), Idle: d.millis("idle", f.GetIdleMs()),
			FeedToken: core.AttemptToken(f.GetFeedToken()), RetransmissionWindow: d.millis("unsettled", f.GetUnsettledMs()),
			MayBeElsewhere: f.GetDoubtful(),
		}
		if f.GetFeed() != nil {
			feed := d.request(f.GetFeed())
			state.Feed = &feed
		}
		m.Flows = append(m.Flows, state)
	}
	for _, r := range p.GetRecords() {
		m.Records = append(m.Records, d.record(r))
	}
	return m
}

func (d *decoder) statusPush(p *wirepb.StatusPush) *core.StatusPush {
	m := &core.StatusPush{}
	d.list("VMs", len(p.GetVms()), maxStatuses)
	if d.err != nil {
		return m
	}
	for _, v := range p.GetVms() {
		d.check(v.GetHeardMs() <= math.MaxInt64, "heartbeat age is %d ms", v.GetHeardMs())
		m.VMs = append(m.VMs, core.VMStatus{
			Name:               core.VMName(v.GetName()),
			Zone:               core.ZoneName(v.GetZone()),
			Generation:         core.Generation(v.GetGeneration()),
			State:              core.VMState(d.uint8("state", v.GetState())),
			HeartbeatAgeMillis: int64(v.GetHeardMs()),
		})
	}
	return m
}

func (d *decoder) millis(field string, ms uint64) time.Duration {
	ok := ms <= uint64(maxDuration/time.Millisecond)
	d.check(ok, "%s is %d ms", field, ms)
	if !ok {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (d *decoder) uint8(field string, v uint32) uint8 {
	d.check(v <= math.MaxUint8, "%s is %d", field, v)
	return uint8(v)
}

func (d *decoder) uint16(field string, v uint32) uint16 {
	d.check(v <= math.MaxUint16, "%s is %d", field, v)
	return uint16(v)
}
