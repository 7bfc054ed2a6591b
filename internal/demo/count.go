package demo

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/standin/caller"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// Count is what callers and targets have counted so far.
type Count struct {
	Callers caller.Stats
	// OpenFlows is the number of callers that a target has answered.
	OpenFlows int
	Targets   []TargetCount
	// Doubles are runs of non-idempotent requests beyond the first; Untrue are requests that ran
	// although their caller was told that they did not.
	Doubles, Untrue int
}

// TargetCount is the count of a target.
type TargetCount struct {
	Service string
	Out     bool
	target.Stats
}

// Work returns the number of requests that the target has taken on.
func (t *TargetCount) Work() uint64 {
	var n uint64
	for _, c := range t.Requests {
		n += c
	}
	return n
}

// Count returns the counts of all callers and targets. It is safe for concurrent use.
func (w *World) Count() Count {
	w.mu.Lock()
	callers := w.callers
	w.mu.Unlock()
	var c Count
	for _, one := range callers {
		c.Callers.Add(one.Stats())
		if one.Target() != "" {
			c.OpenFlows++
		}
	}
	for _, s := range w.targets {
		c.Doubles += s.ledger.DuplicateRuns()
		for _, t := range s.targets {
			c.Targets = append(c.Targets, TargetCount{s.name, w.zones.isOut(core.ZoneName(t.Zone())), t.Stats()})
		}
	}
	return c
}

// untrue returns the number of postings that were refused as not run and ran.
func (w *World) untrue() int {
	n := 0
	for _, c := range w.callers {
		for _, key := range c.Refused() {
			for _, s := range w.targets {
				n += min(s.ledger.Runs(key), 1)
			}
		}
	}
	return n
}

// minWork is the mean work per target below which its distribution says nothing.
const minWork = 20

// imbalance returns the worst maximum over mean of the work per slot that warm targets in service took
// on between two counts, over all services; 0 when there was too little work.
func imbalance(before, after Count) float64 {
	type load struct{ work, perSlot, most, n float64 }
	loads := map[string]load{}
	for i := range after.Targets {
		t := &after.Targets[i]
		if t.Out || t.Cold || !t.Up || i >= len(before.Targets) {
			continue
		}
		work := float64(t.Work() - before.Targets[i].Work())
		perSlot := work / float64(max(t.Capacity, 1))
		l := loads[t.Service]
		loads[t.Service] = load{l.work + work, l.perSlot + perSlot, max(l.most, perSlot), l.n + 1}
	}
	worst := 0.0
	for _, l := range loads {
		if l.work/l.n >= minWork {
			worst = max(worst, l.most/(l.perSlot/l.n))
		}
	}
	return worst
}

// goodput returns the share of answered feed registrations and postings between two counts, of those
// that ended; 1 when none did.
func goodput(before, after Count) float64 {
	var good, all float64
	for _, class := range []core.Class{core.ClassFeed, core.ClassPosting} {
		for s := caller.Answered; s < caller.Abandoned; s++ {
			n := float64(after.Callers.Outcomes[class][s] - before.Callers.Outcomes[class][s])
			all += n
			if s == caller.Answered {
				good += n
			}
		}
	}
	if all == 0 {
		return 1
	}
	return good / all
}

// tableInterval is the time between two lines of the live table.
const tableInterval = time.Second
