package registry

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

// never is later than any time that a process reaches.
const never = time.Duration(1<<63 - 1)

// Snapshot returns a new snapshot if its contents have changed since the last call, else nil.
func (r *Registry) Snapshot(now time.Duration) *forward.Snapshot {
	if !r.changed && now < r.nextSnapshot {
		return nil
	}
	r.changed = false
	r.nextSnapshot = never
	r.discardOld(now)
	snapshot := &forward.Snapshot{
		ConfigVersion: r.ConfigVersion(),
		Routes:        map[forward.Endpoint]*forward.Route{},
		DroppedRoutes: maps.Clone(r.droppedRoutes),
		Targets:       make(map[forward.Token]*forward.Target, len(r.targets)+len(r.previous)),
		ZoneVMs:       len(r.members),

		UnreadableEntries: r.recentlyUnreadable(now),
	}
	services := r.addRoutes(snapshot)
	for _, inc := range r.previous {
		if r.successor(inc) == nil {
			r.addTarget(snapshot, inc, now)
		}
	}
	ids := slices.Sorted(maps.Keys(r.targets))
	for _, id := range ids {
		inc := r.targets[id]
		r.forgetEnd(inc, now)
		r.addTarget(snapshot, inc, now)
	}
	for _, id := range ids {
		inc := r.targets[id]
		// Another target with the same token may be in its place.
		t := snapshot.Targets[inc.name]
		if service := services[inc.target.Service]; service != nil && t.ID == id {
			r.addToPool(service, t, inc.ejectedUntil, now)
		}
	}
	r.addAliases(snapshot)
	for _, h := range r.held {
		r.scheduleSnapshot(h.until)
	}
	return snapshot
}

// addAliases maps the tokens of previous incarnations to the current incarnation with the same id. VMs with an earlier
// release, or with WriteIncarnationTokens, place flows under them, also after the target has restarted and before they have
// received that. The target itself resets the flows that ended with the previous incarnation.
func (r *Registry) addAliases(snapshot *forward.Snapshot) {
	for token, inc := range r.previous {
		next := r.successor(inc)
		if next == nil || snapshot.Targets[token] != nil {
			continue
		}
		if t := snapshot.Targets[next.token]; t != nil {
			snapshot.Targets[token] = t
		}
	}
}

// NextDue returns the time at which the next snapshot is due even without an update.
func (r *Registry) NextDue() time.Duration { return r.nextSnapshot }

// discardOld removes the targets whose retention is over.
func (r *Registry) discardOld(now time.Duration) {
	maps.DeleteFunc(r.previous, func(_ forward.Token, inc *incarnation) bool { return inc.discardable(now) })
	maps.DeleteFunc(r.targets, func(_ string, inc *incarnation) bool {
		if !inc.discardable(now) {
			return false
		}
		r.removeAddress(inc)
		return true
	})
}

// scheduleSnapshot makes a new snapshot due at the given time, unless one is due earlier.
func (r *Registry) scheduleSnapshot(at time.Duration) { r.nextSnapshot = min(r.nextSnapshot, at) }

// recentlyUnreadable returns the number of entries without usable content whose targets may be running. A running target
// writes its entry again with each heartbeat, so an older one does not count.
func (r *Registry) recentlyUnreadable(now time.Duration) int {
	n := 0
	count := func(at time.Duration) {
		if end := at + entryReturnTime; now < end {
			r.scheduleSnapshot(end)
			n++
		}
	}
	for _, at := range r.unreadable {
		count(at)
	}
	for _, u := range r.unconfigured {
		count(u.at)
	}
	return n
}

// addRoutes adds the routes of the configuration to a snapshot and returns the services by name.
func (r *Registry) addRoutes(snapshot *forward.Snapshot) map[string]*forward.Service {
	services := map[string]*forward.Service{}
	if r.config == nil {
		return services
	}
	snapshot.IdleTimeout = r.config.IdleTimeout
	priorities := r.Priorities()
	for i := range r.config.Services {
		s := &r.config.Services[i]
		services[s.Name] = &forward.Service{
			Name:        s.Name,
			Prioritized: len(priorities[s.Name]) > 1,
			ColdLimit:   s.ColdPerSecond*r.limits.ColdOverage + r.limits.ColdSlack,
		}
	}
	for i := range r.config.Routes {
		configured := &r.config.Routes[i]
		endpoint, ok := forward.NewEndpoint(configured.Addr)
		if !ok {
			continue
		}
		route := &forward.Route{Name: configured.Name, Priority: configured.Priority}
		route.LeastUrgent = r.config.leastUrgent(configured)
		route.SetLatencyObjective(configured.LatencyObjective, r.config.urgent(configured))
		for _, b := range configured.Backends {
			if s := services[b.Service]; s != nil && b.Weight > 0 {
				route.Backends = append(route.Backends, forward.Backend{Service: s, Weight: b.Weight})
				route.TotalWeight += b.Weight
			}
		}
		snapshot.Routes[endpoint] = route
	}
	return services
}

// urgent reports whether no route to the same services has a more urgent priority.
func (c *Config) urgent(route *Route) bool {
	for i := range c.Routes {
		other := &c.Routes[i]
		if other.Priority < route.Priority && sharesService(other.Backends, route.Backends) {
			return false
		}
	}
	return true
}

// leastUrgent reports whether another route to the same services has a more urgent priority, and none a less urgent one.
func (c *Config) leastUrgent(route *Route) bool {
	others := false
	for i := range c.Routes {
		other := &c.Routes[i]
		if other.Priority == route.Priority || !sharesService(other.Backends, route.Backends) {
			continue
		}
		if other.Priority > route.Priority {
			return false
		}
		others = true
	}
	return others
}

func sharesService(a, b []Backend) bool {
	return slices.ContainsFunc(a, func(x Backend) bool {
		return slices.ContainsFunc(b, func(y Backend) bool { return x.Service == y.Service })
	})
}

// addTarget adds a target to a snapshot. If another one that is in use has the same token, only the one that started first is in
// it: a target that starts must not get the packets of a running one.
func (r *Registry) addTarget(snapshot *forward.Snapshot, inc *incarnation, now time.Duration) {
	condition, nextChange := r.condition(inc, now)
	if nextChange > 0 {
		r.scheduleSnapshot(nextChange)
	}
	t := &forward.Target{
		ID: inc.id, NumericID: inc.target.NumericID, Addr: inc.target.Addr, Zone: inc.target.Zone, Service: inc.target.Service,
		Slots: inc.target.Slots, Token: inc.token, FlowToken: inc.name, Condition: condition, Listed: !inc.removed,
		ColdUntil: r.coldUntil(inc, now), LoadGroup: forward.LoadGroup(inc.target.Service, inc.target.Zone),
	}
	if r.limits.WriteIncarnationTokens {
		t.FlowToken = inc.token
	}
	if other := snapshot.Targets[inc.name]; other != nil && inUse(other) {
		first := r.targets[other.ID]
		if !inUse(t) || first == nil || inc.startedAfter(first) {
			return
		}
		delete(snapshot.Targets, other.Token)
	}
	snapshot.Targets[inc.name], snapshot.Targets[inc.token] = t, t
}

// inUse reports whether packets may go to a target.
func inUse(t *forward.Target) bool {
	return t.Condition != forward.Gone && t.Condition != forward.Exited
}

// coldUntil returns the end of a target's cold start: the latest according to its entry, an observation and
// the return of its zone.
func (r *Registry) coldUntil(inc *incarnation, now time.Duration) time.Duration {
	until := max(inc.coldUntil, r.observedColdUntil(inc))
	if returned, ok := r.returningZones[inc.target.Zone]; ok {
		switch {
		case r.asOf[Targets].Before(returned.revision):
			// The targets were last read before the zone was taken back.
			until = max(until, now+r.zoneColdTime())
		case now < returned.at+r.zoneColdTime() && !r.entriesRenewed(returned):
			until = max(until, returned.at+r.zoneColdTime())
		default:
			delete(r.returningZones, inc.target.Zone)
		}
	}
	return until
}

// addToPool adds a target to the pool from which its service may give it new flows, if any.
func (r *Registry) addToPool(service *forward.Service, target *forward.Target, ejectedUntil, now time.Duration) {
	if _, out := r.zonesOut[target.Zone]; out {
		return
	}
	cold := now < target.ColdUntil
	if cold {
		r.scheduleSnapshot(target.ColdUntil)
	}
	switch {
	case target.Condition == forward.Expired && !cold:
		service.Expired = append(service.Expired, target)
	case target.Condition != forward.Ready:
	case now < ejectedUntil:
		r.scheduleSnapshot(ejectedUntil)
		if !cold {
			service.Ejected = append(service.Ejected, target)
		}
	case cold && target.Zone == r.zone:
		target.ColdShare = forward.ColdShare(r.self, r.members, target.Token, service.ColdLimit)
		service.Cold = append(service.Cold, target)
		service.Slots.Cold += target.Slots
	case cold:
		// Only VMs of the target's own zone place flows on it, and share its budget.
		service.Slots.RemoteCold += target.Slots
	case target.Zone == r.zone:
		service.Local = append(service.Local, target)
		service.Slots.Local += target.Slots
	default:
		service.Remote = append(service.Remote, target)
		service.Slots.Remote += target.Slots
	}
}
