package control

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// authorityStep is the least extension of authority that is published. Smaller steps would publish
// a snapshot for every heartbeat.
const authorityStep = 250 * time.Millisecond

// confirmation says that no newer generation and epochs than these existed at a time.
type confirmation struct {
	at         time.Duration
	generation core.Generation
	epochs     []core.ZoneEpoch
}

// authorityState is what this VM knows about its right to decide alone.
type authorityState struct {
	// confirmedAt is the latest time at which nothing newer existed than what this VM has installed.
	confirmedAt time.Duration
	// pending is the newest confirmation of a view that is not installed yet.
	pending *confirmation
	// removed is true when this VM was a member and no longer is.
	removed bool
	// paused is true when no confirmation has arrived since a pause of this VM.
	paused bool
	// until is the published end of authority.
	until time.Duration
	held  bool
}

// drop forgets all confirmations.
func (a *authorityState) drop() {
	a.confirmedAt = never
	a.pending = nil
}

// confirm takes over a confirmation if the confirmed view is installed; otherwise it waits for it.
func (c *Control) confirm(n confirmation) {
	if n.at <= c.authority.confirmedAt {
		return
	}
	if !c.covers(n) {
		if c.authority.pending == nil || n.at > c.authority.pending.at {
			c.authority.pending = &n
		}
		return
	}
	c.authority.confirmedAt = n.at
	c.authority.paused = false
}

// covers reports whether everything that a confirmation names is installed.
func (c *Control) covers(n confirmation) bool {
	if n.generation > c.generation() {
		return false
	}
	for _, e := range n.epochs {
		if e.Epoch > c.zone(e.Zone).epoch {
			return false
		}
	}
	return true
}

// recheckPending uses the waiting confirmation after an installation.
func (c *Control) recheckPending() {
	n := c.authority.pending
	if n == nil || !c.covers(*n) {
		return
	}
	c.authority.pending = nil
	c.confirm(*n)
}

// noteConfirmation takes over a confirmation that a peer relayed. Its age counts from the earliest
// time at which the peer can have sent the message.
func (c *Control) noteConfirmation(p *peer, m *core.Heartbeat) {
	if m.ConfirmAge < 0 || p.sentNotBefore == never {
		return
	}
	n := confirmation{at: p.sentNotBefore - m.ConfirmAge, generation: m.Generation, epochs: m.Epochs}
	p.confirmedAt = n.at
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if z.epoch == 0 && epochOf(m.Epochs, name) == 0 {
			z.noneAt = max(z.noneAt, n.at)
		}
		return true
	})
	c.confirm(n)
}

// confirmAge returns the age of the confirmation for heartbeats.
func (c *Control) confirmAge() time.Duration {
	age := c.now - c.authority.confirmedAt
	if c.authority.confirmedAt == never || age > core.ConfirmTTL {
		return core.NoConfirm
	}
	return age
}

// platformSilent reports whether no recent confirmation has arrived, so that member lists can't be
// expected to change.
func (c *Control) platformSilent() bool {
	return c.now-c.authority.confirmedAt > core.SuspectAfter+headsInterval
}

// authorityUntil returns the time until which this VM has authority.
// A VM of a zone taken out of service has none, so that the holders in other zones can decide.
func (c *Control) authorityUntil() time.Duration {
	if c.config.current == nil || c.zoneOut(c.opts.Zone) {
		return 0
	}
	until := c.outageAuthority()
	if c.selfMember() {
		until = max(until, c.authority.confirmedAt+core.ConfirmTTL)
	}
	return max(until, 0)
}

// outageAuthority returns the time until which this VM has authority because all members of all
// zones in service that may be alive were heard directly and know no newer view.
func (c *Control) outageAuthority() time.Duration {
	if c.config.current == nil || c.authority.removed || c.config.newest > c.generation() {
		return never
	}
	until := always
	c.zones.all(func(name core.ZoneName, z *zone) bool {
		if z.newest > z.epoch || name == c.opts.Zone && z.epoch == 0 {
			until = never
			return false
		}
		if c.zoneOut(name) {
			return true
		}
		for _, m := range z.members {
			until = min(until, c.heardUntil(m))
		}
		return true
	})
	if until == always && c.authority.paused {
		// Nobody is left to hear from, and a VM that started during the pause may have replaced this
		// one.
		return never
	}
	return min(until, c.now+core.SuspectAfter)
}

// heardUntil returns the time until which a member counts as heard.
func (c *Control) heardUntil(m core.Member) time.Duration {
	if m.Name == c.opts.Self {
		if m.Incarnation > c.opts.Incarnation {
			// A newer process of this VM has been accepted.
			return never
		}
		return always
	}
	p := c.peers.get(m.Name)
	switch {
	case p == nil:
		return never
	case p.gone(m.Incarnation):
		return always
	case p.incarnation != m.Incarnation:
		return never
	case p.state == core.VMLeaving && len(p.holdings) == 0:
		// The VM said goodbye: it holds nothing, takes nothing over and changes no list.
		return always
	}
	return p.sentNotBefore + core.SuspectAfter
}

// noteOwnMembership handles a new list of this VM's own zone. A VM that became a member anew may
// have been replaced in the meantime, so what it holds has to be proven again.
func (c *Control) noteOwnMembership(previous core.Member, wasMember bool) {
	own, _ := c.zone(c.opts.Zone).member(c.opts.Self)
	if !c.selfMember() {
		c.authority.removed = c.authority.removed || wasMember
		return
	}
	c.authority.removed = false
	if !wasMember || own.Joined != previous.Joined {
		c.proveAgain()
	}
}

// updateAuthority works out the end of authority and reports whether it has to be published.
func (c *Control) updateAuthority() bool {
	a := &c.authority
	until := c.authorityUntil()
	held := until > c.now
	if held != a.held {
		a.held = held
		kind := core.EventAuthorityLost
		if held {
			kind = core.EventAuthorityGained
		}
		c.emit(core.Event{Kind: kind, VM: c.opts.Self, Zone: c.opts.Zone})
	}
	if until < a.until && a.until > c.now || held && until-a.until >= authorityStep {
		a.until = until
		return true
	}
	return false
}
