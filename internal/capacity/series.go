package capacity

// Series is a cost that was measured at several sizes, with its fit.
type Series struct {
	// Group is the name of the group that measured the series, and Cost names what was measured. Per names
	// the size.
	Group  string  `json:"group"`
	Cost   string  `json:"cost"`
	Unit   string  `json:"unit"`
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// newSeries returns a series without points.
func newSeries(group, cost, unit, per string) *Series {
	return &Series{Group: group, Cost: cost, Unit: unit, Per: per}
}

func (s *Series) add(x, y float64) { s.Points = append(s.Points, Point{x, y}) }

// Group is a measurement that returns one or more series. Its name selects it on the command line.
type Group struct {
	Name        string
	Description string
	Run         func(seed uint64) []*Series
}

// Groups returns all groups in the order in which they run.
func Groups() []Group {
	return []Group{
		{"vms", "control cost against the VMs of one zone", measureVMs},
		{"zones", "control cost against the zones, 3 VMs each", measureZones},
		{"targets", "control cost against the targets of 8 VMs", measureTargets},
		{"services", "control cost against the services of 8 VMs", measureServices},
		{"changes", "control cost against configuration changes a minute, 8 VMs", measureChanges},
		{"losses", "control cost against VMs that fail and restart a minute, 9 VMs", measureLosses},
		{"zoneloss", "platform calls after the loss of one of three zones", measureZoneLoss},
		{"outage", "authority in an outage of the platform", measureOutage},
		{"force", "time until a change is in force against number of VMs, message loss and latency between zones", measureTimeInForce},
		{"single", "processor time of one Control against targets, members and VMs known", measureSingle},
		{"sizes", "size of messages and values", measureSizes},
		{"collisions", "32-bit target ids that collide", measureCollisions},
		{"links", "cost of idle peer links on loopback, in real time", measureLinks},
		{"memory", "memory per flow, target, VM and KB of configuration", measureMemory},
		{"manifest", "processor time of decoding and installing a manifest", measureManifest},
		{"packets", "processor time of a traffic shard per packet", measurePackets},
	}
}

// Measure runs a group and fits a line to each of its series.
func Measure(g Group, seed uint64) []*Series {
	all := g.Run(seed)
	for _, s := range all {
		s.Group = g.Name
		s.Fit, _ = FitLine(s.Points)
	}
	return all
}
