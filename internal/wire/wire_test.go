package wire

import (
	"bytes"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/mangoweir/mangoweir/core"
	_ "github.com/mangoweir/mangoweir/internal/fixedseed"
	"github.com/mangoweir/mangoweir/internal/wire/wirepb"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// Guards against fields that are lost or changed by encoding and decoding, for all message kinds, and
// against a kind that has no generator.
func TestRoundTrip(t *testing.T) {
	seen := map[string]bool{}
	rapid.Check(t, func(rt *rapid.T) {
		for _, generate := range (source{rt}).messageGenerators() {
			msg := generate()
			seen[fmt.Sprintf("%T", msg)] = true
			data, err := Encode(msg, Version2)
			if err != nil {
				rt.Fatal(err)
			}
			decoded, err := Decode(data)
			if err != nil {
				rt.Fatal(err)
			}
			if !reflect.DeepEqual(msg, decoded) {
				rt.Fatalf("sent %+v\ngot  %+v", msg, decoded)
			}
		}
	})
	kinds := (&wirepb.Envelope{}).ProtoReflect().Descriptor().Oneofs().Get(0).Fields().Len()
	if hello := 1; len(seen) != kinds-hello {
		t.Fatalf("%d of %d kinds were drawn", len(seen), kinds-hello)
	}
}

// Guards against version 1 messages that a VM with version 2 decodes wrongly. They must differ only in the
// fields that version 2 added, and a missing backup sequence must not be taken for an empty backup.
func TestVersion1ToVersion2(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		msg := source{rt}.message()
		data, err := Encode(msg, Version1)
		if err != nil {
			rt.Fatal(err)
		}
		decoded, err := Decode(data)
		if err != nil {
			rt.Fatal(err)
		}
		switch m := msg.(type) {
		case *core.Heartbeat:
			m.BackupSeq = core.NoBackupSeq
		case *core.ForwardRequest:
			m.Request.Trace = core.TraceContext{}
		case *core.HandoverChunk:
			for _, f := range m.Flows {
				if f.Feed != nil {
					f.Feed.Trace = core.TraceContext{}
				}
			}
		}
		if !reflect.DeepEqual(msg, decoded) {
			rt.Fatalf("sent %+v\ngot  %+v", msg, decoded)
		}
	})
}

// Guards against consecutive releases that find no common version, or that choose one that only one of
// them supports.
func TestNegotiate(t *testing.T) {
	Convey("The highest common version is chosen, and the lack of one is an error", t, func() {
		v, err := Negotiate(1, 1, MinVersion, MaxVersion)
		So(v, ShouldEqual, Version1)
		So(err, ShouldBeNil)
		v, _ = Negotiate(2, 3, MinVersion, MaxVersion)
		So(v, ShouldEqual, Version2)
		_, err = Negotiate(3, 4, MinVersion, MaxVersion)
		So(errors.Is(err, ErrNoCommonVersion), ShouldBeTrue)
	})
	Convey("A Hello of a newer release is decoded", t, func() {
		h := &Hello{Name: "vm-1", Zone: "z", Incarnation: 7, MinVersion: 2, MaxVersion: 3, LinkID: 9, LastLinkID: 8, Peer: "vm-2", Duplicate: true}
		data, err := EncodeHello(h)
		So(err, ShouldBeNil)
		decoded, err := DecodeHello(data)
		So(err, ShouldBeNil)
		So(decoded, ShouldResemble, h)
		_, err = Decode(data)
		So(errors.Is(err, ErrUnknownKind), ShouldBeTrue)
	})
}

// Guards against invalid input that is accepted, or refused with an untyped error.
func TestRefusals(t *testing.T) {
	encode := func(env *wirepb.Envelope) []byte {
		data, err := proto.Marshal(env)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	heartbeat := func(change func(*wirepb.Heartbeat)) []byte {
		p := encodeHeartbeat(sampleHeartbeat(), Version2)
		change(p)
		return encode(&wirepb.Envelope{Version: 2, Body: &wirepb.Envelope_Heartbeat{Heartbeat: p}})
	}
	forwardRequest := func(p *wirepb.ForwardRequest) []byte {
		return encode(&wirepb.Envelope{Version: 2, Body: &wirepb.Envelope_ForwardRequest{ForwardRequest: p}})
	}
	cases := []struct {
		name string
		data []byte
		kind error
	}{
		{"an empty frame", nil, ErrUnsupportedVersion},
		{"text", []byte("GET / HTTP/1.1\r\n"), ErrMalformed},
		{"a future version", encode(&wirepb.Envelope{Version: 9}), ErrUnsupportedVersion},
		{"an unknown kind", append(encode(&wirepb.Envelope{Version: 2}), 0xf2, 0x06, 0), ErrUnknownKind},
		{"a request without a flow", forwardRequest(&wirepb.ForwardRequest{Target: 1, Ingress: "a"}), ErrInvalid},
		{"a large request", forwardRequest(&wirepb.ForwardRequest{Request: &wirepb.Request{Payload: make([]byte, MaxSize)}}), ErrTooLarge},
		{"a huge frame", make([]byte, MaxConfigSize+1), ErrTooLarge},
		{"a heartbeat without an address", heartbeat(func(p *wirepb.Heartbeat) { p.Addr = nil }), ErrInvalid},
		{"port 0", heartbeat(func(p *wirepb.Heartbeat) { p.Addr = []byte{10, 0, 0, 1, 0, 0} }), ErrInvalid},
		{"a multicast address", heartbeat(func(p *wirepb.Heartbeat) { p.Addr = []byte{224, 0, 0, 1, 0, 1} }), ErrInvalid},
		{"an unknown VM state", heartbeat(func(p *wirepb.Heartbeat) { p.State = 256 }), ErrInvalid},
		{"a zone index out of range", heartbeat(func(p *wirepb.Heartbeat) { p.ZoneIndex = 1 << 31 }), ErrInvalid},
		{"columns of different lengths", heartbeat(func(p *wirepb.Heartbeat) { p.HoldingLoads = p.HoldingLoads[1:] }), ErrInvalid},
		{"more epochs than zones", heartbeat(func(p *wirepb.Heartbeat) { p.Epochs = make([]uint64, 300) }), ErrInvalid},
		{"too many owned targets", heartbeat(func(p *wirepb.Heartbeat) {
			p.HoldingTargets = make([]uint32, maxOwnedTargets+1)
			p.HoldingNumbers = make([]uint64, maxOwnedTargets+1)
			p.HoldingLoads = make([]uint32, loadColumns*(maxOwnedTargets+1))
		}), ErrInvalid},
		{"a confirmation age above the limit", heartbeat(func(p *wirepb.Heartbeat) { p.ConfirmAge = 1 << 63 }), ErrInvalid},
		{"an invalid zone name", heartbeat(func(p *wirepb.Heartbeat) { p.ZoneIndex, p.Zone = 0, "a b" }), ErrInvalid},
	}
	Convey("Invalid input is refused with a typed error", t, func() {
		for _, c := range cases {
			_, err := Decode(c.data)
			So(c.name+": "+fmt.Sprint(errors.Is(err, c.kind)), ShouldEqual, c.name+": true")
		}
		_, err := Encode(&core.ConfigPush{Generation: 1, Text: make([]byte, MaxConfigSize)}, Version2)
		So(errors.Is(err, ErrTooLarge), ShouldBeTrue)
		_, err = Encode(&core.StatusPull{}, 3)
		So(errors.Is(err, ErrUnsupportedVersion), ShouldBeTrue)
	})
	Convey("A manifest of a megabyte is accepted", t, func() {
		data, err := Encode(&core.ConfigPush{Generation: 1, Text: bytes.Repeat([]byte("a"), 1<<20)}, Version2)
		So(err, ShouldBeNil)
		_, err = Decode(data)
		So(err, ShouldBeNil)
	})
}

// Guards against rounding that extends a deadline or makes a confirmation newer than it is.
func TestRounding(t *testing.T) {
	Convey("Ages and waits are rounded up, remaining times are rounded down, and a deadline never becomes 0, the default", t, func() {
		So(ceilMillis(1500*time.Microsecond), ShouldEqual, 2)
		So(floorMillis(1500*time.Microsecond), ShouldEqual, 1)
		So(deadlineMillis(time.Microsecond), ShouldEqual, 1)
		So(deadlineMillis(-time.Second), ShouldEqual, 1)
		So(deadlineMillis(0), ShouldEqual, 0)
	})
}

// sampleHeartbeat returns a heartbeat of a VM with three targets in the larger example deployment.
func sampleHeartbeat() *core.Heartbeat {
	m := &core.Heartbeat{Zone: "sfax-sakiet", Addr: netip.MustParseAddrPort("10.20.30.40:7400"), Incarnation: 1764800000,
		Seq: 1_000_000, AckSeq: 1_000_000, State: core.VMLive, Generation: 100_000, ConfirmAge: 900 * time.Millisecond,
		BackupSeq: 1_000_000}
	for _, zone := range []core.ZoneName{"sfax-medina", "sfax-sakiet", "sfax-thyna"} {
		m.Epochs = append(m.Epochs, core.ZoneEpoch{Zone: zone, Epoch: 20_000})
	}
	for i := range core.TargetID(3) {
		m.OwnedTargets = append(m.OwnedTargets, core.OwnedTarget{Target: 0xdead0000 + i, FencingToken: 20_000<<16 | 3,
			Load: core.TargetLoad{Flows: 2000, InFlight: 4, Limit: 4, Queued: 12}})
	}
	return m
}

// Guards against heartbeats that exceed the control budget of 5 KB/s when 8 VMs each send 14 heartbeats a
// second and receive as many.
func TestHeartbeatSize(t *testing.T) {
	// A message has a yamux header of 12 bytes and a length prefix of 2 bytes.
	const framing = 12 + 2
	const limit = 5000 / 28
	data, err := Encode(sampleHeartbeat(), Version2)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("heartbeat: %d bytes, %d with framing; 14 a second: %d bytes/s", len(data), len(data)+framing, 14*(len(data)+framing))
	if len(data)+framing > limit {
		t.Fatalf("a heartbeat takes %d bytes, limit %d", len(data)+framing, limit)
	}
}

// Guards against panics on arbitrary bytes, and against accepted messages that change when they are
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	kinds := rapid.Custom(func(t *rapid.T) []core.Message {
		var all []core.Message
		for _, generate := range (source{t}).messageGenerators() {
			all = append(all, generate())
		}
		return all
	})
	for seed := range 4 {
		for _, msg := range kinds.Example(seed) {
			data, err := Encode(msg, Version(1+seed%2))
			if err != nil {
				f.Fatal(err)
			}
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _ = DecodeHello(data)
		msg, err := Decode(data)
		if err != nil {
			return
		}
		first, err := Encode(msg, Version2)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := Encode(decoded, Version2)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("encoded as %x, then as %x, error %v", first, second, err)
		}
	})
}
