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
func (r *Registry) Export(kind Kind) Update {
	update := Update{Kind: kind, Full: true, AsOf: r.asOf[kind]}
	switch kind {
	case Targets:
		for _, id := range slices.Sorted(maps.Keys(r.targets)) {
			_, overwritten := r.unconfigured[id]
			if inc := r.targets[id]; !inc.removed && !overwritten {
				update.Records = append(update.Records, inc.export(r.confirmed[kind]))
			}
		}
		for _, u := range r.unconfigured {
			update.Records = append(update.Records, u.export(r.confirmed[kind]))
		}
		for id := range r.unreadable {
			if r.targets[id] == nil {
				update.Records = append(update.Records, Record{Name: id, Revision: r.asOf[kind], Unreadable: unreadableElsewhere})
			}
		}
	case Configs:
		if r.config != nil {
			update.Records = append(update.Records, Record{Name: ConfigName, Revision: r.configRevision, Config: r.config})
		}
	case ZonesOut:
		for zone, revision := range r.zonesOut {
			update.Records = append(update.Records, Record{Name: string(zone), Revision: revision})
		}
	}
	// A VM without earlier knowledge takes over what the store has now.
	for key, h := range r.held {
		if key.kind == kind && !h.record.Removed {
			update.Records = append(update.Records, h.record)
		}
	}
	return update
}

// ExportConfig returns the configuration for a VM that has a version: as changes to it if it is a recent one, else whole.
func (r *Registry) ExportConfig(version uint64) Update {
	update := r.Export(Configs)
	for i := range update.Records {
		update.Records[i].Config = r.config.Since(r.configs.Get(version))
	}
	return update
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

// export returns the record, with ColdRemaining counting from the given time.
func (u *receivedRecord) export(from time.Duration) Record {
	rec, t := u.record, *u.record.Target
	t.ColdRemaining = max(0, t.ColdRemaining-(from-u.at))
	rec.Target = &t
	return rec
}
