package contract

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/jsonc"
)

// Manifest is a manifest as written. Fields that are pointers may be left out.
type Manifest struct {
	// Deployment is the name of the deployment.
	Deployment string    `json:"deployment" expect:"the deployment's name as a string"`
	Zones      []Zone    `json:"zones" expect:"an array of zones such as {\"name\": \"a\", \"state\": \"in\"}"`
	Services   []Service `json:"services" expect:"an array of services"`
	// Generated is written by the apply command and optional in operators' files.
	Generated *Generated `json:"generated,omitempty" expect:"nothing: remove the field, apply generates it"`
}

// Zone is an availability zone.
type Zone struct {
	Name string `json:"name" expect:"the zone's name as a string"`
	// State is ZoneIn or ZoneOut. When a manifest without it is applied, the zone keeps the state in
	// force; if there is none, the zone is ZoneIn.
	State *string `json:"state,omitempty" expect:"\"in\" or \"out\""`
}

// States of a zone in a manifest.
const (
	ZoneIn  = "in"
	ZoneOut = "out"
)

// Service is a set of equivalent targets behind one address.
type Service struct {
	Name     string   `json:"name" expect:"the service's name as a string"`
	Address  string   `json:"address" expect:"an IP address and port such as \"10.0.0.1:5683\""`
	Contract Contract `json:"contract" expect:"an object with the contract's limits"`
	Targets  []Target `json:"targets" expect:"an array of targets"`
}

// Contract holds the limits of a service. Absent limits have the defaults given here.
type Contract struct {
	// ColdLimit is the number of requests that a cold target may process at a time; default 1.
	ColdLimit *int `json:"coldLimit,omitempty" expect:"a number of requests from 1 up"`
	// Ramp is the time in which the limit of a cold target rises to its slots; default 30 s.
	Ramp *jsonc.Duration `json:"ramp,omitempty" expect:"a duration such as \"30s\""`
	// Drain is the time for which flows of a removed target may continue; default 60 s.
	Drain *jsonc.Duration `json:"drain,omitempty" expect:"a duration such as \"60s\""`
	// QueueLimit bounds the requests that wait per target; default 64.
	QueueLimit *int `json:"queueLimit,omitempty" expect:"a number of requests from 1 up"`
	// DefaultDeadline applies to requests without a deadline; default 5 s.
	DefaultDeadline *jsonc.Duration `json:"defaultDeadline,omitempty" expect:"a duration such as \"5s\""`
	MaxWait         MaxWait         `json:"maxWait" expect:"an object with a duration per class"`
}

// MaxWait bounds the estimated queueing time per class.
type MaxWait struct {
	// Feed is the bound for live feeds; default 1 s.
	Feed *jsonc.Duration `json:"feed,omitempty" expect:"a duration such as \"1s\""`
	// Read is the bound for reads; default 2 s.
	Read *jsonc.Duration `json:"read,omitempty" expect:"a duration such as \"2s\""`
	// Posting is the bound for non-idempotent requests; default 3 s.
	Posting *jsonc.Duration `json:"posting,omitempty" expect:"a duration such as \"3s\""`
	// Upload is the bound for uploads; default 8 s.
	Upload *jsonc.Duration `json:"upload,omitempty" expect:"a duration such as \"8s\""`
}

// Target is a process that serves the requests of a service.
type Target struct {
	Name    string `json:"name" expect:"the target's name as a string"`
	Address string `json:"address" expect:"an IP address and port such as \"10.0.0.1:5683\""`
	Zone    string `json:"zone" expect:"the name of a declared zone"`
	// Slots is the number of requests that a warm target may process at a time.
	Slots int `json:"slots" expect:"a number of requests from 1 up"`
	// Connections is the number of flows that the target can handle.
	Connections int `json:"connections" expect:"a number of flows from 1 up"`
	// Weight is the target's share of new flows relative to others; default 1.
	Weight *float64 `json:"weight,omitempty" expect:"a number from 0 up, such as 1"`
	// Instance must change when another process takes over the target's name; default empty.
	Instance string `json:"instance,omitempty" expect:"the instance's name as a string"`
	// State is TargetActive or TargetDraining; default TargetActive.
	State *string `json:"state,omitempty" expect:"\"active\" or \"draining\""`
	// ReportsLoad is true when the target's answers contain its load; default false.
	ReportsLoad bool `json:"reportsLoad,omitempty" expect:"true or false"`
}

// States of a target in a manifest.
const (
	TargetActive   = "active"
	TargetDraining = "draining"
)

// Generated is what the apply command adds to the text it stores.
type Generated struct {
	// Nonce identifies the apply that wrote the text. After a lost response it shows whether the write
	// took effect.
	Nonce string `json:"nonce"`
	// History holds the nonces of previous generations, newest first, at most maxHistory.
	History []PreviousNonce `json:"history,omitempty"`
	// Released lists addresses that services gave up recently. A target of another service with such an
	// address gets no packets for core.AddressQuarantine after the manifest was accepted.
	Released []ReleasedAddress `json:"left,omitempty"`
}

// PreviousNonce is the nonce of the apply that wrote a previous generation.
type PreviousNonce struct {
	Generation core.Generation `json:"generation"`
	Nonce      string          `json:"nonce"`
}

// ReleasedAddress is an address that a service gave up: its own address or the address of one of its targets.
type ReleasedAddress struct {
	Address string    `json:"address"`
	Service string    `json:"service"`
	At      time.Time `json:"at"`
}
