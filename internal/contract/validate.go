package contract

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// Bounds of a manifest's numbers.
const (
	// maxSlots is the largest count that fits into load reports and heartbeats.
	maxSlots = math.MaxUint16
	// maxConnections keeps the sum over a service's targets far from an overflow.
	maxConnections = 10_000_000
	// maxQueue bounds the memory that waiting requests of one target take.
	maxQueue = 65_536
	// maxWeight keeps rendezvous scores well within the precision of a float64.
	maxWeight = 1000
	// maxRampOrDrain bounds ramp and drain times; a longer time is most likely given in the wrong unit.
	maxRampOrDrain = 24 * time.Hour
)

// validator checks a decoded manifest against the rules that its types do not express.
type validator struct {
	doc           *jsonc.Document
	manifest      *Manifest
	zones         map[string]bool
	services      map[string]int
	serviceIDs    map[core.ServiceID]string
	targetIDs     map[core.TargetID]string
	declaredAddrs map[netip.AddrPort]string
}

func (v *validator) validate() {
	v.zones = map[string]bool{}
	v.services = map[string]int{}
	v.serviceIDs = map[core.ServiceID]string{}
	v.targetIDs = map[core.TargetID]string{}
	v.declaredAddrs = map[netip.AddrPort]string{}
	v.checkName(jsonc.Path{"deployment"}, v.manifest.Deployment)
	v.checkZones()
	v.checkServices()
	v.checkGenerated()
}

// report adds a problem unless decoding has already reported a wrong type of the value.
func (v *validator) report(path jsonc.Path, message, remedy string) {
	if !v.doc.HasWrongType(path) {
		v.doc.Report(path, message, remedy)
	}
}

func (v *validator) checkZones() {
	path := jsonc.Path{"zones"}
	if len(v.manifest.Zones) == 0 {
		v.report(path, "no zone is declared", "declare at least one zone")
	}
	for i := range v.manifest.Zones {
		z, zonePath := &v.manifest.Zones[i], path.Index(i)
		if v.checkName(zonePath.Field("name"), z.Name) && v.zones[z.Name] {
			v.report(zonePath.Field("name"), "the zone is declared twice", "give each zone a name of its own")
		}
		v.zones[z.Name] = true
		if z.State != nil && *z.State != ZoneIn && *z.State != ZoneOut {
			v.report(zonePath.Field("state"), "unknown state of a zone", `use "in" or "out"`)
		}
	}
}

func (v *validator) checkServices() {
	path := jsonc.Path{"services"}
	if len(v.manifest.Services) == 0 {
		v.report(path, "no service is declared", "declare at least one service")
	}
	for i := range v.manifest.Services {
		v.checkService(path.Index(i), &v.manifest.Services[i])
	}
}

func (v *validator) checkService(path jsonc.Path, s *Service) {
	if v.checkName(path.Field("name"), s.Name) {
		id := core.NewServiceID(s.Name)
		switch other, taken := v.serviceIDs[id]; {
		case taken && other == s.Name:
			v.report(path.Field("name"), "the service is declared twice", "give each service a name of its own")
		case taken:
			v.report(path.Field("name"), fmt.Sprintf("the name has the same id as service %s", other),
				"choose another name")
		}
		v.serviceIDs[id] = s.Name
	}
	v.checkAddress(path.Field("address"), s.Address, "service "+s.Name)
	v.checkContract(path.Field("contract"), &s.Contract)
	if len(s.Targets) == 0 {
		v.report(path.Field("targets"), "the service has no target", "declare at least one target")
	}
	names := make(map[string]bool, len(s.Targets))
	for i := range s.Targets {
		v.checkTarget(path.Field("targets").Index(i), s, &s.Targets[i], names)
	}
}

func (v *validator) checkTarget(path jsonc.Path, s *Service, t *Target, names map[string]bool) {
	fullName := s.Name + "/" + t.Name
	if v.checkName(path.Field("name"), t.Name) {
		v.checkTargetName(path.Field("name"), s, t, names)
	}
	if t.Instance != "" {
		v.checkName(path.Field("instance"), t.Instance)
	}
	v.checkAddress(path.Field("address"), t.Address, "target "+fullName)
	if !v.zones[t.Zone] && !v.doc.HasWrongType(jsonc.Path{"zones"}) {
		v.report(path.Field("zone"), "the zone is not declared", "use a name from zones")
	}
	v.checkCount(path.Field("slots"), t.Slots, maxSlots)
	v.checkCount(path.Field("connections"), t.Connections, maxConnections)
	if w := t.Weight; w != nil && !(*w >= 0 && *w <= maxWeight) {
		v.report(path.Field("weight"), "the weight is out of range", fmt.Sprintf("use 0 to %d", maxWeight))
	}
	if t.State != nil && *t.State != TargetActive && *t.State != TargetDraining {
		v.report(path.Field("state"), "unknown state of a target", `use "active" or "draining"`)
	}
	if c := s.Contract.ColdLimit; c != nil && t.Slots > 0 && *c > t.Slots {
		v.report(path.Field("slots"), fmt.Sprintf("fewer slots than the service's coldLimit of %d", *c),
			"lower coldLimit or raise slots")
	}
}

func (v *validator) checkTargetName(path jsonc.Path, s *Service, t *Target, names map[string]bool) {
	if names[t.Name] {
		v.report(path, "the service has two targets of this name", "give each target a name of its own")
		return
	}
	names[t.Name] = true
	id := core.NewTargetID(s.Name, t.Name, t.Instance)
	if other, taken := v.targetIDs[id]; taken {
		v.report(path, fmt.Sprintf("the target has the same id as target %s", other),
			"choose another name or instance")
	}
	v.targetIDs[id] = s.Name + "/" + t.Name
}

func (v *validator) checkContract(path jsonc.Path, c *Contract) {
	if c.ColdLimit != nil {
		v.checkCount(path.Field("coldLimit"), *c.ColdLimit, maxSlots)
	}
	if c.QueueLimit != nil {
		v.checkCount(path.Field("queueLimit"), *c.QueueLimit, maxQueue)
	}
	v.checkDuration(path.Field("ramp"), c.Ramp, maxRampOrDrain)
	v.checkDuration(path.Field("drain"), c.Drain, maxRampOrDrain)
	v.checkDuration(path.Field("defaultDeadline"), c.DefaultDeadline, core.MaxDeadline)
	maxWait := path.Field("maxWait")
	v.checkDuration(maxWait.Field("feed"), c.MaxWait.Feed, core.MaxDeadline)
	v.checkDuration(maxWait.Field("read"), c.MaxWait.Read, core.MaxDeadline)
	v.checkDuration(maxWait.Field("posting"), c.MaxWait.Posting, core.MaxDeadline)
	v.checkDuration(maxWait.Field("upload"), c.MaxWait.Upload, core.MaxDeadline)
}

func (v *validator) checkGenerated() {
	if v.manifest.Generated == nil {
		return
	}
	path := jsonc.Path{"generated", "left"}
	for i, entry := range v.manifest.Generated.Released {
		if _, err := netip.ParseAddrPort(entry.Address); err != nil {
			v.report(path.Index(i).Field("address"), "no IP address and port",
				"remove the field generated; apply writes it again")
		}
	}
}

// checkName checks a name and reports whether it is valid.
func (v *validator) checkName(path jsonc.Path, name string) bool {
	if core.ValidName(name) {
		return true
	}
	message := "no valid name"
	if name == "" {
		message = "the name is missing or empty"
	}
	v.report(path, message, core.NameRemedy)
	return false
}

// checkAddress checks the address of a service or target, and that no other service or target has it.
func (v *validator) checkAddress(path jsonc.Path, text, declaredBy string) {
	const remedy = `give a unicast IP address and a port, such as "10.0.0.1:5683"`
	addr, err := parseAddress(text)
	switch {
	case text == "":
		v.report(path, "the address is missing", remedy)
		return
	case err != nil:
		v.report(path, "no usable address", remedy)
		return
	}
	if other, taken := v.declaredAddrs[addr]; taken {
		v.report(path, "the address belongs to "+other, "give each service and target an address of its own")
		return
	}
	v.declaredAddrs[addr] = declaredBy
}

// checkCount checks a number, which must be from 1 to limit.
func (v *validator) checkCount(path jsonc.Path, n, limit int) {
	if n < 1 || n > limit {
		v.report(path, "the number is missing or out of range", fmt.Sprintf("use 1 to %d", limit))
	}
}

// checkDuration checks an optional duration, which must be more than 0 and at most limit.
func (v *validator) checkDuration(path jsonc.Path, duration *jsonc.Duration, limit time.Duration) {
	if duration == nil {
		return
	}
	if *duration <= 0 || time.Duration(*duration) > limit {
		v.report(path, "the duration is out of range",
			fmt.Sprintf("use more than 0s and at most %s", strings.TrimSuffix(limit.String(), "0m0s")))
	}
}
