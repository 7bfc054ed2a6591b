package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Faults describes what happens to datagrams. Rates are probabilities from 0 to 1; the zero value
// passes everything unchanged.
type Faults struct {
	Drop, Duplicate, Reorder float64
	// Delay is added to every datagram; Jitter adds a random time up to its value.
	Delay, Jitter time.Duration
}

// Validate returns an error that names the first rate or time that is out of range.
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
	// reorderDelay is how long a reordered datagram is held back, so that later ones overtake it.
	reorderDelay = 10 * time.Millisecond
	// maxHeld bounds the datagrams that wait at a time; more are dropped.
	maxHeld = 1 << 16
)

// Counts are the decisions of an Impairment.
type Counts struct {
	Passed, Dropped, Duplicated, Reordered uint64
}

// Impairment applies faults to datagrams. It is safe for concurrent use.
type Impairment struct {
	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	closed bool

	held                                   atomic.Int64
	passed, dropped, duplicated, reordered atomic.Uint64
}

// NewImpairment returns an Impairment without faults.
func NewImpairment(seed uint64) *Impairment {
	return &Impairment{rng: rand.New(rand.NewPCG(seed, 0x6661756c74))}
}

// Set replaces the faults.
func (i *Impairment) Set(f Faults) error {
	if err := f.Validate(); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
	return nil
}

// Counts returns the decisions so far.
func (i *Impairment) Counts() Counts {
	return Counts{
		Passed:     i.passed.Load(),
		Dropped:    i.dropped.Load(),
		Duplicated: i.duplicated.Load(),
		Reordered:  i.reordered.Load(),
	}
}

// Close drops everything that is held back and that follows.
func (i *Impairment) Close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
}

// Pass calls send for the datagram as often and as late as the faults say. It copies the data when
// send is called later.
func (i *Impairment) Pass(data []byte, send func([]byte)) {
	for _, wait := range i.decide() {
		if wait == 0 {
			send(data)
			continue
		}
		i.hold(append([]byte(nil), data...), wait, send)
	}
}

// decide returns the delay of each copy of a datagram.
func (i *Impairment) decide() []time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.faults
	if i.closed || i.roll(f.Drop) {
		i.dropped.Add(1)
		return nil
	}
	i.passed.Add(1)
	waits := append(make([]time.Duration, 0, 2), i.delay(f))
	if i.roll(f.Reorder) {
		i.reordered.Add(1)
		waits[0] += reorderDelay
	}
	if i.roll(f.Duplicate) {
		i.duplicated.Add(1)
		waits = append(waits, i.delay(f))
	}
	return waits
}

// delay returns the delay of one copy.
func (i *Impairment) delay(f Faults) time.Duration {
	if f.Jitter == 0 {
		return f.Delay
	}
	return f.Delay + time.Duration(i.rng.Int64N(int64(f.Jitter)))
}

// roll reports true with the given probability. It draws no number for a rate of 0.
func (i *Impairment) roll(rate float64) bool { return rate > 0 && i.rng.Float64() < rate }

// hold sends a datagram later.
func (i *Impairment) hold(data []byte, wait time.Duration, send func([]byte)) {
	if i.held.Add(1) > maxHeld {
		i.held.Add(-1)
		i.dropped.Add(1)
		return
	}
	time.AfterFunc(wait, func() {
		i.held.Add(-1)
		i.mu.Lock()
		closed := i.closed
		i.mu.Unlock()
		if !closed {
			send(data)
		}
	})
}
