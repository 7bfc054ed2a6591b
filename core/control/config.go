package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangoweir/mangoweir/core"
)

// pullTimeout is the time after which another peer is asked for a configuration or member list. With a
// shorter time, large manifests are transferred twice.
const pullTimeout = 600 * time.Millisecond

// configState is the configuration in force and the newer generations that were reported.
type configState struct {
	current *core.Config
	// sum is the xxhash of the manifest's text.
	sum uint64
	// newest is the newest generation that a peer or the platform reported; newestSince is when it was
	// first reported.
	newest      core.Generation
	newestSince time.Duration
	// invalid is the newest generation that could not be decoded; it is not fetched again.
	invalid core.Generation
	// pulling is the generation that was last requested from a peer, at pulledAt; 0 once a manifest has arrived.
	pulledAt time.Duration
	pulling  core.Generation
	services map[core.ServiceID]*service
	// earlyReports holds the shards' reports about targets that no installed configuration contains yet. A VM
	// that has just started may receive a handover before its configuration.
	earlyReports map[core.TargetID]core.OwnerChanged
	// leavingHosts are the entries of the platform's VM list that are marked as leaving.
	leavingHosts []core.ListedVM
}

// generation returns the generation in force, or 0.
func (c *Control) generation() core.Generation {
	if c.config.current == nil {
		return 0
	}
	return c.config.current.Generation
}

// recordGeneration records that a generation exists.
func (c *Control) recordGeneration(g core.Generation) {
	if g <= c.config.newest {
		return
	}
	c.config.newest = g
	c.config.newestSince = c.now
	if g > c.generation() {
		c.markChanged(changeSnapshot)
	}
}

// onManifest installs a manifest that was read from the platform.
func (c *Control) onManifest(in core.ManifestRead) {
	c.callSucceeded(object{kind: objectManifest})
	c.install(in.Generation, in.Text)
}

// onConfigPull sends the manifest in force to a peer that has an older one.
func (c *Control) onConfigPull(from core.VMName, m *core.ConfigPull) {
	cfg := c.config.current
	if cfg == nil || cfg.Generation <= m.Have {
		return
	}
	c.send(from, &core.ConfigPush{Generation: cfg.Generation, Text: cfg.Text, Sum: c.config.sum})
}

// onConfigPush installs a manifest that a peer sent, unless its checksum is wrong.
func (c *Control) onConfigPush(m *core.ConfigPush) {
	c.config.pulling = 0
	if xxhash.Sum64(m.Text) != m.Sum {
		return
	}
	c.install(m.Generation, m.Text)
}

// updatePulls requests newer configurations and member lists from peers, one of each at a time.
func (c *Control) updatePulls() {
	c.pullConfig()
	c.zones.all(func(_ core.ZoneName, z *zone) bool {
		c.pullMembers(z)
		return true
	})
}

// pullConfig requests a newer generation from a peer that has one. The peer is chosen at random, which
// spreads the load over all peers that have it.
func (c *Control) pullConfig() {
	have := max(c.generation(), c.config.invalid)
	if c.config.newest <= have || c.pullPending(c.config.pulling != 0, c.config.pulledAt) {
		return
	}
	p := c.randomPeer(func(p *peer) bool { return p.generation > have })
	if p == nil {
		return
	}
	c.config.pulling = p.generation
	c.config.pulledAt = c.now
	c.send(p.name, &core.ConfigPull{Have: have})
}

// pullPending reports whether a pull is outstanding and has not timed out.
func (c *Control) pullPending(pulling bool, since time.Duration) bool {
	return pulling && c.now-since < pullTimeout
}

// randomPeer returns a random live peer that matches, or nil.
func (c *Control) randomPeer(match func(*peer) bool) *peer {
	var found []*peer
	c.peers.all(func(_ core.VMName, p *peer) bool {
		if p.live() && match(p) {
			found = append(found, p)
		}
		return true
	})
	if len(found) == 0 {
		return nil
	}
	return found[c.nextRandom()%uint64(len(found))]
}

// install puts a newer generation in force. It ignores older generations and does not retry an invalid one.
func (c *Control) install(g core.Generation, text []byte) {
	c.recordGeneration(g)
	if g <= c.generation() || g == c.config.invalid {
		return
	}
	cfg, err := c.opts.Decode(g, text)
	if err != nil {
		c.config.invalid = max(c.config.invalid, g)
		c.emit(core.Event{Kind: core.EventConfigInvalid, VM: c.opts.Self, Value: uint64(g)})
		return
	}
	previous := c.config.current
	c.config.current = cfg
	c.config.sum = xxhash.Sum64(cfg.Text)
	c.installTargets(previous, cfg)
	c.checkZoneReturn(previous, cfg)
	for _, z := range cfg.Zones {
		c.zone(z.Name)
	}
	c.emit(core.Event{Kind: core.EventConfigInstalled, VM: c.opts.Self, Value: uint64(g)})
	c.markChanged(changeTopology)
	c.requestEarlyHeartbeat()
	c.recheckPending()
	c.updateTargetSets()
	// Shards must have a target in their snapshot before they are instructed to own it.
	c.publish()
	c.applyEarlyReports()
	c.updateOwners()
}

// checkZoneReturn verifies the ownership of the targets of this VM's zone when the zone was out of service,
// or may have been in a generation that this VM skipped, because VMs of other zones may own these targets.
func (c *Control) checkZoneReturn(previous, cfg *core.Config) {
	if previous == nil {
		return
	}
	// A VM of another zone needs this VM's acknowledgement, or ConfirmTTL without a confirmation for this
	// VM, before it has authority over a target that is owned here. If the previous configuration was
	// confirmed more recently, no VM can have got authority in the skipped generations.
	skipped := cfg.Generation > previous.Generation+1 && c.now-c.authority.confirmedAt >= core.ConfirmTTL
	if !skipped && previous.ZoneState(c.opts.Zone) == core.ZoneIn {
		return
	}
	c.targets.all(func(_ core.TargetID, t *target) bool {
		if t.target.Zone != c.opts.Zone {
			return true
		}
		t.ownership.wasCrossZone = true
		if t.ownership.owned {
			c.verifyOwnership(t)
		}
		return true
	})
}

// setLeavingHosts records the hosts that the platform's VM list marks as leaving.
func (c *Control) setLeavingHosts(vms []core.ListedVM) {
	var leaving []core.ListedVM
	for _, vm := range vms {
		if vm.Leaving {
			leaving = append(leaving, vm)
		}
	}
	if !slices.Equal(leaving, c.config.leavingHosts) {
		c.config.leavingHosts = leaving
		c.markChanged(changeTopology)
	}
}

// targetHosts returns the names and addresses of the hosts of targets, which the platform's VM list may
// contain besides entry VMs.
func (c *Control) targetHosts() map[hostKey]bool {
	hosts := make(map[hostKey]bool)
	c.targets.all(func(_ core.TargetID, t *target) bool {
		hosts[hostKey{zone: t.target.Zone, name: t.target.Name}] = true
		hosts[hostKey{zone: t.target.Zone, addr: t.target.Addr}] = true
		return true
	})
	return hosts
}

// hostKey identifies a host of a zone by name or address.
type hostKey struct {
	zone core.ZoneName
	name string
	addr netip.AddrPort
}
