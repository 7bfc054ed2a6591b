package feed

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/registry"
)

// countingStore is a store whose reader of every zone is vm-1 at an address. It counts lists and has no changes.
type countingStore struct {
	address string
	lists   atomic.Int32
	// noReader is true while no VM has claimed the role.
	noReader atomic.Bool
}

func (s *countingStore) List(_ context.Context, kind registry.Kind) (registry.Update, error) {
	s.lists.Add(1)
	return registry.Update{Kind: kind, Full: true, AsOf: rev(100)}, nil
}

func (s *countingStore) Watch(ctx context.Context, _ registry.Kind, _ registry.Revision, _ time.Duration) (registry.Update, error) {
	<-ctx.Done()
	return registry.Update{}, ctx.Err()
}

func (s *countingStore) Reader(context.Context, core.ZoneName, bool) (Reader, error) {
	if s.noReader.Load() {
		return Reader{}, nil
	}
	return Reader{VM: "vm-1", Address: s.address, Revision: rev(1)}, nil
}

func (s *countingStore) Claim(ctx context.Context, zone core.ZoneName, _ Reader) (Reader, error) {
	s.noReader.Store(false)
	return s.Reader(ctx, zone, true)
}

// stateServer is a feed server that sends VMs that start the state with the given age of its data, or closes their
// connections if the age is negative.
func stateServer(t *testing.T, age time.Duration) *Server {
	t.Helper()
	server, err := Listen("127.0.0.1:0", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	var updates []registry.Update
	for kind := range registry.Kind(registry.NumKinds) {
		updates = append(updates, registry.Update{Kind: kind, Full: true, AsOf: rev(10)})
	}
	encoded, err := EncodeUpdates(updates)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for sub := range server.Subscriptions() {
			if age < 0 {
				sub.Close()
				continue
			}
			message := &Message{Ages: []time.Duration{age, age, age}}
			if sub.StateOnly {
				b, err := message.EncodeWith(encoded)
				if err != nil {
					t.Error(err)
				}
				sub.Send(b)
				continue
			}
			b, err := message.Encode()
			if err != nil {
				t.Error(err)
			}
			sub.Send(b)
		}
	}()
	return server
}

// Guards against a start of many VMs that exceeds the rate of the store because each reads all objects there, and
// against a VM that starts late or with old data because its zone's reader cannot send the state.
func TestStartReadsStateFromReader(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = refusing.Close()
	for _, test := range []struct {
		name, address string
		fromStore     bool
		limit         time.Duration
	}{
		{"an up-to-date reader", stateServer(t, 300*time.Millisecond).Addr(), false, time.Second},
		{"a reader without the store", stateServer(t, storeLostAfter).Addr(), true, time.Second},
		{"a reader that has no state yet", stateServer(t, -1).Addr(), true, time.Second},
		{"a reader that does not answer", silent.Addr().String(), true, startWait + time.Second},
		{"a reader that has ended", refusing.Addr().String(), true, time.Second},
	} {
		store := &countingStore{address: test.address}
		events := make(chan Event, 64)
		s := NewSource(Options{
			VM: "vm-2", Zone: "zone-a", Store: store, Log: slog.New(slog.DiscardHandler),
			Now: func() time.Duration { return time.Minute }, Events: events,
		})
		if !test.fromStore {
			// On a busy machine the state may take longer than startWait.
			s.startWait = test.limit
		}
		ctx, cancel := context.WithCancel(t.Context())
		go s.Run(ctx)
		kinds := map[registry.Kind]uint64{}
		for end := time.After(test.limit); len(kinds) < registry.NumKinds; {
			select {
			case e := <-events:
				if e.Update != nil {
					kinds[e.Update.Kind] = e.Update.AsOf.Number
					if want := time.Minute - 300*time.Millisecond; !test.fromStore && e.ConfirmedAt[e.Update.Kind] != want {
						t.Errorf("%s: confirmed at %s, want %s", test.name, e.ConfirmedAt[e.Update.Kind], want)
					}
				}
			case <-end:
				t.Errorf("%s: %d kinds within %s, want %d", test.name, len(kinds), test.limit, registry.NumKinds)
				kinds = map[registry.Kind]uint64{0: 0, 1: 0, 2: 0}
			}
		}
		if lists := store.lists.Load(); (lists > 0) != test.fromStore {
			t.Errorf("%s: %d lists from the store", test.name, lists)
		}
		cancel()
	}
}

// Guards against states for many VMs at once that delay changes on a small link.
func TestStatesAreLimited(t *testing.T) {
	server, err := Listen("127.0.0.1:0", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	s := NewSource(Options{VM: "vm-2", Zone: "zone-a", Log: slog.New(slog.DiscardHandler), Now: func() time.Duration { return 0 }})
	for range maxStates + 1 {
		conn, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go func() { _, _ = s.requestState(conn) }()
	}
	for range maxStates {
		<-server.Subscriptions()
	}
	select {
	case <-server.Subscriptions():
		t.Fatalf("more than %d states at the same time", maxStates)
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against a first start of a deployment in which each VM reads all objects from the store.
func TestFirstStartWaitsForReader(t *testing.T) {
	store := &countingStore{address: stateServer(t, 300*time.Millisecond).Addr()}
	store.noReader.Store(true)
	events := make(chan Event, 64)
	s := testSource(store, events)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.Run(ctx)
	for end := time.After(2 * firstReaderWait); ; {
		select {
		case e := <-events:
			if e.State == nil || e.State.Role != Subscribed {
				continue
			}
		case <-end:
			t.Fatal("not subscribed to the reader")
		}
		break
	}
	if lists := store.lists.Load(); lists != 0 {
		t.Errorf("%d lists from the store, want none", lists)
	}
}

// Guards against a VM that waits in vain for a first reader of its zone.
func TestFirstStartWithoutReader(t *testing.T) {
	store := &countingStore{address: "127.0.0.1:1"}
	store.noReader.Store(true)
	events := make(chan Event, 64)
	s := testSource(store, events)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.readAll(ctx, firstReaderWait)
	select {
	case <-events:
		if store.lists.Load() == 0 {
			t.Error("no list from the store")
		}
	case <-time.After(2 * firstReaderWait):
		t.Fatal("no data")
	}
}
