package forwarder

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mangoweir/mangoweir/internal/feed"
)

// clockStart is the reading of the clock when the process starts. Data from other VMs may be older than the
// process; with this start, the times of all data that may still be used are above 0. A time of 0 means
// never.
const clockStart = 2 * feed.UnknownAge

// clock is the VM's monotonic clock. Unlike CLOCK_MONOTONIC it includes the time for which the VM was
// suspended, so that a snapshot's age is correct after a resume. It never uses the time of day.
type clock struct {
	start time.Time
	// suspension is the time for which the VM has been suspended since the process started, in nanoseconds.
	suspension atomic.Int64
	// suspensionAtStart is the time for which the VM was suspended between its boot and the process's start.
	suspensionAtStart time.Duration
}

func newClock() *clock {
	c := &clock{start: time.Now()}
	c.suspensionAtStart, _ = suspended()
	return c
}

// now returns the time since the process started, plus clockStart.
func (c *clock) now() time.Duration {
	return clockStart + time.Since(c.start) + time.Duration(c.suspension.Load())
}

// updateSuspension adds a suspension since the last call to the clock and returns its length, or 0.
func (c *clock) updateSuspension() time.Duration {
	total, err := suspended()
	if err != nil {
		return 0
	}
	total -= c.suspensionAtStart
	before := time.Duration(c.suspension.Load())
	if total-before < minSuspension {
		return 0
	}
	c.suspension.Store(int64(total))
	return total - before
}

// minSuspension is the shortest suspension that counts. The two clocks are read one after the other, so that
// smaller differences occur without a suspension.
const minSuspension = 50 * time.Millisecond

// suspended returns the total time for which the VM has been suspended since it booted.
func suspended() (time.Duration, error) {
	var monotonic, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
