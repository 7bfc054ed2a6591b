package contract

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// releasedRetention is how long an address that a service gave up stays listed. It is the quarantine
// plus 45 s for differences between the clocks of operators' machines.
const releasedRetention = core.AddressQuarantine + 45*time.Second

// releasedIndex maps addresses to the services that gave them up.
type releasedIndex map[netip.AddrPort][]string

func (g *Generated) index() releasedIndex {
	if g == nil || len(g.Released) == 0 {
		return nil
	}
	out := make(releasedIndex, len(g.Released))
	for _, entry := range g.Released {
		a, err := netip.ParseAddrPort(entry.Address)
		if err != nil {
			continue
		}
		a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
		out[a] = append(out[a], entry.Service)
	}
	return out
}

// releasedByOther reports whether a service other than the given one gave the address up.
func (index releasedIndex) releasedByOther(addr netip.AddrPort, service string) bool {
	return slices.ContainsFunc(index[addr], func(other string) bool { return other != service })
}

// releasedAddresses lists the addresses that services give up between prev and next at time now, and the
// entries of prev's own list that are younger than releasedRetention. A generation that follows within
// seconds must repeat those entries, because a VM may skip generations. prev may be nil.
func releasedAddresses(prev, next *Manifest, now time.Time) []ReleasedAddress {
	if prev == nil {
		return nil
	}
	var out []ReleasedAddress
	if prev.Generated != nil {
		for _, entry := range prev.Generated.Released {
			if now.Sub(entry.At) < releasedRetention {
				out = append(out, entry)
			}
		}
	}
	nextServices := next.servicesByAddress()
	for addr, service := range prev.servicesByAddress() {
		if nextServices[addr] != service {
			out = append(out, ReleasedAddress{Address: addr.String(), Service: service, At: now})
		}
	}
	slices.SortFunc(out, compareReleased)
	return slices.CompactFunc(out, func(a, b ReleasedAddress) bool {
		return a.Address == b.Address && a.Service == b.Service
	})
}

// compareReleased orders entries by address, then by service, then newest first.
func compareReleased(a, b ReleasedAddress) int {
	if c := strings.Compare(a.Address, b.Address); c != 0 {
		return c
	}
	if c := strings.Compare(a.Service, b.Service); c != 0 {
		return c
	}
	return b.At.Compare(a.At)
}

// servicesByAddress maps the address of each service and of each target to the name of the service.
func (m *Manifest) servicesByAddress() map[netip.AddrPort]string {
	out := map[netip.AddrPort]string{}
	for i := range m.Services {
		s := &m.Services[i]
		out[mustAddress(s.Address)] = s.Name
		for j := range s.Targets {
			out[mustAddress(s.Targets[j].Address)] = s.Name
		}
	}
	return out
}

// rejectMovedServices reports a problem for each service whose address another service gave up within
// releasedRetention. A VM that does not have the new generation yet would forward packets for the address
// to the previous service.
func rejectMovedServices(doc *jsonc.Document, next *Manifest, released releasedIndex) error {
	for i := range next.Services {
		s := &next.Services[i]
		if !released.releasedByOther(mustAddress(s.Address), s.Name) {
			continue
		}
		doc.Report(jsonc.Path{"services"}.Index(i).Field("address"),
			"the address belongs to another service in force or did until a moment ago",
			fmt.Sprintf("use a new address, or apply a manifest without the address and wait %s", releasedRetention))
	}
	return doc.Err()
}
