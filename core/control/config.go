package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangoweir/mangoweir/core"
)

// pullTimeout is the time after which another peer is asked for a config or member list. A shorter
// time transfers large manifests twice.
const pullTimeout = 600 * time.Millisecond

// configState is the configuration in force and what is known of newer ones.
type configState struct {
	current *core.Config
	sum     uint64
	// newest is the newest generation heard of; newestSince is when it was first heard of.
	newest      core.Generation
	newestSince time.Duration
	// invalid is the newest generation that could not be decoded; it is not fetched again.
	invalid  core.Generation
	pulledAt time.Duration
	pulling  core.Generation
	services map[core.ServiceID]*service
	// early holds reports about targets that no installed configuration names yet. A handover may
	// reach a VM that has just started before its configuration does.
	early map[core.TargetID]core.OwnerChanged
	// leavingHosts are the entries of the platform's list that are leaving.
	leavingHosts []core.ListedVM
}

// generation returns the generation in force, or 0.
func (c *Control) generation() core.Generation {
	if c.config.current == nil {
		return 0
	}
	return c.config.current.Generation
}

// noteGeneration records that a generation exists.
func (c *Control) noteGeneration(g core.Generation) {
	if g <= c.config.newest {
		return
	}
	c.config.newest = g
	c.config.newestSince = c.now
	if g > c.generation() {
		c.touch(changeView)
	}
}

// onManifest installs a manifest that the platform returned.
func (c *Control) onManifest(in core.ManifestRead) {
	c.succeeded(object{kind: objectManifest})
	c.install(in.Generation, in.Text)
}

// onConfigPull answers a peer that asks for a newer manifest.
func (c *Control) onConfigPull(from core.VMName, m *core.ConfigPull) {
	cfg := c.config.current
	if cfg == nil || cfg.Generation <= m.Have {
		return
	}
	c.send(from, &core.ConfigPush{Generation: cfg.Generation, Text: cfg.Text, Sum: c.config.sum})
}

// onConfigPush installs a manifest that a peer sent.
func (c *Control) onConfigPush(m *core.ConfigPush) {
	c.config.pulling = 0
	if xxhash.Sum64(m.Text) != m.Sum {
		return
	}
	c.install(m.Generation, m.Text)
}

// updatePulls asks peers for newer configs and member lists, one of each at a time.
func (c *Control) updatePulls() {
	c.pullConfig()
	c.zones.all(func(_ core.ZoneName, z *zone) bool {
		c.pullMembers(z)
		return true
	})
}

// pullConfig asks a peer that has a newer generation. The peer is drawn, so that the peers that
// have it share the work.
func (c *Control) pullConfig() {
	have := max(c.generation(), c.config.invalid)
	if c.config.newest <= have || c.waiting(c.config.pulling != 0, c.config.pulledAt) {
		return
	}
	p := c.drawPeer(func(p *peer) bool { return p.generation > have })
	if p == nil {
		return
	}
	c.config.pulling = p.generation
	c.config.pulledAt = c.now
	c.send(p.name, &core.ConfigPull{Have: have})
}

// waiting reports whether a pull is still expected to be answered.
func (c *Control) waiting(pulling bool, since time.Duration) bool {
	return pulling && c.now-since < pullTimeout
}

// drawPeer returns one of the live peers that match, or nil.
func (c *Control) drawPeer(match func(*peer) bool) *peer {
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
	return found[c.draw()%uint64(len(found))]
}

// install puts a newer generation in force. Older ones are ignored.
func (c *Control) install(g core.Generation, text []byte) {
	c.noteGeneration(g)
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
	c.touch(changeStructure)
	c.hasNews()
	c.recheckPending()
	c.updateSets()
	// Shards have to know a target before they are told to hold it.
	c.publish()
	c.applyEarly()
	c.updateHolders()
}

// checkZoneReturn proves the targets of this VM's zone again when the zone was out of service, or may
// have been in a generation that this VM did not see: VMs of other zones may hold them.
func (c *Control) checkZoneReturn(previous, cfg *core.Config) {
	if previous == nil {
		return
	}
	// A VM of another zone needs this VM's acknowledgement or ConfirmTTL without a confirmation before
	// it has authority over a target held here. While the previous configuration was confirmed more
	// recently, none can have got it in generations that were skipped.
	skipped := cfg.Generation > previous.Generation+1 && c.now-c.authority.confirmedAt >= core.ConfirmTTL
	if !skipped && previous.ZoneState(c.opts.Zone) == core.ZoneIn {
		return
	}
	c.targets.all(func(_ core.TargetID, t *target) bool {
		if t.target.Zone != c.opts.Zone {
			return true
		}
		t.holding.wasForeign = true
		if t.holding.held {
			c.prove(t)
		}
		return true
	})
}

// setLeavingHosts takes the hosts that the platform's list reports as leaving.
func (c *Control) setLeavingHosts(vms []core.ListedVM) {
	var leaving []core.ListedVM
	for _, vm := range vms {
		if vm.Leaving {
			leaving = append(leaving, vm)
		}
	}
	if !slices.Equal(leaving, c.config.leavingHosts) {
		c.config.leavingHosts = leaving
		c.touch(changeStructure)
	}
}

// targetHosts returns the names and addresses of the hosts of targets, which the platform's list may
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
