package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// defaultDrain applies to removed targets whose service has no drain time configured.
const defaultDrain = 60 * time.Second

// targetsInterval is the time between two checks for changes of targets that only the passing of time
// causes. It keeps the cost of many targets low.
const targetsInterval = 200 * time.Millisecond

// target is the control state of a target.
type target struct {
	id     core.TargetID
	target core.Target
	// key is the target's key for rendezvous hashing.
	key   uint64
	drain time.Duration
	// addedIn is the generation that added the target; 0 when this VM had no configuration before, so that
	// the target may be older.
	addedIn   core.Generation
	removed   bool
	removedAt time.Duration
	notBefore time.Duration
	load      core.TargetLoad
	ownership ownership
}

// service is the current target set of a service and the previous ones.
type service struct {
	initialized  bool
	current      core.TargetSet
	previousSets []core.PreviousSet
}

// hostedOn reports whether an entry of the platform's VM list is the host of the target.
func (t *target) hostedOn(vm core.ListedVM) bool {
	if vm.Zone != t.target.Zone {
		return false
	}
	return vm.Name == core.VMName(t.target.Name) || vm.Addr.IsValid() && vm.Addr == t.target.Addr
}

// installTargets adds, updates and removes targets according to a new configuration.
func (c *Control) installTargets(previous, cfg *core.Config) {
	present := make(map[core.TargetID]bool)
	inUse := c.addressesInUse()
	for i := range cfg.Services {
		s := &cfg.Services[i]
		for j := range s.Targets {
			present[s.Targets[j].ID] = true
			c.installTarget(previous, inUse, s, &s.Targets[j])
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

// applyEarlyReports handles the reports that arrived before the configuration with their targets.
func (c *Control) applyEarlyReports() {
	for _, id := range c.targets.keys {
		r, ok := c.config.earlyReports[id]
		if !ok {
			continue
		}
		delete(c.config.earlyReports, id)
		c.onOwnerChanged(r)
	}
}

// installTarget adds or updates one target.
func (c *Control) installTarget(previous *core.Config, inUse addressUse, s *core.Service, in *core.Target) {
	activationDelay := in.ActiveAfter
	if inUse.usedByOther(in) {
		activationDelay = max(activationDelay, core.AddressQuarantine)
	}
	t := c.targets.get(in.ID)
	if t == nil {
		t = &target{id: in.ID, key: rendezvous.Mix(saltOwner, uint64(in.ID)), notBefore: c.now + activationDelay}
		if activationDelay == 0 {
			t.notBefore = 0
		}
		t.ownership.unclaimedSince = c.now
		if previous != nil {
			t.addedIn = c.generation()
		}
		c.targets.put(in.ID, t)
	} else if t.target.Addr != in.Addr && activationDelay > 0 {
		t.notBefore = c.now + activationDelay
	}
	t.target = *in
	t.removed = false
	t.drain = s.Contract.Drain
	if t.drain == 0 {
		t.drain = defaultDrain
	}
}

// addressUse maps the addresses of targets to the services that use them.
type addressUse map[netip.AddrPort][]core.ServiceID

// addressesInUse returns the use of addresses before a new configuration is installed.
func (c *Control) addressesInUse() addressUse {
	use := make(addressUse)
	c.targets.all(func(_ core.TargetID, t *target) bool {
		use[t.target.Addr] = append(use[t.target.Addr], t.target.Service)
		return true
	})
	return use
}

// usedByOther reports whether another service used the target's address before.
func (u addressUse) usedByOther(in *core.Target) bool {
	return slices.ContainsFunc(u[in.Addr], func(s core.ServiceID) bool { return s != in.Service })
}

// updateTargets deletes removed targets that have drained and recomputes the target sets.
func (c *Control) updateTargets() {
	if c.now < c.publication.nextTargetCheck {
		return
	}
	c.publication.nextTargetCheck = c.now + targetsInterval
	var drained []core.TargetID
	c.targets.all(func(id core.TargetID, t *target) bool {
		if t.removed && c.now >= t.removedAt+t.drain+core.RequestLifetime {
			drained = append(drained, id)
		}
		return true
	})
	for _, id := range drained {
		c.targets.remove(id)
		c.markChanged(changeTopology)
	}
	c.updateTargetSets()
}

// updateTargetSets recomputes the target sets of all services and keeps the previous ones.
func (c *Control) updateTargetSets() {
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
		c.updateTargetSet(&cfg.Services[i])
	}
}

// updateTargetSet recomputes the target set of one service.
func (c *Control) updateTargetSet(s *core.Service) {
	state := c.config.services[s.ID]
	if state == nil {
		state = &service{}
		c.config.services[s.ID] = state
	}
	if n := len(state.previousSets); n > 0 && c.now-state.previousSets[n-1].ReplacedAt > core.FlowIdleTimeout {
		state.previousSets = slices.Clone(state.previousSets[:n-1])
		c.markChanged(changeSnapshot)
	}
	next := c.acceptingSet(s)
	if state.initialized && slices.Equal(next.IDs, state.current.IDs) && slices.Equal(next.Weights, state.current.Weights) {
		return
	}
	if state.initialized && len(state.current.IDs) > 0 {
		previous := core.PreviousSet{Set: state.current, ReplacedAt: c.now}
		keep := min(len(state.previousSets), core.MaxPreviousSets-1)
		state.previousSets = append([]core.PreviousSet{previous}, state.previousSets[:keep]...)
	}
	state.initialized = true
	state.current = next
	c.markChanged(changeSnapshot)
}

// acceptingSet returns the targets of a service that accept new flows, in ascending id order.
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

// accepts reports whether a target accepts new flows.
func (c *Control) accepts(t *target) bool {
	snapshot := core.TargetSnapshot{
		Target: t.target, ZoneOut: c.zoneOut(t.target.Zone), Removed: t.removed,
		NotBefore: t.notBefore, Draining: c.targetDraining(t),
	}
	return snapshot.Accepts(c.now)
}

// zoneOut reports whether the zone was taken out of service.
func (c *Control) zoneOut(name core.ZoneName) bool {
	return c.config.current != nil && c.config.current.ZoneState(name) == core.ZoneOut
}

// targetDraining reports whether a target drains, according to the manifest, the platform's VM list or the
// target's own answers.
func (c *Control) targetDraining(t *target) bool {
	if t.target.State == core.TargetDraining || t.load.Draining {
		return true
	}
	return slices.ContainsFunc(c.config.leavingHosts, t.hostedOn)
}
