package registry

import (
	"maps"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/forward"
)

const (
	// lapseReturn is the time in which the entry of a living target is back after the store has lost
	// it: the platform states about two seconds. Until then the target counts as alive.
	lapseReturn = 2500 * time.Millisecond
	// goneMemory is how long a target that has gone is remembered, so that its flows are reset. It is
	// the longest life of a flow in the users' settings (60 s).
	goneMemory = time.Minute
	// freshFor is the time after a word of the store in which a view counts as current. A source asks
	// the store at least every 1.5 s.
	freshFor = 2500 * time.Millisecond
)

// Limits are the bounds of the users' settings that a Registry needs.
type Limits struct {
	// ColdOverage and ColdSlack bound the new flows per second of a cold target: ColdOverage times its
	// ColdPerSecond plus ColdSlack.
	ColdOverage, ColdSlack float64
	// Heartbeat is the interval at which targets renew their entries.
	Heartbeat time.Duration
}

// Registry is what a VM knows of the store.
type Registry struct {
	zone   core.ZoneName
	limits Limits

	// confirmed is when the store last said that a kind was current, asOf the revision it was at; known
	// is true once the kind was read.
	confirmed [NumKinds]time.Duration
	asOf      [NumKinds]uint64
	known     [NumKinds]bool
	// freshSince is the end of the last time in which the view did not count as current.
	freshSince time.Duration
	// unreadable holds when entries of targets turned out to be unreadable.
	unreadable map[string]time.Duration

	config *Config
	// configRevision is the revision of the object that holds the configuration.
	configRevision uint64
	dropped        map[forward.Endpoint]struct{}
	targets        map[string]*entry
	// addresses holds the newest lifetime at each address.
	addresses map[netip.AddrPort]*entry
	// former are lifetimes that were replaced or removed, by token.
	former   map[forward.Token]*entry
	zonesOut map[core.ZoneName]uint64
	// returning holds the zones that were taken back a short time ago.
	returning map[core.ZoneName]zoneReturn

	zoneVMs int
	dirty   bool
	nextDue time.Duration
}

// entry is a lifetime of a target.
type entry struct {
	id       string
	target   Target
	token    forward.Token
	revision uint64
	// coldUntil is the end of the cold start as far as it is known.
	coldUntil time.Duration
	unusable  bool
	// removed is true when the entry no longer exists, since removedAt.
	removed   bool
	removedAt time.Duration
	// replaced is true when another lifetime took the id.
	replaced bool
	// observed is true once a VM saw the process end, at observedAt for the last time; exited is false
	// when it was seen to be back then.
	observed, exited bool
	observedAt       time.Duration
	// lostFrom is the time from which the flows of a process that has ended are lost.
	lostFrom time.Duration
}

// zoneReturn is a zone that operators have taken back. Its targets may have turned cold shortly before,
// and their entries say so only with their next heartbeat.
type zoneReturn struct {
	// until is the time until which all its targets count as cold.
	until time.Duration
	// revision is the store's revision that the targets must have been read at.
	revision uint64
}

// New returns an empty Registry of a VM in the given zone.
func New(zone core.ZoneName, limits Limits) *Registry {
	return &Registry{
		zone:       zone,
		limits:     limits,
		unreadable: map[string]time.Duration{},
		dropped:    map[forward.Endpoint]struct{}{},
		targets:    map[string]*entry{},
		addresses:  map[netip.AddrPort]*entry{},
		former:     map[forward.Token]*entry{},
		zonesOut:   map[core.ZoneName]uint64{},
		returning:  map[core.ZoneName]zoneReturn{},
		zoneVMs:    1,
		dirty:      true,
		nextDue:    never,
	}
}

// SetLimits replaces the limits after a change of the settings.
func (r *Registry) SetLimits(l Limits) {
	if l != r.limits {
		r.limits, r.dirty = l, true
	}
}

// SetZoneVMs sets the number of VMs of this zone.
func (r *Registry) SetZoneVMs(n int) {
	if n = max(n, 1); n != r.zoneVMs {
		r.zoneVMs, r.dirty = n, true
	}
}

// Confirm records that the store said at the given time that a kind has not changed since its last
// update.
func (r *Registry) Confirm(k Kind, at time.Duration) {
	if r.known[k] {
		before := r.FreshUntil()
		r.confirmed[k] = max(r.confirmed[k], at)
		r.noteFresh(before, at)
	}
}

// FreshSince returns the time since which the view has counted as current without a gap.
func (r *Registry) FreshSince() time.Duration { return r.freshSince }

// noteFresh records a gap in which the view did not count as current.
func (r *Registry) noteFresh(before, at time.Duration) {
	if before < at {
		r.freshSince = at
	}
}

// FreshUntil returns the time until which the view counts as current; 0 before all kinds are known.
func (r *Registry) FreshUntil() time.Duration {
	if !r.Complete() {
		return 0
	}
	return min(r.confirmed[Targets], r.confirmed[Configs], r.confirmed[ZonesOut]) + freshFor
}

// ConfirmedAt returns when the store last confirmed a kind.
func (r *Registry) ConfirmedAt(k Kind) time.Duration { return r.confirmed[k] }

// AsOf returns the store's revision at which a kind is known; 0 when it is not.
func (r *Registry) AsOf(k Kind) uint64 { return r.asOf[k] }

// Complete reports whether every kind was read at least once.
func (r *Registry) Complete() bool {
	return r.known[Targets] && r.known[Configs] && r.known[ZonesOut] && r.config != nil
}

// ConfigVersion returns the version of the configuration in force; 0 when there is none.
func (r *Registry) ConfigVersion() uint64 {
	if r.config == nil {
		return 0
	}
	return r.config.Version
}

// Change is one thing that an update changed in what the VM believes, for the log.
type Change struct {
	Kind Kind
	Name string
	// Event happened, such as "added" or "removed".
	Event    string
	Revision uint64
	// Detail adds what decided the change.
	Detail string
}

// Apply takes an update that the store gave at the given time and returns what it changed. An update
// that is older than what is known changes nothing.
func (r *Registry) Apply(u Update, at time.Duration) []Change {
	if r.known[u.Kind] && u.AsOf < r.asOf[u.Kind] {
		return []Change{{Kind: u.Kind, Event: "ignored older update", Revision: u.AsOf}}
	}
	var changes []Change
	for i := range u.Records {
		changes = r.applyRecord(changes, u, &u.Records[i], at)
	}
	if u.Full {
		changes = r.removeMissing(changes, u, at)
	}
	before := r.FreshUntil()
	r.known[u.Kind] = true
	r.asOf[u.Kind] = u.AsOf
	r.confirmed[u.Kind] = max(r.confirmed[u.Kind], at)
	r.noteFresh(before, at)
	if len(changes) > 0 || len(r.returning) > 0 {
		r.dirty = true
	}
	return changes
}

func (r *Registry) applyRecord(changes []Change, u Update, rec *Record, at time.Duration) []Change {
	switch u.Kind {
	case Targets:
		return r.applyTarget(changes, rec, at)
	case Configs:
		return r.applyConfig(changes, rec)
	default:
		return r.applyZone(changes, rec, u.AsOf, at)
	}
}

// removeMissing removes the objects that a full update does not list.
func (r *Registry) removeMissing(changes []Change, u Update, at time.Duration) []Change {
	listed := make(map[string]struct{}, len(u.Records))
	for i := range u.Records {
		listed[u.Records[i].Name] = struct{}{}
	}
	switch u.Kind {
	case Targets:
		maps.DeleteFunc(r.unreadable, func(id string, _ time.Duration) bool {
			_, ok := listed[id]
			return !ok
		})
		for id, e := range r.targets {
			if _, ok := listed[id]; !ok && !e.removed {
				changes = r.applyTarget(changes, &Record{Name: id, Revision: u.AsOf, Removed: true}, at)
			}
		}
	case ZonesOut:
		for zone := range r.zonesOut {
			if _, ok := listed[string(zone)]; !ok {
				rec := &Record{Name: string(zone), Revision: u.AsOf, Removed: true}
				changes = r.applyZone(changes, rec, u.AsOf, at)
			}
		}
	}
	return changes
}

func (r *Registry) applyConfig(changes []Change, rec *Record) []Change {
	if rec.Name != ConfigName || rec.Removed {
		// Operators replace the configuration and never remove it.
		return changes
	}
	change := Change{Kind: Configs, Name: rec.Name, Revision: rec.Revision}
	if rec.Config == nil {
		change.Event, change.Detail = "unreadable", rec.Unreadable
		return append(changes, change)
	}
	if rec.Config.Version <= r.ConfigVersion() {
		return changes
	}
	next := make(map[forward.Endpoint]struct{}, len(rec.Config.Routes))
	for i := range rec.Config.Routes {
		if e, ok := forward.NewEndpoint(rec.Config.Routes[i].Addr); ok {
			next[e] = struct{}{}
			delete(r.dropped, e)
		}
	}
	if r.config != nil {
		for i := range r.config.Routes {
			e, ok := forward.NewEndpoint(r.config.Routes[i].Addr)
			if _, kept := next[e]; ok && !kept {
				r.dropped[e] = struct{}{}
			}
		}
	}
	r.config, r.configRevision = rec.Config, rec.Revision
	change.Event = "in force"
	return append(changes, change)
}

func (r *Registry) applyZone(changes []Change, rec *Record, asOf uint64, at time.Duration) []Change {
	zone := core.ZoneName(rec.Name)
	revision, out := r.zonesOut[zone]
	change := Change{Kind: ZonesOut, Name: rec.Name, Revision: rec.Revision}
	switch {
	case out && rec.Revision < revision:
		return changes
	case rec.Removed && out:
		delete(r.zonesOut, zone)
		r.returning[zone] = zoneReturn{until: at + r.returnDelay(), revision: asOf}
		change.Event = "taken back"
	case !rec.Removed && !out:
		r.zonesOut[zone] = rec.Revision
		delete(r.returning, zone)
		change.Event = "taken out"
	default:
		return changes
	}
	return append(changes, change)
}

// returnDelay is the time in which the targets of a returning zone count as cold: two heartbeats, so
// that each has said whether it is, and the longest cold start.
func (r *Registry) returnDelay() time.Duration {
	delay := 2 * r.limits.Heartbeat
	if r.config == nil {
		return delay
	}
	longest := time.Duration(0)
	for i := range r.config.Services {
		longest = max(longest, r.config.Services[i].ColdStart)
	}
	return delay + longest
}
