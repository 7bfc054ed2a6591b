package registry_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
)

// Bounds of the platform's rules, from the settings of today's deployments, and times of the test.
const (
	drainBound   = 3 * time.Second
	configBound  = 3 * time.Second
	zoneOutBound = 5 * time.Second
	// contactTime is how long a VM must have reached the store before the bounds apply to it.
	contactTime = 4 * time.Second
	heartbeat   = 1200 * time.Millisecond
	coldStart   = 2 * time.Second
	coldLimit   = 2*1.5 + 5
	entryTTL    = 3 * heartbeat
	// entryReturnTime is the time in which an expired entry of a running target returns.
	entryReturnTime = 2 * time.Second
	// isolatedAfter is the time without the store after which a VM reports that it is not ready.
	isolatedAfter = 4 * time.Second
	// silentTime is how long a VM does not detect that its connection to the store is silent.
	silentTime = 2300 * time.Millisecond
	// step is the time between two actions.
	step = 100 * time.Millisecond
	// maxCopyAge is the maximum age of the copy that the store is restored from.
	maxCopyAge = 9 * time.Second
	// operatorRewriteTime is the maximum time until operators write again what a restored store has lost.
	operatorRewriteTime = time.Second
)

// cluster is a store, targets, VMs and flows in virtual time. It checks the platform's rules at every
// decision.
type cluster struct {
	t   *rapid.T
	now time.Duration

	// era is the number of the store's history.
	era      uint64
	revision uint64
	objects  [registry.NumKinds]map[string]registry.Record
	changes  []change
	// compacted is the revision up to which the store no longer has the changes.
	compacted uint64
	// copies are copies of the store, one each step. rewriteAt is when operators write again what the store has lost, 0 when
	// nothing is lost.
	copies    []storeCopy
	rewriteAt time.Duration
	// starts is the number of starts of targets.
	starts int64
	// foreign is the number of entries of other writers.
	foreign int

	zones    []core.ZoneName
	targets  []*target
	vms      []*vm
	flows    []*flow
	routes   map[netip.AddrPort]time.Duration // time of the drop, 0 while in force
	version  uint64
	zoneOut  map[core.ZoneName]time.Duration
	nextID   int
	nextFlow int
}

type storeCopy struct {
	revision, compacted uint64
	objects             [registry.NumKinds]map[string]registry.Record
	changes             []change
}

type change struct {
	kind registry.Kind
	rec  registry.Record
}

// target is the actual state of a target, which its entry shows only later.
type target struct {
	id            string
	rec           registry.Record
	running       bool
	drainingSince time.Duration // start of the drain, 0 while not draining
	// coldSince and coldUntil bound its cold start.
	coldSince, coldUntil time.Duration
	crashedAt            time.Duration
	// cutUntil is the end of the last time in which its links refused connections.
	cutUntil time.Duration
	// renewAt is when the target next renews its entry. expired is true while the store has lost the entry.
	renewAt   time.Duration
	expired   bool
	flowTimes []time.Duration
}

type vm struct {
	// id is 1 or 2, as each zone has two VMs.
	id        forward.VMID
	zone      core.ZoneName
	registry  *registry.Registry
	forwarder *forward.Forwarder
	// cut is true while the VM cannot reach the store. contactSince is the end of its last fault.
	cut          bool
	contactSince time.Duration
	// silentUntil is the time until which the VM's connection to the store is silent.
	silentUntil time.Duration
	syncedAt    time.Duration
	version     uint64
	// source is the VM whose observations this one receives until borrowUntil.
	source      *vm
	borrowUntil time.Duration
}

type flow struct {
	key         forward.Flow
	route       netip.AddrPort
	target      *target
	startMillis int64
	token       forward.Token
	seq         uint32
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{
		t: t, now: time.Minute, era: 1, zones: []core.ZoneName{"zone-a", "zone-b"},
		routes: map[netip.AddrPort]time.Duration{}, zoneOut: map[core.ZoneName]time.Duration{},
	}
	for kind := range c.objects {
		c.objects[kind] = map[string]registry.Record{}
	}
	c.addRoute()
	for range 4 {
		c.addTarget(false)
	}
	for i := range 4 {
		c.vms = append(c.vms, &vm{id: forward.VMID(1 + i/2), zone: c.zones[i%2]})
		c.restart(c.vms[i])
	}
	return c
}

// asOf returns the store's present revision.
func (c *cluster) asOf() registry.Revision { return registry.Revision{Era: c.era, Number: c.revision} }

// keepCopy keeps a copy of the store.
func (c *cluster) keepCopy() {
	kept := storeCopy{revision: c.revision, compacted: c.compacted, changes: slices.Clone(c.changes)}
	for kind := range c.objects {
		kept.objects[kind] = maps.Clone(c.objects[kind])
	}
	if len(c.copies) >= int(maxCopyAge/step) {
		c.copies = c.copies[1:]
	}
	c.copies = append(c.copies, kept)
}

// restore replaces the store by an earlier copy of itself. Operators and targets write again what it has lost, and the entries
// of targets that have ended expire once more.
func (c *cluster) restore() {
	if len(c.copies) == 0 {
		return
	}
	i := c.pick("copy", len(c.copies))
	earlier := c.copies[i]
	c.copies = c.copies[:i]
	c.era++
	c.revision, c.compacted, c.objects = earlier.revision, earlier.compacted, earlier.objects
	c.changes = earlier.changes
	for kind := range c.objects {
		c.objects[kind] = maps.Clone(c.objects[kind])
		for name, rec := range c.objects[kind] {
			rec.Revision.Era = c.era
			c.objects[kind][name] = rec
		}
	}
	c.rewriteAt = c.now + time.Duration(c.pick("rewrite", int(operatorRewriteTime)))
	for _, t := range c.targets {
		switch _, listed := c.objects[registry.Targets][t.id]; {
		case t.running:
			t.renewAt, t.expired = c.now+time.Duration(c.pick("heartbeat", int(heartbeat))), true
		case listed:
			t.crashedAt = c.now
		}
	}
	for _, v := range c.vms {
		v.contactSince = c.now
	}
}

// rewrite writes again what operators wrote and the store has lost.
func (c *cluster) rewrite() {
	c.rewriteAt = 0
	if rec, ok := c.objects[registry.Configs][registry.ConfigName]; !ok || rec.Config.Version != c.version {
		c.writeVersion()
	}
	for _, zone := range c.zones {
		_, out := c.zoneOut[zone]
		if _, listed := c.objects[registry.ZonesOut][string(zone)]; out != listed {
			c.write(registry.ZonesOut, registry.Record{Name: string(zone), Removed: !out})
		}
	}
}

// write changes an object of the store.
func (c *cluster) write(kind registry.Kind, rec registry.Record) {
	c.revision++
	rec.Revision = c.asOf()
	if rec.Removed {
		delete(c.objects[kind], rec.Name)
	} else {
		c.objects[kind][rec.Name] = rec
	}
	c.changes = append(c.changes, change{kind, rec})
}

func (c *cluster) writeConfig() {
	c.version += uint64(c.pick("version step", 3) + 1)
	c.writeVersion()
}

// writeVersion writes the present version of the configuration.
func (c *cluster) writeVersion() {
	config := &registry.Config{Version: c.version, Services: []registry.Service{
		{Name: "desk", ColdStart: coldStart, ColdPerSecond: 2},
	}}
	for addr, dropped := range c.routes {
		if dropped == 0 {
			config.Routes = append(config.Routes, registry.Route{Addr: addr, Backends: []registry.Backend{{Service: "desk", Weight: 1}}})
		}
	}
	c.write(registry.Configs, registry.Record{Name: registry.ConfigName, Config: config})
}

func (c *cluster) pick(what string, n int) int { return rapid.IntRange(0, n-1).Draw(c.t, what) }

func (c *cluster) addRoute() {
	c.routes[netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(len(c.routes))}), 443)] = 0
	c.writeConfig()
}

func (c *cluster) dropRoute() {
	var open []netip.AddrPort
	for addr, dropped := range c.routes {
		if dropped == 0 {
			open = append(open, addr)
		}
	}
	if len(open) < 2 {
		return
	}
	slices.SortFunc(open, netip.AddrPort.Compare)
	c.routes[open[c.pick("route", len(open))]] = c.now
	c.writeConfig()
}

// addTarget adds a target and starts it, cold or warm.
func (c *cluster) addTarget(cold bool) {
	c.nextID++
	t := &target{id: fmt.Sprintf("i-%x", c.nextID), running: true}
	t.rec = registry.Record{Name: t.id, Target: &registry.Target{
		NumericID: uint64(c.nextID), Service: "desk", Zone: c.zones[c.nextID%2], Slots: 4,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(c.nextID >> 8), byte(c.nextID)}), 80),
	}}
	c.targets = append(c.targets, t)
	c.start(t, cold)
}

// start starts an incarnation of a target.
func (c *cluster) start(t *target, cold bool) {
	t.running, t.drainingSince, t.coldUntil = true, 0, 0
	if cold {
		t.turnCold(c.now)
	}
	c.starts++
	c.publish(t, func(rt *registry.Target) { rt.StartMillis, rt.Draining = c.starts, false })
}

func (t *target) turnCold(now time.Duration) {
	t.coldSince, t.coldUntil = now, now+coldStart
}

// publish writes a target's entry after a change.
func (c *cluster) publish(t *target, change func(*registry.Target)) {
	next := *t.rec.Target
	change(&next)
	next.ColdRemaining = max(0, t.coldUntil-c.now)
	t.rec.Target = &next
	t.renewAt, t.expired = c.now+heartbeat, false
	c.write(registry.Targets, t.rec)
}

// writeForeign writes an entry of another writer, with the address of a target and a service that no configuration has, or
// removes one.
func (c *cluster) writeForeign(t *target) {
	if c.foreign > 0 && c.pick("remove", 3) == 0 {
		c.write(registry.Targets, registry.Record{Name: fmt.Sprintf("agent-%x", 1+c.pick("foreign", c.foreign)), Removed: true})
		return
	}
	c.foreign++
	entry := *t.rec.Target
	entry.Service, entry.StartMillis = "sidecar", entry.StartMillis+int64(c.pick("born", 3)-1)<<40
	if c.pick("number", 2) == 0 {
		entry.NumericID = uint64(c.foreign)
	}
	c.write(registry.Targets, registry.Record{Name: fmt.Sprintf("agent-%x", c.foreign), Target: &entry})
}

// overwrite replaces the entry of a running target by another writer's. The target writes its own with its next heartbeat.
func (c *cluster) overwrite(t *target) {
	rec := registry.Record{Name: t.id, Unreadable: "odd"}
	if c.pick("readable", 2) == 0 {
		entry := *t.rec.Target
		entry.Service, entry.StartMillis = "sidecar", entry.StartMillis+int64(c.pick("born", 3)-1)
		entry.Addr = c.targets[c.pick("address", len(c.targets))].rec.Target.Addr
		rec = registry.Record{Name: t.id, Target: &entry}
	}
	c.write(registry.Targets, rec)
	t.renewAt, t.expired = c.now+time.Duration(c.pick("heartbeat", int(heartbeat))), true
}

// restart replaces a VM's process.
func (c *cluster) restart(v *vm) {
	v.registry = registry.New(v.zone, registry.Limits{ColdOverage: 1.5, ColdSlack: 5, Heartbeat: heartbeat})
	v.registry.SetMembers(v.id, []forward.VMID{1, 2})
	v.forwarder = forward.New(v.zone, 1)
	v.version = 0
	v.contactSince, v.silentUntil = c.now, 0
	c.sync(v, true)
}

// sync updates a VM from the store, by a list or by the changes since its last sync. A VM whose revision was
// compacted gets a list.
func (c *cluster) sync(v *vm, list bool) {
	if v.cut || c.now < v.silentUntil {
		return
	}
	for kind := range registry.Kind(registry.NumKinds) {
		update := registry.Update{Kind: kind, AsOf: c.asOf()}
		after := v.registry.AsOf(kind)
		if list || after.Era != c.era || after.Number < c.compacted {
			update.Full = true
			for _, rec := range c.objects[kind] {
				update.Records = append(update.Records, rec)
			}
		} else {
			for _, change := range c.changes {
				if rec := change.rec; change.kind == kind && rec.Revision.Number > after.Number {
					rec.Revision.Era = c.era
					update.Records = append(update.Records, rec)
				}
			}
		}
		v.registry.Apply(update, c.now)
	}
	v.syncedAt = c.now
	c.install(v)
}

// observe records what the VMs of a target's zone observe by their connections to it.
func (c *cluster) observe(t *target) {
	for _, v := range c.vms {
		if v.zone != t.rec.Target.Zone {
			continue
		}
		listed := &forward.Target{ID: t.id, Token: forward.NewToken(t.id, t.rec.Target.StartMillis)}
		v.registry.ObserveConnection(listed, c.now < t.cutUntil || !t.running, c.now)
	}
}

func (c *cluster) relayObservations(from, to *vm) {
	for _, o := range from.registry.Observations(c.now) {
		to.registry.ApplyObservation(o, c.now)
	}
}

// relay applies one VM's objects and observations to another VM, as a change feed does, however old they are.
func (c *cluster) relay(from, to *vm) {
	c.relayObservations(from, to)
	for kind := range registry.Kind(registry.NumKinds) {
		if !from.registry.AsOf(kind).IsZero() {
			to.registry.Apply(from.registry.Export(kind), from.registry.ConfirmedAt(kind))
		}
	}
	c.install(to)
}

// install installs a VM's newest snapshot in its Forwarder.
func (c *cluster) install(v *vm) {
	v.registry.ReleaseHeld(c.now)
	if snapshot := v.registry.Snapshot(c.now); snapshot != nil {
		if snapshot.ConfigVersion < v.version {
			c.t.Fatalf("configuration version decreased from %d to %d", v.version, snapshot.ConfigVersion)
		}
		v.version = snapshot.ConfigVersion
		v.forwarder.Install(snapshot)
	}
	v.forwarder.SetFresh(v.registry.FreshSince(), v.registry.FreshUntil())
}

// inContact reports whether a VM has reached the store for contactTime, so that the time bounds apply to it.
func (c *cluster) inContact(v *vm) bool { return !v.cut && c.now-v.contactSince >= contactTime }

// silenceStore makes a VM's connection to the store silent.
func (c *cluster) silenceStore(v *vm) {
	v.contactSince = c.now
	v.silentUntil = c.now + silentTime
}

// advance advances the time by a step.
func (c *cluster) advance() {
	c.keepCopy()
	c.now += step
	if c.rewriteAt > 0 && c.now >= c.rewriteAt {
		c.rewrite()
	}
	for _, t := range c.targets {
		switch {
		case t.running && c.now >= t.renewAt && (t.expired || t.coldUntil > c.now-2*heartbeat):
			// A heartbeat that changes only the entry's sequence number is not simulated.
			c.publish(t, func(*registry.Target) {})
		case !t.running && t.crashedAt > 0 && c.now >= t.crashedAt+entryTTL:
			t.crashedAt = 0
			if _, ok := c.objects[registry.Targets][t.id]; ok {
				c.write(registry.Targets, registry.Record{Name: t.id, Removed: true})
			}
		}
	}
	for _, v := range c.vms {
		c.sync(v, false)
	}
	for _, t := range c.targets {
		if t.drainingSince == 0 {
			c.observe(t)
		}
	}
	for _, v := range c.vms {
		if c.now < v.borrowUntil {
			c.relayObservations(v.source, v)
		}
		c.install(v)
	}
}
