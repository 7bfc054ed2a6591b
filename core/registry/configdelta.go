package registry

import (
	"net/netip"
	"slices"
)

// maxRecentConfigs is the number of configurations that a ConfigHistory keeps. Subscribers are a few versions behind at
// most; one that is further behind gets the whole configuration.
const maxRecentConfigs = 4

// ConfigHistory contains the most recent configurations.
type ConfigHistory struct {
	recent []*Config
}

// Add adds a whole configuration. It must not be changed afterwards.
func (h *ConfigHistory) Add(c *Config) {
	if h.Get(c.Version) != nil {
		return
	}
	if len(h.recent) == maxRecentConfigs {
		h.recent = slices.Delete(h.recent, 0, 1)
	}
	h.recent = append(h.recent, c)
}

// Get returns the configuration with a version, or nil.
func (h *ConfigHistory) Get(version uint64) *Config {
	for _, c := range h.recent {
		if c.Version == version {
			return c
		}
	}
	return nil
}

// Latest returns the newest version; 0 when there is none.
func (h *ConfigHistory) Latest() uint64 {
	latest := uint64(0)
	for _, c := range h.recent {
		latest = max(latest, c.Version)
	}
	return latest
}

// Since returns the configuration as changes to an earlier one. It returns the configuration itself when base is nil, or
// when an address of either has several routes, as routes are told apart by their addresses.
func (c *Config) Since(base *Config) *Config {
	if base == nil {
		return c
	}
	before, after := base.routesByAddr(), c.routesByAddr()
	if before == nil || after == nil {
		return c
	}
	changes := &Config{Version: c.Version, Base: base.Version, Services: c.Services, IdleTimeout: c.IdleTimeout}
	for i := range c.Routes {
		if old, ok := before[c.Routes[i].Addr]; !ok || !old.equal(&c.Routes[i]) {
			changes.Routes = append(changes.Routes, c.Routes[i])
		}
	}
	for i := range base.Routes {
		if _, ok := after[base.Routes[i].Addr]; !ok {
			changes.Removed = append(changes.Removed, base.Routes[i].Addr)
		}
	}
	return changes
}

// ApplyTo returns the whole configuration that c, changes to base, describes.
func (c *Config) ApplyTo(base *Config) *Config {
	whole := &Config{Version: c.Version, Services: c.Services, IdleTimeout: c.IdleTimeout}
	replaced := make(map[netip.AddrPort]struct{}, len(c.Routes)+len(c.Removed))
	for i := range c.Routes {
		replaced[c.Routes[i].Addr] = struct{}{}
	}
	for _, addr := range c.Removed {
		replaced[addr] = struct{}{}
	}
	for i := range base.Routes {
		if _, ok := replaced[base.Routes[i].Addr]; !ok {
			whole.Routes = append(whole.Routes, base.Routes[i])
		}
	}
	whole.Routes = append(whole.Routes, c.Routes...)
	return whole
}

// routesByAddr returns the routes by address, or nil if an address has several.
func (c *Config) routesByAddr() map[netip.AddrPort]*Route {
	routes := make(map[netip.AddrPort]*Route, len(c.Routes))
	for i := range c.Routes {
		routes[c.Routes[i].Addr] = &c.Routes[i]
	}
	if len(routes) < len(c.Routes) {
		return nil
	}
	return routes
}

func (r *Route) equal(other *Route) bool {
	return r.Name == other.Name && r.Addr == other.Addr && r.LatencyObjective == other.LatencyObjective &&
		r.Priority == other.Priority && slices.Equal(r.Backends, other.Backends)
}
