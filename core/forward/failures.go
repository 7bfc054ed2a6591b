package forward

import "time"

const (
	// overdueFactor is how many times longer than the upper quartile of a route's response times a request must
	// be unanswered before it counts as a failure of its target. minOverdue and maxOverdue are the limits of
	// this time: the retransmission of one lost packet takes 200 ms, that of a second one another 400 ms.
	// maxOverdue applies until there are response times.
	overdueFactor = 8
	minOverdue    = 500 * time.Millisecond
	maxOverdue    = time.Second
	// shortResponse and fastResponse are the parts of the typical size and time of a route's responses below
	// which a response counts as a failure. An error page is short and comes at once.
	shortResponse = 0.4
	fastResponse  = 0.5
	// failureReportInterval is the minimum time between two reports of failures.
	failureReportInterval = 250 * time.Millisecond
)

// TargetFailures is a number of requests to a target that failed as far as a VM can observe: they were not
// answered in time, or the response was much shorter and faster than others.
type TargetFailures struct {
	Token Token
	Count int
}

// overdueTime returns how long a request of the route must be unanswered to count as a failure.
func (r *routeLoad) overdueTime() time.Duration {
	if r.responseTime.value == 0 {
		return maxOverdue
	}
	return min(max(overdueFactor*time.Duration(r.responseTime.value), minOverdue), maxOverdue)
}

// short reports whether a response is much shorter than the route's others. size is the amount of data that the client
// acknowledged first.
func (r *routeLoad) short(size uint32) bool {
	return float64(size) < shortResponse*r.responseSize.value
}

// failed reports whether a response looks like an error.
func (r *routeLoad) failed(size uint32, responseTime time.Duration) bool {
	return r.short(size) && float64(responseTime) < fastResponse*r.responseTime.value
}

// addFailure counts a failure of a target.
func (f *Forwarder) addFailure(l *load) {
	if l.failures == 0 {
		f.failing = append(f.failing, l)
	}
	l.failures++
}

// TakeFailures returns the failures since the last call, and nil if there are none or the last report was less
// than failureReportInterval ago.
func (f *Forwarder) TakeFailures(now time.Duration) []TargetFailures {
	if len(f.failing) == 0 || now < f.nextFailureReport {
		return nil
	}
	f.nextFailureReport = now + failureReportInterval
	report := make([]TargetFailures, 0, len(f.failing))
	for _, l := range f.failing {
		report = append(report, TargetFailures{Token: l.token, Count: l.failures})
		l.failures = 0
	}
	f.failing = f.failing[:0]
	return report
}
