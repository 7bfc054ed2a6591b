// Package control decides about everything that VMs share: the configuration in force, the members
// of each zone, which VM holds which target, and whether this VM has authority.
//
// A Control owns that state and publishes it to traffic as immutable snapshots. It has one writer.
package control

import (
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Options configures a Control.
type Options struct {
	Self        core.VMName
	Zone        core.ZoneName
	Addr        netip.AddrPort
	Incarnation core.Incarnation
	// Seeds are peers to contact when the platform's list cannot be read.
	Seeds []core.ListedVM
	// Decode turns the text of an accepted manifest into a configuration. It must be pure.
	Decode func(gen core.Generation, text []byte) (*core.Config, error)
	// Seed makes jitter reproducible.
	Seed uint64
}

// Control is the control state of one entry VM.
type Control struct {
	opts Options
}

// New returns a Control that knows no configuration and no peers but the seeds.
func New(opts Options) *Control { return &Control{opts: opts} }

// Handle processes one input and appends the resulting actions to out.
func (c *Control) Handle(in core.Input, now time.Duration, out []core.Action) []core.Action {
	return out
}

// FromShard carries a report of a traffic shard to control: core.HolderChanged, core.LoadChanged or
// core.ShardDrained.
type FromShard struct {
	core.Input
	Report core.Action
}
