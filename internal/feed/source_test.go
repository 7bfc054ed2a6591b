package feed

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/registry"
)

// readerStore is a store with one reader object.
type readerStore struct {
	reader Reader
	claims int
	// watches is called for each watch if it is set.
	watches func(wait time.Duration) (registry.Update, error)
}

func (s *readerStore) List(context.Context, registry.Kind) (registry.Update, error) {
	return registry.Update{}, nil
}

func (s *readerStore) Watch(_ context.Context, _ registry.Kind, _ registry.Revision, wait time.Duration) (registry.Update, error) {
	if s.watches != nil {
		return s.watches(wait)
	}
	return registry.Update{}, nil
}

func (s *readerStore) Reader(context.Context, core.ZoneName, bool) (Reader, error) {
	return s.reader, nil
}

func (s *readerStore) Claim(_ context.Context, _ core.ZoneName, r Reader) (Reader, error) {
	s.claims++
	if r.Revision == s.reader.Revision {
		r.Revision.Number++
		s.reader = r
	}
	return s.reader, nil
}

// Guards against a claim that cannot be told from the claim of an earlier process on the same VM, since the store
// does not change the revision of an object that is written again as it is.
func TestClaimsOfTwoProcessesDiffer(t *testing.T) {
	var claims []Reader
	for range 2 {
		store := &readerStore{}
		s := NewSource(Options{VM: "vm-1", Store: store, Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return 0 }})
		r, err := s.replaceReader(t.Context(), Reader{VM: "vm-1"})
		if err != nil {
			t.Fatal(err)
		}
		claims = append(claims, r)
	}
	if claims[0] == claims[1] {
		t.Errorf("two processes on vm-1 claim the same: %+v", claims[0])
	}
}

// Guards against two readers of a zone after all its VMs were killed: a VM that started before the previous
// reader could not connect to it, and claimed the role although the reader had started and claimed it again. The
// two did not share their observations of targets (soak seed 7).
func TestReaderThatClaimedAgainIsKept(t *testing.T) {
	for _, test := range []struct {
		name   string
		reader Reader
		want   core.VMName
	}{
		{"the lost reader has claimed again", Reader{VM: "vm-1", Revision: rev(45)}, "vm-1"},
		{"another VM has claimed", Reader{VM: "vm-3", Revision: rev(45)}, "vm-3"},
		{"nobody has claimed", Reader{VM: "vm-1", Revision: rev(19)}, "vm-2"},
	} {
		store := &readerStore{reader: test.reader}
		s := NewSource(Options{
			VM: "vm-2", CPUShare: 1, Store: store, Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return 0 },
		})
		r, err := s.replaceReader(t.Context(), Reader{VM: "vm-1", Revision: rev(19)})
		if err != nil || r.VM != test.want {
			t.Errorf("%s: the reader is %s (%v), want %s", test.name, r.VM, err, test.want)
		}
		if claimed := store.claims > 0; claimed != (test.want == "vm-2") {
			t.Errorf("%s: %d claims", test.name, store.claims)
		}
	}
}

// Guards against data that counts as stale for a whole watch after the store has returned: a watch without changes
// ends only after its wait (TestForwardStoreDown of internal/e2e).
func TestFirstWatchAfterFailureIsShort(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var waits []time.Duration
	store := &readerStore{watches: func(wait time.Duration) (registry.Update, error) {
		waits = append(waits, wait)
		switch len(waits) {
		case 3:
			return registry.Update{}, errors.New("no response")
		case 5:
			cancel()
		}
		return registry.Update{}, nil
	}}
	events := make(chan Event, 16)
	s := NewSource(Options{VM: "vm-1", Store: store, Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return 0 }, Events: events})
	s.advanceRevision(registry.Update{Kind: registry.Targets, AsOf: rev(1)}, 0)
	s.watch(ctx, registry.Targets)
	want := []time.Duration{firstWatchWait, watchWait, watchWait, firstWatchWait, watchWait}
	if !slices.Equal(waits, want) {
		t.Errorf("waits %v, want %v", waits, want)
	}
}

// Guards against a configuration that is missing until the next one is written: a reader that was replaced while its
// control thread was busy had recorded the revision of an update that the control thread never received, and did not
// request it from the next reader.
func TestRevisionOfUndeliveredUpdateIsNotRecorded(t *testing.T) {
	events := make(chan Event)
	s := testSource(&readerStore{}, events)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = s.deliverUpdate(ctx, registry.Update{Kind: registry.Configs, AsOf: rev(7)}, false)
	if revision := s.knownRevision(registry.Configs); !revision.IsZero() {
		t.Errorf("revision %s is recorded although the update was not delivered", revision)
	}
	go func() { <-events }()
	if err := s.deliverUpdate(t.Context(), registry.Update{Kind: registry.Configs, AsOf: rev(7)}, false); err != nil {
		t.Fatal(err)
	}
	if revision := s.knownRevision(registry.Configs); revision != rev(7) {
		t.Errorf("revision %s is recorded after the update was delivered, want 7", revision)
	}
}

// Guards against a zone that loses one more reader: a VM that was stopping claimed the role, while it accepted no
// subscriptions any more (day big-storm, issue 21).
func TestStoppingVMDoesNotClaim(t *testing.T) {
	store := &readerStore{reader: Reader{VM: "vm-1", Revision: rev(19)}}
	s := testSource(store, make(chan Event, 16))
	s.SetStopping()
	if _, err := s.replaceReader(t.Context(), store.reader); !errors.Is(err, errStopping) || store.claims != 0 {
		t.Errorf("error %v and %d claims, want none", err, store.claims)
	}
}

// rev returns a revision of a store that numbers no histories.
func rev(number uint64) registry.Revision { return registry.Revision{Number: number} }
