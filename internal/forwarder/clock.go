package forwarder

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mangoweir/mangoweir/internal/feed"
)

// clockStart is what the clock shows when the process starts. What other VMs know may be older than the
// process; with this start the times of all that a VM may still use are above 0, which means never.
const clockStart = 2 * feed.UnknownAge

// clock is the VM's monotonic clock. It counts the time in which the VM was suspended, which the steady
// clock does not, so that a view's age is true after a wake-up. The time of day is never used.
type clock struct {
	start time.Time
	// behind is how far the steady clock has fallen behind since the start.
	behind atomic.Int64
	// atStart is that difference at the start.
	atStart time.Duration
}

func newClock() *clock {
	c := &clock{start: time.Now()}
	c.atStart, _ = suspended()
	return c
}

// now returns the time since the process started, plus clockStart.
func (c *clock) now() time.Duration {
	return clockStart + time.Since(c.start) + time.Duration(c.behind.Load())
}

// check accounts for a suspension and returns its length, if there was one since the last call.
func (c *clock) check() time.Duration {
	total, err := suspended()
	if err != nil {
		return 0
	}
	total -= c.atStart
	before := time.Duration(c.behind.Load())
	if total-before < minSuspension {
		return 0
	}
	c.behind.Store(int64(total))
	return total - before
}

// minSuspension is the least suspension that counts. The two clocks are read one after the other.
const minSuspension = 50 * time.Millisecond

// suspended returns for how long the machine has been suspended since it booted.
func suspended() (time.Duration, error) {
	var steady, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}
