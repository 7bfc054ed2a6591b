package feed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/registry"
)

// lostReadersStore is a store whose every reader accepts subscriptions and sends nothing. Another VM has always claimed
// the role before.
type lostReadersStore struct {
	address string

	mu       sync.Mutex
	revision uint64
	claims   int
}

func (s *lostReadersStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
}

func (s *lostReadersStore) List(_ context.Context, kind registry.Kind) (registry.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return registry.Update{Kind: kind, Full: true, AsOf: rev(s.revision)}, nil
}

func (s *lostReadersStore) Watch(_ context.Context, kind registry.Kind, _ registry.Revision, _ time.Duration) (registry.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return registry.Update{Kind: kind, AsOf: rev(s.revision)}, nil
}

func (s *lostReadersStore) Reader(context.Context, core.ZoneName, bool) (Reader, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Reader{VM: core.VMName(fmt.Sprintf("vm-1%d", s.claims)), Address: s.address, Revision: rev(1)}, nil
}

func (s *lostReadersStore) Claim(ctx context.Context, zone core.ZoneName, _ Reader) (Reader, error) {
	s.mu.Lock()
	s.claims++
	s.mu.Unlock()
	return s.Reader(ctx, zone, true)
}

// Guards against changes that are not in force in time although the store serves the VM: its readers were lost one after
// the other, and the times to notice and replace each added up to more than the bound (issue 21).
func TestChangesArriveWhileReadersAreLost(t *testing.T) {
	// bound is the shortest time in which a change must be in force on the users' deployments.
	const bound = 3 * time.Second
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	store := &lostReadersStore{address: silent.Addr().String(), revision: 1}
	events := make(chan Event, 1000)
	s := testSource(store, events)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Run(ctx)
	received := map[registry.Kind]uint64{}
	await := func(revision uint64, limit time.Duration) {
		t.Helper()
		timeout := time.After(limit)
		for kind := range registry.Kind(registry.NumKinds) {
			for received[kind] < revision {
				select {
				case e := <-events:
					if e.Update != nil {
						received[e.Update.Kind] = max(received[e.Update.Kind], e.Update.AsOf.Number)
					}
				case <-timeout:
					t.Fatalf("%s: revision %d %s after the change to %d", kind, received[kind], limit, revision)
				}
			}
		}
	}
	await(1, 5*time.Second)
	for revision := uint64(2); revision < 5; revision++ {
		store.change()
		await(revision, bound)
	}
}

// interruptedStore is a store that serves no call while it is down, and records the times of watches.
type interruptedStore struct {
	lostReadersStore

	down    atomic.Bool
	watches chan time.Time
}

func (s *interruptedStore) Reader(ctx context.Context, zone core.ZoneName, staleOK bool) (Reader, error) {
	if s.down.Load() {
		return Reader{}, errors.New("down")
	}
	return s.lostReadersStore.Reader(ctx, zone, staleOK)
}

func (s *interruptedStore) Watch(ctx context.Context, kind registry.Kind, after registry.Revision, wait time.Duration) (registry.Update, error) {
	select {
	case s.watches <- time.Now():
	default:
	}
	return s.lostReadersStore.Watch(ctx, kind, after, wait)
}

// Guards against a read that waits for the recovery of readers because of an earlier outage, although the feed has been back
// since: a change would be in force after 3.3 s.
func TestReadAfterEarlierOutageIsNotDelayed(t *testing.T) {
	const bound = 3 * time.Second
	store := &interruptedStore{watches: make(chan time.Time, 1)}
	store.revision = 1
	s := testSource(store, make(chan Event, 1000))
	for kind := range s.asOf {
		s.asOf[kind] = rev(1)
	}
	confirm := func() {
		now := s.Now()
		s.recordConfirmations([registry.NumKinds]time.Duration{now, now, now})
	}
	store.down.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.keepCurrent(ctx)
	// The first calls fail at once, as nothing was confirmed. Then the feed is back.
	time.Sleep(refreshJitter + 50*time.Millisecond)
	confirm()
	store.down.Store(false)
	time.Sleep(maxBackoff + refreshJitter + 50*time.Millisecond)
	confirm()
	confirmed := time.Now()
	select {
	case at := <-store.watches:
		if age := at.Sub(confirmed); age < refreshAfter || age >= bound {
			t.Errorf("read %s after the last confirmation, want %s to %s", age, refreshAfter, bound)
		}
	case <-time.After(2 * bound):
		t.Error("the kinds were not read")
	}
}
