package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

const topicHotTarget = "Several admitting owners for the hottest target (design 8)"

// hotCase is a target whose requests are spread over its owners.
type hotCase struct {
	slots, owners int
	// whole gives each owner the whole limit in place of a share of it.
	whole bool
	// load is the offered work as a share of the slots.
	load float64
	// skew is the part of the requests that reach the first owner; the rest is spread evenly.
	skew float64
}

// hotResult is what callers and the target see.
type hotResult struct {
	// p99 is the wait in multiples of the service time.
	p99 float64
	// over is the share of requests that were sent while all slots were in use.
	over float64
	// busiest is the share of the requests that the busiest owner handles.
	busiest float64
}

// hotTargetTable compares one admitting owner of a target with several.
func hotTargetTable(e *Runner) ([]Comparison, error) {
	var list []Comparison
	for _, slots := range []int{2, 4} {
		for _, load := range []float64{0.7, 0.9} {
			list = append(list, hotComparisons(slots, load, e.Seed)...)
		}
	}
	return list, nil
}

func hotComparisons(slots int, load float64, seed uint64) []Comparison {
	variants := []struct {
		name string
		c    hotCase
	}{
		{"1 owner", hotCase{slots: slots, owners: 1, load: load, skew: 1}},
		{"2 owners, shares", hotCase{slots: slots, owners: 2, load: load, skew: 0.6}},
		{"2 owners, whole limit each", hotCase{slots: slots, owners: 2, whole: true, load: load, skew: 0.6}},
	}
	where := fmt.Sprintf("%d slots, %.0f%% load, 60/40 skew: ", slots, 100*load)
	wait := Comparison{Topic: topicHotTarget, Measure: where + "p99 wait", Unit: "service times"}
	over := Comparison{Topic: topicHotTarget, Measure: where + "sent while all slots were in use", Unit: "%"}
	busiest := Comparison{Topic: topicHotTarget, Measure: where + "requests through the busiest owner", Unit: "%"}
	for _, v := range variants {
		r := simulateHot(v.c, seed)
		wait.Results = append(wait.Results, Result{v.name, r.p99})
		over.Results = append(over.Results, Result{v.name, 100 * r.over})
		busiest.Results = append(busiest.Results, Result{v.name, 100 * r.busiest})
	}
	return []Comparison{wait, over, busiest}
}

// simulateHot runs requests with random arrivals and service times between half and one and a half
// through the owners' limits. With whole limits the target gets more than its slots; it then works
// on all of them, and the excess is counted.
func simulateHot(c hotCase, seed uint64) hotResult {
	const requests = 200_000
	random := rand.New(rand.NewPCG(seed, uint64(c.slots)))
	share := max(1, c.slots/c.owners)
	if c.whole {
		share = c.slots
	}
	free := make([][]float64, c.owners)
	for i := range free {
		free[i] = make([]float64, share)
	}
	handled := make([]int, c.owners)
	var waits []float64
	now, over := 0.0, 0
	for range requests {
		now += random.ExpFloat64() / (c.load * float64(c.slots))
		owner := c.owner(random)
		handled[owner]++
		slot := earliest(free[owner])
		start := max(now, free[owner][slot])
		if inUse(free, start) >= c.slots {
			over++
		}
		free[owner][slot] = start + 0.5 + random.Float64()
		waits = append(waits, start-now)
	}
	slices.Sort(waits)
	return hotResult{
		p99:     waits[len(waits)*99/100],
		over:    float64(over) / requests,
		busiest: float64(slices.Max(handled)) / requests,
	}
}

// owner draws the owner that a request reaches.
func (c hotCase) owner(random *rand.Rand) int {
	if c.owners == 1 || random.Float64() < c.skew {
		return 0
	}
	return 1 + random.IntN(c.owners-1)
}

// earliest returns the slot that is free first.
func earliest(free []float64) int {
	best := 0
	for i, at := range free {
		if at < free[best] {
			best = i
		}
	}
	return best
}

// inUse returns the slots of all owners that are in use at a time.
func inUse(free [][]float64, at float64) int {
	n := 0
	for _, slots := range free {
		for _, until := range slots {
			if until > at {
				n++
			}
		}
	}
	return n
}
