package target

import (
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Options configures a Target.
type Options struct {
	Name, Zone string
	// Addr is the address to listen on; default 127.0.0.1 with a free port.
	Addr netip.AddrPort
	// Service is the address of the target's service. A packet for another service is counted as a
	// stray packet and not answered. The zero value accepts packets for any service.
	Service netip.AddrPort
	// Slots is the number of requests that a warm target processes at a time; default 1.
	Slots int
	// Connections is the number of flows that the target accepts; default 2000.
	Connections int
	// ServiceTime is the mean service time per class; default 5 ms. Service times are exponentially
	// distributed and at most maxServiceFactor times the mean.
	ServiceTime [core.NumClasses]time.Duration
	Cold        Cold
	// StartCold is true when the target's first process starts cold.
	StartCold bool
	// ReportsLoad is true when answers carry load reports.
	ReportsLoad bool
	// FeedInterval is the time between two notifications of a live feed; default 500 ms.
	FeedInterval time.Duration
	// Ledger counts the runs of non-idempotent requests; default a new ledger.
	Ledger *Ledger
	// Seed seeds the random service times, faults and boot ids.
	Seed uint64
}

// Cold describes a target's cold start.
type Cold struct {
	// InitialSlots is the number of requests that a target processes at a time when its cold start
	// begins; default 1. The number grows to Slots in equal steps during Warmup.
	InitialSlots int
	// Warmup is the duration of the cold start; default 10 s.
	Warmup time.Duration
	// CrashOnOverload is true when a request above the cold target's capacity ends the process;
	// otherwise the request is shed.
	CrashOnOverload bool
	// RestartDelay is the time from such a crash to the start of a new, cold process; default 1 s.
	RestartDelay time.Duration
}

// HealthMode selects what a target's health endpoint reports.
type HealthMode uint8

// Modes of a health endpoint.
const (
	// HealthCorrect reports the target's actual state.
	HealthCorrect HealthMode = iota
	// HealthAlwaysOK reports a healthy, warm and idle target, whatever its state.
	HealthAlwaysOK
	// HealthAlwaysFailing reports a failure although the target works.
	HealthAlwaysFailing
	// HealthNoAnswer does not answer probes.
	HealthNoAnswer
)

// Behavior has the faults that can be changed while a target runs. Rates are probabilities from 0 to 1.
type Behavior struct {
	// DelayRate is the share of answers that are sent with an additional delay of Delay.
	DelayRate float64
	Delay     time.Duration
	// DuplicateRate is the share of answers that are sent twice.
	DuplicateRate float64
	// LossRate is the share of answers that are not sent although the request ran.
	LossRate float64
	Health   HealthMode
}

// maxServiceFactor limits a service time to this multiple of its mean.
const maxServiceFactor = 5

// withDefaults returns the options with unset values replaced by their defaults.
func (o Options) withDefaults() Options {
	if !o.Addr.IsValid() {
		o.Addr = netip.MustParseAddrPort("127.0.0.1:0")
	}
	o.Slots = max(o.Slots, 1)
	if o.Connections <= 0 {
		o.Connections = 2000
	}
	for c := range o.ServiceTime {
		setDefault(&o.ServiceTime[c], 5*time.Millisecond)
	}
	o.Cold.InitialSlots = min(max(o.Cold.InitialSlots, 1), o.Slots)
	setDefault(&o.Cold.Warmup, 10*time.Second)
	setDefault(&o.Cold.RestartDelay, time.Second)
	setDefault(&o.FeedInterval, 500*time.Millisecond)
	if o.Ledger == nil {
		o.Ledger = NewLedger()
	}
	return o
}

// setDefault replaces a duration that is not positive by the default.
func setDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
