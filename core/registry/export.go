package registry

import (
	"maps"
	"slices"
	"time"
)

// unreadableElsewhere is the reason given for an entry that the sender of a feed could not read.
const unreadableElsewhere = "unreadable at the sender of the feed"

// Export returns all objects of a kind as a full update, to be applied with the time ConfirmedAt(k).
// Remaining times, such as ColdRemaining, count from then.
func (r *Registry) Export(k Kind) Update {
	u := Update{Kind: k, Full: true, AsOf: r.asOf[k]}
	switch k {
	case Targets:
		for _, id := range slices.Sorted(maps.Keys(r.targets)) {
			if inc := r.targets[id]; !inc.removed {
				u.Records = append(u.Records, inc.export(r.confirmed[k]))
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

// export returns the target's entry, with ColdRemaining counting from the given time.
func (inc *incarnation) export(from time.Duration) Record {
	rec := Record{Name: inc.id, Revision: inc.revision}
	if inc.unusable {
		rec.Unreadable = unreadableElsewhere
		return rec
	}
	t := inc.target
	t.ColdRemaining = max(0, inc.coldUntil-from)
	rec.Target = &t
	return rec
}
