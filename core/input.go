package core

import (
	"net/netip"
	"time"
)

// Input is an occurrence that the core of an entry VM processes. The concrete types are listed in this file.
type Input interface{ isInput() }

// Method is what a request asks for, as far as the core distinguishes it.
type Method uint8

// Methods. MethodOther covers idempotent requests without an effect on the flow.
const (
	MethodOther Method = iota
	// MethodSubscribe opens a live feed.
	MethodSubscribe
	// MethodUnsubscribe closes a live feed.
	MethodUnsubscribe
	// MethodCancel cancels the request with the same id or, when it is a CoAP reset, the request whose
	// CancelledBy returns true.
	MethodCancel
)

// Request is a client's request in the form that the core processes. The payload is opaque.
type Request struct {
	Flow       FlowKey
	ID         RequestID
	Method     Method
	Class      Class
	Idempotent bool
	// Deadline is the time that remained when the packet reached the ingress VM; 0 means the
	// service's default.
	Deadline time.Duration
	// Feed identifies the live feed that a request opens or closes within its flow, so that a flow
	// can have several feeds; 0 means that the feed's id is unknown, and ID is used instead.
	Feed uint64
	// Sticky is true for a request of a sequence that one target must receive in full (a block-wise upload).
	Sticky  bool
	Trace   TraceContext
	Payload []byte
}

// ClientRequest is a request that the fabric delivered to this VM.
type ClientRequest struct{ Request Request }

// AnswerStatus is the outcome of an attempt as reported by the target.
type AnswerStatus uint8

// Outcomes of an attempt.
const (
	// AnswerOK: the request ran; the payload may still report an error to the client.
	AnswerOK AnswerStatus = iota
	// AnswerShed: the target refused the request and did not run it.
	AnswerShed
	// AnswerCancelled: the target cancelled the request before it ran.
	AnswerCancelled
	// AnswerNotification: a message of a live feed; more follow.
	AnswerNotification
)

// LoadReport is the load that a target reports in its answers or at its load endpoint.
type LoadReport struct {
	InUse    uint16
	Slots    uint16
	Cold     bool
	Draining bool
	// BootID changes when the target's process restarts; 0 means not reported.
	BootID uint64
}

// TargetAnswer is a message from a target.
type TargetAnswer struct {
	// From is the source address of the message; Flow, with its service, is read from the header.
	From    netip.AddrPort
	Flow    FlowKey
	Token   AttemptToken
	Status  AnswerStatus
	Load    *LoadReport
	Payload []byte
}

// TargetProbe is the result of a request to a target's health or load endpoint. It may be outdated or wrong.
type TargetProbe struct {
	Target TargetID
	OK     bool
	Load   *LoadReport
}

// PeerMessage is a message from another VM.
type PeerMessage struct {
	From VMName
	Msg  Message
}

// LinkState is the state of the link to a peer, as observed by the driver.
type LinkState uint8

// States of a link.
const (
	// LinkUp: a link was established with a peer whose name was authenticated.
	LinkUp LinkState = iota
	// LinkDown: the link failed for an unknown reason.
	LinkDown
	// LinkRefused: the peer's machine is reachable, but no process listens (connection refused).
	LinkRefused
)

// LinkEvent is a state change of the link to a peer.
type LinkEvent struct {
	Peer  VMName
	State LinkState
}

// HeadsRead is a successful read of the versions of the platform's objects.
type HeadsRead struct {
	// StartedAt is when the read was sent; the versions were current at some time after it.
	StartedAt  time.Duration
	Generation Generation
	Epochs     map[ZoneName]Epoch
}

// ManifestRead is a successful read of the manifest.
type ManifestRead struct {
	StartedAt  time.Duration
	Generation Generation
	Text       []byte
}

// MembersRead is a successful read of a zone's member list; Epoch 0 means that none exists.
type MembersRead struct {
	StartedAt time.Duration
	Zone      ZoneName
	Epoch     Epoch
	Members   []Member
}

// Member is a VM in a zone's member list.
type Member struct {
	Name        VMName      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
	// Addr is the address of the VM's peer port.
	Addr netip.AddrPort `json:"addr"`
	// Joined is the epoch in which the VM was added, as predicted by the writer of the list. From it a VM
	// detects that it was removed and added again.
	Joined Epoch `json:"joined,omitempty"`
	// JoinedEmptyZone is true when the VM was added to a list without members, while VMs of other zones
	// may have owned the zone's targets.
	JoinedEmptyZone bool `json:"founder,omitempty"`
}

// VMListRead is a successful read of the platform's list of VMs, which may be outdated.
type VMListRead struct{ VMs []ListedVM }

// ListedVM is an entry of the platform's list of VMs.
type ListedVM struct {
	Name    VMName         `json:"name"`
	Zone    ZoneName       `json:"zone"`
	Addr    netip.AddrPort `json:"addr"`
	Leaving bool           `json:"leaving"`
}

// WriteOutcome is the outcome of a conditional write.
type WriteOutcome uint8

// Outcomes of a write.
const (
	WriteDone WriteOutcome = iota
	WriteConflict
	// WriteUnknown: no response was received; the write may have taken effect.
	WriteUnknown
)

// MembersWritten is the outcome of a WriteMembers action.
type MembersWritten struct {
	Zone    ZoneName
	Outcome WriteOutcome
	// Epoch is the new epoch when Outcome is WriteDone.
	Epoch Epoch
}

// PlatformFailed reports that a read of a platform object failed.
type PlatformFailed struct{ Object string }

// Tick reports only that time has passed. A driver sends one at least every 50 ms.
type Tick struct{}

// Stop starts a planned stop: the VM hands over its targets and finishes the requests in flight.
type Stop struct{}

// SnapshotPublished carries a new snapshot from control to a traffic shard.
type SnapshotPublished struct{ Snapshot *Snapshot }

// TakeOver makes a traffic shard the owner of a target without a handover. A second TakeOver with the
// fencing token under which the shard already owns the target only replaces the times of the first: it
// ends or starts the wait for a previous owner.
type TakeOver struct {
	Target       TargetID
	FencingToken FencingToken
	// FirstOwner is true when no VM can have owned the target before.
	FirstOwner bool
	// PreviousOwnerUntil is the time until which a previous owner may still act; 0 when its process has
	// certainly ended or there was none, PreviousOwnerUntilUnknown while the time is unknown. Admission to
	// the target and non-idempotent requests wait until then.
	PreviousOwnerUntil time.Duration
	// PreviousOwnerEndedBy is the latest time at which the previous owner can have acted. The quarantine of
	// non-idempotent requests is derived from it.
	PreviousOwnerEndedBy time.Duration
	// BackupInSync is true when this VM was the previous owner's backup and has all its records.
	BackupInSync bool
}

// StartHandover makes a traffic shard hand a target over to another VM.
type StartHandover struct {
	Target       TargetID
	To           VMName
	FencingToken FencingToken
}

// DropTarget makes a traffic shard give up a target that another VM owns under a higher fencing token.
type DropTarget struct {
	Target       TargetID
	Owner        VMName
	FencingToken FencingToken
}

// ShardReport carries an action of a traffic shard to control: OwnerChanged, LoadChanged or
// ShardDrained.
type ShardReport struct{ Action Action }

func (ClientRequest) isInput()     {}
func (TargetAnswer) isInput()      {}
func (TargetProbe) isInput()       {}
func (PeerMessage) isInput()       {}
func (LinkEvent) isInput()         {}
func (HeadsRead) isInput()         {}
func (ManifestRead) isInput()      {}
func (MembersRead) isInput()       {}
func (VMListRead) isInput()        {}
func (MembersWritten) isInput()    {}
func (PlatformFailed) isInput()    {}
func (Tick) isInput()              {}
func (Stop) isInput()              {}
func (SnapshotPublished) isInput() {}
func (TakeOver) isInput()          {}
func (StartHandover) isInput()     {}
func (ShardReport) isInput()       {}
func (DropTarget) isInput()        {}
