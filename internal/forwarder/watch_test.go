package forwarder

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

// resultWithin returns the next result of a watcher.
func resultWithin(t *testing.T, w *watcher, limit time.Duration) connection {
	t.Helper()
	select {
	case s := <-w.results:
		return s
	case <-time.After(limit):
		t.Fatalf("nothing was seen within %s", limit)
		return connection{}
	}
}

// Guards against a restart that goes unnoticed: a process that ends may accept a last connection, and its
// successor may listen some milliseconds later (soak seeds 7 and 107).
func TestWatcherSeesShortRestart(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	target := targetAt(t, addr)
	target.Token = 7
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	neighbour := targetAt(t, other.Addr().String())
	neighbour.ID, neighbour.Token = "neighbour", 8
	w := newWatcher()
	w.view.Store(&forward.Snapshot{Targets: map[forward.Token]*forward.Target{7: target, 8: neighbour}})
	w.set([]*forward.Target{target})
	defer w.set(nil)
	first, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if s := resultWithin(t, w, time.Second); s.refused {
		t.Fatal("a living target was seen to have ended")
	}
	_ = first.Close()
	last, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	resultWithin(t, w, time.Second)
	_ = l.Close()
	_ = last.Close()
	const down = 30 * time.Millisecond
	if s := resultWithin(t, w, down); !s.refused {
		t.Fatal("the end was not seen")
	}
	l, err = net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for end := time.Now().Add(2 * maxWatchRetry); ; {
		if s := resultWithin(t, w, time.Until(end)); !s.refused {
			return
		}
	}
}

// Guards against connections to targets that no flow may use, or that other zones watch, and to more targets
// than descriptors allow.
func TestWatchable(t *testing.T) {
	v := &forward.Snapshot{Targets: map[forward.Token]*forward.Target{}}
	add := func(token forward.Token, target forward.Target) {
		target.Token = token
		v.Targets[token] = &target
	}
	add(1, forward.Target{Zone: "zone-a", Listed: true})
	add(2, forward.Target{Zone: "zone-a", Listed: true, Condition: forward.Exited})
	add(3, forward.Target{Zone: "zone-a", Condition: forward.Expired})
	add(4, forward.Target{Zone: "zone-a", Listed: true, Condition: forward.Unusable})
	add(5, forward.Target{Zone: "zone-a", Listed: true, Condition: forward.Draining})
	add(6, forward.Target{Zone: "zone-b", Listed: true})
	v.Targets[7] = v.Targets[1]
	got := watchable(v, "zone-a")
	if len(got) != 2 || got[0].Token+got[1].Token != 3 {
		t.Errorf("%d targets, want 1 and 2", len(got))
	}
	for i := range forward.Token(maxWatched) {
		add(1000+i, forward.Target{Zone: "zone-a", Listed: true})
	}
	first := watchable(v, "zone-a")
	if len(first) != maxWatched {
		t.Errorf("%d targets, want %d", len(first), maxWatched)
	}
	// Others at each change of the view would mean new connections to all.
	if !slices.Equal(first, watchable(v, "zone-a")) {
		t.Error("other targets are chosen the second time")
	}
}

// Guards against a zone whose targets all count as ended, and as cold afterwards, as it was cut off for a while.
func TestWatcherIgnoresCutZone(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := closed.Addr().String()
	_ = closed.Close()
	v := &forward.Snapshot{Targets: map[forward.Token]*forward.Target{}}
	var targets []*forward.Target
	for i := range forward.Token(3) {
		target := targetAt(t, addr)
		target.ID, target.Token, target.Listed = string('a'+rune(i)), i+1, true
		v.Targets[target.Token] = target
		targets = append(targets, target)
	}
	w := newWatcher()
	w.view.Store(v)
	w.set(targets)
	defer w.set(nil)
	select {
	case r := <-w.results:
		t.Errorf("target %s was seen to have ended: %v", r.target.ID, r.refused)
	case <-time.After(2 * maxWatchRetry):
	}
}
