package demo

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/standin/client"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// Counts are the counts of clients and targets since the start of a Deployment.
type Counts struct {
	Clients client.Stats
	// OpenFlows is the number of clients that a target has answered.
	OpenFlows int
	Targets   []TargetCounts
	// DuplicateRuns counts the runs of non-idempotent requests beyond the first. RefusedButRan counts
	// requests that ran although they were refused as not run; Deployment.Counts leaves it 0.
	DuplicateRuns, RefusedButRan int
}

// TargetCounts are the counts of a target.
type TargetCounts struct {
	Service string
	ZoneOut bool
	target.Stats
}

// AcceptedRequests returns the number of requests of all classes that the target has accepted.
func (t *TargetCounts) AcceptedRequests() uint64 {
	var n uint64
	for _, c := range t.Requests {
		n += c
	}
	return n
}

// Counts returns the counts of all clients and targets. It is safe for concurrent use.
func (d *Deployment) Counts() Counts {
	d.mu.Lock()
	clients := d.clients
	d.mu.Unlock()
	var counts Counts
	for _, c := range clients {
		counts.Clients.Add(c.Stats())
		if c.LastTarget() != "" {
			counts.OpenFlows++
		}
	}
	for _, s := range d.services {
		counts.DuplicateRuns += s.ledger.DuplicateRuns()
		for _, t := range s.targets {
			counts.Targets = append(counts.Targets, TargetCounts{s.name, d.zones.isOut(core.ZoneName(t.Zone())), t.Stats()})
		}
	}
	return counts
}

// refusedButRan returns the number of postings that ran although they were refused as not run.
func (d *Deployment) refusedButRan() int {
	n := 0
	for _, c := range d.clients {
		for _, key := range c.RefusedKeys() {
			for _, s := range d.services {
				n += min(s.ledger.Runs(key), 1)
			}
		}
	}
	return n
}

// minRequestsPerTarget is the mean number of requests per target below which their distribution is not
// meaningful.
const minRequestsPerTarget = 20

// imbalance returns the highest imbalance of all services between two counts; 0 when there were too few
// requests. The imbalance of a service is the maximum divided by the mean of the requests per slot that
// its warm targets accepted; targets in zones out of service do not count.
func imbalance(before, after Counts) float64 {
	type serviceLoad struct{ requests, perSlotSum, perSlotMax, targets float64 }
	loads := map[string]serviceLoad{}
	for i := range after.Targets {
		t := &after.Targets[i]
		if t.ZoneOut || t.Cold || !t.Up || i >= len(before.Targets) {
			continue
		}
		requests := float64(t.AcceptedRequests() - before.Targets[i].AcceptedRequests())
		perSlot := requests / float64(max(t.Capacity, 1))
		l := loads[t.Service]
		loads[t.Service] = serviceLoad{l.requests + requests, l.perSlotSum + perSlot, max(l.perSlotMax, perSlot), l.targets + 1}
	}
	worst := 0.0
	for _, l := range loads {
		if l.requests/l.targets >= minRequestsPerTarget {
			worst = max(worst, l.perSlotMax/(l.perSlotSum/l.targets))
		}
	}
	return worst
}

// goodput returns the share of answered feed registrations and postings among those that ended between two
// counts and were not abandoned; 1 when none ended.
func goodput(before, after Counts) float64 {
	var answered, ended float64
	for _, class := range []core.Class{core.ClassFeed, core.ClassPosting} {
		for s := client.Answered; s < client.Abandoned; s++ {
			n := float64(after.Clients.Outcomes[class][s] - before.Clients.Outcomes[class][s])
			ended += n
			if s == client.Answered {
				answered += n
			}
		}
	}
	if ended == 0 {
		return 1
	}
	return answered / ended
}

// tableInterval is the time between two lines of the live table.
const tableInterval = time.Second
