package feed

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/registry"
)

// feedOf is a feed server that sends a message again and again to each subscriber.
func feedOf(t *testing.T, message Message) *Server {
	t.Helper()
	server, err := Listen("127.0.0.1:0", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	b, err := message.Encode()
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for sub := range server.Subscriptions() {
			go func() {
				for !sub.Closed() {
					sub.Send(b)
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
	}()
	return server
}

func testSource(store Store, events chan Event) *Source {
	start := time.Now()
	return NewSource(Options{
		VM: "vm-2", Zone: "zone-a", Store: store, Log: slog.New(slog.DiscardHandler), CPUShare: 1,
		Now: func() time.Duration { return time.Minute + time.Since(start) }, Events: events,
	})
}

// Guards against a zone that learns of changes seconds late because the store refuses its reader while it serves
// the other VMs: a zone was taken back into service 2 s before its VMs used it (day zone-returns-cold).
func TestRefusedReaderIsReplaced(t *testing.T) {
	ages := []time.Duration{200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond}
	for _, test := range []struct {
		name    string
		failing time.Duration
		replace bool
	}{
		{"the store serves the reader", 0, false},
		{"a short fault", storeFailingAfter / 2, false},
		{"the store refuses the reader", storeFailingAfter + 100*time.Millisecond, true},
	} {
		server := feedOf(t, Message{Ages: ages, StoreFailing: test.failing})
		events := make(chan Event, 1000)
		s := testSource(&countingStore{address: server.Addr()}, events)
		s.setReader(Reader{VM: "vm-1", Address: server.Addr()})
		done := make(chan bool, 1)
		go func() { done <- s.follow(t.Context(), server.Addr()) }()
		limit := readerRecoveryTime + 1500*time.Millisecond
		select {
		case lookUp := <-done:
			if !test.replace || lookUp {
				t.Errorf("%s: the subscription ends, look up again: %v", test.name, lookUp)
			}
		case <-time.After(limit):
			if test.replace {
				t.Errorf("%s: still subscribed after %s", test.name, limit)
			}
		}
	}
}

// silentStore is a store that answers no call.
type silentStore struct{ Store }

func (silentStore) Reader(ctx context.Context, _ core.ZoneName, _ bool) (Reader, error) {
	<-ctx.Done()
	return Reader{}, ctx.Err()
}

// Guards against observations of other VMs that arrive late because this VM waits for a store that does not answer: the
// subscribers of a reader learned of a target's restart 0.54 s late (soak seed 2009).
func TestMessagesArriveWhileStoreIsSilent(t *testing.T) {
	age := 2 * storeLostAfter
	observation := registry.Observation{ID: "i-1", Token: 1, Ended: true}
	server := feedOf(t, Message{Ages: []time.Duration{age, age, age}, Observations: []registry.Observation{observation}})
	events := make(chan Event, 1000)
	s := testSource(silentStore{}, events)
	s.setReader(Reader{VM: "vm-1", Address: server.Addr()})
	go s.follow(t.Context(), server.Addr())
	for received := 0; received < 3; {
		select {
		case e := <-events:
			received += len(e.Observations)
		case <-time.After(time.Second):
			t.Fatalf("%d of 3 observations arrive, one each 50 ms", received)
		}
	}
}

// Guards against a VM that receives the feed of another zone's VM for good after a short fault of the store, and is
// then no member of its own zone.
func TestBorrowerReturnsToItsZone(t *testing.T) {
	age := 200 * time.Millisecond
	server := feedOf(t, Message{Ages: []time.Duration{age, age, age}})
	s := testSource(&countingStore{address: server.Addr()}, make(chan Event, 1000))
	s.setReader(Reader{VM: "vm-1", Address: server.Addr()})
	done := make(chan bool, 1)
	go func() { done <- s.followAny(t.Context()) }()
	select {
	case fresh := <-done:
		if !fresh {
			t.Error("the feed did not count as fresh")
		}
	case <-time.After(storeRetryInterval + time.Second):
		t.Error("the VM still receives the feed although the store serves it")
	}
}

// Guards against a reader that gives up its role while it looks for another VM with fresh data: it would no longer pool
// the failures of targets for its zone, although no other VM reaches the store either.
func TestReaderKeepsItsRoleWithoutFreshPeer(t *testing.T) {
	age := 200 * time.Millisecond
	server := feedOf(t, Message{Ages: []time.Duration{age, age, age}, StoreFailing: 2 * storeFailingAfter})
	events := make(chan Event, 1000)
	s := testSource(&countingStore{address: server.Addr()}, events)
	s.setReader(Reader{VM: "vm-1", Address: server.Addr()})
	if s.followAny(t.Context()) {
		t.Error("the data of a reader that the store does not serve counts as fresh")
	}
	close(events)
	for e := range events {
		if e.State != nil {
			t.Errorf("the role changes to %s", e.State.Role)
		}
	}
}

// Guards against a VM without a configuration because it receives changes to a version that it does not have.
func TestChangesToUnknownConfiguration(t *testing.T) {
	config := &registry.Config{Version: 5, Base: 4}
	server := feedOf(t, Message{Updates: []registry.Update{{
		Kind: registry.Configs, AsOf: rev(9), Full: true, Records: []registry.Record{{Name: registry.ConfigName, Config: config}},
	}}})
	events := make(chan Event, 1000)
	s := testSource(&countingStore{address: server.Addr()}, events)
	s.advanceRevision(registry.Update{Kind: registry.Configs, AsOf: rev(8)}, 0)
	f := s.dial(t.Context(), server.Addr())
	if f == nil {
		t.Fatal("no connection")
	}
	end := s.receive(t.Context(), f, true)
	if end.redirect != server.Addr() || !s.knownRevision(registry.Configs).IsZero() {
		t.Errorf("end %+v at revision %s, want to subscribe again without a revision", end, s.knownRevision(registry.Configs))
	}
}
