package configcheck

import (
	"fmt"
	"net/netip"
	"strconv"

	"github.com/mangoweir/mangoweir/platform"
)

// checker collects the findings of one configuration.
type checker struct {
	*platform.CheckedConfig
	findings []Finding
}

// entry is a part of the configuration: a route, a service, or the whole. at has its name and the start of the paths of its fields.
type entry struct {
	checker *checker
	at      Finding
}

func (c *checker) route(i int) entry {
	return entry{c, Finding{Route: c.Routes[i].Name, Field: fmt.Sprintf("%s[%d].", platform.FieldRoutes, i)}}
}

func (c *checker) service(i int) entry {
	return entry{c, Finding{Service: c.Services[i].Name, Field: fmt.Sprintf("%s[%d].", platform.FieldServices, i)}}
}

// report adds a finding about a field.
func (e entry) report(severity Severity, field, remedy, format string, args ...any) {
	f := e.at
	f.Severity, f.Message, f.Remedy = severity, fmt.Sprintf(format, args...), remedy
	f.Field += field
	e.checker.findings = append(e.checker.findings, f)
}

func (e entry) reportNegative(field string, value float64) {
	if value < 0 {
		e.report(Error, field, "give 0 or more", "the value %v is negative", number(value))
	}
}

// number is printed without an exponent, as operators write it.
type number float64

// String returns the number.
func (n number) String() string { return strconv.FormatFloat(float64(n), 'f', -1, 64) }

// Check returns the findings of a configuration.
func Check(config *platform.CheckedConfig) []Finding {
	c := &checker{CheckedConfig: config}
	whole := entry{checker: c}
	if config.Version == 0 {
		whole.report(Error, platform.FieldVersion, "give a version above the one in force", "the configuration has no version")
	}
	names := c.checkServices()
	routeNames := map[string]bool{}
	for i := range config.Routes {
		name := config.Routes[i].Name
		switch {
		case name == "":
			c.route(i).report(Warning, platform.FieldName, "give it a name of its own, which logs show", "the route has no name")
		case routeNames[name]:
			c.route(i).report(Error, platform.FieldName, "give each route a name of its own", "an earlier route has the same name")
		}
		routeNames[name] = true
		c.checkRoute(i)
		c.checkBackends(i, names)
	}
	c.checkSharedAddresses()
	c.checkIdleTimeout(whole)
	c.checkObjectives()
	return c.findings
}

// checkServices checks the services and returns the set of their names.
func (c *checker) checkServices() map[string]bool {
	names, used := map[string]bool{}, map[string]bool{}
	for i := range c.Routes {
		used[c.Routes[i].Service] = true
		for _, b := range c.Routes[i].Backends {
			used[b.Service] = true
		}
	}
	for i, s := range c.Services {
		e := c.service(i)
		switch {
		case s.Name == "":
			e.report(Error, platform.FieldName, "give it a name of its own", "the service has no name")
		case names[s.Name]:
			e.report(Error, platform.FieldName, "give each service a name of its own", "an earlier service has the same name")
		case !used[s.Name]:
			e.report(Warning, platform.FieldName, "add a route or remove the service", "no route uses the service")
		}
		names[s.Name] = s.Name != ""
		e.reportNegative(platform.FieldColdStart, s.ColdStartS)
		e.reportNegative(platform.FieldColdRate, s.ColdPerS)
		if s.ColdStartS > 0 && s.ColdPerS == 0 {
			e.report(Warning, platform.FieldColdRate, "give the requests per second that a cold target sustains, or "+platform.FieldColdStart+" 0",
				"targets are cold for %v s without a cold rate", number(s.ColdStartS))
		}
		if s.ColdPerS > 0 && s.ColdStartS == 0 {
			e.report(Warning, platform.FieldColdStart, "give the duration of a cold start, or "+platform.FieldColdRate+" 0",
				"the cold rate %v has no effect, as targets are never cold", number(s.ColdPerS))
		}
	}
	return names
}

func (c *checker) checkRoute(i int) {
	e, r := c.route(i), &c.Routes[i]
	if ip, err := r.IP(); err != nil || !usable(ip) {
		e.report(Error, platform.FieldAddress, "give a unicast IPv4 address", "%q is not a usable address", r.Host)
	}
	if port, err := r.Port(); err != nil || port == 0 {
		e.report(Error, platform.FieldPort, `give a port from 1 to 65535, such as "/443/"`, "%q is not a usable port", r.PathPrefix)
	}
	e.reportNegative(platform.FieldPriority, float64(r.Priority))
	e.reportNegative(platform.FieldLatencyObjective, r.TargetLatencyMS)
	e.reportNegative(platform.FieldTimeout, r.TimeoutMS)
	if r.TimeoutMS > 0 && r.TargetLatencyMS > r.TimeoutMS {
		e.report(Warning, platform.FieldLatencyObjective, "give an objective within the time-out", "the latency objective %v ms is above %s %v",
			number(r.TargetLatencyMS), platform.FieldTimeout, number(r.TimeoutMS))
	}
}

// usable reports whether a route can have the address. Forwarders leave out routes with other than IPv4 addresses.
func usable(ip netip.Addr) bool {
	ip = ip.Unmap()
	return ip.Is4() && !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

// checkBackends checks the services of a route, given the names of all services, and their weights.
func (c *checker) checkBackends(i int, names map[string]bool) {
	e, r := c.route(i), &c.Routes[i]
	checkListed := func(field, name string) {
		if !names[name] {
			e.report(Error, field, "correct the name or add it to "+platform.FieldServices, "there is no service %q", name)
		}
	}
	total := 0.0
	for _, b := range r.Backends {
		total += max(float64(b.Weight), 0)
	}
	switch {
	case r.Service == "" && len(r.Backends) == 0:
		e.report(Error, platform.FieldService, "give "+platform.FieldService+" or "+platform.FieldBackends, "the route has no service")
	case r.Service == "" && total == 0:
		e.report(Error, platform.FieldBackends, "give at least one service a weight above 0", "no weight is above 0")
	case r.Service != "":
		checkListed(platform.FieldService, r.Service)
		if len(r.Backends) > 0 {
			e.report(Warning, platform.FieldService, "give one of them", "the route has %s as well, and the service counts with weight 1", platform.FieldBackends)
		}
	}
	for n, b := range r.Backends {
		field := fmt.Sprintf("%s[%d].", platform.FieldBackends, n)
		checkListed(field+platform.FieldService, b.Service)
		e.reportNegative(field+platform.FieldWeight, float64(b.Weight))
		if b.Weight == 0 && (total > 0 || r.Service != "") {
			e.report(Warning, field+platform.FieldWeight, "give a weight or remove the entry", "service %q gets no new flows, as its weight is 0", b.Service)
		}
	}
}
