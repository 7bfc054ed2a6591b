package core

import (
	"net/netip"
	"time"
)

// Message is a message between entry VMs. The concrete types are listed in this file; package
// internal/wire encodes them.
type Message interface{ isMessage() }

// VMState is the state of a VM, announced in its heartbeats.
type VMState uint8

// States of a VM.
const (
	VMJoining VMState = iota
	VMLive
	VMLeaving
)

// Heartbeat announces a VM's state to its peers every HeartbeatInterval.
type Heartbeat struct {
	Zone        ZoneName
	Addr        netip.AddrPort
	Incarnation Incarnation
	Seq         uint64
	// AckSeq is the newest Seq received from the VM to which this heartbeat is sent.
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

// ZoneEpoch is the newest epoch of a zone's member list that a VM has.
type ZoneEpoch struct {
	Zone  ZoneName
	Epoch Epoch
}

// OwnedTarget announces a target that the sender owns.
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

// ForwardRequest carries a client's request to the owner of a target.
type ForwardRequest struct {
	Request Request
	// Target is the candidate whose owner receives the message.
	Target TargetID
	// RemainingCandidates lists the candidates whose owners have not been asked yet, oldest first.
	RemainingCandidates []TargetID
	// FlowKnown is true when the sender has a record that the flow is on Target.
	FlowKnown bool
	// NoRecordElsewhere is true when the owners of all previous candidates have reported that they have no
	// record of the request; only then may a non-idempotent request of an unknown flow start.
	NoRecordElsewhere bool
	// OwnerUnreachable is true when the owner of a previous candidate could not be asked.
	OwnerUnreachable bool
	// AskedTargets lists the targets whose owners were asked for the flow, including unreachable owners.
	AskedTargets []TargetID
	// FlowMoved is true when the flow was moved to Target from another target within RequestLifetime, so
	// that the owner of that target may have records of its requests.
	FlowMoved bool
	// PeersQueried is true when peers were asked about the flow.
	PeersQueried bool
	// KeepPlacement is true for an idempotent request that another target has shed: it runs on Target, and
	// its flow keeps its placement.
	KeepPlacement bool
	// Renewal is true when Request registers a live feed again whose client has already received the
	// first answer.
	Renewal    bool
	Ingress    VMName
	Hops       uint8
	Generation Generation
	// Age is the time since the packet reached the ingress VM, as the sum of the delays that VMs measured.
	Age time.Duration
}

// FlowLearned reports to an ingress VM which target a flow is on.
type FlowLearned struct {
	Flow   FlowKey
	Target TargetID
}

// FlowQuery asks a peer for the target of a flow.
type FlowQuery struct {
	Flow FlowKey
	// Seq is set when every shard of the peer has to reply, with or without an entry of the flow.
	Seq uint64
}

// FlowReply is the reply to a FlowQuery; Target 0 means that the sender has no entry of the flow.
type FlowReply struct {
	Flow   FlowKey
	Target TargetID
	// Seq is the Seq of the query. If it is set, Shard is the index of the shard that replies, and Shards the
	// number of shards of its VM.
	Seq           uint64
	Shard, Shards uint32
	// Unconfirmed is true when no owner has confirmed that the flow is on Target: Target was the flow's only
	// candidate when the sender received a packet of the flow.
	Unconfirmed bool
}

// RecordStarted asks the backup to keep a copy of the record of a started request.
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
	// Limit and Cold are the admission state; SinceRampStep is the time since the last change of the limit.
	Limit         uint16
	Cold          bool
	SinceRampStep time.Duration
	BootID        uint64
	InFlight      uint16
	// QuarantineLeft is the remaining time of the sender's own quarantine of the target.
	QuarantineLeft time.Duration
	// PreviousOwnerLeft is the time for which an owner before the sender may still act.
	PreviousOwnerLeft time.Duration
	// RecoveryLeft is the time in which flows of a lost owner before the sender may still appear.
	RecoveryLeft time.Duration
	// PreviousSets are the previous target sets of the service that the sender has, newest first. The
	// receiver may have started after they were replaced.
	PreviousSets []PreviousSetAge
}

// PreviousSetAge is a previous target set in a handover.
type PreviousSetAge struct {
	Set TargetSet
	// Age is the time since the set was replaced.
	Age time.Duration
}

// FlowState is a flow in a handover.
type FlowState struct {
	Flow FlowKey
	// Target is the target on which the flow is placed. It differs from the target handed over when the
	// flow is redirected.
	Target TargetID
	Idle   time.Duration
	// Feed is the registration of a live feed, if there is one.
	Feed *Request
	// FeedToken is the token under which the feed is registered at the target.
	FeedToken AttemptToken
	// RetransmissionWindow is the time in which retransmissions may still arrive of requests that were first
	// sent before the flow was placed or moved.
	RetransmissionWindow time.Duration
	// MayBeElsewhere is true when another VM may have a record that the flow is on another target.
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
	// TTL is the remaining lifetime of the record.
	TTL    time.Duration
	Answer []byte
	// Idempotent is true for a request in flight that only occupies a slot and has no record.
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

// HandoverAck is the receiver's reply to a HandoverEnd; OK is true when it now owns the target.
type HandoverAck struct {
	Target       TargetID
	FencingToken FencingToken
	OK           bool
}

// RequestOutcome reports the end of a request that the previous owner had in flight at a handover.
type RequestOutcome struct {
	Target       TargetID
	FencingToken FencingToken
	Record       RequestRecord
	// Idempotent is true for a request without a record; only its slot is released.
	Idempotent bool
}

// StatusPull asks a peer for the status of its zone's VMs.
type StatusPull struct{}

// StatusPush is the reply to a StatusPull.
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
