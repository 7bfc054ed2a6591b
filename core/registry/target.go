package registry

import (
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

func (r *Registry) applyTarget(changes []Change, rec *Record, at time.Duration) []Change {
	e := r.targets[rec.Name]
	// A removal carries the revision of the object's last change or its own.
	if e != nil && (rec.Revision < e.revision || rec.Revision == e.revision && !rec.Removed) {
		return changes
	}
	change := Change{Kind: Targets, Name: rec.Name, Revision: rec.Revision}
	delete(r.unreadable, rec.Name)
	switch {
	case rec.Removed:
		if e == nil || e.removed {
			return changes
		}
		e.removed, e.removedAt, e.revision = true, at, rec.Revision
		change.Event = "removed"
		if e.target.Draining {
			change.Detail = "was draining"
		}
	case rec.Target == nil:
		change.Event, change.Detail = "unreadable", rec.Unreadable
		r.unreadable[rec.Name] = at
		if e != nil {
			e.unusable, e.revision = true, rec.Revision
		}
	case e == nil || e.target.StartMillis != rec.Target.StartMillis:
		r.retire(e, at)
		e = &entry{id: rec.Name, token: forward.NewToken(rec.Name, rec.Target.StartMillis)}
		r.targets[rec.Name] = e
		change.Event = "added"
		e.update(rec, at)
		change.Detail = r.takeAddress(e, at)
	default:
		change.Event = e.difference(rec.Target)
		e.update(rec, at)
	}
	return append(changes, change)
}

// takeAddress retires the lifetime that had a new target's address before: an address is given out
// again only after its target has ended. It returns a note for the log.
func (r *Registry) takeAddress(e *entry, at time.Duration) string {
	old := r.addresses[e.target.Addr]
	if old != nil && old.id != e.id && old.target.StartMillis >= e.target.StartMillis {
		return "its address is that of a target that started later"
	}
	r.addresses[e.target.Addr] = e
	if old == nil || old.id == e.id || r.targets[old.id] != old {
		return ""
	}
	delete(r.targets, old.id)
	r.retire(old, at)
	return "has the address of " + old.id
}

// retire keeps a lifetime that was followed by another one.
func (r *Registry) retire(e *entry, at time.Duration) {
	if e == nil {
		return
	}
	if !e.removed {
		e.removed, e.removedAt = true, at
	}
	e.replaced = true
	r.former[e.token] = e
}

// successor returns the lifetime that has the id of a former one, if any.
func (r *Registry) successor(e *entry) *entry {
	if s := r.targets[e.id]; s != nil && s != e {
		return s
	}
	return nil
}

// update takes over what a target says.
func (e *entry) update(rec *Record, at time.Duration) {
	e.target, e.revision = *rec.Target, rec.Revision
	e.unusable, e.removed = false, false
	e.coldUntil = 0
	if rec.Target.ColdRemaining > 0 {
		e.coldUntil = at + rec.Target.ColdRemaining
	}
}

// difference names what a target changed.
func (e *entry) difference(t *Target) string {
	switch {
	case e.removed:
		return "returned"
	case t.Draining && !e.target.Draining:
		return "draining"
	case t.ColdRemaining > 0 && e.target.ColdRemaining == 0:
		return "cold"
	default:
		return "changed"
	}
}

// condition returns what the target may get, and the time at which that changes; 0 for never.
func (e *entry) condition(now time.Duration) (forward.Condition, time.Duration) {
	switch {
	case e.replaced:
		return forward.Gone, e.removedAt + goneMemory
	case e.removed && e.target.Draining:
		if end := e.removedAt + forward.DrainExitDelay; now < end {
			return forward.Draining, end
		}
		return forward.Gone, e.removedAt + goneMemory
	case e.exited && !e.target.Draining:
		if now < e.lostFrom {
			return forward.Draining, e.lostFrom
		}
		if e.removed {
			return forward.Exited, e.removedAt + goneMemory
		}
		return forward.Exited, 0
	case e.removed:
		if end := e.removedAt + lapseReturn; now < end {
			return forward.Expired, end
		}
		return forward.Gone, e.removedAt + goneMemory
	case e.unusable:
		return forward.Unusable, 0
	case e.target.Draining:
		return forward.Draining, 0
	default:
		return forward.Ready, 0
	}
}

// forgettable reports whether a target has been gone for so long that none of its flows is left.
func (e *entry) forgettable(now time.Duration) bool {
	return e.removed && now >= e.removedAt+goneMemory
}
