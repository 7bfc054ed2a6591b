package registry

import (
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a configuration that differs between VMs because changes to it were lost or applied to another version.
func TestChangesOfConfigurationAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(version uint64) *Config {
			config := &Config{Version: version}
			for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 10, rapid.ID[int]).Draw(t, "routes") {
				config.Routes = append(config.Routes, Route{
					Name: fmt.Sprint("r-", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(i)}), 80),
					Priority: rapid.IntRange(0, 1).Draw(t, "priority"), Backends: []Backend{{Service: "desk", Weight: 1}},
				})
			}
			return config
		}
		base, next := draw(1), draw(2)
		changes := next.Since(base)
		if changes.Base != base.Version {
			t.Fatalf("changes to version %d, want %d", changes.Base, base.Version)
		}
		whole := changes.ApplyTo(base)
		byName := func(a, b Route) int { return a.Addr.Compare(b.Addr) }
		slices.SortFunc(whole.Routes, byName)
		slices.SortFunc(next.Routes, byName)
		if whole.Base != 0 || whole.Version != next.Version || !reflect.DeepEqual(whole.Routes, next.Routes) {
			t.Errorf("got %+v, want %+v", whole.Routes, next.Routes)
		}
	})
}

// Guards against routes that are lost because two have the same address.
func TestNoChangesForRoutesWithOneAddress(t *testing.T) {
	addr := netip.MustParseAddrPort("198.18.0.1:80")
	base := &Config{Version: 1, Routes: []Route{{Name: "a", Addr: addr}}}
	next := &Config{Version: 2, Routes: []Route{{Name: "a", Addr: addr}, {Name: "b", Addr: addr}}}
	if got := next.Since(base); got != next {
		t.Errorf("got changes %+v, want the whole configuration", got)
	}
	if got := next.Since(nil); got != next {
		t.Errorf("without an earlier version: got changes %+v, want the whole configuration", got)
	}
}
