// Package traffic decides about flows and requests: which target a flow belongs to, when a request
// may be sent, and what its caller is told.
//
// A Shard owns the state of the targets that hash to it and the ingress notes of the flows that
// hash to it. Each shard has one writer; nothing is shared between shards.
package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Options configures a shard.
type Options struct {
	Self        core.VMName
	Incarnation core.Incarnation
	// FirstToken and TokenStep keep the attempt tokens of the shards of one VM apart.
	FirstToken, TokenStep uint32
	// Seed makes jitter reproducible.
	Seed uint64
}

// Shard is the traffic state of one traffic thread of an entry VM.
type Shard struct {
	opts Options
	snap *core.Snapshot
}

// New returns an empty shard. It refuses all requests until it gets its first snapshot.
func New(opts Options) *Shard { return &Shard{opts: opts} }

// Handle processes one input and appends the resulting actions to out.
func (s *Shard) Handle(in core.Input, now time.Duration, out []core.Action) []core.Action {
	if in, ok := in.(core.SnapshotPublished); ok {
		s.snap = in.Snapshot
	}
	return out
}
