package registry

import (
	"maps"
	"slices"
	"time"
)

// unreadableElsewhere is the reason of an entry that the sender of a feed could not read.
const unreadableElsewhere = "unreadable at the sender of the feed"

// Export returns all that is known of a kind as a full update. Times that are left, such as that of a
// cold start, count from ConfirmedAt(k), at which the update is to be applied.
func (r *Registry) Export(k Kind) Update {
	u := Update{Kind: k, Full: true, AsOf: r.asOf[k]}
	switch k {
	case Targets:
		for _, id := range slices.Sorted(maps.Keys(r.targets)) {
			if e := r.targets[id]; !e.removed {
				u.Records = append(u.Records, e.export(r.confirmed[k]))
			}
		}
		for id := range r.unreadable {
			if r.targets[id] == nil {
				u.Records = append(u.Records, Record{Name: id, Revision: r.asOf[k], Unreadable: unreadableElsewhere})
			}
		}
	case Configs:
		if r.config != nil {
			u.Records = append(u.Records, Record{Name: ConfigName, Revision: r.configRevision, Config: r.config})
		}
	case ZonesOut:
		for zone, revision := range r.zonesOut {
			u.Records = append(u.Records, Record{Name: string(zone), Revision: revision})
		}
	}
	return u
}

// export returns the entry as the target wrote it, with times that count from the given one.
func (e *entry) export(from time.Duration) Record {
	rec := Record{Name: e.id, Revision: e.revision}
	if e.unusable {
		rec.Unreadable = unreadableElsewhere
		return rec
	}
	t := e.target
	t.ColdRemaining = max(0, e.coldUntil-from)
	rec.Target = &t
	return rec
}
