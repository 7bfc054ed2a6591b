package core

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// VMName names an entry VM, unique in a deployment.
type VMName string

// ZoneName names an availability zone.
type ZoneName string

// Generation is the version of the accepted manifest, assigned by the platform; 0 means none.
type Generation uint64

// Epoch is the version of a zone's member list, assigned by the platform; 0 means none.
type Epoch uint64

// Incarnation distinguishes successive processes of a VM with the same name; a later process has a
// higher value.
type Incarnation uint32

// ServiceID is a stable 32-bit hash of a service's name. Manifests whose names collide are refused.
type ServiceID uint32

// TargetID is a stable 32-bit hash of service, target name and instance, so that a target that
// moves to another service or restarts as another instance gets another id. Manifests whose ids
// collide are refused. 0 means none.
type TargetID uint32

// NewServiceID returns the id of the named service.
func NewServiceID(name string) ServiceID {
	return ServiceID(hash32(name))
}

// NewTargetID returns the id of a service's target.
func NewTargetID(service, name, instance string) TargetID {
	return TargetID(hash32(service + "\x00" + name + "\x00" + instance))
}

// hash32 never returns 0, which means "none".
func hash32(s string) uint32 {
	h := uint32(xxhash.Sum64String(s))
	if h == 0 {
		return 1
	}
	return h
}

// FlowKey identifies a flow: a caller's address and port, and a service.
type FlowKey struct {
	Client  [16]byte
	Port    uint16
	Service ServiceID
}

// NewFlowKey returns the key of the flow from caller to service.
func NewFlowKey(caller netip.AddrPort, service ServiceID) FlowKey {
	return FlowKey{Client: caller.Addr().As16(), Port: caller.Port(), Service: service}
}

// ClientAddr returns the caller's address and port.
func (k FlowKey) ClientAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(k.Client).Unmap(), k.Port)
}

// Hash returns a 64-bit hash of the key that is equal on all VMs.
func (k FlowKey) Hash() uint64 {
	var b [22]byte
	copy(b[:16], k.Client[:])
	binary.LittleEndian.PutUint16(b[16:], k.Port)
	binary.LittleEndian.PutUint32(b[18:], uint32(k.Service))
	return xxhash.Sum64(b[:])
}

// RequestID identifies a request within its flow. The carrier derives it from the caller's packet;
// a repeated packet has the same id.
type RequestID struct {
	Hi, Lo uint64
}

// AttemptToken identifies one sending of a request to a target. The upper half is the source, the
// lower half a counter.
type AttemptToken uint64

// AttemptSource identifies the process that sends an attempt.
type AttemptSource uint32

// NewAttemptSource returns the source for a process of a VM. The VM's name is part of it, because
// processes of two VMs that start at the same moment have equal incarnations, and a target would
// take an attempt with a token that it has seen for a repetition.
func NewAttemptSource(vm VMName, inc Incarnation) AttemptSource {
	b := binary.LittleEndian.AppendUint32([]byte(vm), uint32(inc))
	return AttemptSource(xxhash.Sum64(b))
}

// NewAttemptToken returns the token of attempt number n of a source.
func NewAttemptToken(source AttemptSource, n uint32) AttemptToken {
	return AttemptToken(uint64(source)<<32 | uint64(n))
}

// FencingToken orders the successive holders of a target: the higher number is the newer holder.
// The upper 48 bits are the zone's epoch, the lower 16 bits count handovers within it.
type FencingToken uint64

// TraceContext carries a W3C trace id and the id of the parent span; the zero value means that the
// request is not traced.
type TraceContext struct {
	TraceID [16]byte
	SpanID  [8]byte
}
