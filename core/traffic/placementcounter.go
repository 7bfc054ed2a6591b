package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// placementInterval is the minimum time for which a placement is counted. The owner's report of the
// flow takes up to a second: 250 ms to control, 500 ms to the next heartbeat, 250 ms to the
// snapshot.
const placementInterval = 500 * time.Millisecond

// placementCounter counts the flows that this shard placed on targets of other owners and that the
// reported loads may not contain yet. Without it, a shard that places many flows at once puts them
// all on the target that has the fewest.
type placementCounter struct {
	current, previous map[core.TargetID]int
	currentSince      time.Duration
}

func newPlacementCounter() placementCounter {
	return placementCounter{current: map[core.TargetID]int{}, previous: map[core.TargetID]int{}}
}

func (c *placementCounter) add(id core.TargetID, now time.Duration) {
	c.rotate(now)
	c.current[id]++
}

// count returns the placements on a target in the present interval and the one before.
func (c *placementCounter) count(id core.TargetID, now time.Duration) int {
	c.rotate(now)
	return c.current[id] + c.previous[id]
}

func (c *placementCounter) rotate(now time.Duration) {
	if now-c.currentSince < placementInterval {
		return
	}
	if now-c.currentSince >= 2*placementInterval {
		clear(c.current)
	}
	c.current, c.previous = c.previous, c.current
	clear(c.current)
	c.currentSince = now
}
