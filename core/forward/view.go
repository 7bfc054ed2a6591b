package forward

import (
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Condition says what a target may get.
type Condition uint8

// Conditions of a target.
const (
	// Ready: new flows and packets of open ones.
	Ready Condition = iota
	// Expired: its entry disappeared a moment ago without a drain. The store may have lost the entry in
	// an outage, so the target serves as a last resort.
	Expired
	// Draining: packets of open flows only.
	Draining
	// Unusable: its entry cannot be read. Packets of open flows only.
	Unusable
	// Gone: nothing; a flow to it is reset.
	Gone
	// Exited: nothing, as its process is gone: its machine refuses connections. Its flows are lost and
	// reset, however old the view is.
	Exited
)

// String returns the condition as logs show it.
func (c Condition) String() string {
	return [...]string{"ready", "lapsed", "draining", "unusable", "gone", "exited"}[c]
}

// Target is one lifetime of a target, as a View holds it.
type Target struct {
	ID string
	// NumericID is the number by which the target recognises packets that are meant for it.
	NumericID uint64
	Addr      netip.AddrPort
	Zone      core.ZoneName
	Service   string
	// Slots is the number of requests that the target works on at a time.
	Slots     int
	Token     Token
	Condition Condition
	// Listed is true while the store has the target's entry.
	Listed bool
	// ColdUntil is the time until which the target bears only its cold budget.
	ColdUntil time.Duration
}

// Route is an address of the platform and the services that its new flows go to.
type Route struct {
	Name     string
	Backends []Backend
	// TotalWeight is the sum of the weights of Backends.
	TotalWeight int
}

// Backend is a service with its share of a route's new flows.
type Backend struct {
	Service *Service
	Weight  int
}

// Service is a service with the targets that may get its new flows.
type Service struct {
	Name string
	// Local are the warm targets in this VM's zone, Remote those in other zones, Lapsed the last
	// resort, and Cold the targets of this VM's zone in their cold start.
	Local, Remote, Expired, Cold []*Target
	// ColdLimit is the number of new flows per second that one cold target bears, over all VMs.
	ColdLimit float64
}

// Snapshot is what control knows, for use by traffic. It is immutable.
type Snapshot struct {
	// ConfigVersion is the version of the configuration in force; 0 means that none is known.
	ConfigVersion uint64
	Routes        map[Endpoint]*Route
	// DroppedRoutes are the routes that an earlier configuration had and this one does not.
	DroppedRoutes map[Endpoint]struct{}
	Targets       map[Token]*Target
	// UnreadableEntries is the number of unreadable entries that may be those of living targets.
	UnreadableEntries int
	// ZoneVMs is the number of VMs of this zone that may place flows on cold targets.
	ZoneVMs int
	// IdleTimeout is the time after which the ends may discard a silent flow.
	IdleTimeout time.Duration
}

// exited reports whether a target's process is known to be gone.
func (v *Snapshot) exited(token Token) bool {
	t := v.Targets[token]
	return t != nil && t.Condition == Exited
}

// SameZoneTargets returns up to maxNeighbours random other targets of a target's zone.
func (v *Snapshot) SameZoneTargets(t *Target) []*Target {
	var all []*Target
	for token, n := range v.Targets {
		// Other tokens of a target are those of former lifetimes.
		if n.Token == token && n.ID != t.ID && n.Zone == t.Zone && (n.Condition == Ready || n.Condition == Expired) {
			if all = append(all, n); len(all) == maxNeighbours {
				break
			}
		}
	}
	return all
}
