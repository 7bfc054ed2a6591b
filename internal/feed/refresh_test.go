package feed

import (
	"context"
	"fmt"
	"net"
	"sync"
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
