package core

import (
	"net/netip"
	"time"
)

// Class is the class of a request. A lower value has a higher priority.
type Class uint8

// Classes of requests, in order of priority.
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

// Limits of the contract with clients.
const (
	// MaxDeadline is the longest time for which a client may repeat a request.
	MaxDeadline = 10 * time.Second
	// MaxPacketLifetime is the longest time that a packet spends in the network.
	MaxPacketLifetime = 2 * time.Second
	// RequestLifetime is the time after a request was first sent in which copies of it may still arrive.
	RequestLifetime = MaxDeadline + MaxPacketLifetime
	// FlowIdleTimeout is the time without packets after which a flow has ended.
	FlowIdleTimeout = 5 * time.Minute
)

// Intervals and time limits of control.
const (
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval = 500 * time.Millisecond
	// SuspectAfter is the time without heartbeats after which a peer is suspected to have failed.
	SuspectAfter = 2 * time.Second
	// ConfirmTTL is the time for which a confirmation by the platform gives authority.
	ConfirmTTL = 6 * time.Second
	// ClockJumpThreshold is the gap between two inputs above which the process must have been paused.
	ClockJumpThreshold = time.Second
	// AddressQuarantine is the time after acceptance of a manifest in which an address that it moves to
	// another service gets no packets.
	AddressQuarantine = 15 * time.Second
	// ZoneOutGrace is the time after acceptance of a manifest in which a zone that it takes out may still
	// get packets.
	ZoneOutGrace = 5 * time.Second
)

// ZoneState states whether a zone is in service.
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

// TargetState states whether a target accepts new flows.
type TargetState uint8

// States of a target; the zero value is active.
const (
	TargetActive TargetState = iota
	TargetDraining
)

// Target is a process that serves the requests of a service.
type Target struct {
	ID       TargetID
	Service  ServiceID
	Name     string
	Instance string
	Addr     netip.AddrPort
	Zone     ZoneName
	// Slots is the number of requests that the target processes at the same time when warm; at least 1.
	Slots int
	// Connections is the number of flows that the target sustains; at least 1.
	Connections int
	// Weight is the target's share of new flows relative to other targets; default 1. With 0 it gets none.
	Weight      float64
	State       TargetState
	ReportsLoad bool
	// ActiveAfter is the time after acceptance of the generation until which the target gets no packets.
	// It is AddressQuarantine when the target's address belonged to another service before.
	ActiveAfter time.Duration
}

// Contract holds the limits that a service guarantees to its clients and requires for its targets.
type Contract struct {
	// ColdLimit is the number of concurrent requests that a cold target sustains; default 1.
	ColdLimit int
	// Ramp is the time in which the limit of a cold target rises to its slots; default 30 s.
	Ramp time.Duration
	// Drain is the time for which flows of a removed target may continue; default 60 s.
	Drain time.Duration
	// QueueLimit is the maximum number of requests in the queue of a target; default 64.
	QueueLimit int
	// DefaultDeadline applies to requests without a deadline; at most MaxDeadline, default 5 s.
	DefaultDeadline time.Duration
	// MaxWait is the maximum estimated queueing time per class.
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

// Config is an accepted manifest in decoded form. It is immutable.
type Config struct {
	Generation Generation
	Deployment string
	Zones      []Zone
	Services   []Service
	// Text is the manifest as accepted; VMs forward it to each other unchanged.
	Text []byte
}

// ZoneState returns the state of the named zone; ZoneOut when the manifest does not declare it.
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
