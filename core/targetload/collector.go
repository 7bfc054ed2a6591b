package targetload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// busyInterval and idleInterval are the times between two sets of reports, with and without slow or full targets.
	busyInterval = 250 * time.Millisecond
	idleInterval = time.Second
	// maxReports is the largest number of reports in a set.
	maxReports = 64
	// reportSpacing is the least time for each report sent. A report has about 21 bytes on the wire; 64 of them every 250 ms would
	// exceed the 5 KB/s that all control traffic of a VM may use. 160 reports per second are 3.4 KB/s.
	reportSpacing = time.Second / 160
	// maxCollected is the number of targets that a Collector keeps sums for between two sets, against unbounded memory.
	maxCollected = 4096
	// slowResponses is the ratio of response time to work above which a target is reported early.
	slowResponses = 2
)

// Collector sums up what a VM observes of its targets. The zero value is ready. It belongs to one goroutine.
type Collector struct {
	sums map[ID]Report
	busy bool          // a target is slow or full, and the reports are due after busyInterval
	last time.Duration // of the last set of reports
	sent int           // its number of reports
}

// Finish records a response of a target. Without a known work (0) it counts the response only, as its slowness is unknown. Urgent
// is whether other routes to the service give way to the route.
func (c *Collector) Finish(id ID, work, took time.Duration, urgent bool) {
	sum, ok := c.sum(id)
	if !ok {
		return
	}
	sum.Responses++
	if urgent {
		sum.UrgentResponses++
	}
	if work > 0 && took > 0 {
		sum.Took += min(took, maxTook)
		sum.addWork(work, urgent)
	}
	c.put(sum)
}

// Reject records a request that a target rejected because it was full.
func (c *Collector) Reject(id ID, work time.Duration, urgent bool) {
	sum, ok := c.sum(id)
	if !ok {
		return
	}
	sum.Rejected++
	if urgent {
		sum.UrgentRejected++
	}
	if work > 0 {
		sum.addWork(work, urgent)
	}
	c.put(sum)
}

func (r *Report) addWork(work time.Duration, urgent bool) {
	work = min(work, maxTook)
	r.Work += work
	if urgent {
		r.UrgentWork += work
	}
}

func (r Report) requests() uint64 { return uint64(r.Responses) + uint64(r.Rejected) }

// sum returns the sums of a target. It returns false when they are at a limit until the next set.
func (c *Collector) sum(id ID) (Report, bool) {
	if c.sums == nil {
		c.sums = make(map[ID]Report)
	}
	sum, known := c.sums[id]
	if !known && len(c.sums) >= maxCollected {
		return Report{}, false
	}
	sum.ID = id
	return sum, sum.requests() < maxRequests
}

func (c *Collector) put(sum Report) {
	c.sums[sum.ID] = sum
	if sum.Rejected > 0 || sum.Took > slowResponses*sum.Work {
		c.busy = true
	}
}

// Take returns the sums since the last set of reports, at most 64 and those of the targets with the most requests first. It
// returns nil when there are none or when the next set is not yet due. Sums that do not fit remain for the next set, so that
// targets with few requests are reported in turn.
func (c *Collector) Take(now time.Duration) []Report {
	if len(c.sums) == 0 || now-c.last < c.interval() {
		return nil
	}
	reports := make([]Report, 0, len(c.sums))
	for _, sum := range c.sums {
		reports = append(reports, sum)
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.requests(), a.requests()), cmp.Compare(b.Took, a.Took), cmp.Compare(a.ID, b.ID))
	})
	if len(reports) > maxReports {
		reports = slices.Clip(reports[:maxReports])
	}
	if len(reports) == len(c.sums) {
		clear(c.sums)
	} else {
		for _, r := range reports {
			delete(c.sums, r.ID)
		}
	}
	c.busy, c.last, c.sent = false, now, len(reports)
	return reports
}

func (c *Collector) interval() time.Duration {
	if c.busy {
		return max(busyInterval, time.Duration(c.sent)*reportSpacing)
	}
	return idleInterval
}
