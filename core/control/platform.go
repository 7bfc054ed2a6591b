package control

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

const (
	// headsInterval is the time between two reads of the heads, the versions of the platform's objects, by
	// a reader.
	headsInterval = time.Second
	// vmListInterval is the time between two reads of the platform's VM list by a reader.
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

// object identifies a platform object.
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

// callFor returns the state of an object's calls. It first records a call that exceeded callTimeout as failed.
func (c *Control) callFor(o object) *call {
	cl := c.calls[o]
	if cl == nil {
		cl = &call{doneAt: distantPast}
		c.calls[o] = cl
	}
	if cl.outstanding && c.now-cl.sentAt > callTimeout {
		c.callFailed(o)
	}
	return cl
}

// callAllowed reports whether a call for the object may be made now.
func (c *Control) callAllowed(o object) bool {
	cl := c.callFor(o)
	return !cl.outstanding && c.now >= cl.notBefore
}

// startCall makes a call if it is allowed, and reports whether it was.
func (c *Control) startCall(o object, a core.Action) bool {
	if !c.callAllowed(o) {
		return false
	}
	cl := c.callFor(o)
	cl.outstanding = true
	cl.sentAt = c.now
	c.emit(a)
	return true
}

// callSucceeded records a successful call.
func (c *Control) callSucceeded(o object) {
	cl := c.callFor(o)
	if cl.failures > 0 && o.kind == objectHeads {
		c.emit(core.Event{Kind: core.EventPlatformBack, VM: c.opts.Self})
	}
	*cl = call{doneAt: c.now}
}

// callFailed records a failed call and delays the next one, with jitter so that the VMs of a fleet do not
// retry at the same time.
func (c *Control) callFailed(o object) {
	cl := c.calls[o]
	if cl == nil {
		return
	}
	if cl.failures == 0 && o.kind == objectHeads {
		c.emit(core.Event{Kind: core.EventPlatformDown, VM: c.opts.Self})
	}
	cl.outstanding = false
	c.delayCall(cl)
}

// delayCall delays the next call after a failure or a conflict, for a time that doubles with each failure
// up to retryMax.
func (c *Control) delayCall(cl *call) {
	d := min(retryMin<<min(cl.failures, 8), retryMax)
	cl.failures++
	cl.notBefore = c.now + c.equalJitter(d)
}

// onPlatformFailed handles a failed read.
func (c *Control) onPlatformFailed(in core.PlatformFailed) {
	switch in.Object {
	case core.ObjectHeads:
		c.callFailed(object{kind: objectHeads})
	case core.ObjectManifest:
		c.callFailed(object{kind: objectManifest})
	case core.ObjectVMList:
		c.callFailed(object{kind: objectVMList})
	default:
		if zone, ok := core.MembersZone(in.Object); ok {
			c.callFailed(object{kind: objectMembers, zone: zone})
		}
	}
}

// updateReads starts the reads that are due.
func (c *Control) updateReads() {
	if !c.readsPlatform() {
		return
	}
	if c.callFor(object{kind: objectHeads}).doneAt+headsInterval <= c.now {
		c.startCall(object{kind: objectHeads}, core.ReadHeads{})
	}
	if c.callFor(object{kind: objectVMList}).doneAt+vmListInterval <= c.now {
		c.startCall(object{kind: objectVMList}, core.ReadVMList{})
	}
	if c.config.newest > c.generation() && c.config.newest != c.config.invalid {
		c.startCall(object{kind: objectManifest}, core.ReadManifest{})
	}
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if z.newest > z.epoch {
			c.startCall(object{objectMembers, name}, core.ReadMembers{Zone: name})
		}
		return true
	})
}

// readsPlatform reports whether this VM reads the platform: as a reader of its zone, as a fallback reader
// when no confirmation arrives, or because it has no configuration or no live peer to get data from.
// Fallback readers are few, so that an outage does not turn a whole fleet into readers.
func (c *Control) readsPlatform() bool {
	rank := c.rankInZone(c.opts.Zone, saltReader)
	if c.config.current == nil || rank < readersPerZone {
		return true
	}
	if rank < 2*readersPerZone && c.platformSilent() {
		return true
	}
	noLivePeer := true
	c.peers.all(func(_ core.VMName, p *peer) bool {
		noLivePeer = !p.live()
		return noLivePeer
	})
	return noLivePeer
}

// Salts of the rendezvous orders.
const (
	saltReader uint64 = 0x72656164
	saltWriter uint64 = 0x77726974
	saltOwner  uint64 = 0x686f6c64
)

// rankKey identifies a rendezvous order of a zone's VMs.
type rankKey struct {
	zone core.ZoneName
	salt uint64
}

// rankInZone returns the rank of this VM among the live VMs of a zone, or among the live VMs of all
// zones when this VM is in another zone.
func (c *Control) rankInZone(zone core.ZoneName, salt uint64) int {
	if c.publication.ranksVersion != c.publication.topologyVersion || c.publication.ranks == nil {
		c.publication.ranks = make(map[rankKey]int)
		c.publication.ranksVersion = c.publication.topologyVersion
	}
	k := rankKey{zone, salt}
	rank, ok := c.publication.ranks[k]
	if !ok {
		rank = c.computeRank(zone, salt)
		c.publication.ranks[k] = rank
	}
	return rank
}

// computeRank computes a rank for rankInZone.
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

// onHeads handles the versions of the platform's objects.
func (c *Control) onHeads(in core.HeadsRead) {
	c.callSucceeded(object{kind: objectHeads})
	c.recordGeneration(in.Generation)
	var epochs []core.ZoneEpoch
	for zone, e := range in.Epochs {
		epochs = append(epochs, core.ZoneEpoch{Zone: zone, Epoch: e})
	}
	sortEpochs(epochs)
	c.recordEpochs(epochs)
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if z.epoch == 0 && in.Epochs[name] == 0 {
			z.noListAt = max(z.noListAt, in.StartedAt)
		}
		return true
	})
	c.confirm(confirmation{at: in.StartedAt, generation: in.Generation, epochs: epochs})
	c.updateReads()
}
