package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Faults describes the faults that datagrams are subject to. Rates are probabilities from 0 to 1; with
// the zero value all datagrams pass unchanged.
type Faults struct {
	Drop, Duplicate, Reorder float64
	// Delay is the delay of every datagram; Jitter is the upper bound of an additional random delay.
	Delay, Jitter time.Duration
}

// Validate returns an error that names the first rate that is out of range, or both times when one is
// negative.
func (f Faults) Validate() error {
	for _, r := range []struct {
		name string
		rate float64
	}{{"drop", f.Drop}, {"duplicate", f.Duplicate}, {"reorder", f.Reorder}} {
		if !(r.rate >= 0 && r.rate <= 1) {
			return fmt.Errorf("faults: %s rate is %v; use a value from 0 to 1", r.name, r.rate)
		}
	}
	if f.Delay < 0 || f.Jitter < 0 {
		return fmt.Errorf("faults: delay %v or jitter %v is negative; use 0 or more", f.Delay, f.Jitter)
	}
	return nil
}

const (
	// reorderDelay is the additional delay of a reordered datagram, which lets later ones overtake it.
	reorderDelay = 10 * time.Millisecond
	// maxDelayed is the maximum number of delayed datagrams at a time; more are dropped.
	maxDelayed = 1 << 16
)

// Counts has the number of datagrams for each decision of an Impairment.
type Counts struct {
	Passed, Dropped, Duplicated, Reordered uint64
}

// Impairment applies faults to datagrams. It is safe for concurrent use.
type Impairment struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	closed bool

	delayed                                atomic.Int64
	passed, dropped, duplicated, reordered atomic.Uint64
}

// NewImpairment returns an Impairment without faults whose random decisions follow from the seed.
func NewImpairment(seed uint64) *Impairment {
	return &Impairment{rng: rand.New(rand.NewPCG(seed, 0x6661756c74))}
}

// Set replaces the faults. It returns an error, and keeps the old faults, when a rate or time is out of
// range.
func (i *Impairment) Set(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	return nil
}

// Counts returns the counts so far.
func (i *Impairment) Counts() Counts {
	return Counts{
		Passed:     i.passed.Load(),
		Dropped:    i.dropped.Load(),
		Duplicated: i.duplicated.Load(),
		Reordered:  i.reordered.Load(),
	}
}

// Close drops all delayed datagrams and all that follow.
func (i *Impairment) Close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

// Pass calls send for each copy of the datagram, after the delay of that copy; a dropped datagram has no
// copies. Data that is sent later is copied first.
func (i *Impairment) Pass(data []byte, send func([]byte)) {
	for _, delay := range i.decide() {
		if delay == 0 {
			send(data)
			continue
		}
		i.sendLater(append([]byte(nil), data...), delay, send)
	}
}

// decide returns the delay of each copy of a datagram; it returns none for a dropped datagram.
func (i *Impairment) decide() []time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.faults
	if i.closed || i.chance(f.Drop) {
		i.dropped.Add(1)
		return nil
	}
	i.passed.Add(1)
	delays := append(make([]time.Duration, 0, 2), i.delay(f))
	if i.chance(f.Reorder) {
		i.reordered.Add(1)
		delays[0] += reorderDelay
	}
	if i.chance(f.Duplicate) {
		i.duplicated.Add(1)
		delays = append(delays, i.delay(f))
	}
	return delays
}

// delay returns the delay of one copy of a datagram.
func (i *Impairment) delay(f Faults) time.Duration {
	if f.Jitter == 0 {
		return f.Delay
	}
	return f.Delay + time.Duration(i.rng.Int64N(int64(f.Jitter)))
}

// chance reports true with the given probability. For a rate of 0 it uses no random number.
func (i *Impairment) chance(rate float64) bool { return rate > 0 && i.rng.Float64() < rate }

// sendLater sends a datagram after a delay, unless the Impairment is closed by then.
func (i *Impairment) sendLater(data []byte, delay time.Duration, send func([]byte)) {
	if i.delayed.Add(1) > maxDelayed {
		i.delayed.Add(-1)
		i.dropped.Add(1)
		return
	}
	time.AfterFunc(delay, func() {
		i.delayed.Add(-1)
		i.mu.Lock()
		closed := i.closed
		i.mu.Unlock()
		if !closed {
			send(data)
		}
	})
}
