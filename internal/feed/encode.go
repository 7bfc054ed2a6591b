package feed

import (
	"bytes"
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

// UnknownAge is the age of a kind that the sender has not read yet. It is longer than any age at which data
// of the store still has an effect.
const UnknownAge = time.Hour

// Message is a message of a VM to its subscribers.
type Message struct {
	Updates []registry.Update
	// Ages is the time since the store last confirmed each kind, UnknownAge for one that was never read.
	// Updates are as of these times. It is nil in messages without data of the store.
	Ages []time.Duration
	// Eras are the numbers of the store's histories from which the sender has each kind; 0 when that is not known.
	Eras [registry.NumKinds]uint64
	// ZoneVMs is the number of VMs of the sender's zone, the sender included.
	ZoneVMs int
	// Observations are changes of targets that VMs detected without the store.
	Observations []registry.Observation
	// Ejections take targets out of placement.
	Ejections []registry.Ejection
	// Members are the VMs of the sender's zone; nil when they have not changed or the sender does not know them.
	Members *Members
	// ReturnedZones are the zones that were taken back into service a short time ago.
	ReturnedZones []registry.ReturnedZone
	// StoreFailing is the time since which the store does not serve the sender, a reader; 0 while it does.
	StoreFailing time.Duration
	// Load is the newest load of the targets of a zone; nil when the message has none.
	Load *Load
	// SentAt is when the message was queued, on the sender's clock; 0 when that is not known.
	SentAt time.Duration
	// Redirect is the address of a VM to subscribe to instead; empty when the sender keeps the
	// subscription.
	Redirect string
}

// Members are the VMs of a zone.
type Members struct {
	Zone core.ZoneName
	VMs  []forward.VMID
}

// EncodeUpdates returns encoded updates for EncodeWith.
func EncodeUpdates(updates []registry.Update) ([]byte, error) {
	return proto.Marshal((&Message{Updates: updates}).encode())
}

// EncodeWith returns the encoded message with its length prefix and with updates that EncodeUpdates returned, in
// addition to its own.
func (m *Message) EncodeWith(updates []byte) ([]byte, error) {
	rest, err := proto.Marshal(m.encode())
	if err != nil {
		return nil, err
	}
	// Encoded messages that follow each other decode to one with the fields of both.
	b := protowire.AppendVarint(make([]byte, 0, len(updates)+len(rest)+binary.MaxVarintLen64), uint64(len(updates)+len(rest)))
	return append(append(b, updates...), rest...), nil
}

// Encode returns the encoded message with its length prefix.
func (m *Message) Encode() ([]byte, error) {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, m.encode()); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func (m *Message) encode() *feedpb.Message {
	pb := &feedpb.Message{
		ZoneVms: uint32(m.ZoneVMs), Redirect: m.Redirect, StoreFailingMillis: uint32(m.StoreFailing.Milliseconds()),
		SentMillis: uint64(m.SentAt.Milliseconds()), Eras: encodeEras(m.Eras), Load: encodeLoad(m.Load),
	}
	for _, age := range m.Ages {
		pb.AgeMillis = append(pb.AgeMillis, uint32(max(age, 0).Milliseconds()))
	}
	for _, e := range m.Ejections {
		pb.Ejections = append(pb.Ejections, &feedpb.Ejection{
			Id: e.ID, Token: uint32(e.Token), RemainingMillis: uint32(max(e.Remaining, 0).Milliseconds()),
		})
	}
	if m.Members != nil {
		pb.Members = &feedpb.Members{Zone: string(m.Members.Zone), Vms: encodeVMIDs(m.Members.VMs)}
	}
	for _, z := range m.ReturnedZones {
		pb.ReturnedZones = append(pb.ReturnedZones, &feedpb.ReturnedZone{
			Zone: string(z.Zone), AgeMillis: uint32(max(z.Age, 0).Milliseconds()), Revision: z.Revision.Number,
			Era: z.Revision.Era,
		})
	}
	for i := range m.Updates {
		pb.Updates = append(pb.Updates, encodeUpdate(&m.Updates[i]))
	}
	for _, o := range m.Observations {
		pb.Observations = append(pb.Observations, &feedpb.Observation{
			Id: o.ID, Token: uint32(o.Token), Ended: o.Ended, AgeMillis: uint32(max(o.Age, 0).Milliseconds()),
		})
	}
	return pb
}

func encodeFailures(failures []forward.TargetFailures) []*feedpb.TargetFailures {
	var out []*feedpb.TargetFailures
	for _, f := range failures {
		out = append(out, &feedpb.TargetFailures{Token: uint32(f.Token), Count: uint32(f.Count)})
	}
	return out
}

func decodeFailures(failures []*feedpb.TargetFailures) []forward.TargetFailures {
	var out []forward.TargetFailures
	for _, f := range failures {
		out = append(out, forward.TargetFailures{Token: forward.Token(f.Token), Count: int(f.Count)})
	}
	return out
}

func encodeVMIDs(vms []forward.VMID) []uint32 {
	out := make([]uint32, len(vms))
	for i, vm := range vms {
		out[i] = uint32(vm)
	}
	return out
}

func decodeVMIDs(vms []uint32) []forward.VMID {
	out := make([]forward.VMID, len(vms))
	for i, vm := range vms {
		out[i] = forward.VMID(vm)
	}
	return out
}

// encodeEras returns the eras, or nil if none is known.
func encodeEras(eras [registry.NumKinds]uint64) []uint64 {
	if eras == [registry.NumKinds]uint64{} {
		return nil
	}
	return eras[:]
}

// decodeEras returns the eras, or zeros for a message without them.
func decodeEras(eras []uint64) (out [registry.NumKinds]uint64) {
	if len(eras) == registry.NumKinds {
		copy(out[:], eras)
	}
	return out
}

func encodeUpdate(u *registry.Update) *feedpb.Update {
	pb := &feedpb.Update{Kind: uint32(u.Kind), Full: u.Full, AsOf: u.AsOf.Number, Era: u.AsOf.Era}
	for i := range u.Records {
		pb.Records = append(pb.Records, encodeRecord(&u.Records[i]))
	}
	return pb
}

func encodeRecord(r *registry.Record) *feedpb.Record {
	pb := &feedpb.Record{Name: r.Name, Revision: r.Revision.Number, Era: r.Revision.Era, Removed: r.Removed, Unreadable: r.Unreadable}
	if t := r.Target; t != nil {
		addr, _ := forward.NewEndpoint(t.Addr)
		pb.Target = &feedpb.Target{
			HostId: t.NumericID, Born: t.StartMillis, Service: t.Service, Ip: addr.IP, Port: addr.Port,
			Zone: string(t.Zone), Slots: uint32(t.Slots), Draining: t.Draining,
			ColdMillis: uint32(t.ColdRemaining.Milliseconds()),
		}
	}
	if c := r.Config; c != nil {
		pb.Config = encodeConfig(c)
	}
	return pb
}

func encodeConfig(c *registry.Config) *feedpb.Config {
	pb := &feedpb.Config{Version: c.Version, Base: c.Base, IdleMillis: uint64(c.IdleTimeout.Milliseconds())}
	for i := range c.Routes {
		addr, _ := forward.NewEndpoint(c.Routes[i].Addr)
		route := &feedpb.Route{
			Name: c.Routes[i].Name, Ip: addr.IP, Port: addr.Port,
			LatencyMillis: uint32(c.Routes[i].LatencyObjective.Milliseconds()), Priority: int32(c.Routes[i].Priority),
		}
		for _, b := range c.Routes[i].Backends {
			route.Backends = append(route.Backends, &feedpb.Backend{Service: b.Service, Weight: uint32(b.Weight)})
		}
		pb.Routes = append(pb.Routes, route)
	}
	for _, removed := range c.Removed {
		addr, _ := forward.NewEndpoint(removed)
		pb.Removed = append(pb.Removed, &feedpb.Endpoint{Ip: addr.IP, Port: addr.Port})
	}
	for _, s := range c.Services {
		pb.Services = append(pb.Services, &feedpb.Service{
			Name: s.Name, ColdStartMillis: uint64(s.ColdStart.Milliseconds()), ColdPerSecond: s.ColdPerSecond,
		})
	}
	return pb
}

// decodeMessage decodes a message of another VM. It ignores kinds that this version does not have.
func decodeMessage(pb *feedpb.Message) Message {
	message := Message{
		ZoneVMs: int(pb.ZoneVms), Redirect: pb.Redirect, StoreFailing: time.Duration(pb.StoreFailingMillis) * time.Millisecond,
		SentAt: time.Duration(pb.SentMillis) * time.Millisecond, Eras: decodeEras(pb.Eras), Load: decodeLoad(pb.Load),
	}
	if len(pb.AgeMillis) == registry.NumKinds {
		for _, age := range pb.AgeMillis {
			message.Ages = append(message.Ages, time.Duration(age)*time.Millisecond)
		}
	}
	for _, e := range pb.Ejections {
		message.Ejections = append(message.Ejections, registry.Ejection{
			ID: e.Id, Token: forward.Token(e.Token), Remaining: time.Duration(e.RemainingMillis) * time.Millisecond,
		})
	}
	if pb.Members != nil {
		message.Members = &Members{Zone: core.ZoneName(pb.Members.Zone), VMs: decodeVMIDs(pb.Members.Vms)}
	}
	for _, z := range pb.ReturnedZones {
		message.ReturnedZones = append(message.ReturnedZones, registry.ReturnedZone{
			Zone: core.ZoneName(z.Zone), Age: time.Duration(z.AgeMillis) * time.Millisecond,
			Revision: registry.Revision{Era: z.Era, Number: z.Revision},
		})
	}
	for _, u := range pb.Updates {
		if u.Kind >= registry.NumKinds {
			continue
		}
		update := registry.Update{Kind: registry.Kind(u.Kind), Full: u.Full, AsOf: registry.Revision{Era: u.Era, Number: u.AsOf}}
		for _, r := range u.Records {
			update.Records = append(update.Records, decodeRecord(r))
		}
		message.Updates = append(message.Updates, update)
	}
	for _, o := range pb.Observations {
		message.Observations = append(message.Observations, registry.Observation{
			ID: o.Id, Token: forward.Token(o.Token), Ended: o.Ended,
			Age: time.Duration(o.AgeMillis) * time.Millisecond,
		})
	}
	return message
}

func decodeRecord(pb *feedpb.Record) registry.Record {
	record := registry.Record{
		Name: pb.Name, Revision: registry.Revision{Era: pb.Era, Number: pb.Revision}, Removed: pb.Removed, Unreadable: pb.Unreadable,
	}
	if t := pb.Target; t != nil {
		record.Target = &registry.Target{
			NumericID: t.HostId, StartMillis: t.Born, Service: t.Service,
			Addr: forward.Endpoint{IP: t.Ip, Port: t.Port}.AddrPort(),
			Zone: core.ZoneName(t.Zone), Slots: int(t.Slots), Draining: t.Draining,
			ColdRemaining: time.Duration(t.ColdMillis) * time.Millisecond,
		}
	}
	if c := pb.Config; c != nil {
		record.Config = decodeConfig(c)
	}
	return record
}

func decodeConfig(pb *feedpb.Config) *registry.Config {
	config := &registry.Config{Version: pb.Version, Base: pb.Base, IdleTimeout: time.Duration(pb.IdleMillis) * time.Millisecond}
	for _, r := range pb.Routes {
		route := registry.Route{
			Name: r.Name, Addr: forward.Endpoint{IP: r.Ip, Port: r.Port}.AddrPort(),
			LatencyObjective: time.Duration(r.LatencyMillis) * time.Millisecond, Priority: int(r.Priority),
		}
		for _, b := range r.Backends {
			route.Backends = append(route.Backends, registry.Backend{Service: b.Service, Weight: int(b.Weight)})
		}
		config.Routes = append(config.Routes, route)
	}
	for _, removed := range pb.Removed {
		config.Removed = append(config.Removed, forward.Endpoint{IP: removed.Ip, Port: removed.Port}.AddrPort())
	}
	for _, s := range pb.Services {
		config.Services = append(config.Services, registry.Service{
			Name:          s.Name,
			ColdStart:     time.Duration(s.ColdStartMillis) * time.Millisecond,
			ColdPerSecond: s.ColdPerSecond,
		})
	}
	return config
}
