package forwarder

import (
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

// resultWithin returns the next result of a watcher.
func resultWithin(t *testing.T, w *watcher, limit time.Duration) connectionResult {
	t.Helper()
	select {
	case result := <-w.results:
		return result
	case <-time.After(limit):
		t.Fatalf("no result within %s", limit)
		return connectionResult{}
	}
}

// Guards against a restart that is not detected: a process that ends may accept a last connection, and its
// successor may listen only some milliseconds later (soak seeds 7 and 107).
func TestWatcherDetectsShortRestart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	target := targetAt(t, addr)
	target.Token = 7
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	sameZone := targetAt(t, other.Addr().String())
	sameZone.ID, sameZone.Token = "same-zone", 8
	w := newWatcher()
	w.snapshot.Store(&forward.Snapshot{Targets: map[forward.Token]*forward.Target{7: target, 8: sameZone}})
	w.setTargets([]*forward.Target{target})
	defer w.setTargets(nil)
	first, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if result := resultWithin(t, w, time.Second); result.refused {
		t.Fatal("a running target is reported to have ended")
	}
	_ = first.Close()
	last, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	resultWithin(t, w, time.Second)
	_ = listener.Close()
	_ = last.Close()
	const down = 30 * time.Millisecond
	if result := resultWithin(t, w, down); !result.refused {
		t.Fatal("the end was not detected")
	}
	listener, err = net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for end := time.Now().Add(2 * maxWatchRetry); ; {
		if result := resultWithin(t, w, time.Until(end)); !result.refused {
			return
		}
	}
}

// Guards against connections to targets that get no flows or that VMs of other zones watch, and to more targets
// than the limit of file descriptors allows.
func TestWatchableTargets(t *testing.T) {
	snapshot := &forward.Snapshot{Targets: map[forward.Token]*forward.Target{}}
	add := func(token forward.Token, target forward.Target) {
		target.Token = token
		snapshot.Targets[token] = &target
	}
	add(1, forward.Target{Zone: "zone-a", Listed: true})
	add(2, forward.Target{Zone: "zone-a", Listed: true, Condition: forward.Exited})
	add(3, forward.Target{Zone: "zone-a", Condition: forward.Expired})
	add(4, forward.Target{Zone: "zone-a", Listed: true, Condition: forward.Unusable})
	add(5, forward.Target{Zone: "zone-a", Listed: true, Condition: forward.Draining})
	add(6, forward.Target{Zone: "zone-b", Listed: true})
	snapshot.Targets[7] = snapshot.Targets[1]
	got := watchableTargets(snapshot, "zone-a")
	if len(got) != 2 || got[0].Token+got[1].Token != 3 {
		t.Errorf("%d targets, want 1 and 2", len(got))
	}
	for i := range forward.Token(maxWatched) {
		add(1000+i, forward.Target{Zone: "zone-a", Listed: true})
	}
	first := watchableTargets(snapshot, "zone-a")
	if len(first) != maxWatched {
		t.Errorf("%d targets, want %d", len(first), maxWatched)
	}
	// A different choice with each snapshot would replace all connections.
	if !slices.Equal(first, watchableTargets(snapshot, "zone-a")) {
		t.Error("the second call returns other targets")
	}
}

// Guards against a zone whose targets all count as ended, and as cold afterwards, because the zone was
// unreachable for a while, and against new flows to targets that refuse connections.
func TestWatcherIgnoresUnreachableZone(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := closed.Addr().String()
	_ = closed.Close()
	snapshot := &forward.Snapshot{Targets: map[forward.Token]*forward.Target{}}
	var targets []*forward.Target
	for i := range forward.Token(3) {
		target := targetAt(t, addr)
		target.ID, target.Token, target.Listed = string('a'+rune(i)), i+1, true
		snapshot.Targets[target.Token] = target
		targets = append(targets, target)
	}
	w := newWatcher()
	w.snapshot.Store(snapshot)
	w.setTargets(targets)
	defer w.setTargets(nil)
	unreachable := map[*forward.Target]bool{}
	for end := time.After(2 * maxWatchRetry); ; {
		select {
		case r := <-w.results:
			t.Errorf("result for target %s of an unreachable zone; refused: %v", r.target.ID, r.refused)
		case target := <-w.unreachable:
			unreachable[target] = true
			continue
		case <-end:
		}
		break
	}
	if len(unreachable) != len(targets) {
		t.Errorf("%d targets are reported as unreachable, want %d", len(unreachable), len(targets))
	}
}

// Guards against a target that restarts so fast that the next connection is accepted, and stays warm for all VMs
// while its entry cannot be read (soak seed 107): the age at which a connection ended must reach the control thread.
func TestWatcherReportsAgeOfEndedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	w := newWatcher()
	target := targetAt(t, listener.Addr().String())
	w.setTargets([]*forward.Target{target})
	defer w.setTargets(nil)
	first, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if r := resultWithin(t, w, time.Second); r.previousAge != 0 {
		t.Errorf("the first connection has the previous age %s", r.previousAge)
	}
	const age = 50 * time.Millisecond
	time.Sleep(age)
	_ = first.Close()
	if r := resultWithin(t, w, time.Second); r.refused || r.previousAge < age || r.previousAge > time.Second {
		t.Errorf("refused: %v, previous age %s, want %s", r.refused, r.previousAge, age)
	}
}

// Guards against an observation that a target has ended, or an ejection of the whole zone, that is sent to all VMs because
// targets are at their connection limit and reset new connections.
func TestWatcherIgnoresFullTargets(t *testing.T) {
	snapshot := &forward.Snapshot{Targets: map[forward.Token]*forward.Target{}}
	var targets []*forward.Target
	errs := map[string]syscall.Errno{}
	for i, addr := range []string{"10.0.0.1:80", "10.0.0.2:80"} {
		target := targetAt(t, addr)
		target.ID, target.Token, target.Listed = addr, forward.Token(i+1), true
		snapshot.Targets[target.Token] = target
		targets = append(targets, target)
		errs[addr] = syscall.ECONNRESET
	}
	w := newWatcher()
	w.dial = dialErrors(errs)
	w.snapshot.Store(snapshot)
	w.setTargets(targets)
	defer w.setTargets(nil)
	for end := time.After(maxWatchRetry); ; {
		select {
		case r := <-w.results:
			t.Errorf("result for the full target %s; refused: %v", r.target.ID, r.refused)
			continue
		case target := <-w.unreachable:
			t.Errorf("the full target %s counts as unreachable", target.ID)
			continue
		case <-end:
		}
		return
	}
}
