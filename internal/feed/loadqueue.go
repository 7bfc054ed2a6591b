package feed

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core/targetload"
)

const (
	// loadReportInterval is the minimum time between two messages with load reports of a VM. VMs that relay the reports of
	// others merge them within this time: without it they would send a message for each report.
	loadReportInterval = 250 * time.Millisecond
	// loadReportSpacing is the minimum time for each report sent, so that messages with many reports stay below 5 KB per second.
	// A report has about 19 bytes.
	loadReportSpacing = time.Second / 160
	// maxQueuedLoadAge is the age from which load reports that could not be sent are discarded. It is twice the half-life with
	// which the reader forgets them.
	maxQueuedLoadAge = time.Second
	// maxQueuedLoads is the maximum number of targets with reports that wait to be sent.
	maxQueuedLoads = 4096
)

// loadQueue has the load reports that wait to be sent, merged by target. Times are on any monotonic clock.
type loadQueue struct {
	reports map[targetload.ID]targetload.Report
	// since is when the first of the reports was added, sentAt when reports were last taken.
	since, sentAt time.Duration
	// sent is the number of reports that were last taken.
	sent int
	// scheduled is true while the caller will send at the time that add returned.
	scheduled bool
}

// add adds reports. schedule is true if the caller must send the reports after the wait.
func (q *loadQueue) add(reports []targetload.Report, now time.Duration) (wait time.Duration, schedule bool) {
	q.discardOld(now)
	if len(q.reports) == 0 {
		q.reports, q.since = map[targetload.ID]targetload.Report{}, now
	}
	for _, r := range reports {
		sum, known := q.reports[r.ID]
		if !known && len(q.reports) >= maxQueuedLoads {
			continue
		}
		sum.ID = r.ID
		sum.Responses += r.Responses
		sum.Rejected += r.Rejected
		sum.UrgentResponses += r.UrgentResponses
		sum.UrgentRejected += r.UrgentRejected
		sum.Took += r.Took
		sum.Work += r.Work
		sum.UrgentWork += r.UrgentWork
		if validReport(sum) {
			q.reports[r.ID] = sum
		}
	}
	if q.scheduled || len(q.reports) == 0 {
		return 0, false
	}
	q.scheduled = true
	return max(0, q.nextSend()-now), true
}

// discardOld removes reports that are too old to be of use.
func (q *loadQueue) discardOld(now time.Duration) {
	if now-q.since > maxQueuedLoadAge {
		q.reports, q.scheduled = nil, false
	}
}

// nextSend returns the earliest time at which reports may be sent again.
func (q *loadQueue) nextSend() time.Duration {
	if q.sentAt == 0 {
		return 0
	}
	return q.sentAt + max(loadReportInterval, time.Duration(q.sent)*loadReportSpacing)
}

// due reports whether there are reports to send now.
func (q *loadQueue) due(now time.Duration) bool { return len(q.reports) > 0 && now >= q.nextSend() }

// take returns the reports to send now, the busiest targets first, and discards the others.
func (q *loadQueue) take(now time.Duration) []targetload.Report {
	q.discardOld(now)
	if !q.due(now) {
		return nil
	}
	all := make([]targetload.Report, 0, len(q.reports))
	for _, r := range q.reports {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b targetload.Report) int { return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.ID, b.ID)) })
	all = all[:min(len(all), maxLoadEntries)]
	q.reports, q.scheduled, q.sentAt, q.sent = nil, false, now, len(all)
	return all
}
