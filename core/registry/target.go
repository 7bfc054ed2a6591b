package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

// receivedRecord is a record with the time at which the store sent it.
type receivedRecord struct {
	record Record
	at     time.Duration
}

// applyTarget applies the entry of a target. An entry of a service that the configuration does not have may be another
// writer's: it names no target, and must not affect those that have the same id or address. It is kept until a configuration
// has the service.
func (r *Registry) applyTarget(changes []Change, rec *Record, at time.Duration) []Change {
	inc := r.targets[rec.Name]
	// A removal has either the revision of the object's last change or a new one.
	if inc != nil && (rec.Revision.Before(inc.revision) || rec.Revision == inc.revision && !rec.Removed) {
		return changes
	}
	if u, ok := r.unconfigured[rec.Name]; ok && (rec.Revision.Before(u.record.Revision) || rec.Revision == u.record.Revision && !rec.Removed) {
		return changes
	}
	change := Change{Kind: Targets, Name: rec.Name, Revision: rec.Revision}
	delete(r.unreadable, rec.Name)
	delete(r.unconfigured, rec.Name)
	switch {
	case rec.Removed:
		if inc == nil || inc.removed {
			return changes
		}
		inc.removed, inc.removedAt, inc.revision = true, at, rec.Revision
		inc.endConfirmed = inc.ended(at)
		change.Event = "removed"
		if inc.target.Draining {
			change.Detail = "was draining"
		}
	case rec.Target == nil:
		change.Event, change.Detail = "unreadable", rec.Unreadable
		r.unreadable[rec.Name] = at
		if inc != nil {
			inc.unusable, inc.revision = true, rec.Revision
		}
	case !r.configured(rec.Target.Service):
		r.unconfigured[rec.Name] = receivedRecord{*rec, at}
		if inc != nil {
			inc.unusable, inc.revision = true, rec.Revision
		}
		change.Event, change.Detail = "entry without a known service", "no service "+rec.Target.Service+" in the configuration"
	default:
		change.Event = r.setEntry(inc, rec, at)
		change.Detail = r.sharedAddress(rec.Name)
	}
	return append(changes, change)
}

// configured reports whether the configuration has a service. Entries that are read before the first configuration are sorted
// out when that arrives.
func (r *Registry) configured(service string) bool {
	_, ok := r.services[service]
	return ok || r.config == nil
}

// removeUnconfigured takes the entries without a known service out of the targets, after the first configuration.
func (r *Registry) removeUnconfigured() {
	at := r.confirmed[Targets]
	for id, inc := range r.targets {
		if inc.unusable || r.configured(inc.target.Service) {
			continue
		}
		delete(r.targets, id)
		r.removeAddress(inc)
		if !inc.removed {
			r.unconfigured[id] = receivedRecord{inc.export(at), at}
		}
	}
}

// applyConfigured applies the entries whose service the configuration has now.
func (r *Registry) applyConfigured(changes []Change) []Change {
	for _, id := range slices.Sorted(maps.Keys(r.unconfigured)) {
		u := r.unconfigured[id]
		if !r.configured(u.record.Target.Service) {
			continue
		}
		delete(r.unconfigured, id)
		event := r.setEntry(r.targets[id], &u.record, u.at)
		changes = append(changes, Change{Kind: Targets, Name: id, Revision: u.record.Revision, Event: event, Detail: r.sharedAddress(id)})
	}
	return changes
}

// setEntry makes an entry that of its target and returns the Event of the change. inc is the target's present incarnation, or nil.
func (r *Registry) setEntry(inc *incarnation, rec *Record, at time.Duration) string {
	event := "added"
	if inc != nil {
		r.removeAddress(inc)
	}
	if inc == nil || inc.target.StartMillis != rec.Target.StartMillis {
		r.retire(inc, at)
		inc = &incarnation{id: rec.Name, name: forward.NewTargetToken(rec.Name), token: forward.NewToken(rec.Name, rec.Target.StartMillis)}
		r.targets[rec.Name] = inc
	} else {
		event = inc.changeEvent(rec.Target)
	}
	inc.update(rec, at)
	r.setAddress(inc)
	return event
}

// setAddress records the address of the incarnation in use, after a new entry. Another one may have had it before.
func (r *Registry) setAddress(inc *incarnation) {
	r.byAddress[inc.target.Addr] = append(r.byAddress[inc.target.Addr], inc)
}

// removeAddress removes the incarnation from those with its address.
func (r *Registry) removeAddress(inc *incarnation) {
	addr := inc.target.Addr
	others := slices.DeleteFunc(r.byAddress[addr], func(other *incarnation) bool { return other == inc })
	if r.byAddress[addr] = others; len(others) == 0 {
		delete(r.byAddress, addr)
	}
}

// addressOwner returns the target that started last at the address of a target, or nil if no other has it. The platform assigns
// an address again only after its target has ended, so that new flows belong to the last one. The others may still run: that a
// target has ended is shown by its own entry or by observations, not by the entry of another one.
func (r *Registry) addressOwner(inc *incarnation) *incarnation {
	all := r.byAddress[inc.target.Addr]
	if len(all) < 2 {
		return nil
	}
	var owner *incarnation
	for _, other := range all {
		if !other.removed && !other.unusable && r.configured(other.target.Service) && (owner == nil || other.startedAfter(owner)) {
			owner = other
		}
	}
	return owner
}

// sharedAddress returns the Detail of the change of a target that has the address of another one, or "".
func (r *Registry) sharedAddress(id string) string {
	inc := r.targets[id]
	if owner := r.addressOwner(inc); owner != nil && owner != inc {
		return owner.id + ", which started later, has the same address"
	}
	for _, other := range r.byAddress[inc.target.Addr] {
		if other != inc && !other.removed {
			return "has the address of " + other.id
		}
	}
	return ""
}

// lostAddress reports whether a target that started later has the address. Two entries with the same number are those of one
// process, which accepts the packets of both.
func (inc *incarnation) lostAddress(owner *incarnation) bool {
	return owner != nil && owner != inc && owner.target.NumericID != inc.target.NumericID && owner.startedAfter(inc)
}

// startedAfter reports whether the target started later than another one. The id decides if both started at the same time, so
// that all VMs have the same result.
func (inc *incarnation) startedAfter(other *incarnation) bool {
	return cmp.Or(cmp.Compare(inc.target.StartMillis, other.target.StartMillis), cmp.Compare(inc.id, other.id)) > 0
}

// retire marks an incarnation as replaced and keeps it in previous.
func (r *Registry) retire(inc *incarnation, at time.Duration) {
	if inc == nil {
		return
	}
	if !inc.removed {
		inc.removed, inc.removedAt = true, at
	}
	inc.replaced = true
	r.previous[inc.token] = inc
}

// successor returns the later incarnation with the same id, or nil.
func (r *Registry) successor(inc *incarnation) *incarnation {
	if s := r.targets[inc.id]; s != nil && s != inc {
		return s
	}
	return nil
}

// update replaces the entry of the incarnation by a newer one.
func (inc *incarnation) update(rec *Record, at time.Duration) {
	inc.target, inc.revision = *rec.Target, rec.Revision
	inc.unusable, inc.removed, inc.endConfirmed = false, false, false
	inc.coldUntil = 0
	if rec.Target.ColdRemaining > 0 {
		inc.coldUntil = at + rec.Target.ColdRemaining
	}
}

// changeEvent returns the Event of a change to the given entry.
func (inc *incarnation) changeEvent(t *Target) string {
	switch {
	case inc.removed:
		return "returned"
	case t.Draining && !inc.target.Draining:
		return "draining"
	case t.ColdRemaining > 0 && inc.target.ColdRemaining == 0:
		return "cold"
	default:
		return "changed"
	}
}

// condition returns the target's condition and the time at which it changes; 0 for never.
func (r *Registry) condition(inc *incarnation, now time.Duration) (forward.Condition, time.Duration) {
	owner := r.addressOwner(inc)
	switch {
	case inc.replaced || inc.removed && inc.lostAddress(owner):
		return forward.Gone, inc.removedAt + goneRetention
	case inc.removed && inc.target.Draining:
		if end := inc.removedAt + forward.DrainExitDelay; now < end {
			return forward.Draining, end
		}
		return forward.Gone, inc.removedAt + goneRetention
	case inc.ended(now) && !inc.target.Draining:
		if now < inc.lostFrom {
			return forward.Draining, inc.lostFrom
		}
		if inc.endConfirmed {
			return forward.Exited, inc.removedAt + goneRetention
		}
		return forward.Exited, inc.observedAt + observationTTL
	case inc.removed:
		if end := inc.removedAt + entryReturnTime; now < end {
			return forward.Expired, end
		}
		return forward.Gone, inc.removedAt + goneRetention
	case inc.unusable || !r.configured(inc.target.Service):
		return forward.Unusable, 0
	case inc.target.Draining:
		return forward.Draining, 0
	case inc.lostAddress(owner):
		return forward.Unusable, 0
	case now < r.doubtfulUntil(inc):
		return forward.Unusable, r.doubtfulUntil(inc)
	default:
		return forward.Ready, 0
	}
}

// discardable reports whether the target was removed so long ago that it has no flows left.
func (inc *incarnation) discardable(now time.Duration) bool {
	return inc.removed && now >= inc.removedAt+goneRetention
}
