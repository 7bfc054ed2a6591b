package registry

import (
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

func (r *Registry) applyTarget(changes []Change, rec *Record, at time.Duration) []Change {
	inc := r.targets[rec.Name]
	// A removal has either the revision of the object's last change or a new one.
	if inc != nil && (rec.Revision.Before(inc.revision) || rec.Revision == inc.revision && !rec.Removed) {
		return changes
	}
	change := Change{Kind: Targets, Name: rec.Name, Revision: rec.Revision}
	delete(r.unreadable, rec.Name)
	switch {
	case rec.Removed:
		if inc == nil || inc.removed {
			return changes
		}
		inc.removed, inc.removedAt, inc.revision = true, at, rec.Revision
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
	case inc == nil || inc.target.StartMillis != rec.Target.StartMillis:
		r.retire(inc, at)
		inc = &incarnation{id: rec.Name, token: forward.NewToken(rec.Name, rec.Target.StartMillis)}
		r.targets[rec.Name] = inc
		change.Event = "added"
		inc.update(rec, at)
		change.Detail = r.retireAtAddress(inc, at)
	default:
		change.Event = inc.changeEvent(rec.Target)
		inc.update(rec, at)
	}
	return append(changes, change)
}

// retireAtAddress retires the incarnation that had the address of a new target before: the platform assigns an
// address again only after its target has ended. It returns the Detail of the change, or "".
func (r *Registry) retireAtAddress(inc *incarnation, at time.Duration) string {
	old := r.byAddress[inc.target.Addr]
	if old != nil && old.id != inc.id && old.target.StartMillis >= inc.target.StartMillis {
		// Packets to the address reach the later one, which drops those that name another target.
		inc.unusable = inc.unusable || !old.removed
		return "a target that started later has the same address"
	}
	r.byAddress[inc.target.Addr] = inc
	if old == nil || old.id == inc.id || r.targets[old.id] != old {
		return ""
	}
	delete(r.targets, old.id)
	r.retire(old, at)
	return "has the address of " + old.id
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
	inc.unusable, inc.removed = false, false
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
func (inc *incarnation) condition(now time.Duration) (forward.Condition, time.Duration) {
	switch {
	case inc.replaced:
		return forward.Gone, inc.removedAt + goneRetention
	case inc.removed && inc.target.Draining:
		if end := inc.removedAt + forward.DrainExitDelay; now < end {
			return forward.Draining, end
		}
		return forward.Gone, inc.removedAt + goneRetention
	case inc.exited && !inc.target.Draining:
		if now < inc.lostFrom {
			return forward.Draining, inc.lostFrom
		}
		if inc.removed {
			return forward.Exited, inc.removedAt + goneRetention
		}
		return forward.Exited, 0
	case inc.removed:
		if end := inc.removedAt + entryReturnTime; now < end {
			return forward.Expired, end
		}
		return forward.Gone, inc.removedAt + goneRetention
	case inc.unusable:
		return forward.Unusable, 0
	case inc.target.Draining:
		return forward.Draining, 0
	default:
		return forward.Ready, 0
	}
}

// discardable reports whether the target was removed so long ago that it has no flows left.
func (inc *incarnation) discardable(now time.Duration) bool {
	return inc.removed && now >= inc.removedAt+goneRetention
}
