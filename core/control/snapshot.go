package control

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// loadInterval is the least time between two snapshots that differ only in the loads of targets.
const loadInterval = 250 * time.Millisecond

// change is the kind of a change, which decides what must be recomputed and published.
type change uint8

const (
	// changeLoad is a change of the loads of targets only.
	changeLoad change = iota
	// changeSnapshot is a change of anything that a snapshot contains.
	changeSnapshot
	// changeTopology is a change of peers, members, owners or targets, on which the choice of owners
	// depends.
	changeTopology
)

// publicationState is the published snapshot and the state that decides when to build the next one.
type publicationState struct {
	// topologyVersion counts topology changes; ownershipVersion is the one for which ownership was
	// computed.
	topologyVersion, ownershipVersion uint64
	dirty, loadDirty                  bool
	builtAt                           time.Duration
	lastSnapshot                      *core.Snapshot
	// nextPeerCheck, nextTargetCheck and nextOwnerCheck are the times of the next checks for changes that
	// only the passing of time causes.
	nextPeerCheck, nextTargetCheck, nextOwnerCheck time.Duration
	// ranks holds the ranks that were computed for the topology version ranksVersion.
	ranks        map[rankKey]int
	ranksVersion uint64
	// emptyListsAllowed is true once emptyListAfter has passed.
	emptyListsAllowed bool
}

// markChanged records a change.
func (c *Control) markChanged(what change) {
	switch what {
	case changeTopology:
		c.publication.topologyVersion++
		c.publication.dirty = true
	case changeSnapshot:
		c.publication.dirty = true
	case changeLoad:
		c.publication.loadDirty = true
	}
}

// publish publishes a snapshot if its contents or the authority changed.
func (c *Control) publish() {
	authorityChanged := c.updateAuthority()
	pub := &c.publication
	loadsDue := pub.loadDirty && c.now-pub.builtAt >= loadInterval
	switch {
	case pub.dirty || loadsDue:
		c.refreshIfConfigured()
		pub.lastSnapshot = c.buildSnapshot()
		pub.builtAt = c.now
		pub.dirty = false
		pub.loadDirty = false
	case authorityChanged && pub.lastSnapshot != nil:
		next := *pub.lastSnapshot
		next.AuthorityUntil = c.authority.until
		pub.lastSnapshot = &next
	default:
		return
	}
	c.emit(core.PublishSnapshot{Snapshot: pub.lastSnapshot})
}

// refreshIfConfigured recomputes the ownership of targets for the next snapshot if there is a configuration.
func (c *Control) refreshIfConfigured() {
	if c.config.current != nil {
		c.refreshOwnership()
	}
}

// buildSnapshot returns a new snapshot.
func (c *Control) buildSnapshot() *core.Snapshot {
	c.authority.until = c.authorityUntil()
	s := &core.Snapshot{
		Self:                  c.opts.Self,
		Zone:                  c.opts.Zone,
		Incarnation:           c.opts.Incarnation,
		Config:                c.config.current,
		Services:              c.serviceSnapshots(),
		Targets:               make(map[core.TargetID]*core.TargetSnapshot, len(c.targets.keys)),
		AuthorityUntil:        c.authority.until,
		NewestGeneration:      max(c.config.newest, c.generation()),
		NewestGenerationSince: c.config.newestSince,
		Peers:                 c.livePeers(),
		Silent:                c.silentPeers(),
		Leaving:               c.stop.leaving,
	}
	c.targets.all(func(id core.TargetID, t *target) bool {
		s.Targets[id] = c.targetSnapshot(t)
		return true
	})
	return s
}

// serviceSnapshots returns the services with their target sets.
func (c *Control) serviceSnapshots() map[core.ServiceID]*core.ServiceSnapshot {
	snapshots := make(map[core.ServiceID]*core.ServiceSnapshot)
	cfg := c.config.current
	if cfg == nil {
		return snapshots
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		state := c.config.services[s.ID]
		if state == nil {
			state = &service{}
		}
		snapshots[s.ID] = &core.ServiceSnapshot{Service: s, Current: state.current, PreviousSets: slices.Clone(state.previousSets)}
	}
	return snapshots
}

// targetSnapshot returns a target with its owner and state.
func (c *Control) targetSnapshot(t *target) *core.TargetSnapshot {
	owner := c.currentOwner(t)
	return &core.TargetSnapshot{
		Target:        t.target,
		Owner:         owner.vm,
		FencingToken:  owner.token,
		AssignedOwner: t.ownership.assigned,
		Backup:        t.ownership.backup,
		ZoneOut:       c.zoneOut(t.target.Zone),
		Removed:       t.removed,
		RemovedAt:     t.removedAt,
		NotBefore:     t.notBefore,
		Draining:      c.targetDraining(t),
		Load:          t.load,
	}
}

// livePeers returns the names of the live peers.
func (c *Control) livePeers() []core.VMName {
	var names []core.VMName
	c.peers.all(func(name core.VMName, p *peer) bool {
		if p.live() {
			names = append(names, name)
		}
		return true
	})
	return names
}

// silentPeers returns the names of the VMs whose heartbeats should arrive and do not, except those that are
// known to be dead or have lost authority since they were removed.
func (c *Control) silentPeers() []core.VMName {
	var names []core.VMName
	c.peers.all(func(name core.VMName, p *peer) bool {
		if p.dead || p.live() || !p.monitored {
			return true
		}
		if c.isMember(name) || p.hasHeartbeat() && c.now < c.zone(p.zone).removedAuthorityUntil {
			names = append(names, name)
		}
		return true
	})
	return names
}
