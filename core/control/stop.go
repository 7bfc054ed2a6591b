package control

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// stopLimit is the time after which a planned stop ends even if work is left.
const stopLimit = 30 * time.Second

// noReceiverLimit is the time after which a stopping VM without work ends if no VM is left to which it
// could hand its targets over: when a whole deployment is stopped, no VM can hand over to another.
const noReceiverLimit = 3 * time.Second

// stopState is the state of a planned stop.
type stopState struct {
	leaving       bool
	since         time.Duration
	drainedShards int
	done          bool
}

// beginStop announces that this VM is leaving and starts to hand over its targets.
func (c *Control) beginStop() {
	if c.stop.leaving {
		return
	}
	c.stop.leaving = true
	c.stop.since = c.now
	c.markChanged(changeTopology)
	c.requestEarlyHeartbeat()
	c.updateOwners()
}

// updateStop ends the stop when the shards have finished and no target is left or no VM could receive one, when
// this VM is idle and has no receiver after noReceiverLimit, or at stopLimit.
func (c *Control) updateStop() {
	s := &c.stop
	if !s.leaving || s.done {
		return
	}
	finished := s.drainedShards >= c.opts.Shards && (!c.ownsAny() || !c.hasReceiver())
	noReceiver := c.now-s.since >= noReceiverLimit && !c.hasReceiver() && c.idle()
	if !finished && !noReceiver && c.now-s.since < stopLimit {
		return
	}
	s.done = true
	c.emit(core.Drained{})
}

// idle reports whether the targets that this VM owns have no requests in flight or queued.
func (c *Control) idle() bool {
	idle := true
	c.targets.all(func(_ core.TargetID, t *target) bool {
		idle = !t.ownership.owned || t.load.InFlight == 0 && t.load.Queued == 0
		return idle
	})
	return idle
}

// hasReceiver reports whether a VM is available that can take over targets.
func (c *Control) hasReceiver() bool {
	found := false
	c.peers.all(func(_ core.VMName, p *peer) bool {
		found = c.available(p)
		return !found
	})
	return found
}
