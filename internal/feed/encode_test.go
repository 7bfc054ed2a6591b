package feed

import (
	"bytes"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

// testMessage returns a message with a value in each field, and with n targets and routes.
func testMessage(n int) Message {
	targets := registry.Update{Kind: registry.Targets, Full: true, AsOf: inEra(3, 900)}
	config := &registry.Config{Version: 22, IdleTimeout: 15 * time.Second, Services: []registry.Service{
		{Name: "huvo11a", ColdStart: 2 * time.Second, ColdPerSecond: 2.5},
	}}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(i >> 8), byte(i)}), 8080)
		targets.Records = append(targets.Records, registry.Record{
			Name: fmt.Sprintf("i-%08x", i), Revision: inEra(3, uint64(i+1)), Target: &registry.Target{
				NumericID: uint64(i), StartMillis: 1790000000123, Service: "huvo11a", Addr: addr, Zone: "sfax-medina", Slots: 4,
				Draining: i%2 == 0, ColdRemaining: time.Duration(i%3) * time.Second,
			},
		})
		config.Routes = append(config.Routes, registry.Route{
			Name: fmt.Sprintf("r-%07d", i), Addr: addr, Backends: []registry.Backend{{Service: "huvo11a", Weight: 1}},
			LatencyObjective: 250 * time.Millisecond, Priority: 2,
		})
	}
	return Message{
		Updates: []registry.Update{
			targets,
			{Kind: registry.Configs, AsOf: inEra(3, 901), Records: []registry.Record{{Name: "main", Revision: inEra(3, 901), Config: config}}},
			{Kind: registry.ZonesOut, AsOf: inEra(3, 902), Records: []registry.Record{{Name: "zone-a", Revision: inEra(3, 9), Removed: true}, {Name: "x", Unreadable: "odd"}}},
		},
		Eras:    [registry.NumKinds]uint64{3, 3, 2},
		Ages:    []time.Duration{time.Millisecond, 2 * time.Millisecond, 0},
		ZoneVMs: 23, Redirect: "10.1.0.10:8166", Members: &Members{Zone: "sfax-medina", VMs: []forward.VMID{1, 0xfedcba98}},
		Load: testLoad(), StoreFailing: 700 * time.Millisecond, ReturnedZones: []registry.ReturnedZone{{Zone: "zone-a", Age: 800 * time.Millisecond, Revision: inEra(3, 9)}},
		Ejections:    []registry.Ejection{{ID: "i-00000001", Token: 0xfedcba98, Remaining: 1250 * time.Millisecond}},
		Observations: []registry.Observation{{ID: "i-00000001", Token: 0xfedcba98, Ended: true, Age: 1250 * time.Millisecond}},
	}
}

// Guards against fields that are missing in the encoding.
func TestMessageRoundTrip(t *testing.T) {
	convey.Convey("an encoded and decoded message equals the original", t, func() {
		m := testMessage(5)
		b, err := m.Encode()
		convey.So(err, convey.ShouldBeNil)
		var pb feedpb.Message
		convey.So(protodelim.UnmarshalFrom(bytes.NewReader(b), &pb), convey.ShouldBeNil)
		got := decodeMessage(&pb)
		convey.So(reflect.DeepEqual(got, m), convey.ShouldBeTrue)
	})
	convey.Convey("a message with updates that were encoded before equals the original", t, func() {
		m := testMessage(5)
		encoded, err := EncodeUpdates(m.Updates)
		convey.So(err, convey.ShouldBeNil)
		rest := m
		rest.Updates = nil
		b, err := rest.EncodeWith(encoded)
		convey.So(err, convey.ShouldBeNil)
		var pb feedpb.Message
		convey.So(protodelim.UnmarshalFrom(bytes.NewReader(b), &pb), convey.ShouldBeNil)
		convey.So(reflect.DeepEqual(decodeMessage(&pb), m), convey.ShouldBeTrue)
	})
	convey.Convey("kinds and ages of a later version are ignored", t, func() {
		pb := &feedpb.Message{Updates: []*feedpb.Update{{Kind: 77}}, AgeMillis: []uint32{1, 2}}
		got := decodeMessage(pb)
		convey.So(got.Updates, convey.ShouldBeEmpty)
		convey.So(got.Ages, convey.ShouldBeNil)
	})
}

// FuzzMessage guards against messages that make the decoder panic or hang.
func FuzzMessage(f *testing.F) {
	m := testMessage(2)
	if b, err := m.Encode(); err == nil {
		f.Add(b)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		var pb feedpb.Message
		options := protodelim.UnmarshalOptions{MaxSize: maxMessage}
		if options.UnmarshalFrom(bytes.NewReader(b), &pb) == nil {
			decodeMessage(&pb)
		}
	})
}

// BenchmarkEncode encodes messages with some numbers of records, each a target with a route, and reports the
// size of a message.
func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{0, 150, 1500} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			m := testMessage(n)
			if n == 0 {
				m.Updates = nil
			}
			var size int
			for b.Loop() {
				out, err := m.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(out)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
