package forward

import "time"

// Action is what to do with a packet.
type Action uint8

// Actions.
const (
	// Drop sends nothing.
	Drop Action = iota
	// Forward sends the packet to Decision.Target, after its FlowToken was written into the packet.
	Forward
	// Reset sends a reset to the client.
	Reset
)

// String returns the action as logs show it.
func (a Action) String() string { return [...]string{"drop", "forward", "reset"}[a] }

// Reason is the reason of a decision.
type Reason uint8

// Reasons of decisions.
const (
	// Placed means that a new flow went to a target.
	Placed Reason = iota
	// PlacedAgain means that a retransmitted SYN went to a target, because the first SYN got no answer.
	PlacedAgain
	// OnFlow means that the packet went to the target that its token names.
	OnFlow
	// NoSnapshot means that control has not read the store yet.
	NoSnapshot
	// NoRoute means that no route has the packet's service address.
	NoRoute
	// RouteDropped means that the configuration in force no longer has the flow's route.
	RouteDropped
	// NoTarget means that no target of the service may get a new flow now.
	NoTarget
	// TargetGone means that the flow's target has ended.
	TargetGone
	// TargetSilent means that the flow's target does not answer this VM.
	TargetSilent
	// UnknownToken means that the packet's token names no target in the snapshot.
	UnknownToken
	// NotFromClient means that the packet has flags that clients do not send.
	NotFromClient
	// ColdLimit means that only cold targets can serve the flow, and that their budget is used up for now.
	ColdLimit
	// Overloaded means that the route's targets take so long to respond that the flow would miss the route's
	// latency objective and delay others.
	Overloaded
	// LessUrgent means that the service is short of capacity and the flow's route gives way to more urgent ones.
	LessUrgent
	// LinkFull means that the uploads under way fill the VM's link, and that the flow would be another one.
	LinkFull
)

// reasonNames are the names of reasons in logs and metrics.
var reasonNames = [...]string{
	"placed", "placed-again", "on-flow", "no-view", "no-route", "route-dropped", "no-target", "target-gone",
	"target-silent", "unknown-token", "not-from-client", "cold-limit",
	"overloaded", "less-urgent", "link-full",
}

// NumReasons is the number of reasons.
const NumReasons = len(reasonNames)

// String returns the reason as logs and metrics show it.
func (r Reason) String() string { return reasonNames[r] }

// Decision is what to do with a packet.
type Decision struct {
	Action Action
	Reason Reason
	// Target is the flow's target. When Action is Forward the packet goes to it; otherwise it may be nil.
	Target *Target
	// Probe asks for a probe of a target that did not answer. Its result goes to Forwarder.HandleProbe.
	Probe ProbeRequest
	// OpenTime is the time from a SYN to the flow's first packet after it. ResponseTime is the time from a
	// request to the client's first acknowledgement of the response. Each is 0 unless it ends with this
	// packet.
	OpenTime, ResponseTime time.Duration
}
