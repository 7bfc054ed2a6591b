package core

import (
	"net/netip"
	"time"
)

// Action is something that the driver has to do. The concrete types are listed in this file.
type Action interface{ isAction() }

// SendKind says what a message to a target is.
type SendKind uint8

// Kinds of messages to a target.
const (
	SendRequest SendKind = iota
	// SendCancel withdraws the attempt with the same token.
	SendCancel
)

// RenewalAttempt is the Attempt of a feed's registration that no caller's packet asked for.
const RenewalAttempt = 3

// SendTarget sends an attempt of a request, or its cancellation, to a target.
type SendTarget struct {
	Target  TargetID
	Service ServiceID
	Addr    netip.AddrPort
	Kind    SendKind
	Token   AttemptToken
	// Attempt numbers the sendings of a request by its owner, from 0; RenewalAttempt marks the
	// registration of a feed by a VM, and the end of a feed.
	Attempt uint8
	Request Request
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
}

// AnswerClient sends a target's answer to the caller of a request.
type AnswerClient struct {
	Flow FlowKey
	ID   RequestID
	// Request is the caller's packet, which the carrier needs to form the answer.
	Request []byte
	// Notification is true for messages of a live feed after the first.
	Notification bool
	Payload      []byte
	Trace        TraceContext
}

// RejectNotification tells a target that a notification belongs to no feed that this VM knows, so that the
// target ends that feed.
type RejectNotification struct {
	Target TargetID
	Addr   netip.AddrPort
	Flow   FlowKey
	// Payload is the target's message.
	Payload []byte
}

// RunStatus says whether a refused request may have run.
type RunStatus uint8

// Run statuses of a refusal.
const (
	// NotRun: no target ran the request, and none will.
	NotRun RunStatus = iota
	// RunUnknown: a target may have run the request.
	RunUnknown
)

// RefusalReason is the true reason of a refusal.
type RefusalReason uint8

// Reasons of refusals.
const (
	ReasonNone RefusalReason = iota
	// ReasonOverload: the queue would not clear before the deadline or the class's wait limit.
	ReasonOverload
	// ReasonNoTarget: no target of the service takes the flow.
	ReasonNoTarget
	// ReasonNoAuthority: the VM cannot prove that it alone decides about the request.
	ReasonNoAuthority
	// ReasonQuarantine: a former holder may have started the request.
	ReasonQuarantine
	// ReasonOwnerUnreachable: the VM that decides about the flow cannot be reached.
	ReasonOwnerUnreachable
	// ReasonDeadline: the request's deadline passed.
	ReasonDeadline
	// ReasonShed: targets refused the request and the retry budget is used up.
	ReasonShed
	// ReasonTargetLost: the target did not answer or went away.
	ReasonTargetLost
	// ReasonCancelled: the caller withdrew the request.
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

// RefuseClient tells a caller that its request will not be answered by a target.
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

// PublishSnapshot hands a new snapshot to all traffic shards.
type PublishSnapshot struct{ Snapshot *Snapshot }

// ToShard hands an input from control to the traffic shard of a target.
type ToShard struct {
	Target TargetID
	Input  Input
}

// OwnerChanged tells control that a traffic shard has begun or ended to hold a target.
type OwnerChanged struct {
	Target       TargetID
	Owner        VMName
	FencingToken FencingToken
}

// LoadChanged tells control the load of a target that this VM holds.
type LoadChanged struct {
	Target TargetID
	Load   TargetLoad
}

// ShardDrained tells control that a leaving VM's shard has nothing left to finish.
type ShardDrained struct{}

// Drained tells the driver that a planned stop is complete.
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
	// HeartbeatAgeMillis is the time since the VM was last heard, in milliseconds.
	HeartbeatAgeMillis int64 `json:"heardMillis"`
}

// Dial asks the driver to keep a link to a peer; Hangup to give it up.
type Dial struct {
	Peer VMName
	Zone ZoneName
	Addr netip.AddrPort
}

// CloseLink asks the driver to close the link to a peer.
type CloseLink struct{ Peer VMName }

// Event reports something worth a log line or a metric.
type Event struct {
	Kind   EventKind
	VM     VMName
	Zone   ZoneName
	Target TargetID
	// Value is the generation, epoch or count that the kind describes.
	Value uint64
}

// EventKind names an event.
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
	EventTargetLeaving
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
