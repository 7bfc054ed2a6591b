package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// recentInterval is the time for which a placement is counted at least. The holder's announcement
// of the flow takes up to a second: 250 ms to control, 500 ms to the next heartbeat, 250 ms to the
// snapshot.
const recentInterval = 500 * time.Millisecond

// recentPlacements counts the flows that this shard placed on targets of other holders and that
// their announced loads may not contain yet. Without it, a shard that places many flows at once
// puts them all on the target that has the fewest.
type recentPlacements struct {
	now, before map[core.TargetID]int
	since       time.Duration
}

func newRecentPlacements() recentPlacements {
	return recentPlacements{now: map[core.TargetID]int{}, before: map[core.TargetID]int{}}
}

// add counts a placement.
func (r *recentPlacements) add(id core.TargetID, now time.Duration) {
	r.rotate(now)
	r.now[id]++
}

// count returns the placements on a target in the last one to two intervals.
func (r *recentPlacements) count(id core.TargetID, now time.Duration) int {
	r.rotate(now)
	return r.now[id] + r.before[id]
}

func (r *recentPlacements) rotate(now time.Duration) {
	if now-r.since < recentInterval {
		return
	}
	if now-r.since >= 2*recentInterval {
		clear(r.now)
	}
	r.now, r.before = r.before, r.now
	clear(r.now)
	r.since = now
}
