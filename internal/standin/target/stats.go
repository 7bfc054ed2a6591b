package target

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Stats has the counts of a target since Start. Restarts do not reset them.
type Stats struct {
	Name, Zone string
	Boot       uint64
	Up, Cold   bool
	// InUse is the number of requests in progress, and Capacity the number that the target can
	// process at a time now.
	InUse, Capacity    int
	Feeds, Connections int

	// Packets counts datagrams of clients; probes are not included.
	Packets uint64
	// Requests counts the requests that were started, by class.
	Requests [core.NumClasses]uint64
	// Answered counts requests that ran to completion, Expired those whose deadline passed first, and
	// Cancelled those that were cancelled first. Duplicates counts attempts that had arrived before.
	Answered, Shed, Cancelled, Expired, Duplicates, Notifications uint64
	UploadsDone, Crashes                                          uint64
	// StrayPackets counts packets for another service.
	StrayPackets uint64
	// PacketsWhileZoneOut counts packets that arrived more than core.ZoneOutGrace after the zone was
	// taken out of service.
	PacketsWhileZoneOut uint64
	// NewFlowsWhileDraining counts flows that began more than DrainGrace after the drain began.
	NewFlowsWhileDraining uint64
	// PeakInFlight is the highest number of requests in flight, including a request that was shed.
	// ColdPeakInFlight is the highest number during a cold start. ColdBreaches counts requests above the
	// capacity of the cold target.
	PeakInFlight, ColdPeakInFlight int
	ColdBreaches                   uint64
	// ColdBreachesAfterReport counts the breaches that occurred more than coldReportDelay after the
	// first answer that reported the cold start.
	ColdBreachesAfterReport uint64
	// BusyTime is the sum of the service times of requests that ran.
	BusyTime time.Duration
}

const (
	// DrainGrace is the time after the start of a drain in which a target may still get new flows.
	DrainGrace = 5 * time.Second
	// coldReportDelay is the time for a report of a cold start to reach the target's owner, and for
	// requests already in transit to arrive at the target.
	coldReportDelay = 20 * time.Millisecond
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
