package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// defaultDrain applies to removed targets whose service names no drain time.
const defaultDrain = 60 * time.Second

// targetsInterval is the time between two looks at what time alone changes about targets. It keeps
// the cost of many targets low.
const targetsInterval = 200 * time.Millisecond

// target is what control knows about a target.
type target struct {
	id     core.TargetID
	target core.Target
	key    uint64
	drain  time.Duration
	// since is the generation that brought the target; 0 when this VM knew no configuration
	// before, so that the target may be older.
	since     core.Generation
	removed   bool
	removedAt time.Duration
	notBefore time.Duration
	load      core.TargetLoad
	holding   holding
}

// service is the history of the target sets of a service.
type service struct {
	known   bool
	current core.TargetSet
	former  []core.PreviousSet
}

// isOn reports whether an entry of the platform's list is the host of the target.
func (t *target) isOn(vm core.ListedVM) bool {
	if vm.Zone != t.target.Zone {
		return false
	}
	return vm.Name == core.VMName(t.target.Name) || vm.Addr.IsValid() && vm.Addr == t.target.Addr
}

// installTargets brings the targets in line with a new configuration.
func (c *Control) installTargets(previous, cfg *core.Config) {
	present := make(map[core.TargetID]bool)
	served := c.servedServices()
	for i := range cfg.Services {
		s := &cfg.Services[i]
		for j := range s.Targets {
			present[s.Targets[j].ID] = true
			c.installTarget(previous, served, s, &s.Targets[j])
		}
	}
	c.targets.all(func(id core.TargetID, t *target) bool {
		if !present[id] && !t.removed {
			t.removed = true
			t.removedAt = c.now
		}
		return true
	})
}

// applyEarly takes over the reports about targets that were not known before.
func (c *Control) applyEarly() {
	for _, id := range c.targets.keys {
		r, ok := c.config.early[id]
		if !ok {
			continue
		}
		delete(c.config.early, id)
		c.onHolderChanged(r)
	}
}

// installTarget adds or updates one target.
func (c *Control) installTarget(previous *core.Config, served addressUse, s *core.Service, in *core.Target) {
	quarantine := in.ActiveAfter
	if served.byOther(in) {
		quarantine = max(quarantine, core.AddressQuarantine)
	}
	t := c.targets.get(in.ID)
	if t == nil {
		t = &target{id: in.ID, key: rendezvous.Mix(saltHolder, uint64(in.ID)), notBefore: c.now + quarantine}
		if quarantine == 0 {
			t.notBefore = 0
		}
		t.holding.unheldSince = c.now
		if previous != nil {
			t.since = c.generation()
		}
		c.targets.put(in.ID, t)
	} else if t.target.Addr != in.Addr && quarantine > 0 {
		t.notBefore = c.now + quarantine
	}
	t.target = *in
	t.removed = false
	t.drain = s.Contract.Drain
	if t.drain == 0 {
		t.drain = defaultDrain
	}
}

// addressUse says which services the addresses of known targets belong to.
type addressUse map[netip.AddrPort][]core.ServiceID

// servedServices returns the use of addresses before a new configuration is installed.
func (c *Control) servedServices() addressUse {
	use := make(addressUse)
	c.targets.all(func(_ core.TargetID, t *target) bool {
		use[t.target.Addr] = append(use[t.target.Addr], t.target.Service)
		return true
	})
	return use
}

// byOther reports whether the target's address belonged to another service before.
func (u addressUse) byOther(in *core.Target) bool {
	return slices.ContainsFunc(u[in.Addr], func(s core.ServiceID) bool { return s != in.Service })
}

// updateTargets drops removed targets that have drained and recomputes the target sets.
func (c *Control) updateTargets() {
	if c.now < c.view.targetsAt {
		return
	}
	c.view.targetsAt = c.now + targetsInterval
	var ended []core.TargetID
	c.targets.all(func(id core.TargetID, t *target) bool {
		if t.removed && c.now >= t.removedAt+t.drain+core.RequestLifetime {
			ended = append(ended, id)
		}
		return true
	})
	for _, id := range ended {
		c.targets.remove(id)
		c.touch(changeStructure)
	}
	c.updateSets()
}

// updateSets recomputes the target sets of all services and keeps their history.
func (c *Control) updateSets() {
	cfg := c.config.current
	if cfg == nil {
		return
	}
	for id := range c.config.services {
		if cfg.Service(id) == nil {
			delete(c.config.services, id)
		}
	}
	for i := range cfg.Services {
		c.updateSet(&cfg.Services[i])
	}
}

// updateSet recomputes the target set of one service.
func (c *Control) updateSet(s *core.Service) {
	state := c.config.services[s.ID]
	if state == nil {
		state = &service{}
		c.config.services[s.ID] = state
	}
	if n := len(state.former); n > 0 && c.now-state.former[n-1].ReplacedAt > core.FlowIdleTimeout {
		state.former = slices.Clone(state.former[:n-1])
		c.touch(changeView)
	}
	next := c.acceptingSet(s)
	if state.known && slices.Equal(next.IDs, state.current.IDs) && slices.Equal(next.Weights, state.current.Weights) {
		return
	}
	if state.known && len(state.current.IDs) > 0 {
		former := core.PreviousSet{Set: state.current, ReplacedAt: c.now}
		keep := min(len(state.former), core.MaxPreviousSets-1)
		state.former = append([]core.PreviousSet{former}, state.former[:keep]...)
	}
	state.known = true
	state.current = next
	c.touch(changeView)
}

// acceptingSet returns the targets of a service that take new flows, in ascending id order.
func (c *Control) acceptingSet(s *core.Service) core.TargetSet {
	var set core.TargetSet
	ids := make([]core.TargetID, 0, len(s.Targets))
	for i := range s.Targets {
		ids = append(ids, s.Targets[i].ID)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := c.targets.get(id)
		if !c.accepts(t) {
			continue
		}
		set.IDs = append(set.IDs, id)
		set.Weights = append(set.Weights, t.target.Weight)
	}
	return set
}

// accepts reports whether a target takes new flows.
func (c *Control) accepts(t *target) bool {
	v := core.TargetSnapshot{
		Target: t.target, ZoneOut: c.zoneOut(t.target.Zone), Removed: t.removed,
		NotBefore: t.notBefore, Draining: c.targetLeaving(t),
	}
	return v.Accepts(c.now)
}

// zoneOut reports whether the zone was taken out of service.
func (c *Control) zoneOut(name core.ZoneName) bool {
	return c.config.current != nil && c.config.current.ZoneState(name) == core.ZoneOut
}

// targetLeaving reports whether a target drains, by manifest, platform list or its own answers.
func (c *Control) targetLeaving(t *target) bool {
	if t.target.State == core.TargetDraining || t.load.Draining {
		return true
	}
	return slices.ContainsFunc(c.config.leavingHosts, t.isOn)
}
