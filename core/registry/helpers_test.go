package registry

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/forward"
)

const (
	zoneA = core.ZoneName("zone-a")
	zoneB = core.ZoneName("zone-b")
)

var (
	testLimits = Limits{ColdOverage: 1.5, ColdSlack: 5, Heartbeat: 1200 * time.Millisecond}
	deskAddr   = netip.MustParseAddrPort("198.18.0.1:443")
)

// targetRecord returns a ready target of zoneA at an address of its own.
func targetRecord(id string, revision uint64) Record {
	var n uint64
	if _, err := fmt.Sscanf(id, "i-%x", &n); err != nil {
		panic(err)
	}
	return Record{Name: id, Revision: rev(revision), Target: &Target{
		NumericID: n, StartMillis: 1000, Service: "desk", Zone: zoneA, Slots: 4,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, 0, byte(n)}), 8080),
	}}
}

// with returns a copy of the record with a changed target.
func (rec Record) with(change func(*Target)) Record {
	t := *rec.Target
	change(&t)
	rec.Target = &t
	return rec
}

func configRecord(version, revision uint64, routes ...netip.AddrPort) Record {
	c := &Config{Version: version, Services: []Service{{Name: "desk", ColdStart: 2 * time.Second, ColdPerSecond: 2}}}
	for _, addr := range routes {
		c.Routes = append(c.Routes, Route{Name: addr.String(), Addr: addr, Backends: []Backend{{Service: "desk", Weight: 1}}})
	}
	return Record{Name: ConfigName, Revision: rev(revision), Config: c}
}

func full(kind Kind, asOf uint64, records ...Record) Update {
	return Update{Kind: kind, Full: true, AsOf: rev(asOf), Records: records}
}

func changed(kind Kind, asOf uint64, records ...Record) Update {
	return Update{Kind: kind, AsOf: rev(asOf), Records: records}
}

func removed(name string, revision uint64) Record {
	return Record{Name: name, Revision: rev(revision), Removed: true}
}

// testRegistry returns a Registry of zoneA that has read all kinds as of revision 10.
func testRegistry(targets ...Record) *Registry {
	r := New(zoneA, testLimits)
	r.Apply(full(Targets, 10, targets...), 0)
	r.Apply(full(Configs, 10, configRecord(1, 5, deskAddr)), 0)
	r.Apply(full(ZonesOut, 10), 0)
	return r
}

// pools returns the ids of the targets in each non-empty pool of the desk service.
func pools(snapshot *forward.Snapshot) map[string][]string {
	route := snapshot.Routes[endpoint(deskAddr)]
	s := route.Backends[0].Service
	out := map[string][]string{}
	for name, targets := range map[string][]*forward.Target{
		"local": s.Local, "remote": s.Remote, "expired": s.Expired, "cold": s.Cold,
	} {
		for _, t := range targets {
			out[name] = append(out[name], t.ID)
		}
	}
	return out
}

func endpoint(a netip.AddrPort) forward.Endpoint {
	e, ok := forward.NewEndpoint(a)
	if !ok {
		panic("not an IPv4 address")
	}
	return e
}

// rev returns a revision of a store that numbers no histories.
func rev(number uint64) Revision { return Revision{Number: number} }
