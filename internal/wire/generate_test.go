package wire

import (
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"pgregory.net/rapid"
)

// source draws values of core types that encoding and decoding do not change: durations are whole
// milliseconds and empty lists are nil.
type source struct{ *rapid.T }

func draw[V any](s source, g *rapid.Generator[V], label string) V { return g.Draw(s.T, label) }

func (s source) bool() bool            { return draw(s, rapid.Bool(), "bool") }
func (s source) u64() uint64           { return draw(s, rapid.Uint64(), "u64") }
func (s source) u32() uint32           { return draw(s, rapid.Uint32(), "u32") }
func (s source) u16() uint16           { return draw(s, rapid.Uint16(), "u16") }
func (s source) upTo(n uint8) uint8    { return draw(s, rapid.Uint8Range(0, n), "enum") }
func (s source) name() string          { return draw(s, rapid.StringMatching(`[a-zA-Z0-9._-]{1,63}`), "name") }
func (s source) target() core.TargetID { return core.TargetID(draw(s, rapid.Uint32Min(1), "target")) }

func (s source) millis() time.Duration {
	return time.Duration(draw(s, rapid.Int64Range(0, int64(maxDuration/time.Millisecond)), "ms")) * time.Millisecond
}

func (s source) bytes(n int) []byte {
	b := draw(s, rapid.SliceOfN(rapid.Byte(), 0, n), "bytes")
	if len(b) == 0 {
		return nil
	}
	return b
}

func drawList[V any](s source, n int, generate func() V) []V {
	var out []V
	for range draw(s, rapid.IntRange(0, n), "n") {
		out = append(out, generate())
	}
	return out
}

func (s source) addr() netip.AddrPort {
	var ip netip.Addr
	if s.bool() {
		ip = netip.AddrFrom4([4]byte{10, byte(s.u16()), byte(s.u16()), byte(s.u16())})
	} else {
		ip = netip.AddrFrom16([16]byte{0xfd, byte(s.u16()), 15: byte(s.u16())})
	}
	return netip.AddrPortFrom(ip, draw(s, rapid.Uint16Min(1), "port"))
}

func (s source) flow() core.FlowKey {
	return core.NewFlowKey(s.addr(), core.ServiceID(draw(s, rapid.Uint32Min(1), "service")))
}

func (s source) id() core.RequestID { return core.RequestID{Hi: s.u64(), Lo: s.u64()} }

func (s source) request() core.Request {
	r := core.Request{Flow: s.flow(), ID: s.id(), Method: core.Method(s.upTo(3)), Class: core.Class(s.upTo(3)),
		Idempotent: s.bool(), Deadline: s.millis(), Sticky: s.bool(), Payload: s.bytes(64)}
	if s.bool() {
		r.Trace = core.TraceContext{TraceID: [16]byte{1, 15: byte(s.u16())}, SpanID: [8]byte{7: byte(s.u16())}}
	}
	return r
}

func (s source) record() core.RequestRecord {
	return core.RequestRecord{Flow: s.flow(), ID: s.id(), State: core.RecordState(s.upTo(4)), TTL: s.millis(), Answer: s.bytes(64)}
}

func (s source) heartbeat() core.Message {
	m := &core.Heartbeat{Zone: core.ZoneName(s.name()), Addr: s.addr(), Incarnation: core.Incarnation(s.u32()),
		Seq: s.u64(), AckSeq: s.u64(), State: core.VMState(s.upTo(2)), Generation: core.Generation(s.u64()),
		ConfirmAge: s.millis(), BackupSeq: s.u64()}
	if s.bool() {
		m.ConfirmAge = core.NoConfirm
	}
	m.Epochs = drawList(s, 5, func() core.ZoneEpoch {
		return core.ZoneEpoch{Zone: core.ZoneName(s.name()), Epoch: core.Epoch(s.u64())}
	})
	if len(m.Epochs) > 0 && s.bool() {
		m.Zone = m.Epochs[len(m.Epochs)-1].Zone
	}
	m.OwnedTargets = drawList(s, 5, func() core.OwnedTarget {
		load := core.TargetLoad{Flows: s.u32(), InFlight: s.u16(), Limit: s.u16(), Queued: s.u16(), Cold: s.bool(), Draining: s.bool()}
		return core.OwnedTarget{Target: s.target(), FencingToken: core.FencingToken(s.u64()), Load: load}
	})
	return m
}

func (s source) handoverChunk() core.Message {
	return &core.HandoverChunk{Target: s.target(), FencingToken: core.FencingToken(s.u64()),
		Flows: drawList(s, 4, func() core.FlowState {
			f := core.FlowState{Flow: s.flow(), Target: s.target(), Idle: s.millis()}
			if s.bool() {
				r := s.request()
				f.Feed = &r
			}
			return f
		}),
		Records: drawList(s, 4, s.record)}
}

// messageGenerators returns one generator per message kind.
func (s source) messageGenerators() []func() core.Message {
	token := func() core.FencingToken { return core.FencingToken(s.u64()) }
	zone := func() core.ZoneName { return core.ZoneName(s.name()) }
	return []func() core.Message{
		s.heartbeat,
		s.handoverChunk,
		func() core.Message { return &core.ConfigPull{Have: core.Generation(s.u64())} },
		func() core.Message {
			return &core.ConfigPush{Generation: core.Generation(s.u64() | 1), Text: s.bytes(200), Sum: s.u64()}
		},
		func() core.Message { return &core.MembersPull{Zone: zone(), Have: core.Epoch(s.u64())} },
		func() core.Message {
			return &core.MembersPush{Zone: zone(), Epoch: core.Epoch(s.u64()), Members: drawList(s, 5, func() core.Member {
				return core.Member{Name: core.VMName(s.name()), Incarnation: core.Incarnation(s.u32()), Addr: s.addr()}
			})}
		},
		func() core.Message {
			return &core.ForwardRequest{Request: s.request(), Target: s.target(), RemainingCandidates: drawList(s, 16, s.target), FlowKnown: s.bool(),
				NoRecordElsewhere: s.bool(), OwnerUnreachable: s.bool(), Ingress: core.VMName(s.name()), Hops: uint8(s.u16()),
				Generation: core.Generation(s.u64()), Age: s.millis()}
		},
		func() core.Message { return &core.FlowLearned{Flow: s.flow(), Target: s.target()} },
		func() core.Message { return &core.FlowQuery{Flow: s.flow(), Seq: s.u64()} },
		func() core.Message {
			return &core.FlowReply{Flow: s.flow(), Target: core.TargetID(s.u32()), Unconfirmed: s.bool(), Seq: s.u64(),
				Shard: s.u32(), Shards: s.u32()}
		},
		func() core.Message {
			return &core.RecordStarted{Target: s.target(), FencingToken: token(), Flow: s.flow(), ID: s.id(), Seq: s.u64()}
		},
		func() core.Message { return &core.RecordAck{Target: s.target(), FencingToken: token(), Seq: s.u64()} },
		func() core.Message {
			return &core.HandoverBegin{Target: s.target(), FencingToken: token(), Limit: s.u16(), Cold: s.bool(), SinceRampStep: s.millis(),
				BootID: s.u64(), InFlight: s.u16(), QuarantineLeft: s.millis()}
		},
		func() core.Message {
			return &core.HandoverEnd{Target: s.target(), FencingToken: token(), Chunks: s.u32()}
		},
		func() core.Message {
			return &core.HandoverAck{Target: s.target(), FencingToken: token(), OK: s.bool()}
		},
		func() core.Message {
			return &core.RequestOutcome{Target: s.target(), FencingToken: token(), Record: s.record(), Idempotent: s.bool()}
		},
		func() core.Message { return &core.StatusPull{} },
		func() core.Message {
			return &core.StatusPush{VMs: drawList(s, 5, func() core.VMStatus {
				return core.VMStatus{Name: core.VMName(s.name()), Zone: zone(), Generation: core.Generation(s.u64()),
					State: core.VMState(s.upTo(2)), HeartbeatAgeMillis: int64(s.u64() >> 1)}
			})}
		},
	}
}

// message draws a message of any kind.
func (s source) message() core.Message {
	all := s.messageGenerators()
	return all[draw(s, rapid.IntRange(0, len(all)-1), "kind")]()
}
