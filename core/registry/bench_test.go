package registry

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

// benchSizes are numbers of targets. Each service has 3 targets, as at the planned size.
var benchSizes = []int{150, 1500, 15000}

// benchRegistry returns a Registry with n targets in 25 zones, and a service and route for every 3.
func benchRegistry(n int) *Registry {
	r := New(zoneA, testLimits)
	update := Update{Kind: Targets, Full: true, AsOf: rev(10)}
	config := &Config{Version: 1}
	for i := range n {
		service := fmt.Sprintf("service-%d", i/3)
		rec := targetRecord(fmt.Sprintf("i-%x", i%250), 3)
		rec.Name = fmt.Sprintf("i-%x", i)
		rec.Target.Service = service
		rec.Target.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080)
		update.Records = append(update.Records, rec)
		if i%3 == 0 {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, byte(i >> 16), byte(i >> 8), byte(i)}), 443)
			config.Services = append(config.Services, Service{Name: service, ColdStart: 2 * time.Second, ColdPerSecond: 2})
			config.Routes = append(config.Routes, Route{Name: service, Addr: addr, Backends: []Backend{{Service: service, Weight: 1}}})
		}
	}
	r.Apply(update, 0)
	r.Apply(full(Configs, 10, Record{Name: ConfigName, Revision: rev(5), Config: config}), 0)
	r.Apply(full(ZonesOut, 10), 0)
	return r
}

// BenchmarkSnapshot measures a new snapshot after the change of one target, and reports the memory of a
// Registry with one snapshot.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := benchRegistry(n)
			snapshot := r.Snapshot(0)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				r.changed = true
				snapshot = r.Snapshot(0)
			}
			runtime.KeepAlive(snapshot)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "bytes/target")
		})
	}
}

// BenchmarkApply measures an update with the change of one target.
func BenchmarkApply(b *testing.B) {
	r := benchRegistry(1500)
	revision := uint64(100)
	for b.Loop() {
		revision++
		rec := targetRecord("i-1", revision)
		r.Apply(changed(Targets, revision, rec), 0)
	}
}
