package control

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// authorityStep is the smallest extension of authority that is published. A smaller step would publish a
// snapshot for every heartbeat.
const authorityStep = 250 * time.Millisecond

// confirmation states that at a given time no newer generation and no newer epochs than these existed.
type confirmation struct {
	at         time.Duration
	generation core.Generation
	epochs     []core.ZoneEpoch
}

// authorityState is this VM's authority and the confirmations on which it rests.
type authorityState struct {
	// confirmedAt is the latest time at which nothing newer existed than the configuration and member lists
	// that this VM has installed.
	confirmedAt time.Duration
	// pending is the newest confirmation of a configuration or of member lists that are not installed yet.
	pending *confirmation
	// removed is true when this VM was a member and no longer is one.
	removed bool
	// paused is true when this process was paused and no confirmation has arrived since.
	paused bool
	// until is the published end of authority; active is true while this VM has authority.
	until  time.Duration
	active bool
}

// clearConfirmations discards all confirmations.
func (a *authorityState) clearConfirmations() {
	a.confirmedAt = distantPast
	a.pending = nil
}

// confirm applies a confirmation if everything that it names is installed, and keeps it as pending
// otherwise.
func (c *Control) confirm(conf confirmation) {
	if conf.at <= c.authority.confirmedAt {
		return
	}
	if !c.hasInstalled(conf) {
		if c.authority.pending == nil || conf.at > c.authority.pending.at {
			c.authority.pending = &conf
		}
		return
	}
	c.authority.confirmedAt = conf.at
	c.authority.paused = false
}

// hasInstalled reports whether everything that a confirmation names is installed.
func (c *Control) hasInstalled(conf confirmation) bool {
	if conf.generation > c.generation() {
		return false
	}
	for _, e := range conf.epochs {
		if e.Epoch > c.zone(e.Zone).epoch {
			return false
		}
	}
	return true
}

// recheckPending applies the pending confirmation if everything that it names is installed by now.
func (c *Control) recheckPending() {
	conf := c.authority.pending
	if conf == nil || !c.hasInstalled(*conf) {
		return
	}
	c.authority.pending = nil
	c.confirm(*conf)
}

// onRelayedConfirmation handles a confirmation that a peer relayed in a heartbeat. Its age counts from the
// earliest time at which the peer can have sent the heartbeat.
func (c *Control) onRelayedConfirmation(p *peer, m *core.Heartbeat) {
	if m.ConfirmAge < 0 || p.sentNotBefore == distantPast {
		return
	}
	conf := confirmation{at: p.sentNotBefore - m.ConfirmAge, generation: m.Generation, epochs: m.Epochs}
	p.confirmedAt = conf.at
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if z.epoch == 0 && epochOf(m.Epochs, name) == 0 {
			z.noListAt = max(z.noListAt, conf.at)
		}
		return true
	})
	c.confirm(conf)
}

// confirmAge returns the age of this VM's confirmation for heartbeats, or NoConfirm when there is none or it
// is older than ConfirmTTL.
func (c *Control) confirmAge() time.Duration {
	age := c.now - c.authority.confirmedAt
	if c.authority.confirmedAt == distantPast || age > core.ConfirmTTL {
		return core.NoConfirm
	}
	return age
}

// platformSilent reports whether no recent confirmation has arrived, so that no change of member lists can
// be expected.
func (c *Control) platformSilent() bool {
	return c.now-c.authority.confirmedAt > core.SuspectAfter+headsInterval
}

// authorityUntil returns the time until which this VM has authority. A VM of a zone taken out of service
// has none, so that the owners in other zones can decide.
func (c *Control) authorityUntil() time.Duration {
	if c.config.current == nil || c.zoneOut(c.opts.Zone) {
		return 0
	}
	until := c.authorityFromPeers()
	if c.selfMember() {
		until = max(until, c.authority.confirmedAt+core.ConfirmTTL)
	}
	return max(until, 0)
}

// authorityFromPeers returns the time until which this VM has authority because all members of all zones in
// service that may be alive have sent it heartbeats, and none of them reports a newer generation or epoch.
func (c *Control) authorityFromPeers() time.Duration {
	if c.config.current == nil || c.authority.removed || c.config.newest > c.generation() {
		return distantPast
	}
	until := distantFuture
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if z.newest > z.epoch || name == c.opts.Zone && z.epoch == 0 {
			until = distantPast
			return false
		}
		if c.zoneOut(name) {
			return true
		}
		for _, m := range z.members {
			until = min(until, c.allowsAuthorityUntil(m))
		}
		return true
	})
	if until == distantFuture && c.authority.paused {
		// No other member is left that could send heartbeats, and a VM that started during the pause may
		// have replaced this one.
		return distantPast
	}
	return min(until, c.now+core.SuspectAfter)
}

// allowsAuthorityUntil returns the time until which a member does not prevent this VM's authority if no
// further heartbeat of it arrives. It is distantPast for a member that already prevents authority, and
// distantFuture for this VM itself and for a member that cannot act.
func (c *Control) allowsAuthorityUntil(m core.Member) time.Duration {
	if m.Name == c.opts.Self {
		if m.Incarnation > c.opts.Incarnation {
			// The member list names a newer process of this VM.
			return distantPast
		}
		return distantFuture
	}
	p := c.peers.get(m.Name)
	switch {
	case p == nil:
		return distantPast
	case p.incarnationEnded(m.Incarnation):
		return distantFuture
	case p.incarnation != m.Incarnation:
		return distantPast
	case p.state == core.VMLeaving && len(p.ownedTargets) == 0:
		// The VM is leaving and owns no target: it takes none over and changes no member list.
		return distantFuture
	}
	return p.sentNotBefore + core.SuspectAfter
}

// onOwnMembership handles a new member list of this VM's own zone. If this VM became a member again,
// another VM may have replaced it in the meantime, so the ownership of its targets must be verified.
func (c *Control) onOwnMembership(previous core.Member, wasMember bool) {
	own, _ := c.zone(c.opts.Zone).member(c.opts.Self)
	if !c.selfMember() {
		c.authority.removed = c.authority.removed || wasMember
		return
	}
	c.authority.removed = false
	if !wasMember || own.Joined != previous.Joined {
		c.reverifyOwned()
	}
}

// updateAuthority recomputes the end of authority and reports whether it must be published.
func (c *Control) updateAuthority() bool {
	a := &c.authority
	until := c.authorityUntil()
	active := until > c.now
	if active != a.active {
		a.active = active
		kind := core.EventAuthorityLost
		if active {
			kind = core.EventAuthorityGained
		}
		c.emit(core.Event{Kind: kind, VM: c.opts.Self, Zone: c.opts.Zone})
	}
	if until < a.until && a.until > c.now || active && until-a.until >= authorityStep {
		a.until = until
		return true
	}
	return false
}
