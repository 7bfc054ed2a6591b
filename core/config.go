package core

import (
	"net/netip"
	"time"
)

// Class is a class of work. A lower value has a higher priority.
type Class uint8

// Classes of work in order of priority.
const (
	ClassFeed Class = iota
	ClassRead
	ClassPosting
	ClassUpload
	NumClasses
)

// String returns the name that manifests and metrics use.
func (c Class) String() string {
	switch c {
	case ClassFeed:
		return "feed"
	case ClassRead:
		return "read"
	case ClassPosting:
		return "posting"
	case ClassUpload:
		return "upload"
	}
	return "unknown"
}

// Limits of the callers' contract.
const (
	// MaxDeadline is the longest time a caller may repeat a request.
	MaxDeadline = 10 * time.Second
	// MaxPacketLifetime is the longest time a packet spends in the network.
	MaxPacketLifetime = 2 * time.Second
	// RequestLifetime is the time after its first sending in which a request may still arrive.
	RequestLifetime = MaxDeadline + MaxPacketLifetime
	// FlowIdleTimeout is the time without packets after which a flow has ended.
	FlowIdleTimeout = 5 * time.Minute
)

// Limits of control.
const (
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is the silence after which a peer is suspected to have failed.
	SuspectAfter = 2 * time.Second
	// ConfirmTTL is how long a confirmation by the platform gives authority.
	ConfirmTTL = 6 * time.Second
	// ClockJumpThreshold is the gap between two inputs that shows that the process was paused.
	ClockJumpThreshold = time.Second
	// AddressQuarantine is the time after acceptance in which an address that moved to another
	// service gets no packets.
	AddressQuarantine = 15 * time.Second
	// ZoneOutGrace is the time after acceptance in which a zone taken out may still get packets.
	ZoneOutGrace = 5 * time.Second
)

// ZoneState says whether a zone takes part in service.
type ZoneState uint8

// States of a zone; the zero value is in service.
const (
	ZoneIn ZoneState = iota
	ZoneOut
)

// Zone is an availability zone as declared in the manifest.
type Zone struct {
	Name  ZoneName
	State ZoneState
}

// TargetState says whether a target takes new flows.
type TargetState uint8

// States of a target; the zero value is active.
const (
	TargetActive TargetState = iota
	TargetDraining
)

// Target is a process that does the work of a service.
type Target struct {
	ID       TargetID
	Service  ServiceID
	Name     string
	Instance string
	Addr     netip.AddrPort
	Zone     ZoneName
	// Slots is the number of requests the target works on at a time when warm; at least 1.
	Slots int
	// Connections is the number of flows the target bears; at least 1.
	Connections int
	// Weight is the target's share of new flows relative to others; default 1, 0 takes none.
	Weight      float64
	State       TargetState
	ReportsLoad bool
	// ActiveAfter is the time since acceptance of the generation before which the target gets no
	// packets. It is AddressQuarantine when its address belonged to another service before.
	ActiveAfter time.Duration
}

// Contract is what a service promises to its callers and demands for its targets.
type Contract struct {
	// ColdLimit is the number of requests that a cold target bears; default 1.
	ColdLimit int
	// Ramp is the time in which a cold target reaches its slots; default 30 s.
	Ramp time.Duration
	// Drain is the time that flows of a removed target may go on; default 60 s.
	Drain time.Duration
	// QueueLimit bounds the requests that wait per target; default 64.
	QueueLimit int
	// DefaultDeadline applies to requests that name none; at most MaxDeadline, default 5 s.
	DefaultDeadline time.Duration
	// MaxWait bounds the estimated queueing time per class.
	MaxWait [NumClasses]time.Duration
}

// Service is a set of equivalent targets behind one address.
type Service struct {
	ID       ServiceID
	Name     string
	Addr     netip.AddrPort
	Contract Contract
	Targets  []Target
}

// Config is an accepted manifest. It is immutable once built.
type Config struct {
	Generation Generation
	Deployment string
	Zones      []Zone
	Services   []Service
	// Text is the manifest as accepted; VMs relay it unchanged.
	Text []byte
}

// ZoneState returns the state of the named zone; an undeclared zone is out.
func (c *Config) ZoneState(name ZoneName) ZoneState {
	for i := range c.Zones {
		if c.Zones[i].Name == name {
			return c.Zones[i].State
		}
	}
	return ZoneOut
}

// Service returns the service with the given id, or nil.
func (c *Config) Service(id ServiceID) *Service {
	for i := range c.Services {
		if c.Services[i].ID == id {
			return &c.Services[i]
		}
	}
	return nil
}
