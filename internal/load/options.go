package load

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Options configures a run.
type Options struct {
	// Services are the addresses of the services; clients are assigned to them in turn.
	Services []netip.AddrPort
	// Clients is the number of clients, each with a socket of its own; default 50.
	Clients int
	// Feeds is the number of clients that keep a live feed open; at most Clients.
	Feeds int
	// ReadRate, PostingRate and UploadRate are rates in requests per second, over all clients. An upload
	// counts as one request.
	ReadRate, PostingRate, UploadRate float64
	// UploadSize is the size of an upload in bytes; default 200,000.
	UploadSize int
	// Duration is the time in which requests begin; default 10 s. Requests still in progress then have
	// one Deadline to end.
	Duration time.Duration
	// Deadline is the deadline of requests; default 5 s.
	Deadline time.Duration
	// MaxRequests bounds the reads, postings and uploads that are begun; default 1,000,000.
	MaxRequests int
	// AuditLimit is the number of answered and of refused postings per client that are checked against
	// the targets' ledger after the run; 0 checks none. Only targets with a ledger can answer.
	AuditLimit int
	Seed       uint64
}

// Limits of a run.
const (
	// MaxClients bounds the clients, because each needs a file descriptor.
	MaxClients = 10_000
	// MaxDuration bounds the duration of a run.
	MaxDuration = time.Hour
	// MaxRate bounds each rate, in requests per second.
	MaxRate = 50_000
	// maxInProgress bounds the requests in progress; requests above it are not sent and count as skipped.
	maxInProgress = 20_000
)

// withDefaults returns the options; a field that is 0 and has a default is set to it.
func (o Options) withDefaults() Options {
	setDefault(&o.Clients, 50)
	setDefault(&o.UploadSize, 200_000)
	setDefault(&o.Duration, 10*time.Second)
	setDefault(&o.Deadline, 5*time.Second)
	setDefault(&o.MaxRequests, 1_000_000)
	return o
}

// setDefault sets a value that is 0 to its default.
func setDefault[T int | time.Duration](v *T, def T) {
	if *v == 0 {
		*v = def
	}
}

// OptionError reports an option that is out of range.
type OptionError struct {
	Option string
	Value  any
	Remedy string
}

// Error returns the option, its value and the remedy.
func (e *OptionError) Error() string {
	return fmt.Sprintf("load: %s is %v; %s", e.Option, e.Value, e.Remedy)
}

// validate returns an OptionError for each option that is out of range, joined.
func (o Options) validate() error {
	var errs []error
	check := func(ok bool, option string, value any, remedy string) {
		if !ok {
			errs = append(errs, &OptionError{option, value, remedy})
		}
	}
	check(len(o.Services) > 0, "service", "missing", "give at least one address")
	for _, s := range o.Services {
		check(s.IsValid() && s.Port() != 0, "service", s, "use an IP address and a port")
	}
	check(o.Clients > 0 && o.Clients <= MaxClients, "callers", o.Clients, "use 1 to 10000")
	check(o.Feeds >= 0 && o.Feeds <= o.Clients, "feeds", o.Feeds, "use at most the number of clients")
	check(o.validRate(o.ReadRate), "reads", o.ReadRate, "use 0 to 50000 per second")
	check(o.validRate(o.PostingRate), "postings", o.PostingRate, "use 0 to 50000 per second")
	check(o.validRate(o.UploadRate), "uploads", o.UploadRate, "use 0 to 50000 per second")
	check(o.UploadSize > 0 && o.UploadSize <= 4<<20, "upload size", o.UploadSize, "use 1 byte to 4 MB")
	check(o.Duration > 0 && o.Duration <= MaxDuration, "duration", o.Duration, "use at most 1 h")
	check(o.Deadline > 0 && o.Deadline <= core.MaxDeadline, "deadline", o.Deadline, "use at most 10 s")
	check(o.MaxRequests > 0, "maximum number of requests", o.MaxRequests, "use 1 or more")
	check(o.AuditLimit >= 0, "audit", o.AuditLimit, "use 0 or more")
	return errors.Join(errs...)
}

// validRate reports whether a rate is between 0 and MaxRate.
func (o Options) validRate(r float64) bool { return r >= 0 && r <= MaxRate }
