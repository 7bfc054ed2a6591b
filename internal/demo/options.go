package demo

import (
	"context"
	"errors"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/standin/client"
)

// Options configures a Deployment.
type Options struct {
	// Config is the configuration of the deployment. Its addresses are replaced by free loopback ones.
	Config *core.Config
	// EntryVMsPerZone is the number of entry VMs per zone; default 2.
	EntryVMsPerZone int
	// StartEntryVM starts an entry VM; required.
	StartEntryVM EntryVMFactory
	// SetZone changes the state of a zone, as the operator's command does, and returns when the change
	// has been accepted; required.
	SetZone func(ctx context.Context, zone core.ZoneName, state core.ZoneState) error
	// Traffic lists the clients and their activities; default DefaultTraffic.
	Traffic []Traffic
	// ServiceTime is the mean service time of targets per class; default DefaultServiceTime.
	ServiceTime [core.NumClasses]time.Duration
	// FeedInterval is the time between notifications of a feed; default 500 ms.
	FeedInterval time.Duration
	// SilenceLimit is the time without messages after which a feed's flow counts as broken; default 5 s.
	SilenceLimit time.Duration
	Seed         uint64
}

// Traffic is a group of clients of a service with the same plan.
type Traffic struct {
	Service string
	Clients int
	Plan    client.Plan
}

// DefaultServiceTime is the mean service time of targets in a demo. With DefaultTraffic it keeps 28 slots
// of the first service busy for 45% of the time.
var DefaultServiceTime = [core.NumClasses]time.Duration{
	core.ClassFeed:    5 * time.Millisecond,
	core.ClassRead:    50 * time.Millisecond,
	core.ClassPosting: 50 * time.Millisecond,
	core.ClassUpload:  4 * time.Millisecond,
}

// DefaultTraffic returns traffic in which the clients of the first service keep feeds open, read and
// post, and the clients of the other services upload.
func DefaultTraffic(cfg *core.Config) []Traffic {
	var traffic []Traffic
	for i, s := range cfg.Services {
		t := Traffic{Service: s.Name, Clients: 12, Plan: client.Plan{UploadEvery: 4 * time.Second, UploadSize: 200_000}}
		if i == 0 {
			t.Clients = 120
			t.Plan = client.Plan{Feed: true, ReadEvery: 700 * time.Millisecond, PostEvery: 1500 * time.Millisecond}
		}
		traffic = append(traffic, t)
	}
	return traffic
}

// withDefaults returns the options with defaults for fields that are not set, or an error when a required
// field is missing.
func (o Options) withDefaults() (Options, error) {
	if o.Config == nil || len(o.Config.Services) == 0 || len(o.Config.Zones) == 0 {
		return o, errors.New("demo: the configuration has no service or no zone; declare both")
	}
	if o.StartEntryVM == nil || o.SetZone == nil {
		return o, errors.New("demo: StartEntryVM or SetZone is missing; set both")
	}
	if o.EntryVMsPerZone <= 0 {
		o.EntryVMsPerZone = 2
	}
	if o.Traffic == nil {
		o.Traffic = DefaultTraffic(o.Config)
	}
	for c := range o.ServiceTime {
		if o.ServiceTime[c] <= 0 {
			o.ServiceTime[c] = DefaultServiceTime[c]
		}
	}
	if o.SilenceLimit <= 0 {
		o.SilenceLimit = 5 * time.Second
	}
	return o, nil
}
