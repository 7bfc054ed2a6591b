package core

import "time"

// Snapshot is the view of control that traffic works with. Control builds a new one for every
// change; it is immutable once published.
type Snapshot struct {
	Self        VMName
	Zone        ZoneName
	Incarnation Incarnation
	Config      *Config
	// Services has an entry for every service in Config.
	Services map[ServiceID]*ServiceSnapshot
	// Targets has an entry for every target in Config and for removed targets that may still have
	// flows or records.
	Targets map[TargetID]*TargetSnapshot
	// AuthorityUntil is the time until which this VM may start non-idempotent requests and send to
	// cold targets; it is not after now when the VM has no authority. For a target that a shard
	// holds it counts only once the target's view names this VM with the shard's holding number:
	// after a handover control may first have to find out whether the sender was its holder.
	AuthorityUntil time.Duration
	// NewestGeneration is the newest generation that any peer or the platform was heard to have.
	NewestGeneration Generation
	// NewestGenerationSince is when NewestGeneration was first heard of.
	NewestGenerationSince time.Duration
	// Peers are the VMs that can be asked about flows, without Self.
	Peers []VMName
	// Silent are the VMs that may serve flows with authority but are not heard.
	Silent []VMName
	// Leaving is true while this VM drains.
	Leaving bool
}

// ServiceSnapshot is a service with the target sets that decide the primaries of its flows.
type ServiceSnapshot struct {
	Service *Service
	// Current holds the targets that accept new flows.
	Current TargetSet
	// PreviousSets holds earlier sets, newest first, at most MaxPreviousSets.
	PreviousSets []PreviousSet
}

// MaxPreviousSets bounds the former target sets per service.
const MaxPreviousSets = 16

// TargetSet is the input of rendezvous hashing: targets and their weights, in ascending id order.
type TargetSet struct {
	IDs     []TargetID
	Weights []float64
}

// PreviousSet is a target set that was replaced.
type PreviousSet struct {
	Set TargetSet
	// ReplacedAt is when this VM installed the next set.
	ReplacedAt time.Duration
}

// TargetSnapshot is a target with what control knows about its holder and its state.
type TargetSnapshot struct {
	Target Target
	// Owner is the VM that has the target's state; empty when none is known.
	Owner VMName
	// FencingToken is the holding number of Holder.
	FencingToken FencingToken
	// AssignedOwner is the VM that should hold the target; empty when its zone has no member and no other
	// zone is in service.
	AssignedOwner VMName
	// Backup is the VM that keeps copies of the holder's started records; empty when there is none.
	Backup VMName
	// ZoneOut is true when operators have taken the target's zone out; it gets no packets.
	ZoneOut bool
	// Removed is true when the target is no longer in the configuration.
	Removed bool
	// RemovedAt is when this VM installed the configuration without the target.
	RemovedAt time.Duration
	// NotBefore is the time before which the target gets no packets (address quarantine).
	NotBefore time.Duration
	// Draining is true when the target drains, by manifest, platform list or its own answers.
	Draining bool
	// Load is the newest load that the holder announced.
	Load TargetLoad
}

// Accepts reports whether the target takes new flows at the given time.
func (t *TargetSnapshot) Accepts(now time.Duration) bool {
	return !t.ZoneOut && !t.Removed && !t.Draining && now >= t.NotBefore && t.Target.Weight > 0
}

// TargetLoad is what a holder announces about a target.
type TargetLoad struct {
	Flows    uint32
	InFlight uint16
	Limit    uint16
	Queued   uint16
	Cold     bool
	Draining bool
}
