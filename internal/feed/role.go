package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core/registry"
)

// followOrReplace subscribes to the zone's reader, and becomes the reader when that one is lost.
func (s *Source) followOrReplace(ctx context.Context, reader Reader) {
	var err error
	for ctx.Err() == nil {
		s.setReader(reader)
		if reader.VM != "" && reader.VM != s.VM {
			if lookUpReader := s.follow(ctx, reader.Address); lookUpReader {
				return
			}
		}
		if reader, err = s.replaceReader(ctx, reader); err != nil {
			s.Log.Warn("cannot replace the zone's reader", "error", err)
			sleep(ctx, randomBackoff())
			return
		}
		if reader.VM == s.VM {
			s.setReader(reader)
			s.runReader(ctx)
			return
		}
	}
}

// replaceReader returns the reader after the given one was lost: another VM that has claimed the role
// already, or this one. All VMs of the zone lose a reader at the same time, and most of them find by an
// inexpensive read that another VM has claimed the role.
func (s *Source) replaceReader(ctx context.Context, lost Reader) (Reader, error) {
	if lost.VM != s.VM {
		delay := time.Duration(max(0, 1-s.CPUShare/fullCPUShare) * float64(maxClaimDelay))
		if !sleep(ctx, delay+rand.N(claimJitter)) {
			return Reader{}, ctx.Err()
		}
		r, err := s.lookUpReader(ctx)
		if err != nil {
			return Reader{}, err
		}
		if r.VM != "" && (r.VM != lost.VM || lost.Revision.Before(r.Revision)) {
			// Another VM, or the lost one after a restart, has claimed the role. A second reader of the zone would
			// not receive what the first one observes.
			return r, nil
		}
		if lost.Revision.Before(r.Revision) {
			lost.Revision = r.Revision
		}
	}
	return s.claim(ctx, lost.Revision)
}

// claim makes this VM the zone's reader if the reader's object still has a revision, and returns the reader after the call.
func (s *Source) claim(ctx context.Context, revision registry.Revision) (Reader, error) {
	if s.stopping.Load() {
		return Reader{}, errStopping
	}
	// After a claim without a response, the next read of the object shows whether the claim took effect.
	r, err := s.Store.Claim(ctx, s.Zone, Reader{VM: s.VM, Address: s.Address, Incarnation: s.incarnation, Revision: revision})
	if err != nil {
		return Reader{}, err
	}
	s.recordResponse()
	if !s.recordEra(r.Revision.Era) {
		return Reader{}, errEarlierHistory
	}
	return r, nil
}

// lookUpReader returns the zone's reader as the newest history of the store that this VM knows has it.
func (s *Source) lookUpReader(ctx context.Context) (Reader, error) {
	r, err := s.Store.Reader(ctx, s.Zone, true)
	if err == nil && !s.recordEra(r.Revision.Era) {
		r, err = s.Store.Reader(ctx, s.Zone, false)
	}
	if err != nil {
		return Reader{}, err
	}
	if !s.recordEra(r.Revision.Era) {
		return Reader{}, errEarlierHistory
	}
	s.recordResponse()
	return r, nil
}

// runReader watches the store until another VM is the reader.
func (s *Source) runReader(ctx context.Context) {
	s.sendState(Reading, "", "claimed at revision "+s.lastReader().Revision.String())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for kind := range registry.Kind(registry.NumKinds) {
		wg.Go(func() { s.watch(ctx, kind) })
	}
	s.checkReader(ctx)
	cancel()
	wg.Wait()
}

// checkReader blocks until another VM is the reader or ctx ends. While the store does not respond, it
// subscribes to another VM, which may still reach the store.
func (s *Source) checkReader(ctx context.Context) {
	checked := s.Now()
	lost := false
	for sleep(ctx, storeLostAfter/5) {
		s.mu.Lock()
		noSubscribers := s.subscribers == 0
		s.mu.Unlock()
		switch {
		case s.storeLost():
			lost = true
			if !s.followAny(ctx) {
				sleep(ctx, randomBackoff())
			}
		case lost || s.roleFromEarlierHistory() || noSubscribers && s.Now()-checked > checkInterval:
			checked = s.Now()
			kept, err := s.checkRole(ctx)
			if err != nil {
				s.Log.Warn("cannot check the reader's role", "error", err)
				continue
			}
			if lost {
				s.sendState(Reading, "", "the store answers again")
			}
			lost = false
			if !kept {
				return
			}
		}
	}
}

// roleFromEarlierHistory reports whether this VM claimed the reader's role in an earlier history of the store, which the
// present one may not know.
func (s *Source) roleFromEarlierHistory() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader.Revision.Era < s.era
}

// checkRole reports whether this VM is still the zone's reader according to the store. It claims the role again if the store
// was restored from a copy without its claim.
func (s *Source) checkRole(ctx context.Context) (bool, error) {
	own := s.lastReader()
	r, err := s.lookUpReader(ctx)
	switch {
	case err != nil:
		return false, err
	case r.VM != s.VM && r.Revision.Era > own.Revision.Era:
		if r, err = s.claim(ctx, r.Revision); err != nil {
			return false, err
		}
		s.Log.Info("claimed the reader's role again after the store was restored", "reader", string(r.VM), "revision", r.Revision.String())
	case r.Revision.Before(own.Revision):
		// The result is from before this VM's claim.
		return true, nil
	}
	s.setReader(r)
	return r.VM == s.VM, nil
}

func (s *Source) setReader(r Reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader = r
}

func (s *Source) lastReader() Reader {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader
}
