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
	// Configs holds the configuration under the name ConfigName.
	Configs
	// ZonesOut holds an object for each zone that operators have taken out, under the zone's name.
	ZonesOut
)

// NumKinds is the number of kinds.
const NumKinds = 3

// String returns the kind as logs show it.
func (k Kind) String() string { return [...]string{"targets", "config", "zones out"}[k] }

// ConfigName is the name of the object that holds the configuration.
const ConfigName = "main"

// Update is what the store said about one kind.
type Update struct {
	Kind Kind
	// Full is true when Records are all objects of the kind, false when they are changes.
	Full bool
	// AsOf is the store's revision that the update leads to.
	AsOf    uint64
	Records []Record
	// Nameless counts objects that were left out, as not even their name could be read.
	Nameless int
}

// Add adds a record, or counts one that could not be decoded.
func (u *Update) Add(rec Record, err error) {
	if err != nil {
		u.Nameless++
		return
	}
	u.Records = append(u.Records, rec)
}

// Record is one object. Of Target and Config the one of the update's kind is set.
type Record struct {
	Name string
	// Revision is that of the object's last change.
	Revision uint64
	// Removed is true when the object no longer exists.
	Removed bool
	// Unreadable says what is wrong with an object that cannot be decoded; empty for others.
	Unreadable string
	Target     *Target
	Config     *Config
}

// Target is what a target says of itself.
type Target struct {
	// NumericID is the number by which the target recognises packets that are meant for it.
	NumericID uint64
	// StartMillis is the start of the target's lifetime as Unix time in milliseconds. It tells lifetimes
	// under the same id apart.
	StartMillis int64
	Service     string
	Addr        netip.AddrPort
	Zone        core.ZoneName
	// Slots is the number of requests that the target works on at a time.
	Slots int
	// Draining is true when the target is about to leave.
	Draining bool
	// ColdRemaining is how much longer the target stayed cold when it said so.
	ColdRemaining time.Duration
}

// Config is a configuration of the operators.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// IdleTimeout is the time after which the ends may discard a silent flow.
	IdleTimeout time.Duration
}

// Route sends the new flows of one address to services.
type Route struct {
	Name     string
	Addr     netip.AddrPort
	Backends []Backend
}

// Backend is a service with its share of a route's new flows.
type Backend struct {
	Service string
	Weight  int
}

// Service is a service of the configuration.
type Service struct {
	Name string
	// ColdStart is how long a target is cold after its start.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold target bears.
	ColdPerSecond float64
}
