package target

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Stats are the counts of a target since it was started. Restarts do not reset them.
type Stats struct {
	Name, Zone string
	Boot       uint64
	Up, Cold   bool
	// InUse is the number of requests in work, Capacity what the target bears now.
	InUse, Capacity    int
	Feeds, Connections int

	// Packets counts datagrams of callers, without probes.
	Packets uint64
	// Requests counts requests that were taken on, by class.
	Requests [core.NumClasses]uint64
	// Answered counts requests that ran to their end.
	Answered, Shed, Cancelled, Expired, Duplicates, Notifications uint64
	UploadsDone, Crashes                                          uint64
	// StrayPackets counts packets that name another service.
	StrayPackets uint64
	// PacketsWhileZoneOut counts packets more than core.ZoneOutGrace after the zone was taken out.
	PacketsWhileZoneOut uint64
	// NewFlowsWhileDraining counts flows that began more than DrainGrace after draining did.
	NewFlowsWhileDraining uint64
	// PeakInFlight is the most work in flight at a time, with requests that were shed; ColdPeakInFlight is the same
	// while cold, and ColdBreaches counts requests above what the cold target bore.
	PeakInFlight, ColdPeakInFlight int
	ColdBreaches                   uint64
	// ColdBreachesAfterReport counts the breaches that came later than coldNotice after the first answer
	// that reported the cold start.
	ColdBreachesAfterReport uint64
	// BusyTime is the sum of the service times of requests that ran.
	BusyTime time.Duration
}

const (
	// DrainGrace is the time after which a leaving target must get no new flows.
	DrainGrace = 5 * time.Second
	// coldNotice is the time for a report of a cold start to reach the target's holder, and for
	// requests that were on their way to arrive.
	coldNotice = 20 * time.Millisecond
)

// Stats returns the current counts.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	s := t.stats
	s.Name, s.Zone, s.Boot = t.opts.Name, t.opts.Zone, t.boot
	s.Up, s.Cold = t.up, t.cold(now)
	s.InUse, s.Capacity = len(t.work), t.capacity(now)
	s.Feeds, s.Connections = len(t.feeds), len(t.flows)
	return s
}
