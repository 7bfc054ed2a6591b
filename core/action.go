package core

import (
	"net/netip"
	"time"
)

// Action is an operation that the core requests from the driver. The concrete types are listed in this file.
type Action interface{ isAction() }

// SendKind is the kind of a message to a target.
type SendKind uint8

// Kinds of messages to a target.
const (
	SendRequest SendKind = iota
	// SendCancel cancels the attempt with the same token.
	SendCancel
)

// RenewalAttempt is the Attempt of a feed's registration that a VM sends without a client's packet.
const RenewalAttempt = 3

// SendTarget sends an attempt of a request, or its cancellation, to a target.
type SendTarget struct {
	Target  TargetID
	Service ServiceID
	Addr    netip.AddrPort
	Kind    SendKind
	Token   AttemptToken
	// Attempt is the number of the attempt, counted from 0 by the owner of the target. RenewalAttempt
	// marks the registration of a feed by a VM, and the end of a feed.
	Attempt uint8
	Request Request
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
}

// AnswerClient sends a target's answer to the client that sent the request.
type AnswerClient struct {
	Flow FlowKey
	ID   RequestID
	// Request is the client's packet, which the carrier needs to encode the answer.
	Request []byte
	// Notification is true for messages of a live feed after the first.
	Notification bool
	Payload      []byte
	Trace        TraceContext
}

// RejectNotification reports to a target that its notification belongs to no feed registered on this VM, so
// that the target ends that feed.
type RejectNotification struct {
	Target TargetID
	Addr   netip.AddrPort
	Flow   FlowKey
	// Payload is the rejected message.
	Payload []byte
}

// RunStatus states whether a refused request may have run.
type RunStatus uint8

// Run statuses of a refusal.
const (
	// NotRun: no target ran the request, and none will.
	NotRun RunStatus = iota
	// RunUnknown: a target may have run the request.
	RunUnknown
)

// RefusalReason is the reason why a VM refused a request.
type RefusalReason uint8

// Reasons of refusals.
const (
	ReasonNone RefusalReason = iota
	// ReasonOverload: the queue would not clear before the deadline or the class's wait limit.
	ReasonOverload
	// ReasonNoTarget: no target of the service accepts the flow.
	ReasonNoTarget
	// ReasonNoAuthority: the VM has no proof that it alone decides about the request.
	ReasonNoAuthority
	// ReasonQuarantine: a previous owner of the target may have started the request.
	ReasonQuarantine
	// ReasonOwnerUnreachable: the VM that decides about the flow cannot be reached.
	ReasonOwnerUnreachable
	// ReasonDeadline: the request's deadline passed.
	ReasonDeadline
	// ReasonShed: targets refused the request and the retry budget is used up.
	ReasonShed
	// ReasonTargetLost: the target did not answer or no longer exists.
	ReasonTargetLost
	// ReasonCancelled: the client cancelled the request.
	ReasonCancelled
	// ReasonBackup: the backup did not confirm the request's record.
	ReasonBackup
	NumReasons
)

// String returns the name that logs and metrics use.
func (r RefusalReason) String() string {
	names := [NumReasons]string{"none", "overload", "no_target", "no_authority", "quarantine",
		"owner_unreachable", "deadline", "shed", "target_lost", "cancelled", "backup"}
	if r < NumReasons {
		return names[r]
	}
	return "unknown"
}

// RefuseClient sends a refusal to a client: no target will answer its request.
type RefuseClient struct {
	Flow       FlowKey
	ID         RequestID
	Request    []byte
	Class      Class
	Reason     RefusalReason
	Run        RunStatus
	RetryAfter time.Duration
	Trace      TraceContext
}

// SendPeer sends a message to another VM, or to another shard of the same VM when To is Self.
type SendPeer struct {
	To  VMName
	Msg Message
}

// PublishSnapshot passes a new snapshot to all traffic shards.
type PublishSnapshot struct{ Snapshot *Snapshot }

// ToShard passes an input from control to the traffic shard of a target.
type ToShard struct {
	Target TargetID
	Input  Input
}

// OwnerChanged reports to control that a traffic shard now owns a target, or no longer owns it.
type OwnerChanged struct {
	Target       TargetID
	Owner        VMName
	FencingToken FencingToken
}

// LoadChanged reports to control the load of a target that this VM owns.
type LoadChanged struct {
	Target TargetID
	Load   TargetLoad
}

// ShardDrained reports to control that a shard of a leaving VM has finished all its work.
type ShardDrained struct{}

// Drained reports to the driver that a planned stop is complete.
type Drained struct{}

// ReadHeads asks for the versions of the platform's objects.
type ReadHeads struct{}

// ReadManifest asks for the manifest.
type ReadManifest struct{}

// ReadMembers asks for a zone's member list.
type ReadMembers struct{ Zone ZoneName }

// ReadVMList asks for the platform's list of VMs.
type ReadVMList struct{}

// WriteMembers replaces a zone's member list if its epoch is still Expect; Expect 0 creates it.
type WriteMembers struct {
	Zone    ZoneName
	Expect  Epoch
	Members []Member
}

// WriteStatus replaces a zone's status object.
type WriteStatus struct {
	Zone ZoneName
	VMs  []VMStatus
}

// VMStatus is what the status command shows about a VM.
type VMStatus struct {
	Name       VMName     `json:"name"`
	Zone       ZoneName   `json:"zone"`
	Generation Generation `json:"generation"`
	State      VMState    `json:"state"`
	// HeartbeatAgeMillis is the time since the VM's last heartbeat was received, in milliseconds.
	HeartbeatAgeMillis int64 `json:"heardMillis"`
}

// Dial asks the driver to open a link to a peer and to reopen it whenever it fails, until a CloseLink.
type Dial struct {
	Peer VMName
	Zone ZoneName
	Addr netip.AddrPort
}

// CloseLink asks the driver to close the link to a peer and not to open it again.
type CloseLink struct{ Peer VMName }

// Event reports an occurrence that the driver logs or counts.
type Event struct {
	Kind   EventKind
	VM     VMName
	Zone   ZoneName
	Target TargetID
	// Value is the generation, epoch or count that the kind describes.
	Value uint64
}

// EventKind is the kind of an event.
type EventKind uint8

// Events of the core.
const (
	EventConfigInstalled EventKind = iota
	EventConfigInvalid
	EventEpochInstalled
	EventPeerSuspect
	EventPeerDead
	EventPeerBack
	EventTakeOver
	EventHandoverStarted
	EventHandoverDone
	EventHandoverFailed
	EventAuthorityLost
	EventAuthorityGained
	EventClockJump
	EventTargetCold
	EventTargetWarm
	EventTargetDraining
	EventDuplicateAbsorbed
	EventAnswerDropped
	EventFlowPlaced
	EventFlowRedirected
	EventFlowLost
	EventPacketDropped
	EventPlatformDown
	EventPlatformBack
	NumEvents
)

func (SendTarget) isAction()         {}
func (AnswerClient) isAction()       {}
func (RejectNotification) isAction() {}
func (RefuseClient) isAction()       {}
func (SendPeer) isAction()           {}
func (PublishSnapshot) isAction()    {}
func (ToShard) isAction()            {}
func (OwnerChanged) isAction()       {}
func (LoadChanged) isAction()        {}
func (ShardDrained) isAction()       {}
func (Drained) isAction()            {}
func (ReadHeads) isAction()          {}
func (ReadManifest) isAction()       {}
func (ReadMembers) isAction()        {}
func (ReadVMList) isAction()         {}
func (WriteMembers) isAction()       {}
func (WriteStatus) isAction()        {}
func (Dial) isAction()               {}
func (CloseLink) isAction()          {}
func (Event) isAction()              {}
