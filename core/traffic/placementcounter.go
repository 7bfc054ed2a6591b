package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// placementInterval is the time for which a placement is counted at least. The holder's announcement
// of the flow takes up to a second: 250 ms to control, 500 ms to the next heartbeat, 250 ms to the
// snapshot.
const placementInterval = 500 * time.Millisecond

// placementCounter counts the flows that this shard placed on targets of other holders and that
// their announced loads may not contain yet. Without it, a shard that places many flows at once
// puts them all on the target that has the fewest.
type placementCounter struct {
	current, previous map[core.TargetID]int
	currentSince      time.Duration
}

func newPlacementCounter() placementCounter {
	return placementCounter{current: map[core.TargetID]int{}, previous: map[core.TargetID]int{}}
}

// add counts a placement.
func (r *placementCounter) add(id core.TargetID, now time.Duration) {
	r.rotate(now)
	r.current[id]++
}

// count returns the placements on a target in the last one to two intervals.
func (r *placementCounter) count(id core.TargetID, now time.Duration) int {
	r.rotate(now)
	return r.current[id] + r.previous[id]
}

func (r *placementCounter) rotate(now time.Duration) {
	if now-r.currentSince < placementInterval {
		return
	}
	if now-r.currentSince >= 2*placementInterval {
		clear(r.current)
	}
	r.current, r.previous = r.previous, r.current
	clear(r.current)
	r.currentSince = now
}
