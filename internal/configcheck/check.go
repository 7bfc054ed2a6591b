package configcheck

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/mangoweir/mangoweir/platform"
)

// checker collects the findings of one configuration.
type checker struct {
	config   *platform.CheckedConfig
	findings []Finding
	// routeNames has the index of the first route with a name.
	routeNames map[string]int
}

// Check returns the findings of a configuration, errors and warnings in the order of its entries.
func Check(config *platform.CheckedConfig) []Finding {
	c := &checker{config: config, routeNames: map[string]int{}}
	if config.Version == 0 {
		c.add(Error, platform.FieldVersion, "the configuration has no version", "give a version above the one in force")
	}
	services := c.services()
	for i := range config.Routes {
		c.route(i, services)
	}
	c.sharedAddresses()
	c.limits()
	c.priorities()
	return c.findings
}

func (c *checker) add(severity Severity, field, message, remedy string) {
	c.findings = append(c.findings, Finding{Severity: severity, Field: field, Message: message, Remedy: remedy})
}

// addRoute adds a finding about a field of the route with an index. field is empty for the route itself.
func (c *checker) addRoute(severity Severity, index int, field, message, remedy string) {
	c.add(severity, path(platform.FieldRoutes, index, field), message, remedy)
	c.findings[len(c.findings)-1].Route = c.config.Routes[index].Name
}

func (c *checker) addService(severity Severity, index int, field, message, remedy string) {
	c.add(severity, path(platform.FieldServices, index, field), message, remedy)
	c.findings[len(c.findings)-1].Service = c.config.Services[index].Name
}

// number returns a number without an exponent, as operators write it.
func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// path returns the path of a field of the entry with an index in a list.
func path(list string, index int, field string) string {
	return strings.TrimSuffix(fmt.Sprintf("%s[%d].%s", list, index, field), ".")
}

// services checks the services and returns the set of their names.
func (c *checker) services() map[string]bool {
	used := map[string]bool{}
	for i := range c.config.Routes {
		route := &c.config.Routes[i]
		used[route.Service] = true
		for _, b := range route.Backends {
			used[b.Service] = true
		}
	}
	names := map[string]bool{}
	for i, s := range c.config.Services {
		switch {
		case s.Name == "":
			c.addService(Error, i, platform.FieldName, "the service has no name", "give it a name of its own")
		case names[s.Name]:
			c.addService(Error, i, platform.FieldName, "an earlier service has the same name", "give each service a name of its own")
		case !used[s.Name]:
			c.addService(Warning, i, platform.FieldName, "no route uses the service", "add a route or remove the service")
		}
		names[s.Name] = true
		c.coldStart(i)
	}
	delete(names, "")
	return names
}

func (c *checker) coldStart(index int) {
	s := &c.config.Services[index]
	if s.ColdStartS < 0 {
		c.addService(Error, index, platform.FieldColdStart, fmt.Sprintf("the duration %s s is negative", number(s.ColdStartS)), "give 0 or more seconds")
	}
	if s.ColdPerS < 0 {
		c.addService(Error, index, platform.FieldColdRate, fmt.Sprintf("the rate %s is negative", number(s.ColdPerS)), "give 0 or more requests per second")
	}
	if s.ColdStartS > 0 && s.ColdPerS == 0 {
		c.addService(Warning, index, platform.FieldColdRate, fmt.Sprintf("targets are cold for %s s without a cold rate", number(s.ColdStartS)),
			"give the requests per second that a cold target sustains, or "+platform.FieldColdStart+" 0")
	}
	if s.ColdPerS > 0 && s.ColdStartS == 0 {
		c.addService(Warning, index, platform.FieldColdStart, fmt.Sprintf("the cold rate %s has no effect, as targets are never cold", number(s.ColdPerS)),
			"give the duration of a cold start, or "+platform.FieldColdRate+" 0")
	}
}

// route checks the route with an index by itself.
func (c *checker) route(index int, services map[string]bool) {
	route := &c.config.Routes[index]
	if route.Name == "" {
		c.addRoute(Warning, index, platform.FieldName, "the route has no name", "give it a name of its own, which logs show")
	}
	if first, ok := c.routeNames[route.Name]; ok && route.Name != "" {
		c.addRoute(Error, index, platform.FieldName, fmt.Sprintf("%s[%d] has the same name", platform.FieldRoutes, first), "give each route a name of its own")
	} else {
		c.routeNames[route.Name] = index
	}
	if ip, err := route.IP(); err != nil {
		c.addRoute(Error, index, platform.FieldAddress, err.Error(), "give an IPv4 address")
	} else if !usable(ip) {
		c.addRoute(Error, index, platform.FieldAddress, fmt.Sprintf("%s is not a usable address", ip), "give a unicast IPv4 address")
	}
	if port, err := route.Port(); err != nil || port == 0 {
		c.addRoute(Error, index, platform.FieldPort, fmt.Sprintf("%q is not a usable port", route.PathPrefix), `give a port from 1 to 65535, such as "/443/"`)
	}
	c.backends(index, services)
	if route.Priority < 0 {
		c.addRoute(Error, index, platform.FieldPriority, fmt.Sprintf("the priority %d is negative", route.Priority), "give 0 for the most urgent requests")
	}
	if route.TargetLatencyMS < 0 {
		c.addRoute(Error, index, platform.FieldLatencyObjective, fmt.Sprintf("the duration %s ms is negative", number(route.TargetLatencyMS)), "give 0 or more milliseconds")
	}
	if route.TimeoutMS < 0 {
		c.addRoute(Error, index, platform.FieldTimeout, fmt.Sprintf("the duration %s ms is negative", number(route.TimeoutMS)), "give 0 or more milliseconds")
	}
}

// usable reports whether a route can have the address. Forwarders leave out routes with other than IPv4 addresses.
func usable(ip netip.Addr) bool {
	ip = ip.Unmap()
	return ip.Is4() && !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

// backends checks the services of a route and their weights.
func (c *checker) backends(index int, services map[string]bool) {
	route := &c.config.Routes[index]
	unlisted := func(field, name string) {
		if !services[name] {
			c.addRoute(Error, index, field, fmt.Sprintf("there is no service %q", name), "correct the name or add it to "+platform.FieldServices)
		}
	}
	switch {
	case route.Service == "" && len(route.Backends) == 0:
		c.addRoute(Error, index, platform.FieldService, "the route has no service", "give "+platform.FieldService+" or "+platform.FieldBackends)
		return
	case route.Service != "" && len(route.Backends) > 0:
		c.addRoute(Warning, index, platform.FieldService, "the route has both a service, which counts with weight 1, and "+platform.FieldBackends, "give one of them")
	}
	total := 0.0
	if route.Service != "" {
		unlisted(platform.FieldService, route.Service)
		total = 1
	}
	for _, b := range route.Backends {
		total += max(float64(b.Weight), 0)
	}
	if total == 0 {
		c.addRoute(Error, index, platform.FieldBackends, "no weight is above 0", "give at least one service a weight above 0")
	}
	for i, b := range route.Backends {
		entry := path(platform.FieldBackends, i, "")
		unlisted(entry+"."+platform.FieldService, b.Service)
		switch {
		case b.Weight < 0:
			c.addRoute(Error, index, entry+"."+platform.FieldWeight, fmt.Sprintf("the weight %d is negative", b.Weight), "give 0 or more")
		case b.Weight == 0 && total > 0:
			c.addRoute(Warning, index, entry+"."+platform.FieldWeight, fmt.Sprintf("service %q gets no new flows, as its weight is 0", b.Service), "give a weight or remove the entry")
		}
	}
}
