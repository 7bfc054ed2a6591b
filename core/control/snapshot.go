package control

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// loadInterval is the least time between two snapshots that differ only in the loads of targets.
const loadInterval = 250 * time.Millisecond

// change says which part of the view an event changed.
type change uint8

const (
	// changeLoad: only loads of targets.
	changeLoad change = iota
	// changeView: something that a snapshot shows.
	changeView
	// changeStructure: peers, members, holders or targets, which decide about holders.
	changeStructure
)

// viewState is the state of the published view.
type viewState struct {
	// structure counts changes of structure; refreshed is the one that holdings were computed for.
	structure, refreshed uint64
	dirty, loadDirty     bool
	builtAt              time.Duration
	last                 *core.Snapshot
	// peersAt, targetsAt and holdersAt are the times of the next looks at what time alone changes.
	peersAt, targetsAt, holdersAt time.Duration
	// ranks holds ranks computed for the structure version ranksFor.
	ranks    map[rankKey]int
	ranksFor uint64
	// foreignTime is true once foreignAfter has passed.
	foreignTime bool
}

// touch records a change.
func (c *Control) touch(what change) {
	switch what {
	case changeStructure:
		c.view.structure++
		c.view.dirty = true
	case changeView:
		c.view.dirty = true
	case changeLoad:
		c.view.loadDirty = true
	}
}

// publish publishes a snapshot if the view or the authority changed.
func (c *Control) publish() {
	authority := c.updateAuthority()
	v := &c.view
	loads := v.loadDirty && c.now-v.builtAt >= loadInterval
	switch {
	case v.dirty || loads:
		c.refreshIfKnown()
		v.last = c.build()
		v.builtAt = c.now
		v.dirty = false
		v.loadDirty = false
	case authority && v.last != nil:
		next := *v.last
		next.AuthorityUntil = c.authority.until
		v.last = &next
	default:
		return
	}
	c.emit(core.PublishSnapshot{Snapshot: v.last})
}

// refreshIfKnown brings the holders up to date before they are shown.
func (c *Control) refreshIfKnown() {
	if c.config.current != nil {
		c.refreshHoldings()
	}
}

// build returns a new snapshot.
func (c *Control) build() *core.Snapshot {
	c.authority.until = c.authorityUntil()
	s := &core.Snapshot{
		Self:                  c.opts.Self,
		Zone:                  c.opts.Zone,
		Incarnation:           c.opts.Incarnation,
		Config:                c.config.current,
		Services:              c.serviceViews(),
		Targets:               make(map[core.TargetID]*core.TargetSnapshot, len(c.targets.keys)),
		AuthorityUntil:        c.authority.until,
		NewestGeneration:      max(c.config.newest, c.generation()),
		NewestGenerationSince: c.config.newestSince,
		Peers:                 c.livePeers(),
		Silent:                c.silentPeers(),
		Leaving:               c.stop.leaving,
	}
	c.targets.all(func(id core.TargetID, t *target) bool {
		s.Targets[id] = c.targetView(t)
		return true
	})
	return s
}

// serviceViews returns the services with their target sets.
func (c *Control) serviceViews() map[core.ServiceID]*core.ServiceSnapshot {
	views := make(map[core.ServiceID]*core.ServiceSnapshot)
	cfg := c.config.current
	if cfg == nil {
		return views
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		state := c.config.services[s.ID]
		if state == nil {
			state = &service{}
		}
		views[s.ID] = &core.ServiceSnapshot{Service: s, Current: state.current, PreviousSets: slices.Clone(state.former)}
	}
	return views
}

// targetView returns a target with its holder and state.
func (c *Control) targetView(t *target) *core.TargetSnapshot {
	holder := c.holder(t)
	return &core.TargetSnapshot{
		Target:        t.target,
		Owner:         holder.vm,
		FencingToken:  holder.number,
		AssignedOwner: t.holding.desired,
		Backup:        t.holding.backup,
		ZoneOut:       c.zoneOut(t.target.Zone),
		Removed:       t.removed,
		RemovedAt:     t.removedAt,
		NotBefore:     t.notBefore,
		Draining:      c.targetLeaving(t),
		Load:          t.load,
	}
}

// livePeers returns the names of the peers that are heard.
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

// silentPeers returns the names of the VMs that should be heard and are not, unless they are known to
// be dead or have lost authority since they were removed.
func (c *Control) silentPeers() []core.VMName {
	var names []core.VMName
	c.peers.all(func(name core.VMName, p *peer) bool {
		if p.dead || p.live() || !p.watched {
			return true
		}
		if c.isMember(name) || p.heard() && c.now < c.zone(p.zone).settledAt {
			names = append(names, name)
		}
		return true
	})
	return names
}
