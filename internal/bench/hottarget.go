package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

const topicHotTarget = "Several admitting owners for the hottest target (design 8)"

// hotTargetCase describes a target with one or more owners, each of which limits the requests that it sends
// to the target.
type hotTargetCase struct {
	slots, owners int
	// wholeLimit lets each owner use all slots instead of a share of them.
	wholeLimit bool
	// load is the offered load as a fraction of the slots.
	load float64
	// skew is the fraction of the requests that reach the first owner. The others reach the remaining
	// owners evenly.
	skew float64
}

// hotTargetResult holds the wait of requests and the load of the target and its owners.
type hotTargetResult struct {
	// p99 is the 99th percentile of the wait, in multiples of the mean service time.
	p99 float64
	// overLimit is the fraction of requests that were sent while all slots were in use.
	overLimit float64
	// busiest is the fraction of the requests that the busiest owner handles.
	busiest float64
}

// hotTargetTable compares a target that has one owner with a target whose requests several owners admit.
func hotTargetTable(runner *Runner) ([]Comparison, error) {
	var list []Comparison
	for _, slots := range []int{2, 4} {
		for _, load := range []float64{0.7, 0.9} {
			list = append(list, hotTargetComparisons(slots, load, runner.Seed)...)
		}
	}
	return list, nil
}

func hotTargetComparisons(slots int, load float64, seed uint64) []Comparison {
	variants := []struct {
		name string
		c    hotTargetCase
	}{
		{"1 owner", hotTargetCase{slots: slots, owners: 1, load: load, skew: 1}},
		{"2 owners, shares", hotTargetCase{slots: slots, owners: 2, load: load, skew: 0.6}},
		{"2 owners, whole limit each", hotTargetCase{slots: slots, owners: 2, wholeLimit: true, load: load, skew: 0.6}},
	}
	where := fmt.Sprintf("%d slots, %.0f%% load, 60/40 skew: ", slots, 100*load)
	wait := Comparison{Topic: topicHotTarget, Measure: where + "p99 wait", Unit: "service times"}
	over := Comparison{Topic: topicHotTarget, Measure: where + "sent while all slots were in use", Unit: "%"}
	busiest := Comparison{Topic: topicHotTarget, Measure: where + "requests through the busiest owner", Unit: "%"}
	for _, v := range variants {
		r := simulateHotTarget(v.c, seed)
		wait.Results = append(wait.Results, Result{v.name, r.p99})
		over.Results = append(over.Results, Result{v.name, 100 * r.overLimit})
		busiest.Results = append(busiest.Results, Result{v.name, 100 * r.busiest})
	}
	return []Comparison{wait, over, busiest}
}

// simulateHotTarget simulates 200,000 requests that the owners admit, with random arrivals and service times
// between 0.5 and 1.5 times the mean. When each owner may use the whole limit, the target can receive more
// requests than it has slots. It then runs all of them, and those above the slots are counted.
func simulateHotTarget(c hotTargetCase, seed uint64) hotTargetResult {
	const requests = 200_000
	random := rand.New(rand.NewPCG(seed, uint64(c.slots)))
	share := max(1, c.slots/c.owners)
	if c.wholeLimit {
		share = c.slots
	}
	freeAt := make([][]float64, c.owners)
	for i := range freeAt {
		freeAt[i] = make([]float64, share)
	}
	handled := make([]int, c.owners)
	var waits []float64
	now, over := 0.0, 0
	for range requests {
		now += random.ExpFloat64() / (c.load * float64(c.slots))
		owner := c.owner(random)
		handled[owner]++
		slot := earliestFree(freeAt[owner])
		start := max(now, freeAt[owner][slot])
		if inUse(freeAt, start) >= c.slots {
			over++
		}
		freeAt[owner][slot] = start + 0.5 + random.Float64()
		waits = append(waits, start-now)
	}
	slices.Sort(waits)
	return hotTargetResult{
		p99:       waits[len(waits)*99/100],
		overLimit: float64(over) / requests,
		busiest:   float64(slices.Max(handled)) / requests,
	}
}

// owner returns the random owner that a request reaches.
func (c hotTargetCase) owner(random *rand.Rand) int {
	if c.owners == 1 || random.Float64() < c.skew {
		return 0
	}
	return 1 + random.IntN(c.owners-1)
}

// earliestFree returns the slot that is free first.
func earliestFree(freeAt []float64) int {
	best := 0
	for i, at := range freeAt {
		if at < freeAt[best] {
			best = i
		}
	}
	return best
}

// inUse returns the number of slots, over all owners, that are in use at a time.
func inUse(freeAt [][]float64, at float64) int {
	n := 0
	for _, slots := range freeAt {
		for _, until := range slots {
			if until > at {
				n++
			}
		}
	}
	return n
}
