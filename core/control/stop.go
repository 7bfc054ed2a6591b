package control

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// stopLimit is the time after which a planned stop ends even if work is left.
const stopLimit = 30 * time.Second

// aloneAfter is the time after which a stopping VM that finds nobody to hand its targets to ends when
// it has no work: when a whole deployment is stopped, no VM can hand over to another.
const aloneAfter = 3 * time.Second

// stopState is the state of a planned stop.
type stopState struct {
	leaving       bool
	since         time.Duration
	drainedShards int
	done          bool
}

// beginStop announces that this VM leaves and starts to hand over its targets.
func (c *Control) beginStop() {
	if c.stop.leaving {
		return
	}
	c.stop.leaving = true
	c.stop.since = c.now
	c.touch(changeStructure)
	c.hasNews()
	c.updateHolders()
}

// updateStop ends the stop when nothing is held and the shards have finished, or at the limit.
func (c *Control) updateStop() {
	s := &c.stop
	if !s.leaving || s.done {
		return
	}
	finished := s.drainedShards >= c.opts.Shards && (!c.holdsAny() || !c.hasReceiver())
	alone := c.now-s.since >= aloneAfter && !c.hasReceiver() && c.idle()
	if !finished && !alone && c.now-s.since < stopLimit {
		return
	}
	s.done = true
	c.emit(core.Drained{})
}

// idle reports whether the targets that this VM holds have no work in flight or waiting.
func (c *Control) idle() bool {
	idle := true
	c.targets.all(func(_ core.TargetID, t *target) bool {
		idle = !t.holding.held || t.load.InFlight == 0 && t.load.Queued == 0
		return idle
	})
	return idle
}

// hasReceiver reports whether a VM is left that can take over targets.
func (c *Control) hasReceiver() bool {
	found := false
	c.peers.all(func(_ core.VMName, p *peer) bool {
		found = c.available(p)
		return !found
	})
	return found
}
