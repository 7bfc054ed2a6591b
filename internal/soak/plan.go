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

// Kinds of events. Planned ones must not cause a violation; the others suspend the time bounds.
const (
	Term                Kind = "term"         // SIGTERM; the process starts again
	Kill                Kind = "kill"         // SIGKILL
	KillAll             Kind = "herd-kill"    // SIGKILL of all VMs
	Pause               Kind = "pause"        // SIGSTOP, then SIGCONT
	Reload              Kind = "reload"       // SIGHUP after a change of the settings
	ReloadWithoutSignal Kind = "quiet-reload" // the settings change without a signal
	LinkSilent          Kind = "link-silent"  // open connections to the store become silent, new ones work
	LinkRefuse          Kind = "link-refuse"  // a VM cannot reach the store
	StoreBusy           Kind = "store-busy"
	StoreRateLimited    Kind = "store-many"
	StoreReset          Kind = "store-reset"
	StoreSilent         Kind = "store-silent"
	StoreSlow           Kind = "store-slow"
	StoreLostResponses  Kind = "store-lost" // half of the writes take effect but get no response
	StoreHoldsWatches   Kind = "store-deaf" // watches get no response, then the history is dropped
	Compact             Kind = "compact"    // the history is dropped
	StoreRestored       Kind = "restored"   // the store is down, and returns from an earlier copy
	Expire              Kind = "lapse"      // entries expire while the store is busy, and are written again
	InvalidEntry        Kind = "odd-entry"  // another writer writes an entry that names no target
	Drain               Kind = "drain"      // a target drains and ends
	Crash               Kind = "crash"      // a target ends without a drain
	Restart             Kind = "restart"    // a target ends and starts again with the same id, cold
	Full                Kind = "full"       // some targets are full: they reject requests and reset new flows and connections
	AddTarget           Kind = "add-host"
	ZoneOut             Kind = "zone-out" // a zone is taken out of service and brought back cold
	Route               Kind = "route"    // a route of a service is replaced by another
	PacketLoss          Kind = "packet-loss"
	PacketDisorder      Kind = "disorder" // packets are delayed, duplicated and reordered
)

// planned are the kinds that do not suspend the time bounds. Full does not either, but is not listed here: the list's length decides
// which events a seed gives.
var planned = []Kind{Term, Reload, ReloadWithoutSignal, InvalidEntry, Drain, AddTarget, ZoneOut, Route, Crash, Restart}

// allKinds are the kinds from which a plan with faults is made.
var allKinds = append([]Kind{
	Kill, KillAll, Pause, LinkSilent, LinkRefuse, StoreBusy, StoreRateLimited, StoreReset, StoreSilent, StoreSlow,
	StoreLostResponses, StoreHoldsWatches, Compact, Expire, PacketLoss, PacketDisorder,
}, planned...)

// Event is one fault or change.
type Event struct {
	At   time.Duration
	Kind Kind
	// Duration is how long the event lasts, for the kinds that last.
	Duration time.Duration
	// Pick selects the VM, target or zone, modulo their number.
	Pick int
}

// String returns the event as a line of the log of events.
func (e Event) String() string {
	return fmt.Sprintf("%7.3f s  %s (for %.1f s, pick %d)", e.At.Seconds(), e.Kind, e.Duration.Seconds(), e.Pick)
}

// Planned reports whether the event must not cause a violation.
func (e Event) Planned() bool { return e.Kind == Full || slices.Contains(planned, e.Kind) }

const (
	// quietStart and quietEnd are the times without new events at the start of a run, and at its end, for
	// recovery.
	quietStart = 2 * time.Second
	quietEnd   = 8 * time.Second
	// meanInterval is the mean time between two series of events.
	meanInterval = 1500 * time.Millisecond
	// maxSeries is the maximum number of events in a series. The events of a series overlap.
	maxSeries = 4
	// zoneOutTime is the minimum time for which a zone is out of service: long enough to detect flows that
	// still arrive after the bound.
	zoneOutTime = fleet.EvacuateBound + time.Second
	// maxDuration is the maximum duration of an event.
	maxDuration = 4 * time.Second
	// maxCopyAge is the maximum age of the copy that the store is restored from, maxRewriteDelay the maximum time until
	// operators write again what it lacks.
	maxCopyAge      = 8 * time.Second
	maxRewriteDelay = time.Second
	// restoredDuration is how long the store is down before it is restored.
	restoredDuration = 2 * time.Second
	// minFullDuration is the minimum time for which targets are full. VMs connect to them again every 0.3 s.
	minFullDuration = time.Second
	// fullStream selects the random numbers of the events Full. They have a stream of their own so that the other events of a
	// seed stay the same. It is larger than the seeds in use, as equal numbers would give the stream of the other events.
	fullStream = 0xf011
)

// Extra are the numbers of events in addition to those that the seed gives.
type Extra struct {
	// Restores is how often the store is restored from a copy.
	Restores int
	// Full is how often some targets become full.
	Full int
}

// NewPlan returns the events of a run, sorted by time. Equal arguments give equal plans.
func NewPlan(seed uint64, length time.Duration, extra Extra) []Event {
	random := rand.New(rand.NewPCG(seed, seed))
	var plan []Event
	// Plans of even seeds have planned changes only, so that the time bounds apply during the whole run.
	kinds := allKinds
	if seed%2 == 0 {
		kinds = planned
	}
	for at := quietStart; at < length-quietEnd; at += time.Duration(random.Int64N(int64(2 * meanInterval))) {
		for range 1 + random.IntN(maxSeries) {
			e := Event{
				At:       at + time.Duration(random.Int64N(int64(400*time.Millisecond))),
				Kind:     kinds[random.IntN(len(kinds))],
				Duration: time.Duration(random.Int64N(int64(maxDuration))),
				Pick:     random.IntN(1000),
			}
			if e.Kind == ZoneOut && e.At+e.Duration+zoneOutTime > length-quietEnd {
				continue
			}
			plan = append(plan, e)
		}
	}
	for range extra.Restores {
		plan = append(plan, Event{
			At:   quietStart + time.Duration(random.Int64N(int64(length-quietEnd-quietStart))),
			Kind: StoreRestored, Duration: time.Duration(random.Int64N(int64(restoredDuration))), Pick: random.IntN(1000),
		})
	}
	random = rand.New(rand.NewPCG(seed, fullStream))
	for range extra.Full {
		plan = append(plan, Event{
			At:   quietStart + time.Duration(random.Int64N(int64(length-quietEnd-quietStart))),
			Kind: Full, Duration: minFullDuration + time.Duration(random.Int64N(int64(maxDuration-minFullDuration))), Pick: random.IntN(1000),
		})
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return int(a.At - b.At) })
	return plan
}
