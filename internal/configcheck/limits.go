package configcheck

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/mangoweir/mangoweir/platform"
)

// checkSharedAddresses finds routes with the address of a later one. Forwarders use the last route of an address (core/registry).
func (c *checker) checkSharedAddresses() {
	last := map[netip.AddrPort]int{}
	for i := len(c.Routes) - 1; i >= 0; i-- {
		ip, ipErr := c.Routes[i].IP()
		port, portErr := c.Routes[i].Port()
		if ipErr != nil || portErr != nil {
			continue
		}
		addr := netip.AddrPortFrom(ip.Unmap(), port)
		if later, ok := last[addr]; ok {
			c.route(i).report(Warning, platform.FieldAddress, "give it another address or port, or remove it",
				"the route never matches, as the later route %s (%s[%d]) has the same address %s", c.Routes[later].Name, platform.FieldRoutes, later, addr)
			continue
		}
		last[addr] = i
	}
}

// checkIdleTimeout compares the idle time-out with limits of routes; 0 means that there is no limit. There is one finding for all
// routes, as an idle time-out that is too short concerns most of them.
func (c *checker) checkIdleTimeout(whole entry) {
	field := platform.FieldLimits + "." + platform.FieldIdleTimeout
	idle := float64(c.Limits.IdleTimeoutMS)
	whole.reportNegative(field, idle)
	above, longest, example := 0, 0.0, ""
	for i := range c.Routes {
		r := &c.Routes[i]
		limit, name := r.TimeoutMS, platform.FieldTimeout
		if r.TargetLatencyMS > limit {
			limit, name = r.TargetLatencyMS, platform.FieldLatencyObjective
		}
		if limit > idle {
			above++
		}
		if limit > longest {
			longest, example = limit, fmt.Sprintf("%s %v of route %s", name, number(limit), r.Name)
		}
	}
	if idle > 0 && above > 0 {
		whole.report(Warning, field, "give an idle time-out that is not below the limits of routes",
			"flows may be discarded before a response, as %v ms is below limits of %d routes, at most %s", number(idle), above, example)
	}
}

// checkObjectives finds routes with a longer latency objective than a less urgent route to the same service. Routes without an
// objective are not compared. There is at most one finding for each route.
func (c *checker) checkObjectives() {
	for i := range c.Routes {
		r := &c.Routes[i]
		less := slices.IndexFunc(c.Routes, func(other platform.CheckedRoute) bool {
			return r.Priority < other.Priority && other.TargetLatencyMS > 0 && r.TargetLatencyMS > other.TargetLatencyMS && sharesService(r, &other)
		})
		if less >= 0 {
			other := &c.Routes[less]
			c.route(i).report(Warning, platform.FieldLatencyObjective, "exchange the priorities or correct an objective",
				"the latency objective %v ms is above the %v ms of route %s to the same service, whose priority %d is less urgent than %d",
				number(r.TargetLatencyMS), number(other.TargetLatencyMS), other.Name, other.Priority, r.Priority)
		}
	}
}

// sharesService reports whether two routes send new flows to the same service.
func sharesService(a, b *platform.CheckedRoute) bool {
	return slices.ContainsFunc(servicesOf(a), func(name string) bool { return slices.Contains(servicesOf(b), name) })
}

func servicesOf(r *platform.CheckedRoute) []string {
	var names []string
	if r.Service != "" {
		names = append(names, r.Service)
	}
	for _, b := range r.Backends {
		if b.Weight > 0 {
			names = append(names, b.Service)
		}
	}
	return names
}
