package target

import "time"

// cold reports whether the target is in its cold start.
func (t *Target) cold(now time.Time) bool {
	return !t.coldSince.IsZero() && now.Sub(t.coldSince) < t.opts.Cold.Warmup
}

// capacity returns the number of requests that the target can process at a time. During a cold start
// it grows from InitialSlots to Slots.
func (t *Target) capacity(now time.Time) int {
	if !t.cold(now) {
		return t.opts.Slots
	}
	cold := t.opts.Cold
	steps := t.opts.Slots - cold.InitialSlots
	return cold.InitialSlots + int(int64(steps)*int64(now.Sub(t.coldSince))/int64(cold.Warmup))
}

// countLoad updates the peaks and breaches when a request arrives. This request counts as in flight.
func (t *Target) countLoad(now time.Time) {
	inFlight := len(t.work) + 1
	t.stats.PeakInFlight = max(t.stats.PeakInFlight, inFlight)
	if !t.cold(now) {
		return
	}
	t.stats.ColdPeakInFlight = max(t.stats.ColdPeakInFlight, inFlight)
	if inFlight <= t.capacity(now) {
		return
	}
	t.stats.ColdBreaches++
	if !t.coldReported.IsZero() && now.Sub(t.coldReported) > coldReportDelay {
		t.stats.ColdBreachesAfterReport++
	}
}
