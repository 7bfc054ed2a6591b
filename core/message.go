package core

import (
	"net/netip"
	"time"
)

// Message is a message between entry VMs. The concrete types are listed in this file; package
// internal/wire encodes them.
type Message interface{ isMessage() }

// VMState is the state that a VM announces.
type VMState uint8

// States of a VM.
const (
	VMJoining VMState = iota
	VMLive
	VMLeaving
)

// Heartbeat is what VMs tell each other every HeartbeatInterval.
type Heartbeat struct {
	Zone        ZoneName
	Addr        netip.AddrPort
	Incarnation Incarnation
	Seq         uint64
	// AckSeq is the newest Seq heard from the receiver.
	AckSeq     uint64
	State      VMState
	Generation Generation
	Epochs     []ZoneEpoch
	// ConfirmAge is the age of the platform's confirmation of Generation and Epochs; NoConfirm when
	// there is none.
	ConfirmAge   time.Duration
	OwnedTargets []OwnedTarget
	// BackupSeq counts the records that the sender has sent to the receiver as its backup;
	// NoBackupSeq when the sender's protocol version does not carry it.
	BackupSeq uint64
}

// NoBackupSeq is the BackupSeq of a heartbeat that carries none. It is the highest value, so that a
// backup of such a sender never counts as complete.
const NoBackupSeq = ^uint64(0)

// NoConfirm is the ConfirmAge of a VM that has no confirmation.
const NoConfirm = time.Duration(-1)

// ZoneEpoch is the newest epoch that a VM knows of a zone.
type ZoneEpoch struct {
	Zone  ZoneName
	Epoch Epoch
}

// OwnedTarget announces a target that the sender holds.
type OwnedTarget struct {
	Target       TargetID
	FencingToken FencingToken
	Load         TargetLoad
}

// ConfigPull asks for the manifest if the receiver has a newer one than Have.
type ConfigPull struct{ Have Generation }

// ConfigPush carries a manifest; Sum is the xxhash of Text.
type ConfigPush struct {
	Generation Generation
	Text       []byte
	Sum        uint64
}

// MembersPull asks for the member list of a zone if the receiver has a newer one than Have.
type MembersPull struct {
	Zone ZoneName
	Have Epoch
}

// MembersPush carries the member list of a zone.
type MembersPush struct {
	Zone    ZoneName
	Epoch   Epoch
	Members []Member
}

// ForwardRequest carries a caller's request to the holder of a target.
type ForwardRequest struct {
	Request Request
	// Target is the candidate whose holder the message is for.
	Target TargetID
	// RemainingCandidates lists the candidates still to be asked, oldest first.
	RemainingCandidates []TargetID
	// FlowKnown is true when the sender knows that the flow is on Target.
	FlowKnown bool
	// NoRecordElsewhere is true when the holders of all former candidates have said that they have no record
	// of the request; only then may a non-idempotent request of an unknown flow start.
	NoRecordElsewhere bool
	// OwnerUnreachable is true when the holder of a former candidate could not be asked.
	OwnerUnreachable bool
	// AskedTargets lists the targets whose holders were asked for the flow, reached or not.
	AskedTargets []TargetID
	// FlowMoved is true when the flow was moved to Target from another one within RequestLifetime, so
	// that records of its requests may be at the holder of the other one.
	FlowMoved bool
	// PeersQueried is true when peers were asked about the flow.
	PeersQueried bool
	// KeepPlacement is true for an idempotent request that another target has shed: it runs on Target, and
	// its flow stays where it is.
	KeepPlacement bool
	// Renewal is true when Request registers a live feed again whose caller has already got its
	// first answer.
	Renewal    bool
	Ingress    VMName
	Hops       uint8
	Generation Generation
	// Age is the time since the packet reached the ingress VM, as far as VMs measured it.
	Age time.Duration
}

// FlowLearned tells an ingress VM which target a flow is on.
type FlowLearned struct {
	Flow   FlowKey
	Target TargetID
}

// FlowQuery asks a peer whether it knows the target of a flow.
type FlowQuery struct {
	Flow FlowKey
	// Seq is set when every shard of the peer has to answer, whether it knows the flow or not.
	Seq uint64
}

// FlowReply answers a FlowQuery; Target 0 means that the flow is not known.
type FlowReply struct {
	Flow   FlowKey
	Target TargetID
	// Seq repeats that of the query. If it is set, Shard is the index of the shard that answers, and
	// Shards the number of shards of its VM.
	Seq           uint64
	Shard, Shards uint32
	// Unconfirmed is true when no holder has confirmed that the flow is on Target: it was the flow's only
	// candidate when the sender saw a packet of it.
	Unconfirmed bool
}

// RecordStarted asks the backup to keep a copy of a started record.
type RecordStarted struct {
	Target       TargetID
	FencingToken FencingToken
	Flow         FlowKey
	ID           RequestID
	Seq          uint64
}

// RecordAck confirms a RecordStarted.
type RecordAck struct {
	Target       TargetID
	FencingToken FencingToken
	Seq          uint64
}

// HandoverBegin starts the handover of a target's state.
type HandoverBegin struct {
	Target       TargetID
	FencingToken FencingToken
	// Limit and Cold are the admission state; Warm is how far the ramp has come.
	Limit         uint16
	Cold          bool
	SinceRampStep time.Duration
	BootID        uint64
	InFlight      uint16
	// QuarantineLeft is the time until which the sender itself was in quarantine.
	QuarantineLeft time.Duration
	// PreviousOwnerLeft is the time in which a holder before the sender may still act.
	PreviousOwnerLeft time.Duration
	// RecoveryLeft is the time in which flows may appear that a lost holder before the sender had.
	RecoveryLeft time.Duration
	// PreviousSets are the former target sets of the service that the sender knows, newest first. The
	// receiver may be younger than they are.
	PreviousSets []PreviousSetAge
}

// PreviousSetAge is a former target set in a handover.
type PreviousSetAge struct {
	Set TargetSet
	// Age is the time since the set was replaced.
	Age time.Duration
}

// FlowState is a flow in a handover.
type FlowState struct {
	Flow FlowKey
	// Target is where the flow is placed; it differs from the target handed over for a redirect.
	Target TargetID
	Idle   time.Duration
	// Feed is the registration of a live feed, if there is one.
	Feed *Request
	// FeedToken is the token under which the feed is registered at the target.
	FeedToken AttemptToken
	// RetransmissionWindow is the time in which repetitions of requests may arrive that were made before the
	// flow was placed or moved.
	RetransmissionWindow time.Duration
	// MayBeElsewhere is true when the flow may be known to be on another target elsewhere.
	MayBeElsewhere bool
}

// RecordState is the state of a non-idempotent request.
type RecordState uint8

// States of a record.
const (
	RecordQueued RecordState = iota
	RecordSent
	RecordDone
	RecordNotRun
	RecordUnknown
)

// RequestRecord is the record of a non-idempotent request in a handover.
type RequestRecord struct {
	Flow  FlowKey
	ID    RequestID
	State RecordState
	// TTL is the remaining life of the record.
	TTL    time.Duration
	Answer []byte
	// Idempotent is true for a request in flight that only takes a slot and has no record.
	Idempotent bool
}

// HandoverChunk carries part of a target's state.
type HandoverChunk struct {
	Target       TargetID
	FencingToken FencingToken
	Flows        []FlowState
	Records      []RequestRecord
}

// HandoverEnd ends the handover; Chunks is the number of chunks sent.
type HandoverEnd struct {
	Target       TargetID
	FencingToken FencingToken
	Chunks       uint32
}

// HandoverAck confirms that the receiver holds the target.
type HandoverAck struct {
	Target       TargetID
	FencingToken FencingToken
	OK           bool
}

// RequestOutcome reports the end of a request that the former holder had in flight.
type RequestOutcome struct {
	Target       TargetID
	FencingToken FencingToken
	Record       RequestRecord
	// Idempotent requests have no record; only the slot is given back.
	Idempotent bool
}

// StatusPull asks a peer for what it knows about its zone's VMs.
type StatusPull struct{}

// StatusPush answers a StatusPull.
type StatusPush struct{ VMs []VMStatus }

func (*Heartbeat) isMessage()      {}
func (*ConfigPull) isMessage()     {}
func (*ConfigPush) isMessage()     {}
func (*MembersPull) isMessage()    {}
func (*MembersPush) isMessage()    {}
func (*ForwardRequest) isMessage() {}
func (*FlowLearned) isMessage()    {}
func (*FlowQuery) isMessage()      {}
func (*FlowReply) isMessage()      {}
func (*RecordStarted) isMessage()  {}
func (*RecordAck) isMessage()      {}
func (*HandoverBegin) isMessage()  {}
func (*HandoverChunk) isMessage()  {}
func (*HandoverEnd) isMessage()    {}
func (*HandoverAck) isMessage()    {}
func (*RequestOutcome) isMessage() {}
func (*StatusPull) isMessage()     {}
func (*StatusPush) isMessage()     {}
