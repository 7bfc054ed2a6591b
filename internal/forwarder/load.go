package forwarder

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core/admission"
	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/targetload"
	"github.com/mangoweir/mangoweir/internal/feed"
)

const (
	// loadInterval is how often the reader of a zone computes and sends the load of its targets.
	loadInterval = 250 * time.Millisecond
	// timePerLoadByte is the minimum time for each byte of a load until the next one, so that the loads that a VM receives stay
	// below 4 KB per second. A load with 64 targets has 0.7 KB, but many services and shares make it larger.
	timePerLoadByte = time.Second / 4000
	// maxLoadAge is the age from which a load has no effect: eight intervals. Tables and gates count as empty from then on.
	maxLoadAge = 2 * time.Second
	// capacityTimePerTarget is the minimum time for each target between two changes of the targets whose load is computed. Without
	// it, 76,000 targets that change four times a second would cost the reader 5% of a core (11.8 ms each).
	capacityTimePerTarget = 40 * time.Microsecond
	// loadIdleAfter is the time without reports after which a reader whose last load was empty computes none. The pool forgets
	// targets after the same time.
	loadIdleAfter = 10 * time.Second
)

// loadControl is the part of the control thread that pools load reports and distributes the load of targets. The zero
// value is ready to use.
type loadControl struct {
	// pool and controller are in use while this VM is the reader of its zone.
	pool       targetload.Pool
	controller admission.Controller
	// capacity is that of the snapshot in capacityOf. capacityDueAt is when that of a newer snapshot may be computed.
	capacity      loadCapacity
	capacityOf    *forward.Snapshot
	capacityDueAt time.Duration
	// priorities are the priorities of the routes to each service in the configuration prioritiesOf.
	priorities   map[string][]int
	prioritiesOf uint64
	// reportedAt is when the last report arrived, dueAt when the next load is due.
	reportedAt, dueAt time.Duration
	// sentNonEmpty is true if the load that was sent last was not empty.
	sentNonEmpty bool
	// computedAt is when the newest load that this VM has was computed, on the clock of this VM; 0 if there is none.
	computedAt time.Duration
	log        loadLog
}

// loadCapacity describes the targets that may get new flows.
type loadCapacity struct {
	// groups are the targets with their load groups: those of a service in a zone are compared with each other, and zones as a whole.
	groups targetload.Groups
	// groupNames contains the load groups of each service, that of the VM's own zone first if it has targets there.
	groupNames map[string][]string
	// services has the capacity in the VM's own zone by service, or that of all zones if the own zone has none.
	services map[string]serviceCapacity
}

type serviceCapacity struct{ targets, slots int }

func newLoadCapacity(snapshot *forward.Snapshot) loadCapacity {
	services := map[string]*forward.Service{}
	targets := 0
	for _, route := range snapshot.Routes {
		for _, backend := range route.Backends {
			if s := backend.Service; services[s.Name] == nil {
				services[s.Name] = s
				targets += len(s.Local) + len(s.Remote)
			}
		}
	}
	capacity := loadCapacity{
		groups: make(targetload.Groups, targets), groupNames: make(map[string][]string, len(services)), services: make(map[string]serviceCapacity, len(services)),
	}
	for name, s := range services {
		for _, pool := range [][]*forward.Target{s.Local, s.Remote} {
			for _, t := range pool {
				capacity.groups[targetload.ID(t.Token)] = targetload.Group{Service: t.LoadGroup, Slots: t.Slots}
				if !slices.Contains(capacity.groupNames[name], t.LoadGroup) {
					capacity.groupNames[name] = append(capacity.groupNames[name], t.LoadGroup)
				}
			}
		}
		own := serviceCapacity{len(s.Local), s.Slots.Local}
		if own.targets == 0 {
			own = serviceCapacity{len(s.Remote), s.Slots.Remote}
		}
		capacity.services[name] = own
	}
	return capacity
}

// updateCapacity takes over the targets of the newest snapshot. With many targets it does so less often.
func (l *loadControl) updateCapacity(snapshot *forward.Snapshot, now time.Duration) {
	if l.capacityOf == snapshot || l.capacityOf != nil && now < l.capacityDueAt {
		return
	}
	l.capacity, l.capacityOf = newLoadCapacity(snapshot), snapshot
	l.capacityDueAt = now + time.Duration(len(l.capacity.groups))*capacityTimePerTarget
}

// handleLoadReports handles reports about targets that this VM or a subscriber observed. The zone's reader pools them, and
// VMs that receive its feed send them on towards it, like failures of targets. Other VMs discard them.
func (c *control) handleLoadReports(reports feed.LoadReports) {
	c.metrics.loadMalformed.Add(reports.Malformed)
	if reports.Zone != c.settings.Zone {
		return
	}
	c.metrics.loadReports.Add(len(reports.Reports))
	switch {
	case c.state.Role == feed.Subscribed:
		c.source.ReportLoad(reports.Reports)
	case c.state.Role == feed.Reading && c.snapshot != nil:
		known := slices.DeleteFunc(slices.Clone(reports.Reports), func(r targetload.Report) bool { return c.target(r.ID) == nil })
		c.metrics.loadMalformed.Add(len(reports.Reports) - len(known))
		now := c.shared.clock.now()
		before, _ := c.load.pool.Discarded()
		c.load.pool.Add(known, now)
		after, _ := c.load.pool.Discarded()
		c.metrics.loadMalformed.Add(int(after - before))
		c.load.reportedAt = now
	}
}

// target returns a target of the newest snapshot, or nil.
func (c *control) target(id targetload.ID) *forward.Target {
	return c.snapshot.Targets[forward.Token(id)]
}

// resetLoad discards what this VM pooled, as it has just become the reader of its zone.
func (c *control) resetLoad() {
	c.load.pool, c.load.controller = targetload.Pool{}, admission.Controller{}
	c.load.reportedAt, c.load.sentNonEmpty = 0, false
}

// computesLoad reports whether this VM computes the load of its zone: it is the reader, and there is something to report.
func (c *control) computesLoad(now time.Duration) bool {
	reported := c.load.reportedAt > 0 && now-c.load.reportedAt <= loadIdleAfter
	return c.state.Role == feed.Reading && c.snapshot != nil && (reported || c.load.sentNonEmpty)
}

// updateLoad computes the load of the zone's targets if it is due, applies it and sends it to the subscribers: while it is not
// empty, and once when it has become empty.
func (c *control) updateLoad(now time.Duration) {
	if !c.computesLoad(now) || now < c.load.dueAt {
		return
	}
	c.load.dueAt = now + loadInterval
	c.load.updateCapacity(c.snapshot, now)
	summary := c.load.pool.Summarize(c.load.capacity.groups, now)
	policy := c.load.controller.Update(c.admissionLoads(&summary), now)
	load := feed.Load{Zone: c.settings.Zone, Summary: summary, Policy: policy}
	if load.Empty() && !c.load.sentNonEmpty {
		return
	}
	c.load.sentNonEmpty = !load.Empty()
	c.load.dueAt = now + max(loadInterval, time.Duration(load.Size())*timePerLoadByte)
	c.sendLoad(&load)
	c.publishLoad(&load, now)
}

// admissionLoads returns the load of the services with recent reports for the decision what to admit. Slowness and rejections are
// those of the own zone's targets, and those of the worst other zone if the own zone has no targets. The need of urgent requests is that of the
// zone's callers, wherever their flows go.
func (c *control) admissionLoads(summary *targetload.Summary) []admission.Load {
	byGroup := make(map[string]targetload.ServiceLoad, len(summary.Services))
	for _, s := range summary.Services {
		byGroup[s.Service] = s
	}
	var loads []admission.Load
	for service, groups := range c.load.capacity.groupNames {
		own := c.load.capacity.services[service]
		load := admission.Load{Service: service, Slots: float64(own.slots), Targets: own.targets, Priorities: c.priorities()[service]}
		ownGroup := forward.LoadGroup(service, c.settings.Zone)
		reported := false
		for _, name := range groups {
			group, ok := byGroup[name]
			if !ok {
				continue
			}
			reported = true
			load.UrgentSlots += group.UrgentSlots
			if name == ownGroup || groups[0] != ownGroup {
				load.Slowness, load.Rejected = max(load.Slowness, group.Slowness), max(load.Rejected, group.UrgentRejected)
			}
		}
		if reported {
			loads = append(loads, load)
		}
	}
	return loads
}

// priorities returns the priorities of the routes to each service.
func (c *control) priorities() map[string][]int {
	if version := c.registry.ConfigVersion(); c.load.priorities == nil || c.load.prioritiesOf != version {
		c.load.priorities, c.load.prioritiesOf = c.registry.Priorities(), version
	}
	return c.load.priorities
}

// sendLoad sends a load to the subscribers in this VM's zone. Others would ignore it.
func (c *control) sendLoad(load *feed.Load) {
	var recipients []*feed.Subscriber
	for _, sub := range c.subscribers {
		if sub.Zone == c.settings.Zone {
			recipients = append(recipients, sub)
		}
	}
	if len(recipients) > 0 {
		c.send(feed.Message{Load: load}, recipients...)
	}
}

// handleLoad applies the load that another VM sent and sends it to the subscribers. It ignores the load of another zone and
// one that is too old. It also ignores one that is not clearly newer than the one that it has, as two VMs that borrow from each
// other would exchange it endlessly: the estimated times of two copies of a load differ by milliseconds, those of two
// loads by loadInterval.
func (c *control) handleLoad(load *feed.Load, at time.Duration) {
	c.metrics.loadMalformed.Add(load.Malformed)
	now := c.shared.clock.now()
	repeated := c.load.computedAt > 0 && at-c.load.computedAt < loadInterval/2
	if load.Zone != c.settings.Zone || c.state.Role == feed.Reading || now-at > maxLoadAge || repeated || c.snapshot == nil {
		return
	}
	c.sendLoad(&feed.Load{Zone: load.Zone, Age: now - at, Summary: load.Summary, Policy: load.Policy})
	known, unknown := c.knownLoad(load)
	c.metrics.loadMalformed.Add(unknown)
	c.publishLoad(known, at)
}

// knownLoad returns a load without the entries of targets, services and priorities that this VM does not know, and their
// number. A share of the most urgent priority counts among them, as its flows are always admitted.
func (c *control) knownLoad(load *feed.Load) (*feed.Load, int) {
	c.load.updateCapacity(c.snapshot, c.shared.clock.now())
	priorities := c.priorities()
	service := func(name string) bool { return len(priorities[name]) > 0 }
	groups := map[string]bool{}
	for _, names := range c.load.capacity.groupNames {
		for _, name := range names {
			groups[name] = true
		}
	}
	known := &feed.Load{Zone: load.Zone}
	known.Summary.Targets = filter(load.Summary.Targets, func(t targetload.TargetLoad) bool { return c.target(t.ID) != nil })
	known.Summary.Services = filter(load.Summary.Services, func(s targetload.ServiceLoad) bool { return groups[s.Service] })
	known.Policy.Reservations = filter(load.Policy.Reservations, func(r admission.Reservation) bool { return service(r.Service) })
	known.Policy.Shares = filter(load.Policy.Shares, func(s admission.Share) bool { return slices.Index(priorities[s.Service], s.Priority) > 0 })
	return known, countEntries(load) - countEntries(known)
}

func filter[T any](all []T, keep func(T) bool) []T {
	return slices.DeleteFunc(slices.Clone(all), func(v T) bool { return !keep(v) })
}

func countEntries(l *feed.Load) int {
	return len(l.Summary.Targets) + len(l.Summary.Services) + len(l.Policy.Shares) + len(l.Policy.Reservations)
}

// publishLoad makes a load that was computed at a time available to the traffic thread, metrics and log.
func (c *control) publishLoad(load *feed.Load, at time.Duration) {
	c.load.computedAt = at
	table, gate := targetload.NewTable(load.Summary, at), admission.NewGate(load.Policy, at)
	c.metrics.loadMalformed.Add(table.Ignored() + gate.Malformed())
	c.shared.loadTable.Store(table)
	c.shared.gate.Store(gate)
	slow := c.load.log.update(c.log, load, c.target)
	c.shared.load.Store(&loadStatus{at: at, slowTargets: slow, shares: load.Policy.Shares})
	c.metrics.recordLoad(load, c.shared)
}
