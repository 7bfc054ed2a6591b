// Package control decides about everything that VMs share: the configuration in force, the members
// of each zone, which VM holds which target, and whether this VM has authority.
//
// A Control owns that state and publishes it to traffic as immutable snapshots. It has one writer.
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
	// Seeds are peers to contact when the platform's list cannot be read.
	Seeds []core.ListedVM
	// Decode turns the text of an accepted manifest into a configuration. It must be pure.
	Decode func(gen core.Generation, text []byte) (*core.Config, error)
	// RandomSeed makes jitter reproducible.
	RandomSeed uint64
	// Shards is the number of traffic shards that report to this Control; default 1.
	Shards int
}

// Control is the control state of one entry VM.
type Control struct {
	opts Options
	// now is the time of the input being handled; out collects its actions.
	now time.Duration
	out []core.Action

	begun     bool
	startedAt time.Duration
	lastInput time.Duration
	draws     uint64

	peers   table[core.VMName, *peer]
	zones   table[core.ZoneName, *zone]
	targets table[core.TargetID, *target]
	calls   map[object]*call

	config    configState
	authority authorityState
	beats     heartbeatState
	stop      stopState
	status    statusState
	view      viewState
}

// New returns a Control that knows no configuration and no peers but the seeds.
func New(opts Options) *Control {
	opts.Shards = max(opts.Shards, 1)
	c := &Control{opts: opts, calls: make(map[object]*call)}
	c.peers = newTable[core.VMName, *peer]()
	c.zones = newTable[core.ZoneName, *zone]()
	c.targets = newTable[core.TargetID, *target]()
	c.config.services = make(map[core.ServiceID]*service)
	c.config.early = make(map[core.TargetID]core.OwnerChanged)
	c.authority.drop()
	return c
}

// Handle processes one input and appends the resulting actions to out.
func (c *Control) Handle(in core.Input, now time.Duration, out []core.Action) []core.Action {
	c.now, c.out = now, out
	c.begin()
	c.checkClock()
	c.dispatch(in)
	c.publish()
	out, c.out = c.out, nil
	return out
}

// begin runs before the first input.
func (c *Control) begin() {
	if c.begun {
		return
	}
	c.begun = true
	c.startedAt = c.now
	c.lastInput = c.now
	c.zone(c.opts.Zone)
	for _, vm := range c.opts.Seeds {
		c.meet(vm.Name, vm.Zone, vm.Addr)
	}
	c.beats.nextAt = c.now + c.jitter(core.HeartbeatInterval)
	c.touch(changeStructure)
}

// dispatch hands the input to the part that is responsible for it.
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

// tick does the work that depends on time.
func (c *Control) tick() {
	c.updatePeers()
	c.updateReads()
	c.updatePulls()
	c.updateMembers()
	c.updateTargets()
	c.tickHolders()
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
		c.send(in.From, &core.StatusPush{VMs: c.knownStatus()})
	}
}

// onShardReport handles a report of a traffic shard.
func (c *Control) onShardReport(report core.Action) {
	switch r := report.(type) {
	case core.OwnerChanged:
		c.onHolderChanged(r)
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

// draw returns the next value of the reproducible random sequence.
func (c *Control) draw() uint64 {
	c.draws++
	return rendezvous.Mix(c.opts.RandomSeed^rendezvous.HashString(string(c.opts.Self)), c.draws)
}

// jitter returns a duration in [0, d).
func (c *Control) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.draw() % uint64(d))
}

// spread returns a duration in [d/2, d).
func (c *Control) spread(d time.Duration) time.Duration { return d/2 + c.jitter(d/2) }
