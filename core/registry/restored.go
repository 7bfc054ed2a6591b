package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// When the store has come back from an earlier copy, operators and targets write again what they wrote since. Until then the
// copy does not show the present state: a missing entry may be that of a running target, and an entry that has returned may be
// that of a target that has left. A Registry holds such differences back. They take effect after a time, unless the store
// reports the object before.

// rewriteTime is the time in which operators and targets write again what a restored store has lost.
const rewriteTime = entryReturnTime

// firstEra is the number of a store's first history; 0 is unknown.
const firstEra = 1

// heldRecord is a record that takes effect at a later time.
type heldRecord struct {
	kind   Kind
	record Record
	// at is when the store sent the record, until when it takes effect.
	at, until time.Duration
}

// heldKey names an object.
type heldKey struct {
	kind Kind
	name string
}

// leaseTime returns the time in which the store removes the entry of a target that has ended: three heartbeats, and one more
// until the removal has arrived.
func (r *Registry) leaseTime() time.Duration { return 4 * r.limits.Heartbeat }

// hold holds a record back and reports whether none of the object was held before, which keeps its time.
func (r *Registry) hold(kind Kind, rec Record, at, until time.Duration) bool {
	key := heldKey{kind, rec.Name}
	if _, ok := r.held[key]; ok {
		return false
	}
	r.held[key] = heldRecord{kind: kind, record: rec, at: at, until: until}
	r.changed = true
	return true
}

// supersedes reports whether a record of the store replaces what is held of its object. A list may repeat the record that is
// held.
func (r *Registry) supersedes(kind Kind, rec *Record) bool {
	key := heldKey{kind, rec.Name}
	if h, ok := r.held[key]; ok && h.record.Revision == rec.Revision {
		return false
	}
	delete(r.held, key)
	return true
}

// HeldRecords returns the number of records that are held back after the store was restored.
func (r *Registry) HeldRecords() int { return len(r.held) }

// ReleaseHeld applies the held records that are due and returns the changes. It must be called before Snapshot.
func (r *Registry) ReleaseHeld(now time.Duration) []Change {
	var due []heldKey
	for key, h := range r.held {
		if now >= h.until {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b heldKey) int { return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name)) })
	var changes []Change
	for _, key := range due {
		h := r.held[key]
		delete(r.held, key)
		if h.kind == Targets {
			changes = r.applyTarget(changes, &h.record, h.at)
		} else {
			changes = r.applyZone(changes, &h.record, r.asOf[ZonesOut], now)
		}
		r.changed = true
	}
	for i := range changes {
		changes[i].Detail = "not written again after the store was restored"
	}
	return changes
}

// beginHistory records that the objects of a kind are about to be replaced by those of another history of the store.
func (r *Registry) beginHistory(kind Kind, at time.Duration) {
	r.freshSince = max(r.freshSince, at)
	maps.DeleteFunc(r.held, func(key heldKey, _ heldRecord) bool { return key.kind == kind })
	if kind == Targets {
		r.restoredAt = at
	}
}

// applyRestoredTarget applies an entry of the first list of another history.
func (r *Registry) applyRestoredTarget(changes []Change, rec *Record, at time.Duration) []Change {
	inc := r.targets[rec.Name]
	switch {
	case inc == nil || rec.Target == nil || !r.configured(rec.Target.Service) || rec.Target.StartMillis > inc.target.StartMillis:
		return r.applyTarget(changes, rec, at)
	case rec.Target.StartMillis < inc.target.StartMillis:
		// The copy has an earlier incarnation; the present one counts as missing.
		return r.holdMissingTarget(changes, rec.Name, rec.Revision, at)
	case inc.removed && inc.target.Draining:
		// A target that has drained does not return.
		inc.revision = rec.Revision
		return append(changes, Change{Kind: Targets, Name: rec.Name, Revision: rec.Revision, Event: "ignored the entry of a target that left"})
	case inc.removed && at >= inc.removedAt+entryReturnTime:
		if r.hold(Targets, *rec, at, at+r.leaseTime()) {
			changes = append(changes, Change{Kind: Targets, Name: rec.Name, Revision: rec.Revision, Event: "held back an entry that is there again"})
		}
		return changes
	}
	merged := *rec.Target
	// The copy may be older than the drain, and than a cold start of the zone.
	merged.Draining = merged.Draining || inc.target.Draining
	if merged == inc.target && !inc.removed && !inc.unusable {
		inc.revision = rec.Revision
		return changes
	}
	coldUntil := inc.coldUntil
	changes = r.applyTarget(changes, &Record{Name: rec.Name, Revision: rec.Revision, Target: &merged}, at)
	inc.coldUntil = max(inc.coldUntil, coldUntil)
	return changes
}

// holdMissingTarget holds back the removal of a target that the first list of another history does not have.
func (r *Registry) holdMissingTarget(changes []Change, id string, asOf Revision, at time.Duration) []Change {
	inc := r.targets[id]
	if inc.removed {
		if !inc.target.Draining && at < inc.removedAt+entryReturnTime {
			// Its entry may have been written and lost again.
			inc.removedAt = at
		}
		return changes
	}
	if r.hold(Targets, Record{Name: id, Revision: asOf, Removed: true}, at, at+rewriteTime) {
		changes = append(changes, Change{Kind: Targets, Name: id, Revision: asOf, Event: "kept a target whose entry is missing"})
	}
	return changes
}

// applyRestoredZone applies a zone that is out of service in the first list of another history. It is held back only if it is
// the object that operators had removed: a VM that has missed that the zone was taken out must apply it at once.
func (r *Registry) applyRestoredZone(changes []Change, rec *Record, at time.Duration) []Change {
	zone := core.ZoneName(rec.Name)
	removed, known := r.takenBack[zone]
	if _, out := r.zonesOut[zone]; out || !known || removed.Number != rec.Revision.Number {
		return r.applyZone(changes, rec, rec.Revision, at)
	}
	if r.hold(ZonesOut, *rec, at, at+rewriteTime) {
		changes = append(changes, Change{Kind: ZonesOut, Name: rec.Name, Revision: rec.Revision, Event: "held back a zone that is out of service again"})
	}
	return changes
}

// holdMissingZone holds back the return of a zone that is not out of service in the first list of another history.
func (r *Registry) holdMissingZone(changes []Change, zone string, asOf Revision, at time.Duration) []Change {
	if r.hold(ZonesOut, Record{Name: zone, Revision: asOf, Removed: true}, at, at+rewriteTime) {
		changes = append(changes, Change{Kind: ZonesOut, Name: zone, Revision: asOf, Event: "kept a zone out of service whose object is missing"})
	}
	return changes
}
