package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core/registry"
)

const (
	// refreshAfter is the age of a kind from which a VM reads the kind from the store itself, whatever its source of
	// updates. A change must be in force 3 s after its acknowledgement, while the time to notice that a reader is lost and
	// to replace it is longer when readers are lost one after the other. Without a fault data is up to 2.5 s old:
	// a watch and the heartbeats of two hops.
	refreshAfter = watchWait + 2*HeartbeatInterval + 100*time.Millisecond
	// refreshJitter spreads the reads of the VMs of a zone, which lose their reader at the same time.
	refreshJitter = 150 * time.Millisecond
	// immediateWatch is the wait of a watch that is to return at once.
	immediateWatch = time.Millisecond
)

// keepCurrent reads kinds from the store that no source of updates has confirmed for refreshAfter, until ctx ends.
func (s *Source) keepCurrent(ctx context.Context) {
	// failedAt is when the store did not serve this VM last, 0 if it has served it since.
	var failedAt time.Duration
	for {
		if !sleep(ctx, s.untilRefresh()+rand.N(refreshJitter)) {
			return
		}
		kinds := s.outdated()
		if len(kinds) == 0 {
			continue
		}
		if !s.storeServes(ctx) {
			failedAt = s.Now()
			sleep(ctx, randomBackoff())
			continue
		}
		if failedAt > 0 && !s.confirmedSince(failedAt) {
			// After an outage the readers return within this time, and other VMs need not read.
			sleep(ctx, readerRecoveryTime)
			kinds = s.outdated()
		}
		failedAt = 0
		var wg sync.WaitGroup
		for _, kind := range kinds {
			wg.Go(func() {
				if err := s.refresh(ctx, kind); err != nil && ctx.Err() == nil {
					s.Log.Warn("cannot read a kind that no source of updates confirms", "kind", kind.String(), "error", err)
					sleep(ctx, randomBackoff())
				}
			})
		}
		wg.Wait()
	}
}

// confirmedSince reports whether a source of updates has confirmed all kinds since a time.
func (s *Source) confirmedSince(at time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Min(s.confirmedAt[:]) > at
}

// untilRefresh returns the time until the first kind is due to be read, unless it is confirmed before.
func (s *Source) untilRefresh() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Kinds that this VM has never read are left to readAll.
	next := refreshAfter
	for kind := range registry.Kind(registry.NumKinds) {
		if !s.asOf[kind].IsZero() {
			next = min(next, s.confirmedAt[kind]+refreshAfter-s.Now())
		}
	}
	return max(0, next)
}

// outdated returns the kinds that were read before and that nobody has confirmed for refreshAfter.
func (s *Source) outdated() []registry.Kind {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kinds []registry.Kind
	for kind := range registry.Kind(registry.NumKinds) {
		if !s.asOf[kind].IsZero() && s.Now()-s.confirmedAt[kind] >= refreshAfter {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

// refresh reads the changes of a kind, or all its objects.
func (s *Source) refresh(ctx context.Context, kind registry.Kind) error {
	if s.mustList(kind) {
		return s.list(ctx, kind, true)
	}
	after := s.knownRevision(kind)
	update, err := s.Store.Watch(ctx, kind, after, immediateWatch)
	switch {
	case isListRequired(err):
		s.recordEra(update.AsOf.Era)
		return s.list(ctx, kind, true)
	case err != nil:
		return err
	}
	s.Log.Info("read a kind that no source of updates confirms", "kind", kind.String(), "after", after.String(),
		"as_of", update.AsOf.String(), "changes", len(update.Records))
	return s.deliverUpdate(ctx, update, true)
}
