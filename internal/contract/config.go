package contract

import (
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// Defaults of a contract.
const (
	DefaultColdLimit  = 1
	DefaultRamp       = 30 * time.Second
	DefaultDrain      = 60 * time.Second
	DefaultQueueLimit = 64
	DefaultDeadline   = 5 * time.Second
	// A live feed is cheap to open, so a long wait means an overloaded service. Uploads may wait for
	// nearly the longest deadline.
	DefaultFeedWait    = time.Second
	DefaultReadWait    = 2 * time.Second
	DefaultPostingWait = 3 * time.Second
	DefaultUploadWait  = 8 * time.Second
)

// storedName stands for the file name in problems of a stored manifest, which does not come from a file.
const storedName = "manifest"

// Decode parses and validates the manifest text of a generation and converts it to a configuration.
// It is a pure function: the same text gives the same configuration on all VMs. The configuration
// keeps a reference to text, which must not be changed afterwards. The error is a *jsonc.Problems.
func Decode(gen core.Generation, text []byte) (*core.Config, error) {
	m, err := Parse(storedName, text)
	if err != nil {
		return nil, err
	}
	return m.Config(gen, text), nil
}

// Config converts a valid manifest to the configuration of a generation. It panics when an address is
// invalid.
func (m *Manifest) Config(gen core.Generation, text []byte) *core.Config {
	c := &core.Config{
		Generation: gen,
		Deployment: m.Deployment,
		Zones:      make([]core.Zone, len(m.Zones)),
		Services:   make([]core.Service, len(m.Services)),
		Text:       text,
	}
	for i := range m.Zones {
		c.Zones[i] = m.Zones[i].config()
	}
	released := m.Generated.index()
	for i := range m.Services {
		c.Services[i] = m.Services[i].config(released)
	}
	return c
}

func (z *Zone) config() core.Zone {
	out := core.Zone{Name: core.ZoneName(z.Name)}
	if z.State != nil && *z.State == ZoneOut {
		out.State = core.ZoneOut
	}
	return out
}

func (s *Service) config(released releasedIndex) core.Service {
	out := core.Service{
		ID:       core.NewServiceID(s.Name),
		Name:     s.Name,
		Addr:     mustAddress(s.Address),
		Contract: s.Contract.config(),
		Targets:  make([]core.Target, len(s.Targets)),
	}
	for i := range s.Targets {
		out.Targets[i] = s.Targets[i].config(s.Name, released)
	}
	return out
}

func (c *Contract) config() core.Contract {
	out := core.Contract{
		ColdLimit:       orDefault(c.ColdLimit, DefaultColdLimit),
		Ramp:            orDuration(c.Ramp, DefaultRamp),
		Drain:           orDuration(c.Drain, DefaultDrain),
		QueueLimit:      orDefault(c.QueueLimit, DefaultQueueLimit),
		DefaultDeadline: orDuration(c.DefaultDeadline, DefaultDeadline),
	}
	out.MaxWait[core.ClassFeed] = orDuration(c.MaxWait.Feed, DefaultFeedWait)
	out.MaxWait[core.ClassRead] = orDuration(c.MaxWait.Read, DefaultReadWait)
	out.MaxWait[core.ClassPosting] = orDuration(c.MaxWait.Posting, DefaultPostingWait)
	out.MaxWait[core.ClassUpload] = orDuration(c.MaxWait.Upload, DefaultUploadWait)
	return out
}

func (t *Target) config(service string, released releasedIndex) core.Target {
	out := core.Target{
		ID:          core.NewTargetID(service, t.Name, t.Instance),
		Service:     core.NewServiceID(service),
		Name:        t.Name,
		Instance:    t.Instance,
		Addr:        mustAddress(t.Address),
		Zone:        core.ZoneName(t.Zone),
		Slots:       t.Slots,
		Connections: t.Connections,
		Weight:      orDefault(t.Weight, 1),
		ReportsLoad: t.ReportsLoad,
	}
	if t.State != nil && *t.State == TargetDraining {
		out.State = core.TargetDraining
	}
	if released.releasedByOther(out.Addr, service) {
		out.ActiveAfter = core.AddressQuarantine
	}
	return out
}

// mustAddress parses an address that validation has accepted, and panics on any other.
func mustAddress(text string) netip.AddrPort {
	addr, err := parseAddress(text)
	if err != nil {
		panic("contract: address was not validated: " + err.Error())
	}
	return addr
}

func orDefault[T any](v *T, defaultValue T) T {
	if v == nil {
		return defaultValue
	}
	return *v
}

func orDuration(v *jsonc.Duration, defaultValue time.Duration) time.Duration {
	if v == nil {
		return defaultValue
	}
	return time.Duration(*v)
}
