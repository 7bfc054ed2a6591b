package configcheck

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/mangoweir/mangoweir/platform"
)

// sharedAddresses finds routes with the address of a later one. Forwarders keep the last route of an address (core/registry).
func (c *checker) sharedAddresses() {
	last := map[netip.AddrPort]int{}
	for i := len(c.config.Routes) - 1; i >= 0; i-- {
		route := &c.config.Routes[i]
		ip, ipErr := route.IP()
		port, portErr := route.Port()
		if ipErr != nil || portErr != nil {
			continue
		}
		addr := netip.AddrPortFrom(ip.Unmap(), port)
		if later, ok := last[addr]; ok {
			c.addRoute(Warning, i, platform.FieldAddress, fmt.Sprintf("the route never matches: %s[%d], route %s, is later and has the same address %s",
				platform.FieldRoutes, later, c.config.Routes[later].Name, addr), "give it another address or port, or remove it")
			continue
		}
		last[addr] = i
	}
}

// limits finds durations that contradict each other. Durations of 0 mean that there is no limit.
func (c *checker) limits() {
	idle := float64(c.config.Limits.IdleTimeoutMS)
	field := platform.FieldLimits + "." + platform.FieldIdleTimeout
	if idle < 0 {
		c.add(Error, field, fmt.Sprintf("the duration %s ms is negative", number(idle)), "give 0 or more milliseconds")
	}
	// One finding for all routes, as an idle time-out that is too short concerns most of them.
	above, longest, example := 0, 0.0, ""
	for i := range c.config.Routes {
		route := &c.config.Routes[i]
		if route.TimeoutMS > 0 && route.TargetLatencyMS > route.TimeoutMS {
			c.addRoute(Warning, i, platform.FieldLatencyObjective, fmt.Sprintf("the latency objective %s ms is above %s %s",
				number(route.TargetLatencyMS), platform.FieldTimeout, number(route.TimeoutMS)), "give an objective within the time-out")
		}
		limit, name := route.TimeoutMS, platform.FieldTimeout
		if route.TargetLatencyMS > limit {
			limit, name = route.TargetLatencyMS, platform.FieldLatencyObjective
		}
		if idle <= 0 || limit <= idle {
			continue
		}
		above++
		if limit > longest {
			longest, example = limit, fmt.Sprintf("%s %s of route %s", name, number(limit), route.Name)
		}
	}
	if above > 0 {
		c.add(Warning, field, fmt.Sprintf("flows may be discarded before a response: the idle time-out %s ms is below limits of %d routes, at most %s", number(idle), above, example),
			"give an idle time-out that is not below the limits of routes")
	}
}

// priorities finds routes with a longer latency objective than a less urgent route to the same service. Routes without an
// objective are not compared. There is at most one finding for each route.
func (c *checker) priorities() {
	byService := map[string][]int{}
	for i := range c.config.Routes {
		route := &c.config.Routes[i]
		if route.TargetLatencyMS <= 0 {
			continue
		}
		names := map[string]bool{}
		if route.Service != "" {
			names[route.Service] = true
		}
		for _, b := range route.Backends {
			if b.Weight > 0 {
				names[b.Service] = true
			}
		}
		for name := range names {
			byService[name] = append(byService[name], i)
		}
	}
	// contradicting is the route with the shortest objective that contradicts a route, by the index of the latter.
	contradicting := map[int]int{}
	for _, indexes := range byService {
		c.contradictions(indexes, contradicting)
	}
	for i := range c.config.Routes {
		other, ok := contradicting[i]
		if !ok {
			continue
		}
		route, less := &c.config.Routes[i], &c.config.Routes[other]
		c.addRoute(Warning, i, platform.FieldLatencyObjective, fmt.Sprintf(
			"the latency objective %s ms of priority %d is above that of route %s, %s ms, with the less urgent priority %d and the same service",
			number(route.TargetLatencyMS), route.Priority, less.Name, number(less.TargetLatencyMS), less.Priority), "exchange the priorities or correct an objective")
	}
}

// contradictions adds the contradictions among the routes to one service.
func (c *checker) contradictions(indexes []int, contradicting map[int]int) {
	routes := c.config.Routes
	shorter := func(a, b int) bool {
		order := cmp.Or(cmp.Compare(routes[a].TargetLatencyMS, routes[b].TargetLatencyMS), cmp.Compare(a, b))
		return order < 0
	}
	// The least urgent routes come first. shortest is the one with the shortest objective of those before the current priority.
	slices.SortFunc(indexes, func(a, b int) int {
		return cmp.Or(cmp.Compare(routes[b].Priority, routes[a].Priority), cmp.Compare(a, b))
	})
	shortest, next := -1, -1
	for n, i := range indexes {
		if n > 0 && routes[i].Priority != routes[indexes[n-1]].Priority {
			shortest = next
		}
		if next < 0 || shorter(i, next) {
			next = i
		}
		if shortest < 0 || routes[shortest].TargetLatencyMS >= routes[i].TargetLatencyMS {
			continue
		}
		if other, ok := contradicting[i]; !ok || shorter(shortest, other) {
			contradicting[i] = shortest
		}
	}
}
