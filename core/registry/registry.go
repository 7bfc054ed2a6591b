package registry

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/forward"
)

const (
	// entryReturnTime is the time in which a running target's entry returns after the store has lost it. The
	// platform states about two seconds. Until then the target counts as running.
	entryReturnTime = 2500 * time.Millisecond
	// goneRetention is how long a removed target is kept, so that its flows are reset. It is the longest
	// duration of a flow in the platform's settings (60 s).
	goneRetention = time.Minute
	// freshTime is how long a snapshot is fresh after the store has confirmed it. A source of updates calls
	// the store at least every 1.5 s.
	freshTime = 2500 * time.Millisecond
)

// Limits are the values of the platform's settings that a Registry needs.
type Limits struct {
	// ColdOverage and ColdSlack bound the new flows per second of a cold target: ColdOverage times its
	// ColdPerSecond plus ColdSlack.
	ColdOverage, ColdSlack float64
	// Heartbeat is the interval at which targets renew their entries.
	Heartbeat time.Duration
	// WriteIncarnationTokens makes the VM write the tokens of incarnations into packets, for an upgrade from releases that know no
	// others.
	WriteIncarnationTokens bool
}

// Registry is a VM's copy of the store's objects.
type Registry struct {
	zone   core.ZoneName
	limits Limits

	// confirmed is when the store last confirmed that a kind was up to date, asOf the store's revision of the
	// kind. received is true once the kind was read.
	confirmed [NumKinds]time.Duration
	asOf      [NumKinds]Revision
	received  [NumKinds]bool
	// restoredAt is when the targets were first read from the present history of a store that was restored, 0 if it was not.
	restoredAt time.Duration
	// held are records that take effect later, because they differ from what this VM knew before the store was restored.
	held map[heldKey]heldRecord
	// freshSince is the end of the last time in which the snapshot was stale.
	freshSince time.Duration
	// unreadable contains the ids of targets with an unreadable entry and when such an entry was last
	// received.
	unreadable map[string]time.Duration

	config *Config
	// configRevision is the revision of the object that holds the configuration.
	configRevision Revision
	// configs are the most recent configurations.
	configs       ConfigHistory
	droppedRoutes map[forward.Endpoint]struct{}
	// services contains the names of the configuration's services.
	services map[string]struct{}
	targets  map[string]*incarnation
	// unconfigured contains the entries whose service the configuration does not have, by id. They have no effect until a
	// configuration has it.
	unconfigured map[string]receivedRecord
	// byAddress contains the incarnations in targets by their addresses.
	byAddress map[netip.AddrPort][]*incarnation
	// previous contains incarnations that were replaced, by token.
	previous map[forward.Token]*incarnation
	zonesOut map[core.ZoneName]Revision
	// takenBack contains the revision of the object of each zone that was out of service, when the zone was taken back.
	takenBack map[core.ZoneName]Revision
	// returningZones contains the zones that were taken back into service a short time ago.
	returningZones map[core.ZoneName]zoneReturn

	// forgotten contains the targets that no longer count as ended, for the log.
	forgotten []string

	// self is this VM, members are the VMs of its zone; empty when they are not known.
	self         forward.VMID
	members      []forward.VMID
	changed      bool
	nextSnapshot time.Duration
}

// incarnation is one run of a target's process.
type incarnation struct {
	id     string
	target Target
	// name is the token of the target, token that of the incarnation.
	name, token forward.Token
	revision    Revision
	// coldUntil is the end of the cold start according to the target's entry.
	coldUntil time.Duration
	unusable  bool
	// removed is true when the entry no longer exists, removedAt is when it was removed or replaced.
	removed   bool
	removedAt time.Duration
	// replaced is true when a later incarnation has the same id.
	replaced bool
	// observed is true once a VM has observed that the process ended. observedAt is the time of the newest
	// observation. exited is true if that observation showed that the process has ended, and false if it
	// showed that the process runs again.
	observed, exited bool
	observedAt       time.Duration
	// endConfirmed is true if the entry was removed while the target counted as ended. renewed is true if the observation was
	// renewed since it was last sent to other VMs.
	endConfirmed, renewed bool
	// forgotten is true once the observation that the process ended is no longer in force.
	forgotten bool
	// ejectedUntil is the end of the target's ejection.
	ejectedUntil time.Duration
	// lostFrom is the time from which the flows of a process that has ended are reset.
	lostFrom time.Duration
}

// zoneReturn describes a zone that operators have taken back into service. Its targets may have become cold
// shortly before, which their entries show only after their next heartbeat.
type zoneReturn struct {
	// at is when the zone was taken back.
	at time.Duration
	// revision is the store's revision at which the zone was taken back. Targets that were last read at an
	// earlier revision count as cold, too.
	revision Revision
}

// New returns an empty Registry of a VM in the given zone.
func New(zone core.ZoneName, limits Limits) *Registry {
	return &Registry{
		zone:           zone,
		limits:         limits,
		unreadable:     map[string]time.Duration{},
		droppedRoutes:  map[forward.Endpoint]struct{}{},
		services:       map[string]struct{}{},
		targets:        map[string]*incarnation{},
		unconfigured:   map[string]receivedRecord{},
		byAddress:      map[netip.AddrPort][]*incarnation{},
		previous:       map[forward.Token]*incarnation{},
		zonesOut:       map[core.ZoneName]Revision{},
		held:           map[heldKey]heldRecord{},
		takenBack:      map[core.ZoneName]Revision{},
		returningZones: map[core.ZoneName]zoneReturn{},
		changed:        true,
		nextSnapshot:   never,
	}
}

// SetLimits replaces the limits, after a change of the settings.
func (r *Registry) SetLimits(l Limits) {
	if l != r.limits {
		r.limits, r.changed = l, true
	}
}

// SetMembers sets this VM and the VMs of its zone, in any order and without duplicates. While members is
// empty, this VM gives cold targets no flows.
func (r *Registry) SetMembers(self forward.VMID, members []forward.VMID) {
	if self != r.self || !slices.Equal(members, r.members) {
		r.self, r.members, r.changed = self, members, true
	}
}

// Confirm records that the store confirmed at the given time that a kind has not changed since its last update.
func (r *Registry) Confirm(k Kind, at time.Duration) {
	if r.received[k] {
		freshUntil := r.FreshUntil()
		r.confirmed[k] = max(r.confirmed[k], at)
		r.updateFreshSince(freshUntil, at)
		if k == Targets && len(r.returningZones) > 0 {
			r.changed = true
		}
	}
}

// FreshSince returns the time since which the snapshot has been fresh without a gap.
func (r *Registry) FreshSince() time.Duration { return r.freshSince }

// updateFreshSince sets freshSince if the snapshot was stale before the confirmation at the given time.
// freshUntil is the end of the fresh time before it.
func (r *Registry) updateFreshSince(freshUntil, at time.Duration) {
	if freshUntil < at {
		r.freshSince = at
	}
}

// FreshUntil returns the time until which the snapshot is fresh; 0 before every kind was read.
func (r *Registry) FreshUntil() time.Duration {
	if !r.Complete() {
		return 0
	}
	return min(r.confirmed[Targets], r.confirmed[Configs], r.confirmed[ZonesOut]) + freshTime
}

// ConfirmedAt returns when the store last confirmed a kind.
func (r *Registry) ConfirmedAt(k Kind) time.Duration { return r.confirmed[k] }

// AsOf returns the store's revision of the last update of a kind; zero before the kind was read.
func (r *Registry) AsOf(k Kind) Revision { return r.asOf[k] }

// Complete reports whether every kind was read at least once and there is a configuration.
func (r *Registry) Complete() bool {
	return r.received[Targets] && r.received[Configs] && r.received[ZonesOut] && r.config != nil
}

// ConfigVersion returns the version of the configuration in force; 0 when there is none.
func (r *Registry) ConfigVersion() uint64 {
	if r.config == nil {
		return 0
	}
	return r.config.Version
}

// Change is one change by an update, for the log.
type Change struct {
	Kind Kind
	Name string
	// Event is what happened, such as "added" or "removed". It is the log message.
	Event    string
	Revision Revision
	// Detail is the cause of the change, or empty.
	Detail string
}

// Apply applies an update that the store sent at the given time and returns the changes. An update that does not follow the
// last one of its kind is returned as a change for the log, and AsOf stays as it is. Only a newer configuration is taken from
// it, as configurations have versions of their own.
func (r *Registry) Apply(update Update, at time.Duration) []Change {
	var changes []Change
	kind, known := update.Kind, r.asOf[update.Kind]
	if r.received[kind] && !update.Follows(known) {
		changes = append(changes, Change{Kind: kind, Event: "ignored older update", Revision: update.AsOf})
		if kind == Configs {
			changes = r.applyRecords(changes, update, false, at)
		}
		return changes
	}
	restored := r.received[kind] && update.AsOf.Era != known.Era
	if restored || update.AsOf.Era > firstEra && !r.received[kind] {
		// A VM that starts cannot know how long ago the store was restored.
		r.beginHistory(kind, at)
	}
	changes = r.applyRecords(changes, update, restored, at)
	if update.Full {
		changes = r.removeMissing(changes, update, restored, at)
	}
	freshUntil := r.FreshUntil()
	r.received[kind] = true
	r.asOf[kind] = update.AsOf
	r.confirmed[kind] = max(r.confirmed[kind], at)
	r.updateFreshSince(freshUntil, at)
	if len(changes) > 0 || len(r.returningZones) > 0 {
		r.changed = true
	}
	return changes
}

// applyRecords applies the records of an update. restored is true for the first list of another history of the store.
func (r *Registry) applyRecords(changes []Change, update Update, restored bool, at time.Duration) []Change {
	for i := range update.Records {
		rec := &update.Records[i]
		// Another VM sends what it has kept of an earlier history.
		kept := update.Full && rec.Revision.Era < update.AsOf.Era
		if !restored && !kept && !r.supersedes(update.Kind, rec) {
			continue
		}
		switch update.Kind {
		case Configs:
			changes = r.applyConfig(changes, rec)
		case Targets:
			if restored && !kept {
				changes = r.applyRestoredTarget(changes, rec, at)
				continue
			}
			changes = r.applyTarget(changes, rec, at)
			if inc := r.targets[rec.Name]; kept && inc != nil && inc.revision.Era < update.AsOf.Era {
				changes = r.holdMissingTarget(changes, rec.Name, update.AsOf, at)
			}
		case ZonesOut:
			if restored && !kept {
				changes = r.applyRestoredZone(changes, rec, at)
				continue
			}
			changes = r.applyZone(changes, rec, update.AsOf, at)
			if revision, out := r.zonesOut[core.ZoneName(rec.Name)]; kept && out && revision.Era < update.AsOf.Era {
				changes = r.holdMissingZone(changes, rec.Name, update.AsOf, at)
			}
		}
	}
	return changes
}

// removeMissing removes the objects that a full update does not contain, or holds that back if the update is the first one of
// another history of the store.
func (r *Registry) removeMissing(changes []Change, update Update, restored bool, at time.Duration) []Change {
	listed := make(map[string]struct{}, len(update.Records))
	for i := range update.Records {
		listed[update.Records[i].Name] = struct{}{}
	}
	isHeld := func(name string) bool {
		_, ok := r.held[heldKey{update.Kind, name}]
		return ok
	}
	switch update.Kind {
	case Targets:
		maps.DeleteFunc(r.unreadable, func(id string, _ time.Duration) bool {
			_, ok := listed[id]
			return !ok
		})
		maps.DeleteFunc(r.unconfigured, func(id string, _ receivedRecord) bool {
			_, ok := listed[id]
			return !ok
		})
		for id, inc := range r.targets {
			switch _, ok := listed[id]; {
			case ok:
			case restored:
				changes = r.holdMissingTarget(changes, id, update.AsOf, at)
			case !inc.removed && !isHeld(id):
				changes = r.applyTarget(changes, &Record{Name: id, Revision: update.AsOf, Removed: true}, at)
			}
		}
	case ZonesOut:
		for zone := range r.zonesOut {
			name := string(zone)
			switch _, ok := listed[name]; {
			case ok:
			case restored:
				changes = r.holdMissingZone(changes, name, update.AsOf, at)
			case !isHeld(name):
				changes = r.applyZone(changes, &Record{Name: name, Revision: update.AsOf, Removed: true}, update.AsOf, at)
			}
		}
	}
	return changes
}

func (r *Registry) applyConfig(changes []Change, rec *Record) []Change {
	if rec.Name != ConfigName || rec.Removed {
		// Operators replace the configuration but never remove it.
		return changes
	}
	change := Change{Kind: Configs, Name: rec.Name, Revision: rec.Revision}
	if rec.Config == nil {
		change.Event, change.Detail = "unreadable", rec.Unreadable
		return append(changes, change)
	}
	if rec.Config.Version <= r.ConfigVersion() {
		if r.configRevision.Era < rec.Revision.Era && rec.Config.Version < r.ConfigVersion() {
			change.Event = "kept a configuration that is newer than that of the store"
			change.Detail = fmt.Sprintf("the store has version %d: write the newest version again", rec.Config.Version)
			changes = append(changes, change)
		}
		if r.configRevision.Before(rec.Revision) && rec.Config.Version == r.ConfigVersion() {
			r.configRevision = rec.Revision
		}
		return changes
	}
	next := make(map[forward.Endpoint]struct{}, len(rec.Config.Routes))
	for i := range rec.Config.Routes {
		if e, ok := forward.NewEndpoint(rec.Config.Routes[i].Addr); ok {
			next[e] = struct{}{}
			delete(r.droppedRoutes, e)
		}
	}
	if r.config != nil {
		for i := range r.config.Routes {
			e, ok := forward.NewEndpoint(r.config.Routes[i].Addr)
			if _, kept := next[e]; ok && !kept {
				r.droppedRoutes[e] = struct{}{}
			}
		}
	}
	first := r.config == nil
	r.config, r.configRevision = rec.Config, rec.Revision
	r.configs.Add(rec.Config)
	change.Event = "configuration in force"
	clear(r.services)
	for i := range rec.Config.Services {
		r.services[rec.Config.Services[i].Name] = struct{}{}
	}
	if first {
		r.removeUnconfigured()
	}
	return r.applyConfigured(append(changes, change))
}

func (r *Registry) applyZone(changes []Change, rec *Record, asOf Revision, at time.Duration) []Change {
	zone := core.ZoneName(rec.Name)
	revision, out := r.zonesOut[zone]
	change := Change{Kind: ZonesOut, Name: rec.Name, Revision: rec.Revision}
	switch {
	case out && rec.Revision.Before(revision):
		return changes
	case rec.Removed && out:
		delete(r.zonesOut, zone)
		r.takenBack[zone] = revision
		r.returningZones[zone] = zoneReturn{at: at, revision: asOf}
		change.Event = "zone taken back into service"
	case !rec.Removed && !out:
		r.zonesOut[zone] = rec.Revision
		delete(r.returningZones, zone)
		change.Event = "zone taken out of service"
	case out:
		r.zonesOut[zone] = rec.Revision
		return changes
	default:
		return changes
	}
	return append(changes, change)
}

// ReturnedZone is a zone that was taken back into service a short time ago. VMs send it to VMs that start, since the
// store has no trace of it and the entries of its targets may not show yet that they are cold.
type ReturnedZone struct {
	Zone core.ZoneName
	// Age is the time since the zone was taken back.
	Age time.Duration
	// Revision is the store's revision at which it was taken back.
	Revision Revision
}

// ReturnedZones returns the zones whose targets count as cold because the zone was taken back into service.
func (r *Registry) ReturnedZones(now time.Duration) []ReturnedZone {
	var all []ReturnedZone
	for zone, returned := range r.returningZones {
		all = append(all, ReturnedZone{Zone: zone, Age: now - returned.at, Revision: returned.revision})
	}
	return all
}

// ApplyReturnedZone records a returned zone of which another VM knows. It changes nothing if this VM knows of it, or
// has read a later state of the zones out of service.
func (r *Registry) ApplyReturnedZone(z ReturnedZone, now time.Duration) {
	_, out := r.zonesOut[z.Zone]
	_, known := r.returningZones[z.Zone]
	if out || known || r.received[ZonesOut] {
		return
	}
	r.returningZones[z.Zone] = zoneReturn{at: now - max(z.Age, 0), revision: z.Revision}
	r.changed = true
}

// entryRenewalTime returns the time in which each target's entry shows whether the target is cold. A heartbeat may
// be lost, or hidden for a second while the store drops its history.
func (r *Registry) entryRenewalTime() time.Duration { return 2 * r.limits.Heartbeat }

// entriesRenewed reports whether the store has confirmed the targets without a gap since the return of a zone, until
// each target has renewed its entry. Its targets are then as cold as their entries show.
func (r *Registry) entriesRenewed(returned zoneReturn) bool {
	return r.freshSince <= returned.at && r.confirmed[Targets] >= returned.at+r.entryRenewalTime()
}

// zoneColdTime returns how long the targets of a returning zone count as cold at most: until their entries show
// whether they are, and the longest cold start.
func (r *Registry) zoneColdTime() time.Duration {
	delay := r.entryRenewalTime()
	if r.config == nil {
		return delay
	}
	longest := time.Duration(0)
	for i := range r.config.Services {
		longest = max(longest, r.config.Services[i].ColdStart)
	}
	return delay + longest
}
