package forward

import "time"

// Action says what to do with a packet.
type Action uint8

// Actions.
const (
	// Drop: nothing is sent.
	Drop Action = iota
	// Forward: the packet goes to Decision.Target with Decision.Token written into it.
	Forward
	// Reset: the client gets a reset.
	Reset
)

// String returns the action as logs show it.
func (a Action) String() string { return [...]string{"drop", "forward", "reset"}[a] }

// Reason says why a decision was taken.
type Reason uint8

// Reasons of decisions.
const (
	// Placed: a new flow went to a target.
	Placed Reason = iota
	// PlacedAgain: a copy of a SYN went to another target, as the first one did not answer.
	PlacedAgain
	// OnFlow: the packet follows the flow's token.
	OnFlow
	// NoSnapshot: control has not read the store yet.
	NoSnapshot
	// NoRoute: no route has this address.
	NoRoute
	// RouteDropped: the configuration in force no longer has the route.
	RouteDropped
	// NoTarget: no target of the service may take a new flow now.
	NoTarget
	// TargetGone: the flow's target has ended.
	TargetGone
	// TargetSilent: the flow's target does not answer this VM.
	TargetSilent
	// UnknownToken: the packet names no known target.
	UnknownToken
	// NotFromClient: the packet's flags are not those of a client.
	NotFromClient
	// ColdLimit: only targets in their cold start are left, and they have their share for now.
	ColdLimit
)

// reasonNames are the names of reasons in logs and metrics.
var reasonNames = [...]string{
	"placed", "placed-again", "on-flow", "no-view", "no-route", "route-dropped", "no-target", "target-gone",
	"target-silent", "unknown-token", "not-from-client", "cold-limit",
}

// NumReasons is the number of reasons.
const NumReasons = len(reasonNames)

// String returns the reason as logs and metrics show it.
func (r Reason) String() string { return reasonNames[r] }

// Decision is what to do with a packet.
type Decision struct {
	Action Action
	Reason Reason
	// Target is the receiver when Action is Forward.
	Target *Target
	// Probe asks for a probe of a target that did not answer. The result goes to Forwarder.Probed.
	Probe ProbeRequest
	// OpenTime is the time from a SYN to the flow's first packet after it, and Responded that from a
	// request to the first acknowledged data of its response, where this packet shows one; else 0.
	OpenTime, ResponseTime time.Duration
}
