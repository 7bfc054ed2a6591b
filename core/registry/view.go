package registry

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

// never is later than any time of a process.
const never = time.Duration(1<<63 - 1)

// Snapshot returns a new view when what it holds has changed since the last call, else nil.
func (r *Registry) Snapshot(now time.Duration) *forward.Snapshot {
	if !r.dirty && now < r.nextDue {
		return nil
	}
	r.dirty = false
	r.nextDue = never
	r.forget(now)
	v := &forward.Snapshot{
		ConfigVersion: r.ConfigVersion(),
		Routes:        map[forward.Endpoint]*forward.Route{},
		DroppedRoutes: maps.Clone(r.dropped),
		Targets:       make(map[forward.Token]*forward.Target, len(r.targets)+len(r.former)),
		ZoneVMs:       r.zoneVMs,

		UnreadableEntries: r.recentlyUnreadable(now),
	}
	services := r.addRoutes(v)
	for _, e := range r.former {
		if r.successor(e) == nil {
			r.addTarget(v, nil, e, now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.targets)) {
		r.addTarget(v, services, r.targets[id], now)
	}
	r.addAliases(v)
	return v
}

// addAliases lets the tokens of former lifetimes lead to those that followed under the same id. A VM
// that had not heard of the new lifetime may have placed flows on it under the old token, since a target
// goes by its id alone. The target itself resets the flows that ended with the old lifetime.
func (r *Registry) addAliases(v *forward.Snapshot) {
	for token, e := range r.former {
		next := r.successor(e)
		if next == nil || v.Targets[token] != nil {
			continue
		}
		if t := v.Targets[next.token]; t != nil {
			v.Targets[token] = t
		}
	}
}

// NextDue returns the time at which the next view is due without any update.
func (r *Registry) NextDue() time.Duration { return r.nextDue }

// forget drops targets that have been gone for long.
func (r *Registry) forget(now time.Duration) {
	maps.DeleteFunc(r.former, func(_ forward.Token, e *entry) bool { return e.forgettable(now) })
	maps.DeleteFunc(r.targets, func(_ string, e *entry) bool { return e.forgettable(now) })
	maps.DeleteFunc(r.addresses, func(_ netip.AddrPort, e *entry) bool { return e.forgettable(now) })
}

// due asks for a new view at the given time.
func (r *Registry) due(at time.Duration) { r.nextDue = min(r.nextDue, at) }

// recentlyUnreadable returns the number of unreadable entries that may be those of living targets: these
// write their entries anew with each heartbeat.
func (r *Registry) recentlyUnreadable(now time.Duration) int {
	n := 0
	for _, at := range r.unreadable {
		if end := at + lapseReturn; now < end {
			r.due(end)
			n++
		}
	}
	return n
}

// addRoutes adds the routes of the configuration and returns its services.
func (r *Registry) addRoutes(v *forward.Snapshot) map[string]*forward.Service {
	services := map[string]*forward.Service{}
	if r.config == nil {
		return services
	}
	v.IdleTimeout = r.config.IdleTimeout
	for i := range r.config.Services {
		s := &r.config.Services[i]
		services[s.Name] = &forward.Service{
			Name:      s.Name,
			ColdLimit: s.ColdPerSecond*r.limits.ColdOverage + r.limits.ColdSlack,
		}
	}
	for i := range r.config.Routes {
		in := &r.config.Routes[i]
		at, ok := forward.NewEndpoint(in.Addr)
		if !ok {
			continue
		}
		route := &forward.Route{Name: in.Name}
		for _, b := range in.Backends {
			if s := services[b.Service]; s != nil && b.Weight > 0 {
				route.Backends = append(route.Backends, forward.Backend{Service: s, Weight: b.Weight})
				route.TotalWeight += b.Weight
			}
		}
		v.Routes[at] = route
	}
	return services
}

// addTarget adds a target to the view and to its service's pools.
func (r *Registry) addTarget(v *forward.Snapshot, services map[string]*forward.Service, e *entry, now time.Duration) {
	condition, changes := e.condition(now)
	if changes > 0 {
		r.due(changes)
	}
	t := &forward.Target{
		ID: e.id, NumericID: e.target.NumericID, Addr: e.target.Addr, Zone: e.target.Zone, Service: e.target.Service,
		Slots: e.target.Slots, Token: e.token, Condition: condition, Listed: !e.removed, ColdUntil: r.coldUntil(e, now),
	}
	if other := v.Targets[e.token]; other != nil {
		// Two lifetimes with one token: the one that is in use keeps it, and the other gets no flows.
		if other.Condition != forward.Gone && other.Condition != forward.Exited {
			return
		}
	}
	v.Targets[e.token] = t
	if s := services[t.Service]; s != nil {
		r.pool(s, t, now)
	}
}

// coldUntil returns the end of a target's cold start, also if only its zone's return or an
// observation tells it.
func (r *Registry) coldUntil(e *entry, now time.Duration) time.Duration {
	until := max(e.coldUntil, r.warmAfterReturn(e))
	if back, ok := r.returning[e.target.Zone]; ok {
		switch {
		case r.asOf[Targets] < back.revision:
			// The targets were last read before the zone came back.
			until = max(until, now+r.returnDelay())
		case now < back.until:
			until = max(until, back.until)
		default:
			delete(r.returning, e.target.Zone)
		}
	}
	return until
}

// pool adds a target to the pool of its service that new flows may use it from, if any.
func (r *Registry) pool(s *forward.Service, t *forward.Target, now time.Duration) {
	if _, out := r.zonesOut[t.Zone]; out {
		return
	}
	cold := now < t.ColdUntil
	if cold {
		r.due(t.ColdUntil)
	}
	switch {
	case t.Condition == forward.Expired && !cold:
		s.Expired = append(s.Expired, t)
	case t.Condition != forward.Ready:
	case cold && t.Zone == r.zone:
		s.Cold = append(s.Cold, t)
	case cold:
		// VMs of the target's own zone share out its budget.
	case t.Zone == r.zone:
		s.Local = append(s.Local, t)
	default:
		s.Remote = append(s.Remote, t)
	}
}
