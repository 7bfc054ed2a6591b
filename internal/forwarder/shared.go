package forwarder

import (
	"sync/atomic"

	"github.com/mangoweir/mangoweir/core/forward"
)

// shared is what the threads of the process tell each other.
type shared struct {
	clock *clock
	// view is the newest view, freshUntil the time on the clock until which it counts as current.
	view       atomic.Pointer[forward.Snapshot]
	freshUntil atomic.Int64
	// freshSince is the time since which it has without a gap.
	freshSince atomic.Int64
	// stopping is true from SIGTERM on; isolated while neither the store nor another VM answers.
	stopping, isolated atomic.Bool
	// lastPacket is the time on the clock at which a packet came last.
	lastPacket atomic.Int64
}

// ready reports whether the VM takes packets.
func (s *shared) ready() bool {
	v := s.view.Load()
	return v != nil && v.ConfigVersion > 0 && !s.stopping.Load() && !s.isolated.Load()
}
