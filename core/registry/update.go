package registry

import (
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Kind is a kind of objects in the store.
type Kind uint8

// Kinds of objects.
const (
	// Targets are the entries of targets, each under the target's id.
	Targets Kind = iota
	// Configs is the configuration, under the name ConfigName.
	Configs
	// ZonesOut are objects for the zones that operators have taken out of service, each under the zone's
	// name.
	ZonesOut
)

// NumKinds is the number of kinds.
const NumKinds = 3

// String returns the kind as logs show it.
func (k Kind) String() string { return [...]string{"targets", "config", "zones out"}[k] }

// ConfigName is the name of the object that holds the configuration.
const ConfigName = "main"

// Update is a list of objects of one kind, or of changes to them, from the store.
type Update struct {
	Kind Kind
	// Full is true when Records are all objects of the kind, false when they are only the changed ones.
	Full bool
	// AsOf is the store's revision after the update. Records of a later history of the store than this one do not occur; those of an
	// earlier one, in a full update of another VM, are not in the store and may be written again.
	AsOf    Revision
	Records []Record
	// Nameless is the number of objects that were left out because not even their name could be read.
	Nameless int
}

// Add adds a record, or counts it in Nameless when err is not nil.
func (u *Update) Add(rec Record, err error) {
	if err != nil {
		u.Nameless++
		return
	}
	u.Records = append(u.Records, rec)
}

// Record is one object. Target is set for a readable object of kind Targets, Config for one of kind Configs.
type Record struct {
	Name string
	// Revision is the store's revision of the object's last change.
	Revision Revision
	// Removed is true when the object no longer exists.
	Removed bool
	// Unreadable is the reason why the object cannot be decoded; empty for others.
	Unreadable string
	Target     *Target
	Config     *Config
}

// Target is the entry that a target writes about itself.
type Target struct {
	// NumericID is the number in the target's id, by which it recognises packets that are addressed to it.
	NumericID uint64
	// StartMillis is the start of the incarnation, as Unix time in milliseconds. It distinguishes the
	// incarnations with the same id.
	StartMillis int64
	Service     string
	Addr        netip.AddrPort
	Zone        core.ZoneName
	// Slots is the number of requests that the target processes at a time.
	Slots int
	// Draining is true when the target takes no new flows because it will end.
	Draining bool
	// ColdRemaining is the rest of the target's cold start when it wrote the entry.
	ColdRemaining time.Duration
}

// Config is a configuration of the operators.
type Config struct {
	Version uint64
	// Base is 0 for a whole configuration. Otherwise Routes are those that the configuration with this version does not
	// have, and Removed are the addresses of those that it has in addition.
	Base     uint64
	Routes   []Route
	Removed  []netip.AddrPort
	Services []Service
	// IdleTimeout is the time without packets after which client and target may discard a flow.
	IdleTimeout time.Duration
}

// Route sends the new flows of one address to services.
type Route struct {
	Name     string
	Addr     netip.AddrPort
	Backends []Backend
	// LatencyObjective is the time in which a request should be answered; 0 means that there is none.
	LatencyObjective time.Duration
	// Priority is 0 for the most urgent flows.
	Priority int
}

// Backend is a service with its share of a route's new flows.
type Backend struct {
	Service string
	Weight  int
}

// Service is a service of the configuration.
type Service struct {
	Name string
	// ColdStart is the time for which a target is cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold target sustains.
	ColdPerSecond float64
}
