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
	// Service is the address of the target's service. Packets that name another one are counted as
	// strays and not answered. The zero value accepts all.
	Service netip.AddrPort
	// Slots is the number of requests the target works on at a time when warm; default 1.
	Slots int
	// Connections is the number of flows the target bears; default 2000.
	Connections int
	// ServiceTime is the mean service time per class; default 5 ms. Times are exponentially
	// distributed and cut off at maxServiceFactor times the mean.
	ServiceTime [core.NumClasses]time.Duration
	Cold        Cold
	// StartCold is true when the target begins cold.
	StartCold bool
	// ReportsLoad is true when answers carry load reports.
	ReportsLoad bool
	// FeedInterval is the time between two notifications of a feed; default 500 ms.
	FeedInterval time.Duration
	// Ledger counts runs of non-idempotent requests; default a new one.
	Ledger *Ledger
	// Seed decides about service times and faults.
	Seed uint64
}

// Cold describes a target's cold start.
type Cold struct {
	// InitialSlots is the number of requests that a cold target works on at first; default 1. It grows to
	// Slots in equal steps.
	InitialSlots int
	// Warmup is the time from cold to warm; default 10 s.
	Warmup time.Duration
	// CrashOnOverload is true when a request too many ends the process; otherwise it is shed.
	CrashOnOverload bool
	// RestartDelay is the time until a fallen target is back, cold; default 1 s.
	RestartDelay time.Duration
}

// HealthMode is how a target's health endpoint misleads.
type HealthMode uint8

// Lies of a health endpoint.
const (
	HealthCorrect HealthMode = iota
	// HealthAlwaysOK reports a warm and idle target, whatever its state.
	HealthAlwaysOK
	// HealthAlwaysFailing reports a failure of a target that works.
	HealthAlwaysFailing
	// HealthNoAnswer does not answer at all.
	HealthNoAnswer
)

// Behavior is what may be changed while a target runs. Rates are probabilities from 0 to 1.
type Behavior struct {
	// DelayRate is the share of answers that are sent Delay late.
	DelayRate float64
	Delay     time.Duration
	// DuplicateRate is the share of answers that are sent twice.
	DuplicateRate float64
	// LossRate is the share of answers that are not sent although the request ran.
	LossRate float64
	Health   HealthMode
}

// maxServiceFactor bounds a service time as a multiple of its mean.
const maxServiceFactor = 5

// withDefaults fills in the defaults.
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

// setDefault replaces a duration that is not positive.
func setDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
