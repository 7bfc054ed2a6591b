package caller

import (
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Options configures a Caller.
type Options struct {
	// Name is part of all contents, so it has to be unique in a run.
	Name    string
	Service netip.AddrPort
	// Deadline is the time after which a request is given up; default 5 s, at most core.MaxDeadline.
	Deadline time.Duration
	// RetransmitAfter is the time until the first repeat of a datagram; default 300 ms. It doubles with
	// every repeat, up to maxRepeat, and is spread by 50%.
	RetransmitAfter time.Duration
	// NonConfirmable is true when requests are non-confirmable messages.
	NonConfirmable bool
	// RenewAfter is the silence after which a feed is registered again with the same token; default
	// 1500 ms.
	RenewAfter time.Duration
	// SilenceLimit is the silence after which a feed counts as broken; default 5 s.
	SilenceLimit time.Duration
	// MoveAllowed reports whether flows may have left the target at some time after since, because its zone
	// was taken out or because it was removed; default never. It must not call the Caller.
	MoveAllowed func(target, zone string, since time.Time) bool
	// OnOutcome is called with the outcome of each request, from several goroutines; optional.
	OnOutcome func(core.Class, Outcome)
	// Seed decides about backoff and pauses.
	Seed uint64
}

// maxRepeat bounds the time between two repeats of a datagram.
const maxRepeat = 2 * time.Second

// withDefaults fills in the defaults.
func (o Options) withDefaults() Options {
	setDefault(&o.Deadline, 5*time.Second)
	o.Deadline = min(o.Deadline, core.MaxDeadline)
	setDefault(&o.RetransmitAfter, 300*time.Millisecond)
	setDefault(&o.RenewAfter, 1500*time.Millisecond)
	setDefault(&o.SilenceLimit, 5*time.Second)
	if o.MoveAllowed == nil {
		o.MoveAllowed = func(string, string, time.Time) bool { return false }
	}
	if o.OnOutcome == nil {
		o.OnOutcome = func(core.Class, Outcome) {}
	}
	return o
}

// setDefault replaces a duration that is not positive.
func setDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
