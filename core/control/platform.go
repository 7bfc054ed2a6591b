package control

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

const (
	// headsInterval is the time between two reads of the heads by a reader.
	headsInterval = time.Second
	// vmListInterval is the time between two reads of the platform's list by a reader.
	vmListInterval = 5 * time.Second
	// readersPerZone is the number of VMs of a zone that read the heads.
	readersPerZone = 2
	// callTimeout is the time after which an unanswered call counts as failed.
	callTimeout = 5 * time.Second
	// retryMin and retryMax bound the time before a failed call is repeated. The upper bound is
	// below ConfirmTTL, so that authority by confirmation returns soon after an outage.
	retryMin = 500 * time.Millisecond
	retryMax = 4 * time.Second
)

// objectKind is a kind of platform object.
type objectKind uint8

const (
	objectHeads objectKind = iota
	objectManifest
	objectVMList
	objectMembers
)

// object names a platform object.
type object struct {
	kind objectKind
	zone core.ZoneName
}

// call is the state of the calls for one object; at most one is outstanding.
type call struct {
	outstanding bool
	sentAt      time.Duration
	failures    int
	// notBefore is the time before which no call may be made after a failure.
	notBefore time.Duration
	// doneAt is the time of the last success.
	doneAt time.Duration
}

// callFor returns the state of an object's calls.
func (c *Control) callFor(o object) *call {
	k := c.calls[o]
	if k == nil {
		k = &call{doneAt: never}
		c.calls[o] = k
	}
	if k.outstanding && c.now-k.sentAt > callTimeout {
		c.failed(o)
	}
	return k
}

// callAllowed reports whether a call for the object may be made now.
func (c *Control) callAllowed(o object) bool {
	k := c.callFor(o)
	return !k.outstanding && c.now >= k.notBefore
}

// start makes a call if it is allowed.
func (c *Control) start(o object, a core.Action) bool {
	if !c.callAllowed(o) {
		return false
	}
	k := c.callFor(o)
	k.outstanding = true
	k.sentAt = c.now
	c.emit(a)
	return true
}

// succeeded records an answer of the platform.
func (c *Control) succeeded(o object) {
	k := c.callFor(o)
	if k.failures > 0 && o.kind == objectHeads {
		c.emit(core.Event{Kind: core.EventPlatformBack, VM: c.opts.Self})
	}
	*k = call{doneAt: c.now}
}

// failed records a failed call and delays the next one, with jitter so that the VMs of a fleet do
// not return together.
func (c *Control) failed(o object) {
	k := c.calls[o]
	if k == nil {
		return
	}
	if k.failures == 0 && o.kind == objectHeads {
		c.emit(core.Event{Kind: core.EventPlatformDown, VM: c.opts.Self})
	}
	k.outstanding = false
	c.delay(k)
}

// delay postpones the next call after a failure or a conflict.
func (c *Control) delay(k *call) {
	d := min(retryMin<<min(k.failures, 8), retryMax)
	k.failures++
	k.notBefore = c.now + c.spread(d)
}

// onPlatformFailed handles a failed read.
func (c *Control) onPlatformFailed(in core.PlatformFailed) {
	switch in.Object {
	case core.ObjectHeads:
		c.failed(object{kind: objectHeads})
	case core.ObjectManifest:
		c.failed(object{kind: objectManifest})
	case core.ObjectVMList:
		c.failed(object{kind: objectVMList})
	default:
		if zone, ok := core.MembersZone(in.Object); ok {
			c.failed(object{kind: objectMembers, zone: zone})
		}
	}
}

// updateReads starts the reads that are due.
func (c *Control) updateReads() {
	if !c.readsPlatform() {
		return
	}
	if c.callFor(object{kind: objectHeads}).doneAt+headsInterval <= c.now {
		c.start(object{kind: objectHeads}, core.ReadHeads{})
	}
	if c.callFor(object{kind: objectVMList}).doneAt+vmListInterval <= c.now {
		c.start(object{kind: objectVMList}, core.ReadVMList{})
	}
	if c.config.newest > c.generation() && c.config.newest != c.config.invalid {
		c.start(object{kind: objectManifest}, core.ReadManifest{})
	}
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if z.newest > z.epoch {
			c.start(object{objectMembers, name}, core.ReadMembers{Zone: name})
		}
		return true
	})
}

// readsPlatform reports whether this VM reads the platform: as a reader of its zone, as a deputy when
// no confirmation arrives, or because no peer can tell it what it needs. Deputies are few, so that an
// outage does not turn a whole fleet into readers.
func (c *Control) readsPlatform() bool {
	rank := c.rankInZone(c.opts.Zone, saltReader)
	if c.config.current == nil || rank < readersPerZone {
		return true
	}
	if rank < 2*readersPerZone && c.platformSilent() {
		return true
	}
	alone := true
	c.peers.all(func(_ core.VMName, p *peer) bool {
		alone = !p.live()
		return alone
	})
	return alone
}

// Salts of rendezvous orders.
const (
	saltReader uint64 = 0x72656164
	saltWriter uint64 = 0x77726974
	saltHolder uint64 = 0x686f6c64
)

// rankKey names a rendezvous order of a zone's VMs.
type rankKey struct {
	zone core.ZoneName
	salt uint64
}

// rankInZone returns the place of this VM among the live VMs of a zone, or among those of all zones
// when it is in another one.
func (c *Control) rankInZone(zone core.ZoneName, salt uint64) int {
	if c.view.ranksFor != c.view.structure || c.view.ranks == nil {
		c.view.ranks = make(map[rankKey]int)
		c.view.ranksFor = c.view.structure
	}
	k := rankKey{zone, salt}
	rank, ok := c.view.ranks[k]
	if !ok {
		rank = c.computeRank(zone, salt)
		c.view.ranks[k] = rank
	}
	return rank
}

// computeRank works out a rank for rankInZone.
func (c *Control) computeRank(zone core.ZoneName, salt uint64) int {
	key := rendezvous.Mix(salt, rendezvous.HashString(string(zone)))
	self := rendezvous.Mix(key, rendezvous.HashString(string(c.opts.Self)))
	rank := 0
	c.peers.all(func(_ core.VMName, p *peer) bool {
		if (zone != c.opts.Zone || p.zone == zone) && c.available(p) && rendezvous.Mix(key, p.hash) > self {
			rank++
		}
		return true
	})
	return rank
}

// onHeads takes over the versions of the platform's objects.
func (c *Control) onHeads(in core.HeadsRead) {
	c.succeeded(object{kind: objectHeads})
	c.noteGeneration(in.Generation)
	var epochs []core.ZoneEpoch
	for zone, e := range in.Epochs {
		epochs = append(epochs, core.ZoneEpoch{Zone: zone, Epoch: e})
	}
	sortEpochs(epochs)
	c.noteEpochs(epochs)
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if z.epoch == 0 && in.Epochs[name] == 0 {
			z.noneAt = max(z.noneAt, in.StartedAt)
		}
		return true
	})
	c.confirm(confirmation{at: in.StartedAt, generation: in.Generation, epochs: epochs})
	c.updateReads()
}
