package forwarder

import (
	"time"

	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed"
)

// handleUpdate applies an update, sends it to the subscribers and logs what it changed. It reports whether the data of this VM is
// as of the update now. refreshed is true when this VM has read it because no source of updates confirmed it.
func (c *control) handleUpdate(update *registry.Update, at time.Duration, refreshed bool) bool {
	kind := update.Kind
	previous, confirmedAt, version := c.registry.AsOf(kind), c.feedConfirmedAt[kind], c.registry.ConfigVersion()
	changes := c.registry.Apply(*update, at)
	applied := c.registry.AsOf(kind) == update.AsOf
	if applied && !refreshed {
		c.confirmFeed(kind, at)
	}
	c.metrics.updates[kind].Inc()
	c.metrics.changes[kind].Add(len(changes))
	if asOf := c.registry.AsOf(kind); asOf.Era != previous.Era {
		c.recordHistory(kind, previous, asOf)
	}
	c.logChanges(changes, kind, update.AsOf, c.shared.clock.now()-at)
	if update.Nameless > 0 {
		c.log.Warn("left out objects without a readable name", "kind", kind.String(), "objects", update.Nameless)
	}
	// An update that this VM already has is not sent on: two VMs that subscribe to each other would exchange
	// it endlessly.
	changed := applied && previous.Before(update.AsOf) && (len(update.Records) > 0 || update.Full)
	switch {
	case kind == registry.Configs && (changed || c.registry.ConfigVersion() > version):
		c.broadcastConfig(confirmedAt)
	case kind != registry.Configs && changed:
		c.broadcast(feed.Message{Updates: []registry.Update{*update}})
	}
	return applied
}

// recordHistory records the history of the store from which this VM has a kind now.
func (c *control) recordHistory(kind registry.Kind, before, asOf registry.Revision) {
	history := &c.shared.histories[kind]
	history.era.Store(asOf.Era)
	history.since.Store(int64(c.shared.clock.now()))
	if !before.IsZero() {
		c.log.Warn("took over the objects of a restored store", "kind", kind.String(), "as_of", asOf.String(), "as_of_before", before.String(),
			"held", c.registry.HeldRecords(), "role", string(c.state.Role), "peer", c.state.Peer)
	}
}

// logChanges logs changes by one update.
func (c *control) logChanges(changes []registry.Change, kind registry.Kind, asOf registry.Revision, age time.Duration) {
	for i, ch := range changes {
		if i == maxChangeLogLines {
			c.log.Info("further changes", "kind", kind.String(), "changes", len(changes)-i, "as_of", asOf.String())
			return
		}
		c.log.Info(ch.Event, "kind", ch.Kind.String(), "name", ch.Name, "revision", ch.Revision.String(),
			"as_of", asOf.String(), "age_ms", age.Milliseconds(), "detail", ch.Detail,
			"config", c.registry.ConfigVersion(), "role", string(c.state.Role), "peer", c.state.Peer)
	}
}

// confirmFeed records that the store confirmed a kind to the source of this VM's feed.
func (c *control) confirmFeed(kind registry.Kind, at time.Duration) {
	c.feedConfirmedAt[kind] = max(c.feedConfirmedAt[kind], at)
}
