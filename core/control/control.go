// Package control decides on all state that entry VMs share: the configuration in force, the members of
// each zone, which VM owns which target, and whether this VM has authority.
//
// A Control keeps this state and publishes it to traffic as immutable snapshots. It has a single writer:
// Handle must not be called concurrently.
package control

import (
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// Options configures a Control.
type Options struct {
	Self        core.VMName
	Zone        core.ZoneName
	Addr        netip.AddrPort
	Incarnation core.Incarnation
	// Seeds are peers that are contacted even when the platform's VM list can't be read.
	Seeds []core.ListedVM
	// Decode decodes the text of an accepted manifest into a configuration. It must be a pure function.
	Decode func(gen core.Generation, text []byte) (*core.Config, error)
	// RandomSeed is the seed of random choices such as jitter; it makes them reproducible.
	RandomSeed uint64
	// Shards is the number of traffic shards that report to this Control; default 1.
	Shards int
}

// Control is the control state of one entry VM.
type Control struct {
	opts Options
	// now is the time of the input being handled; out collects the resulting actions.
	now time.Duration
	out []core.Action

	initialized bool
	startedAt   time.Duration
	lastInput   time.Duration
	randomCount uint64

	peers   orderedMap[core.VMName, *peer]
	zones   orderedMap[core.ZoneName, *zone]
	targets orderedMap[core.TargetID, *target]
	calls   map[object]*call

	config      configState
	authority   authorityState
	heartbeats  heartbeatState
	stop        stopState
	status      statusState
	publication publicationState
}

// New returns a Control without a configuration and without peers other than the seeds.
func New(opts Options) *Control {
	opts.Shards = max(opts.Shards, 1)
	c := &Control{opts: opts, calls: make(map[object]*call)}
	c.peers = newOrderedMap[core.VMName, *peer]()
	c.zones = newOrderedMap[core.ZoneName, *zone]()
	c.targets = newOrderedMap[core.TargetID, *target]()
	c.config.services = make(map[core.ServiceID]*service)
	c.config.earlyReports = make(map[core.TargetID]core.OwnerChanged)
	c.authority.clearConfirmations()
	return c
}

// Handle processes one input at the time now and appends the resulting actions to out.
func (c *Control) Handle(in core.Input, now time.Duration, out []core.Action) []core.Action {
	c.now, c.out = now, out
	c.initialize()
	c.checkClock()
	c.dispatch(in)
	c.publish()
	out, c.out = c.out, nil
	return out
}

// initialize sets up the state when the first input arrives.
func (c *Control) initialize() {
	if c.initialized {
		return
	}
	c.initialized = true
	c.startedAt = c.now
	c.lastInput = c.now
	c.zone(c.opts.Zone)
	for _, vm := range c.opts.Seeds {
		c.ensurePeer(vm.Name, vm.Zone, vm.Addr)
	}
	c.heartbeats.nextAt = c.now + c.jitter(core.HeartbeatInterval)
	c.markChanged(changeTopology)
}

// dispatch calls the handler of an input.
func (c *Control) dispatch(in core.Input) {
	switch in := in.(type) {
	case core.Tick:
		c.tick()
	case core.Stop:
		c.beginStop()
	case core.LinkEvent:
		c.onLink(in)
	case core.PeerMessage:
		c.onMessage(in)
	case core.HeadsRead:
		c.onHeads(in)
	case core.ManifestRead:
		c.onManifest(in)
	case core.MembersRead:
		c.onMembersRead(in)
	case core.VMListRead:
		c.onVMList(in)
	case core.MembersWritten:
		c.onMembersWritten(in)
	case core.PlatformFailed:
		c.onPlatformFailed(in)
	case core.ShardReport:
		c.onShardReport(in.Action)
	}
}

// tick performs the periodic work.
func (c *Control) tick() {
	c.updatePeers()
	c.updateReads()
	c.updatePulls()
	c.updateMembers()
	c.updateTargets()
	c.updateOwnersIfDue()
	c.updateStatus()
	c.updateStop()
	c.sendHeartbeats()
}

// onMessage handles a message from a peer.
func (c *Control) onMessage(in core.PeerMessage) {
	if in.From == c.opts.Self {
		return
	}
	switch m := in.Msg.(type) {
	case *core.Heartbeat:
		c.onHeartbeat(in.From, m)
	case *core.ConfigPull:
		c.onConfigPull(in.From, m)
	case *core.ConfigPush:
		c.onConfigPush(m)
	case *core.MembersPull:
		c.onMembersPull(in.From, m)
	case *core.MembersPush:
		c.onMembersPush(m)
	case *core.StatusPull:
		c.send(in.From, &core.StatusPush{VMs: c.vmStatuses()})
	}
}

// onShardReport handles a report from a traffic shard.
func (c *Control) onShardReport(report core.Action) {
	switch r := report.(type) {
	case core.OwnerChanged:
		c.onOwnerChanged(r)
	case core.LoadChanged:
		c.onLoadChanged(r)
	case core.ShardDrained:
		c.stop.drainedShards++
	}
}

// emit appends an action.
func (c *Control) emit(a core.Action) { c.out = append(c.out, a) }

// send appends a message to a peer.
func (c *Control) send(to core.VMName, m core.Message) {
	c.emit(core.SendPeer{To: to, Msg: m})
}

// nextRandom returns the next value of the reproducible random sequence.
func (c *Control) nextRandom() uint64 {
	c.randomCount++
	return rendezvous.Mix(c.opts.RandomSeed^rendezvous.HashString(string(c.opts.Self)), c.randomCount)
}

// jitter returns a random duration in [0, d), or 0 if d is not positive.
func (c *Control) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.nextRandom() % uint64(d))
}

// equalJitter returns a random duration in [d/2, d).
func (c *Control) equalJitter(d time.Duration) time.Duration { return d/2 + c.jitter(d/2) }
