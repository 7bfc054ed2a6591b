package wire

import (
	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire/wirepb"
)

// setBody sets the body of the envelope to a message, which must have passed validate.
func setBody(env *wirepb.Envelope, msg core.Message, version Version) {
	switch m := msg.(type) {
	case *core.Heartbeat:
		env.Body = &wirepb.Envelope_Heartbeat{Heartbeat: encodeHeartbeat(m, version)}
	case *core.ConfigPull:
		env.Body = &wirepb.Envelope_ConfigPull{ConfigPull: &wirepb.ConfigPull{Have: uint64(m.Have)}}
	case *core.ConfigPush:
		env.Body = &wirepb.Envelope_ConfigPush{ConfigPush: &wirepb.ConfigPush{
			Generation: uint64(m.Generation), Text: m.Text, Sum: m.Sum}}
	case *core.MembersPull:
		env.Body = &wirepb.Envelope_MembersPull{MembersPull: &wirepb.MembersPull{
			Zone: string(m.Zone), Have: uint64(m.Have)}}
	case *core.MembersPush:
		env.Body = &wirepb.Envelope_MembersPush{MembersPush: encodeMembersPush(m)}
	case *core.ForwardRequest:
		env.Body = &wirepb.Envelope_ForwardRequest{ForwardRequest: encodeForwardRequest(m, version)}
	case *core.FlowLearned:
		env.Body = &wirepb.Envelope_FlowLearned{FlowLearned: &wirepb.FlowLearned{
			Flow: encodeFlow(m.Flow), Target: uint32(m.Target)}}
	case *core.FlowQuery:
		env.Body = &wirepb.Envelope_FlowQuery{FlowQuery: &wirepb.FlowQuery{Flow: encodeFlow(m.Flow), Seq: m.Seq}}
	case *core.FlowReply:
		env.Body = &wirepb.Envelope_FlowReply{FlowReply: &wirepb.FlowReply{
			Flow: encodeFlow(m.Flow), Target: uint32(m.Target), Guess: m.Unconfirmed,
			Seq:    m.Seq,
			Shard:  m.Shard,
			Shards: m.Shards,
		}}
	case *core.RecordStarted:
		env.Body = &wirepb.Envelope_RecordStarted{RecordStarted: encodeRecordStarted(m)}
	case *core.RecordAck:
		env.Body = &wirepb.Envelope_RecordAck{RecordAck: &wirepb.RecordAck{
			Target: uint32(m.Target), Number: uint64(m.FencingToken), Seq: m.Seq}}
	case *core.HandoverBegin:
		env.Body = &wirepb.Envelope_HandoverBegin{HandoverBegin: encodeHandoverBegin(m)}
	case *core.HandoverChunk:
		env.Body = &wirepb.Envelope_HandoverChunk{HandoverChunk: encodeHandoverChunk(m, version)}
	case *core.HandoverEnd:
		env.Body = &wirepb.Envelope_HandoverEnd{HandoverEnd: &wirepb.HandoverEnd{
			Target: uint32(m.Target), Number: uint64(m.FencingToken), Chunks: m.Chunks}}
	case *core.HandoverAck:
		env.Body = &wirepb.Envelope_HandoverAck{HandoverAck: &wirepb.HandoverAck{
			Target: uint32(m.Target), Number: uint64(m.FencingToken), Ok: m.OK}}
	case *core.RequestOutcome:
		env.Body = &wirepb.Envelope_RequestOutcome{RequestOutcome: &wirepb.RequestOutcome{
			Target: uint32(m.Target), Number: uint64(m.FencingToken),
			Record: encodeRecord(&m.Record), Idempotent: m.Idempotent}}
	case *core.StatusPull:
		env.Body = &wirepb.Envelope_StatusPull{StatusPull: &wirepb.StatusPull{}}
	case *core.StatusPush:
		env.Body = &wirepb.Envelope_StatusPush{StatusPush: encodeStatusPush(m)}
	}
}

func encodeHeartbeat(m *core.Heartbeat, version Version) *wirepb.Heartbeat {
	p := &wirepb.Heartbeat{
		Addr:        addrBytes(m.Addr),
		Incarnation: uint32(m.Incarnation),
		Seq:         m.Seq,
		AckSeq:      m.AckSeq,
		State:       uint32(m.State),
		Generation:  uint64(m.Generation),
	}
	for i, e := range m.Epochs {
		p.EpochZones = append(p.EpochZones, string(e.Zone))
		p.Epochs = append(p.Epochs, uint64(e.Epoch))
		if e.Zone == m.Zone {
			p.ZoneIndex = uint32(i) + 1
		}
	}
	if p.ZoneIndex == 0 {
		p.Zone = string(m.Zone)
	}
	if m.ConfirmAge >= 0 {
		p.ConfirmAge = ceilMillis(m.ConfirmAge) + 1
	}
	for _, owned := range m.OwnedTargets {
		p.HoldingTargets = append(p.HoldingTargets, uint32(owned.Target))
		p.HoldingNumbers = append(p.HoldingNumbers, uint64(owned.FencingToken))
		p.HoldingLoads = appendLoad(p.HoldingLoads, owned.Load)
	}
	if version >= Version2 {
		p.BackupSeq = m.BackupSeq
	}
	return p
}

func encodeMembersPush(m *core.MembersPush) *wirepb.MembersPush {
	p := &wirepb.MembersPush{Zone: string(m.Zone), Epoch: uint64(m.Epoch)}
	for _, member := range m.Members {
		p.Members = append(p.Members, &wirepb.Member{
			Name:        string(member.Name),
			Incarnation: uint32(member.Incarnation),
			Addr:        addrBytes(member.Addr),
			Joined:      uint64(member.Joined),
			Founder:     member.JoinedEmptyZone,
		})
	}
	return p
}

func encodeFlow(k core.FlowKey) *wirepb.FlowKey {
	return &wirepb.FlowKey{Caller: addrBytes(k.ClientAddr()), Service: uint32(k.Service)}
}

func encodeID(id core.RequestID) *wirepb.RequestID {
	return &wirepb.RequestID{Hi: id.Hi, Lo: id.Lo}
}

func encodeRequest(r *core.Request, version Version) *wirepb.Request {
	p := &wirepb.Request{
		Flow:       encodeFlow(r.Flow),
		Id:         encodeID(r.ID),
		Method:     uint32(r.Method),
		Class:      uint32(r.Class),
		Idempotent: r.Idempotent,
		DeadlineMs: deadlineMillis(r.Deadline),
		Sticky:     r.Sticky,
		Payload:    r.Payload,
		Feed:       r.Feed,
	}
	if version >= Version2 && r.Trace != (core.TraceContext{}) {
		p.Trace = append(append(p.Trace, r.Trace.TraceID[:]...), r.Trace.SpanID[:]...)
	}
	return p
}

func encodeForwardRequest(m *core.ForwardRequest, version Version) *wirepb.ForwardRequest {
	p := &wirepb.ForwardRequest{
		Request:    encodeRequest(&m.Request, version),
		Target:     uint32(m.Target),
		Known:      m.FlowKnown,
		Cleared:    m.NoRecordElsewhere,
		Unreached:  m.OwnerUnreachable,
		Ingress:    string(m.Ingress),
		Hops:       uint32(m.Hops),
		Generation: uint64(m.Generation),
		AgeMs:      ceilMillis(m.Age),
		Trail:      encodeTargets(m.RemainingCandidates),
		Asked:      encodeTargets(m.AskedTargets),
		Moved:      m.FlowMoved,
		Queried:    m.PeersQueried,
		Renewal:    m.Renewal,
		Once:       m.KeepPlacement,
	}
	return p
}

func encodeTargets(ids []core.TargetID) []uint32 {
	var list []uint32
	for _, id := range ids {
		list = append(list, uint32(id))
	}
	return list
}

func encodeRecordStarted(m *core.RecordStarted) *wirepb.RecordStarted {
	return &wirepb.RecordStarted{
		Target: uint32(m.Target),
		Number: uint64(m.FencingToken),
		Flow:   encodeFlow(m.Flow),
		Id:     encodeID(m.ID),
		Seq:    m.Seq,
	}
}

func encodeHandoverBegin(m *core.HandoverBegin) *wirepb.HandoverBegin {
	p := &wirepb.HandoverBegin{
		Target:           uint32(m.Target),
		Number:           uint64(m.FencingToken),
		Limit:            uint32(m.Limit),
		Cold:             m.Cold,
		WarmMs:           floorMillis(m.SinceRampStep),
		Boot:             m.BootID,
		InFlight:         uint32(m.InFlight),
		QuarantineLeftMs: ceilMillis(m.QuarantineLeft),
		HoldLeftMs:       ceilMillis(m.PreviousOwnerLeft),
		RebuildLeftMs:    ceilMillis(m.RecoveryLeft),
	}
	for _, previous := range m.PreviousSets {
		p.Former = append(p.Former, &wirepb.FormerSet{
			Targets: encodeTargets(previous.Set.IDs), Weights: previous.Set.Weights, AgeMs: floorMillis(previous.Age),
		})
	}
	return p
}

func encodeRecord(r *core.RequestRecord) *wirepb.RequestRecord {
	return &wirepb.RequestRecord{
		Flow:   encodeFlow(r.Flow),
		Id:     encodeID(r.ID),
		State:  uint32(r.State),
		LeftMs: ceilMillis(r.TTL),
		Answer: r.Answer,

		Idempotent: r.Idempotent,
	}
}

func encodeHandoverChunk(m *core.HandoverChunk, version Version) *wirepb.HandoverChunk {
	p := &wirepb.HandoverChunk{Target: uint32(m.Target), Number: uint64(m.FencingToken)}
	for i := range m.Flows {
		f := &m.Flows[i]
		state := &wirepb.FlowState{
			Flow: encodeFlow(f.Flow), Target: uint32(f.Target), IdleMs: floorMillis(f.Idle),
			FeedToken: uint64(f.FeedToken), UnsettledMs: ceilMillis(f.RetransmissionWindow), Doubtful: f.MayBeElsewhere,
		}
		if f.Feed != nil {
			state.Feed = encodeRequest(f.Feed, version)
		}
		p.Flows = append(p.Flows, state)
	}
	for i := range m.Records {
		p.Records = append(p.Records, encodeRecord(&m.Records[i]))
	}
	return p
}

func encodeStatusPush(m *core.StatusPush) *wirepb.StatusPush {
	p := &wirepb.StatusPush{}
	for _, v := range m.VMs {
		p.Vms = append(p.Vms, &wirepb.VMStatus{
			Name:       string(v.Name),
			Zone:       string(v.Zone),
			Generation: uint64(v.Generation),
			State:      uint32(v.State),
			HeardMs:    uint64(max(v.HeartbeatAgeMillis, 0)),
		})
	}
	return p
}
