package core

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// VMName is the name of an entry VM, unique in a deployment.
type VMName string

// ZoneName is the name of an availability zone.
type ZoneName string

// Generation is the version of the accepted manifest, assigned by the platform; 0 means none.
type Generation uint64

// Epoch is the version of a zone's member list, assigned by the platform; 0 means none.
type Epoch uint64

// Incarnation distinguishes successive processes of a VM with the same name; a later process has a
// higher value.
type Incarnation uint32

// ServiceID is a stable 32-bit hash of a service's name. Manifests in which two names collide are refused.
type ServiceID uint32

// TargetID is a stable 32-bit hash of service, target name and instance, so that a target that
// moves to another service or restarts as another instance gets another id. Manifests in which two
// ids collide are refused. 0 means none.
type TargetID uint32

// NewServiceID returns the id of the named service.
func NewServiceID(name string) ServiceID {
	return ServiceID(hash32(name))
}

// NewTargetID returns the id of a service's target.
func NewTargetID(service, name, instance string) TargetID {
	return TargetID(hash32(service + "\x00" + name + "\x00" + instance))
}

// hash32 returns a 32-bit hash of a string. It never returns 0, because that id means "none".
func hash32(s string) uint32 {
	h := uint32(xxhash.Sum64String(s))
	if h == 0 {
		return 1
	}
	return h
}

// FlowKey identifies a flow by the client's address and port, and the service.
type FlowKey struct {
	Client  [16]byte
	Port    uint16
	Service ServiceID
}

// NewFlowKey returns the key of the flow from a client to a service.
func NewFlowKey(client netip.AddrPort, service ServiceID) FlowKey {
	return FlowKey{Client: client.Addr().As16(), Port: client.Port(), Service: service}
}

// ClientAddr returns the client's address and port.
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

// RequestID identifies a request within its flow. The carrier derives it from the client's packet;
// a retransmitted packet has the same id.
type RequestID struct {
	Hi, Lo uint64
}

// AttemptToken identifies one attempt to send a request to a target. The upper half is the source, the
// lower half a counter.
type AttemptToken uint64

// AttemptSource identifies the process that sends an attempt.
type AttemptSource uint32

// NewAttemptSource returns the source for a process of a VM. The VM's name is part of it, because
// processes of two VMs that start at the same moment have equal incarnations, and a target handles an
// attempt whose token it has received before as a retransmission.
func NewAttemptSource(vm VMName, incarnation Incarnation) AttemptSource {
	b := binary.LittleEndian.AppendUint32([]byte(vm), uint32(incarnation))
	return AttemptSource(xxhash.Sum64(b))
}

// NewAttemptToken returns the token of attempt number n of a source.
func NewAttemptToken(source AttemptSource, n uint32) AttemptToken {
	return AttemptToken(uint64(source)<<32 | uint64(n))
}

// FencingToken orders the successive owners of a target: the newer owner has the higher token. The upper
// 48 bits are the epoch of the target's zone, the lower 16 bits count the handovers and takeovers within that
// epoch.
type FencingToken uint64

// TraceContext carries a W3C trace id and the id of the parent span; the zero value means that the
// request is not traced.
type TraceContext struct {
	TraceID [16]byte
	SpanID  [8]byte
}
