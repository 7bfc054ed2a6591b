package core

import "time"

// Snapshot is the state that control publishes for traffic. Control builds a new one for every change; it is
// immutable once published.
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
	// cold targets; it is not after now when the VM has no authority. For a target that a shard owns it
	// applies only once the target's snapshot names this VM with the shard's fencing token: after a
	// handover control may first need to determine whether the sender was the owner.
	AuthorityUntil time.Duration
	// NewestGeneration is the newest generation that any peer or the platform has reported.
	NewestGeneration Generation
	// NewestGenerationSince is when NewestGeneration was first reported.
	NewestGenerationSince time.Duration
	// Peers are the VMs that can be asked about flows, without Self.
	Peers []VMName
	// Silent are the VMs that may serve flows with authority but from which no heartbeats arrive.
	Silent []VMName
	// Leaving is true during this VM's planned stop.
	Leaving bool
}

// ServiceSnapshot is a service with the target sets that determine the primary targets of its flows.
type ServiceSnapshot struct {
	Service *Service
	// Current holds the targets that accept new flows.
	Current TargetSet
	// PreviousSets holds the previous sets, newest first, at most MaxPreviousSets.
	PreviousSets []PreviousSet
}

// MaxPreviousSets is the maximum number of previous target sets per service.
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

// TargetSnapshot is a target with its owner and its state as control has them.
type TargetSnapshot struct {
	Target Target
	// Owner is the VM that has the target's state and alone sends to it; empty when none is known.
	Owner VMName
	// FencingToken is the fencing token of Owner.
	FencingToken FencingToken
	// AssignedOwner is the VM that should own the target by rendezvous hashing; empty when its zone has no
	// member and no other zone is in service.
	AssignedOwner VMName
	// Backup is the VM that keeps copies of the owner's records of started requests; empty when there is
	// none.
	Backup VMName
	// ZoneOut is true when operators have taken the target's zone out; it gets no packets.
	ZoneOut bool
	// Removed is true when the target is no longer in the configuration.
	Removed bool
	// RemovedAt is when this VM installed the configuration without the target.
	RemovedAt time.Duration
	// NotBefore is the time before which the target gets no packets (address quarantine).
	NotBefore time.Duration
	// Draining is true when the target drains according to the manifest, the platform's VM list or its
	// own answers.
	Draining bool
	// Load is the newest load that the owner has announced.
	Load TargetLoad
}

// Accepts reports whether the target accepts new flows at the given time.
func (t *TargetSnapshot) Accepts(now time.Duration) bool {
	return !t.ZoneOut && !t.Removed && !t.Draining && now >= t.NotBefore && t.Target.Weight > 0
}

// TargetLoad is the load of a target as announced by its owner.
type TargetLoad struct {
	Flows    uint32
	InFlight uint16
	Limit    uint16
	Queued   uint16
	Cold     bool
	Draining bool
}
