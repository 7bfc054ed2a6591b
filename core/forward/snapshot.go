package forward

import (
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Condition determines which packets a target may receive.
type Condition uint8

// Conditions of a target.
const (
	// Ready allows new flows and packets of open flows.
	Ready Condition = iota
	// Expired means that the target's entry disappeared a short time ago without a drain. The store may have
	// lost the entry in an outage, so the target receives new flows when no other target can.
	Expired
	// Draining allows packets of open flows only.
	Draining
	// Unusable allows packets of open flows only: the target's entry has no usable content, a later target has its address, or
	// it may have ended.
	Unusable
	// Gone allows no packets: the target was removed or replaced, and its flows are reset while the snapshot
	// is fresh.
	Gone
	// Exited allows no packets: the target's machine refuses connections, so its process has exited. Its
	// flows are lost and are reset even while the snapshot is stale.
	Exited
)

// String returns the condition as logs show it.
func (c Condition) String() string {
	return [...]string{"ready", "lapsed", "draining", "unusable", "gone", "exited"}[c]
}

// Target is one incarnation of a target in a Snapshot.
type Target struct {
	ID string
	// NumericID is the number in ID, by which the target recognises packets that are addressed to it.
	NumericID uint64
	Addr      netip.AddrPort
	Zone      core.ZoneName
	Service   string
	// Slots is the number of requests that the target processes at a time.
	Slots int
	// Token is the token of the incarnation, FlowToken the one that this VM writes into the packets of its flows.
	Token, FlowToken Token
	Condition        Condition
	// Listed is true while the store has an entry of the target.
	Listed bool
	// ColdUntil is the end of the target's cold start, until which its new flows are limited.
	ColdUntil time.Duration
	// LoadGroup names the targets that this one is compared with: those of its service in its zone.
	LoadGroup string
	// ColdShare is the number of new flows per coldWindow that this VM may give the target while it is cold.
	ColdShare int
}

// Route sends the new flows of one service address to services.
type Route struct {
	Name     string
	Backends []Backend
	// TotalWeight is the sum of the weights of Backends.
	TotalWeight int
	// MaxResponseTime is the response time above which new flows are limited; 0 means that they are not.
	MaxResponseTime time.Duration
	// LatencyObjective is the time in which a request should be answered; 0 means that there is none.
	LatencyObjective time.Duration
	// Priority is 0 for the most urgent flows. LeastUrgent is true if another route to the same services has a more urgent
	// priority, and none a less urgent one.
	Priority    int
	LeastUrgent bool
}

// SetLatencyObjective sets the response time above which new flows are limited. urgent is true for routes whose
// flows are refused last.
func (r *Route) SetLatencyObjective(objective time.Duration, urgent bool) {
	share := latencyShare
	if urgent {
		share = urgentLatencyShare
	}
	r.MaxResponseTime = time.Duration(share * float64(objective))
	r.LatencyObjective = objective
}

// Backend is a service with its share of a route's new flows.
type Backend struct {
	Service *Service
	Weight  int
}

// Service is a service with the targets that may get its new flows.
type Service struct {
	Name string
	// Local are the warm targets in this VM's zone, Remote the warm targets in other zones, Expired the targets
	// with an expired entry, which are used last, and Cold the targets of this VM's zone in their cold start.
	// Ejected targets are used only when none of Local, Remote and Cold can be.
	Local, Remote, Expired, Cold, Ejected []*Target
	// ColdLimit is the highest number of new flows per second to one cold target, over all VMs.
	ColdLimit float64
	// Slots are the slots of the service's targets that may get new flows.
	Slots SlotCounts
	// Prioritized is true if the routes to the service have different priorities.
	Prioritized bool
}

// SlotCounts are numbers of slots by the pool of their targets. RemoteCold are those of cold targets in other
// zones, to which this VM gives no flows.
type SlotCounts struct {
	Local, Remote, Cold, RemoteCold int
}

// Snapshot is the immutable state that control publishes for traffic.
type Snapshot struct {
	// ConfigVersion is the version of the configuration in force; 0 means that there is none.
	ConfigVersion uint64
	Routes        map[Endpoint]*Route
	// DroppedRoutes are the addresses of routes that an earlier configuration had and this one lacks.
	DroppedRoutes map[Endpoint]struct{}
	// Targets contains each target under the token of its incarnation, and under the other tokens that packets of its flows
	// may carry.
	Targets map[Token]*Target
	// UnreadableEntries is the number of undecodable entries whose targets may be running.
	UnreadableEntries int
	// ZoneVMs is the number of VMs of this zone; 0 when this VM does not know them.
	ZoneVMs int
	// IdleTimeout is the time without packets after which client and target may discard a flow.
	IdleTimeout time.Duration
}

// exited reports whether a target's process is known to have exited.
func (s *Snapshot) exited(token Token) bool {
	t := s.Targets[token]
	return t != nil && t.Condition == Exited
}

// LoadGroup returns the LoadGroup of the targets of a service in a zone.
func LoadGroup(service string, zone core.ZoneName) string { return service + "@" + string(zone) }

// SameZoneTargets returns up to maxSameZoneTargets random other targets of t's zone that are ready or expired.
func (s *Snapshot) SameZoneTargets(t *Target) []*Target {
	var all []*Target
	for token, other := range s.Targets {
		// A token that differs from other.Token is another one that names the same target.
		if other.Token == token && other.ID != t.ID && other.Zone == t.Zone && (other.Condition == Ready || other.Condition == Expired) {
			if all = append(all, other); len(all) == maxSameZoneTargets {
				break
			}
		}
	}
	return all
}
