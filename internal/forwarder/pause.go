package forwarder

import "time"

const (
	// pausedAfter is the time between two ticks of the control thread after which the process was paused, or had
	// no processor time. The control thread ticks at least every 0.5 s.
	pausedAfter = 1500 * time.Millisecond
	// resumeWait is how long new flows wait for a fresh snapshot after a pause. The store or another VM usually
	// confirms it within some milliseconds, and clients retransmit SYNs after 200 and 600 ms.
	resumeWait = time.Second
)

// recordTick records that the control thread runs, and returns the length of a pause that has just ended, or 0.
func (s *sharedState) recordTick(now time.Duration) time.Duration {
	gap := now - time.Duration(s.lastTick.Swap(int64(now)))
	if gap < pausedAfter {
		return 0
	}
	s.resumedAt.Store(int64(now))
	return gap
}

// resuming reports whether the process was paused and its snapshot has not been confirmed since. Targets may have
// drained, turned cold or ended in the meantime.
func (s *sharedState) resuming(now time.Duration) bool {
	if now-time.Duration(s.lastTick.Load()) >= pausedAfter {
		return true
	}
	resumed := time.Duration(s.resumedAt.Load())
	return resumed > 0 && now < resumed+resumeWait && now >= time.Duration(s.freshUntil.Load())
}
