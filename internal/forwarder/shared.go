package forwarder

import (
	"sync/atomic"

	"github.com/mangoweir/mangoweir/core/admission"
	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/core/targetload"
	"github.com/mangoweir/mangoweir/internal/feed"
)

// sharedState is the state that the threads of the process share.
type sharedState struct {
	clock *clock
	// complete is closed when there is a first snapshot.
	complete chan struct{}
	// snapshot is the newest snapshot, freshUntil the time on the clock until which it counts as fresh.
	snapshot   atomic.Pointer[forward.Snapshot]
	freshUntil atomic.Int64
	// freshSince is the time since which the snapshots have been fresh without a gap.
	freshSince atomic.Int64
	// confirmedAt are the times at which the store last confirmed each kind of object; 0 before the first time.
	confirmedAt [registry.NumKinds]atomic.Int64
	// histories are the histories of the store from which this VM has each kind.
	histories [registry.NumKinds]storeHistory
	// heldRecords is the number of records that are held back after the store was restored.
	heldRecords atomic.Int64
	// role is the way in which the VM receives the changes of the store.
	role atomic.Pointer[feed.Role]
	// loadTable is the newest load of the targets, gate what is admitted and reserved because of it; nil before the first load.
	// Both count as empty some time after the last load.
	loadTable atomic.Pointer[targetload.Table]
	gate      atomic.Pointer[admission.Gate]
	// load is the same load for metrics.
	load atomic.Pointer[loadStatus]
	// stopping is true from SIGTERM on, isolated while neither the store nor another VM can be reached, and
	// cannotServe while no target can be reached that may get new flows.
	stopping, isolated, cannotServe atomic.Bool
	// lastTick is the time of the control thread's last tick, resumedAt the end of the last pause of the process;
	// 0 when there was none.
	lastTick, resumedAt atomic.Int64
	// lastPacket is the approximate time on the clock at which the last packet arrived. It is updated at most
	// once per clockCheckInterval.
	lastPacket atomic.Int64
}

// storeHistory is a history of the store, between two returns from an earlier copy.
type storeHistory struct {
	// era is the number of the history, 0 when it is not known. since is the time on the clock at which this VM learned of it.
	era   atomic.Uint64
	since atomic.Int64
}

func newSharedState() *sharedState {
	return &sharedState{clock: newClock(), complete: make(chan struct{})}
}

// ready reports whether the VM accepts packets.
func (s *sharedState) ready() bool {
	snapshot := s.snapshot.Load()
	return snapshot != nil && snapshot.ConfigVersion > 0 && !s.stopping.Load() && !s.isolated.Load() && !s.cannotServe.Load()
}
