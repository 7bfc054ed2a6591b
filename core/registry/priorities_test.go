package registry

import (
	"net/netip"
	"reflect"
	"testing"
)

// Guards against priorities of a route that gives a service no flows, and against priorities in the order of the routes.
func TestPriorities(t *testing.T) {
	r := New("zone-a", Limits{})
	if got := r.Priorities(); len(got) != 0 {
		t.Errorf("without a configuration: %v", got)
	}
	config := &Config{Version: 1, Services: []Service{{Name: "a"}, {Name: "b"}}}
	for i, route := range []Route{
		{Priority: 2, Backends: []Backend{{Service: "a", Weight: 1}, {Service: "b"}}},
		{Priority: 0, Backends: []Backend{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}},
		{Priority: 2, Backends: []Backend{{Service: "a", Weight: 3}}},
	} {
		route.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i)}), 80)
		config.Routes = append(config.Routes, route)
	}
	asOf := Revision{Number: 7}
	r.Apply(Update{Kind: Configs, Full: true, AsOf: asOf, Records: []Record{{Name: ConfigName, Revision: asOf, Config: config}}}, 0)
	if got, want := r.Priorities(), map[string][]int{"a": {0, 2}, "b": {0}}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
