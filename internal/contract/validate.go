package contract

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// Bounds of a manifest's numbers.
const (
	// maxSlots is the largest count that load reports and heartbeats can carry.
	maxSlots = math.MaxUint16
	// maxConnections keeps sums over a service's targets far from overflow.
	maxConnections = 10_000_000
	// maxQueue bounds the memory that waiting requests of one target take.
	maxQueue = 65_536
	// maxWeight keeps rendezvous scores well within the precision of a float64.
	maxWeight = 1000
	// maxPeriod bounds ramp and drain times; anything longer is a mistaken unit.
	maxPeriod = 24 * time.Hour
)

// validator checks the rules that go beyond types.
type validator struct {
	doc      *jsonc.Document
	m        *Manifest
	zones    map[string]bool
	services map[string]int
	ids      map[core.ServiceID]string
	targets  map[core.TargetID]string
	addrs    map[netip.AddrPort]string
}

func (v *validator) run() {
	v.zones = map[string]bool{}
	v.services = map[string]int{}
	v.ids = map[core.ServiceID]string{}
	v.targets = map[core.TargetID]string{}
	v.addrs = map[netip.AddrPort]string{}
	v.name(jsonc.Path{"deployment"}, v.m.Deployment)
	v.allZones()
	v.allServices()
	v.generated()
}

// report adds a problem unless decoding already complained about the value.
func (v *validator) report(path jsonc.Path, message, remedy string) {
	if !v.doc.HasWrongType(path) {
		v.doc.Report(path, message, remedy)
	}
}

func (v *validator) allZones() {
	path := jsonc.Path{"zones"}
	if len(v.m.Zones) == 0 {
		v.report(path, "no zone is declared", "declare at least one zone")
	}
	for i := range v.m.Zones {
		z, at := &v.m.Zones[i], path.Index(i)
		if v.name(at.Field("name"), z.Name) && v.zones[z.Name] {
			v.report(at.Field("name"), "the zone is declared twice", "give each zone a name of its own")
		}
		v.zones[z.Name] = true
		if z.State != nil && *z.State != ZoneIn && *z.State != ZoneOut {
			v.report(at.Field("state"), "unknown state of a zone", `use "in" or "out"`)
		}
	}
}

func (v *validator) allServices() {
	path := jsonc.Path{"services"}
	if len(v.m.Services) == 0 {
		v.report(path, "no service is declared", "declare at least one service")
	}
	for i := range v.m.Services {
		v.service(path.Index(i), &v.m.Services[i])
	}
}

func (v *validator) service(at jsonc.Path, s *Service) {
	if v.name(at.Field("name"), s.Name) {
		id := core.NewServiceID(s.Name)
		switch former, taken := v.ids[id]; {
		case taken && former == s.Name:
			v.report(at.Field("name"), "the service is declared twice", "give each service a name of its own")
		case taken:
			v.report(at.Field("name"), fmt.Sprintf("the name has the same id as service %s", former),
				"choose another name")
		}
		v.ids[id] = s.Name
	}
	v.address(at.Field("address"), s.Address, "service "+s.Name)
	v.contract(at.Field("contract"), &s.Contract)
	if len(s.Targets) == 0 {
		v.report(at.Field("targets"), "the service has no target", "declare at least one target")
	}
	names := make(map[string]bool, len(s.Targets))
	for i := range s.Targets {
		v.target(at.Field("targets").Index(i), s, &s.Targets[i], names)
	}
}

func (v *validator) target(at jsonc.Path, s *Service, t *Target, names map[string]bool) {
	full := s.Name + "/" + t.Name
	if v.name(at.Field("name"), t.Name) {
		v.targetName(at.Field("name"), s, t, names)
	}
	if t.Instance != "" {
		v.name(at.Field("instance"), t.Instance)
	}
	v.address(at.Field("address"), t.Address, "target "+full)
	if !v.zones[t.Zone] && !v.doc.HasWrongType(jsonc.Path{"zones"}) {
		v.report(at.Field("zone"), "the zone is not declared", "use a name from zones")
	}
	v.count(at.Field("slots"), t.Slots, maxSlots)
	v.count(at.Field("connections"), t.Connections, maxConnections)
	if w := t.Weight; w != nil && !(*w >= 0 && *w <= maxWeight) {
		v.report(at.Field("weight"), "the weight is out of range", fmt.Sprintf("use 0 to %d", maxWeight))
	}
	if t.State != nil && *t.State != TargetActive && *t.State != TargetDraining {
		v.report(at.Field("state"), "unknown state of a target", `use "active" or "draining"`)
	}
	if c := s.Contract.ColdLimit; c != nil && t.Slots > 0 && *c > t.Slots {
		v.report(at.Field("slots"), fmt.Sprintf("fewer slots than the service's coldLimit of %d", *c),
			"lower coldLimit or raise slots")
	}
}

func (v *validator) targetName(at jsonc.Path, s *Service, t *Target, names map[string]bool) {
	if names[t.Name] {
		v.report(at, "the service has two targets of this name", "give each target a name of its own")
		return
	}
	names[t.Name] = true
	id := core.NewTargetID(s.Name, t.Name, t.Instance)
	if former, taken := v.targets[id]; taken {
		v.report(at, fmt.Sprintf("the target has the same id as target %s", former),
			"choose another name or instance")
	}
	v.targets[id] = s.Name + "/" + t.Name
}

func (v *validator) contract(at jsonc.Path, c *Contract) {
	if c.ColdLimit != nil {
		v.count(at.Field("coldLimit"), *c.ColdLimit, maxSlots)
	}
	if c.QueueLimit != nil {
		v.count(at.Field("queueLimit"), *c.QueueLimit, maxQueue)
	}
	v.period(at.Field("ramp"), c.Ramp, maxPeriod)
	v.period(at.Field("drain"), c.Drain, maxPeriod)
	v.period(at.Field("defaultDeadline"), c.DefaultDeadline, core.MaxDeadline)
	wait := at.Field("maxWait")
	v.period(wait.Field("feed"), c.MaxWait.Feed, core.MaxDeadline)
	v.period(wait.Field("read"), c.MaxWait.Read, core.MaxDeadline)
	v.period(wait.Field("posting"), c.MaxWait.Posting, core.MaxDeadline)
	v.period(wait.Field("upload"), c.MaxWait.Upload, core.MaxDeadline)
}

func (v *validator) generated() {
	if v.m.Generated == nil {
		return
	}
	path := jsonc.Path{"generated", "left"}
	for i, l := range v.m.Generated.Released {
		if _, err := netip.ParseAddrPort(l.Address); err != nil {
			v.report(path.Index(i).Field("address"), "no IP address and port",
				"remove the field generated, apply writes it anew")
		}
	}
}

// namePattern is what names of deployments, zones, services, targets and instances have to match.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// name checks a name and reports whether it is valid.
func (v *validator) name(at jsonc.Path, name string) bool {
	if namePattern.MatchString(name) {
		return true
	}
	message := "no valid name"
	if name == "" {
		message = "the name is missing or empty"
	}
	v.report(at, message, "use up to 63 lower-case letters, digits, '.', '-' or '_' between letters or digits")
	return false
}

// address checks the address of a service or target and that nothing else has it.
func (v *validator) address(at jsonc.Path, text, owner string) {
	const remedy = `give a unicast IP address and a port, such as "10.0.0.1:5683"`
	addr, err := parseAddress(text)
	switch {
	case text == "":
		v.report(at, "the address is missing", remedy)
		return
	case err != nil:
		v.report(at, "no usable address", remedy)
		return
	}
	if former, taken := v.addrs[addr]; taken {
		v.report(at, "the address belongs to "+former, "give each service and target an address of its own")
		return
	}
	v.addrs[addr] = owner
}

// count checks a number that has to be at least 1.
func (v *validator) count(at jsonc.Path, n, limit int) {
	if n < 1 || n > limit {
		v.report(at, "the number is missing or out of range", fmt.Sprintf("use 1 to %d", limit))
	}
}

// period checks a duration that has to be above zero, if it is given.
func (v *validator) period(at jsonc.Path, d *jsonc.Duration, limit time.Duration) {
	if d == nil {
		return
	}
	if *d <= 0 || time.Duration(*d) > limit {
		v.report(at, "the duration is out of range",
			fmt.Sprintf("use more than 0s and at most %s", strings.TrimSuffix(limit.String(), "0m0s")))
	}
}
