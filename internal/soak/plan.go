package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/internal/standin/fleet"
)

// Kind is a kind of fault or change.
type Kind string

// Kinds of events. Planned ones must break nothing; the others suspend the bounds on time.
const (
	Term                Kind = "term"         // SIGTERM; the process starts again
	Kill                Kind = "kill"         // SIGKILL
	KillAll             Kind = "herd-kill"    // SIGKILL of all VMs
	Pause               Kind = "pause"        // SIGSTOP, then SIGCONT
	Reload              Kind = "reload"       // SIGHUP after a change of the settings
	ReloadWithoutSignal Kind = "quiet-reload" // the settings change without a signal
	LinkSilent          Kind = "link-silent"  // connections to the store fall silent, new ones work
	LinkRefuse          Kind = "link-refuse"  // the store cannot be reached from a VM
	StoreBusy           Kind = "store-busy"
	StoreRateLimited    Kind = "store-many"
	StoreReset          Kind = "store-reset"
	StoreSilent         Kind = "store-silent"
	StoreSlow           Kind = "store-slow"
	StoreLostResponses  Kind = "store-lost" // writes are done and not answered
	StoreHoldsWatches   Kind = "store-deaf" // watches hear nothing, then the history is dropped
	Compact             Kind = "compact"    // the history is dropped
	Expire              Kind = "lapse"      // entries lapse while the store is away, and return
	InvalidEntry        Kind = "odd-entry"  // an entry by another writer
	Drain               Kind = "drain"      // a target drains and leaves
	Crash               Kind = "crash"      // a target ends without a word
	Restart             Kind = "restart"    // a target ends and starts again under its id, cold
	AddTarget           Kind = "add-host"
	ZoneOut             Kind = "zone-out" // a zone is taken out and brought back cold
	Route               Kind = "route"    // a route is replaced by another
	PacketLoss          Kind = "packet-loss"
	PacketDisorder      Kind = "disorder" // packets are delayed, repeated and reordered
)

// planned are the kinds that suspend no bound.
var planned = []Kind{Term, Reload, ReloadWithoutSignal, InvalidEntry, Drain, AddTarget, ZoneOut, Route, Crash, Restart}

// allKinds are the kinds that a plan draws from.
var allKinds = append([]Kind{
	Kill, KillAll, Pause, LinkSilent, LinkRefuse, StoreBusy, StoreRateLimited, StoreReset, StoreSilent, StoreSlow,
	StoreLostResponses, StoreHoldsWatches, Compact, Expire, PacketLoss, PacketDisorder,
}, planned...)

// Event is one fault or change.
type Event struct {
	At   time.Duration
	Kind Kind
	// Duration is how long it lasts, where it lasts.
	Duration time.Duration
	// Pick chooses the VM, target or zone.
	Pick int
}

// String returns the event as the time line shows it.
func (e Event) String() string {
	return fmt.Sprintf("%7.3f s  %s (for %.1f s, pick %d)", e.At.Seconds(), e.Kind, e.Duration.Seconds(), e.Pick)
}

// Planned reports whether the event must break nothing.
func (e Event) Planned() bool { return slices.Contains(planned, e.Kind) }

const (
	// quietStart and quietEnd are the times without events at the start, and at the end for recovery.
	quietStart = 2 * time.Second
	quietEnd   = 8 * time.Second
	// meanGap is the mean time between two series of events.
	meanGap = 1500 * time.Millisecond
	// maxSeries is the largest number of events in a series, which overlap.
	maxSeries = 4
	// zoneOutTime is the least time for which a zone is out: long enough to see flows after the bound.
	zoneOutTime = fleet.EvacuateBound + time.Second
	// maxFor bounds how long an event lasts.
	maxFor = 4 * time.Second
)

// NewPlan returns the events of a run. Equal seeds give equal plans.
func NewPlan(seed uint64, length time.Duration) []Event {
	r := rand.New(rand.NewPCG(seed, seed))
	var plan []Event
	// Half of the runs have planned changes only, so that the bounds on time hold all the while.
	kinds := allKinds
	if seed%2 == 0 {
		kinds = planned
	}
	for at := quietStart; at < length-quietEnd; at += time.Duration(r.Int64N(int64(2 * meanGap))) {
		for range 1 + r.IntN(maxSeries) {
			e := Event{
				At:       at + time.Duration(r.Int64N(int64(400*time.Millisecond))),
				Kind:     kinds[r.IntN(len(kinds))],
				Duration: time.Duration(r.Int64N(int64(maxFor))),
				Pick:     r.IntN(1000),
			}
			if e.Kind == ZoneOut && e.At+e.Duration+zoneOutTime > length-quietEnd {
				continue
			}
			plan = append(plan, e)
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.At - b.At) })
	return plan
}
