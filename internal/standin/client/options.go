package client

import (
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Options configures a Client.
type Options struct {
	// Name must be unique in a run, because nonces and the contents of postings contain it.
	Name    string
	Service netip.AddrPort
	// Deadline is the time after which the client gives up a request; default 5 s, at most
	// core.MaxDeadline.
	Deadline time.Duration
	// RetransmitAfter is the time until the first retransmission of a datagram; default 300 ms. It doubles
	// with every retransmission, up to maxRetransmitDelay, and up to 50% is added at random.
	RetransmitAfter time.Duration
	// NonConfirmable makes the client send requests as non-confirmable CoAP messages.
	NonConfirmable bool
	// RenewAfter is the time without messages after which a feed is registered again with the same
	// token; default 1500 ms.
	RenewAfter time.Duration
	// SilenceLimit is the time without messages after which a feed's flow counts as broken; default 5 s.
	SilenceLimit time.Duration
	// MoveAllowed reports whether flows were allowed to leave the target at some time after since, because
	// its zone was taken out of service or because the target was removed; default never. It must not
	// call the Client.
	MoveAllowed func(target, zone string, since time.Time) bool
	// OnOutcome is called with the outcome of each request, from several goroutines; optional.
	OnOutcome func(core.Class, Outcome)
	// Seed is the seed of the random delays, tokens and contents of uploads.
	Seed uint64
}

// maxRetransmitDelay bounds the time between two transmissions of a datagram, before jitter.
const maxRetransmitDelay = 2 * time.Second

// withDefaults returns the options with defaults for fields that are not set, and limits Deadline.
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

// setDefault sets a duration that is not positive to its default.
func setDefault(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}
