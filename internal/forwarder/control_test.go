package forwarder

import (
	"bufio"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

// testControl returns a control thread without sockets, and a connection that is subscribed to it. Its deadline is 300 ms.
func testControl(t *testing.T) (*control, *bufio.Reader) {
	t.Helper()
	c, _, conn := testSubscription(t)
	if err := conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(conn)
}

// testSubscription returns a control thread without sockets, its feed, and a connection that is subscribed to it.
func testSubscription(t *testing.T) (*control, *feed.Server, net.Conn) {
	t.Helper()
	server, err := feed.Listen("127.0.0.1:0", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := protodelim.MarshalTo(conn, &feedpb.Subscribe{Vm: "vm-2", Zone: "zone-a", Vms: 1, Acknowledges: true}); err != nil {
		t.Fatal(err)
	}
	shared := newSharedState()
	c := &control{
		shared: shared, settings: &Settings{Zone: "zone-a"}, registry: registry.New("zone-a", registry.Limits{}),
		outliers: registry.NewOutliers(), membership: registry.NewMembership(1), source: feed.NewSource(feed.Options{}), watcher: newWatcher(), log: slog.New(slog.DiscardHandler),
	}
	c.metrics = newControlMetrics(telemetry.NewMetrics(), shared, func() int { return 0 })
	c.addSubscriber(<-server.Subscriptions())
	return c, server, conn
}

// countUpdates returns the number of updates that a subscriber gets until its connection's deadline.
func countUpdates(r *bufio.Reader) int {
	n := 0
	for {
		var m feedpb.Message
		if err := protodelim.UnmarshalFrom(r, &m); err != nil {
			return n
		}
		n += len(m.Updates)
	}
}

// Guards against updates that two VMs which subscribe to each other exchange endlessly.
func TestKnownUpdatesAreNotSentAgain(t *testing.T) {
	c, subscriber := testControl(t)
	u := registry.Update{Kind: registry.Targets, AsOf: rev(7), Records: []registry.Record{{
		Name: "i-1", Revision: rev(7), Target: &registry.Target{Addr: netip.MustParseAddrPort("10.0.0.1:80")},
	}}}
	for range 3 {
		c.handleUpdate(&u, c.shared.clock.now(), false)
	}
	if n := countUpdates(subscriber); n != 1 {
		t.Errorf("the subscriber got %d updates, want 1", n)
	}
}

// Guards against a target that restarted unnoticed and stays warm at the zone's other VMs (soak seed 107), and
// against a cold target after its idle connection was closed.
func TestRestartsAreSentToSubscribers(t *testing.T) {
	c, subscriber := testControl(t)
	target := &forward.Target{ID: "i-1", Token: forward.NewToken("i-1", 1000)}
	c.registry.Apply(registry.Update{Kind: registry.Targets, AsOf: rev(7), Records: []registry.Record{{
		Name: "i-1", Revision: rev(7), Target: &registry.Target{StartMillis: 1000, Addr: netip.MustParseAddrPort("10.0.0.1:80")},
	}}}, c.shared.clock.now())
	c.handleConnection(connectionResult{target: target})
	if n := len(c.registry.Observations(c.shared.clock.now())); n != 0 {
		t.Fatalf("%d observations after the first connection, want 0", n)
	}
	c.handleConnection(connectionResult{target: target, previousAge: 3 * time.Second})
	for {
		var m feedpb.Message
		if err := protodelim.UnmarshalFrom(subscriber, &m); err != nil {
			t.Fatalf("the subscriber got no observation: %v", err)
		}
		if len(m.Observations) > 0 {
			break
		}
	}
}

// Guards against subscribers that forget the end of a target while this VM still observes it, and against an old result of a
// connection attempt that counts after a pause of the process.
func TestRenewedObservationsAreSentToSubscribers(t *testing.T) {
	c, subscriber := testControl(t)
	target := &forward.Target{ID: "i-1", Token: forward.NewToken("i-1", 1000)}
	now := c.shared.clock.now()
	c.registry.Apply(registry.Update{Kind: registry.Targets, AsOf: rev(7), Records: []registry.Record{{
		Name: "i-1", Revision: rev(7), Target: &registry.Target{StartMillis: 1000, Addr: netip.MustParseAddrPort("10.0.0.1:80")},
	}}}, now)
	c.handleConnection(connectionResult{target: target, refused: true, at: time.Now().Add(-2 * maxResultAge)})
	if n := len(c.registry.Observations(now)); n != 0 {
		t.Fatalf("%d observations by an old result, want 0", n)
	}
	c.registry.ApplyObservation(registry.Observation{ID: "i-1", Token: target.Token, Ended: true, Age: 2 * time.Second}, now)
	c.handleConnection(connectionResult{target: target, refused: true, at: time.Now()})
	c.heartbeat()
	for {
		var m feedpb.Message
		if err := protodelim.UnmarshalFrom(subscriber, &m); err != nil {
			t.Fatalf("the subscriber got no renewal: %v", err)
		}
		if len(m.Observations) == 0 {
			continue
		}
		if o := m.Observations[0]; !o.Ended || o.AgeMillis > 1000 {
			t.Errorf("renewal with ended %v and age %d ms", o.Ended, o.AgeMillis)
		}
		return
	}
}

// Guards against failures of targets that two VMs which borrow from each other exchange endlessly, and against
// reports that do not reach the zone's reader.
func TestFailuresAreSentTowardsTheReader(t *testing.T) {
	c, _ := testControl(t)
	failures := []forward.TargetFailures{{Token: 1, Count: 9}}
	for role, want := range map[feed.Role]int{feed.Borrowing: 0, feed.Searching: 0, feed.Reading: 0, feed.Subscribed: 1} {
		before := c.source.FailuresQueued()
		c.state.Role = role
		c.handleFailures(failures)
		if got := c.source.FailuresQueued() - before; got != want {
			t.Errorf("%s: %d targets with failures are sent on, want %d", role, got, want)
		}
	}
}

// Guards against resets because of a stale snapshot: the data of another VM may be older than this process.
func TestSnapshotOlderThanProcess(t *testing.T) {
	c, _ := testControl(t)
	now := c.shared.clock.now()
	const age = 10 * time.Second
	updates := []registry.Update{
		{Kind: registry.Targets, Full: true, AsOf: rev(7)},
		{Kind: registry.Configs, Full: true, AsOf: rev(7), Records: []registry.Record{{Name: registry.ConfigName, Revision: rev(3), Config: &registry.Config{Version: 1}}}},
		{Kind: registry.ZonesOut, Full: true, AsOf: rev(7)},
	}
	for i := range updates {
		e := feed.Event{Update: &updates[i]}
		e.ConfirmedAt[updates[i].Kind] = now - age
		c.handleEvent(e)
	}
	e := feed.Event{ZoneVMs: 2}
	for kind := range e.ConfirmedAt {
		e.ConfirmedAt[kind] = now - age
	}
	c.handleEvent(e)
	if c.shared.snapshot.Load().ConfigVersion != 1 {
		t.Fatal("the configuration is not in force")
	}
	if until := time.Duration(c.shared.freshUntil.Load()); until > now {
		t.Errorf("a snapshot that is %s old counts as fresh for %s more", age, until-now)
	}
	if got := c.registry.ConfirmedAt(registry.Targets); got != now-age {
		t.Errorf("the targets count as confirmed %s ago, want %s", now-got, age)
	}
}

// Guards against a planned stop that ends while routers still send packets: clients would then
// retransmit them.
func TestPlannedStopWaitsForPackets(t *testing.T) {
	c, _ := testControl(t)
	p := &process{control: c}
	const grace = 6 * time.Second
	c.settings.Grace = grace
	p.stopBegan = c.shared.clock.now()
	stopAt := p.stopBegan + grace - stopMargin
	for _, test := range []struct {
		name string
		// after is the time since the stop began, quiet the time since the last packet.
		after, quiet time.Duration
		want         bool
	}{
		{"before two probes of the routers can have failed", minStopTime - 100*time.Millisecond, time.Second, false},
		{"while packets arrive", minStopTime + time.Second, idleStopTime / 2, false},
		{"when packets no longer arrive", minStopTime + 100*time.Millisecond, idleStopTime + 100*time.Millisecond, true},
		{"when the grace period is over", grace - stopMargin + 100*time.Millisecond, 0, true},
	} {
		now := c.shared.clock.now()
		c.shared.lastPacket.Store(int64(now - test.quiet))
		shift := test.after - (now - p.stopBegan)
		p.stopBegan -= shift
		if got := p.mayEnd(stopAt - shift); got != test.want {
			t.Errorf("%s: stopped is %v, want %v", test.name, got, test.want)
		}
		p.stopBegan += shift
	}
}

// Guards against late configurations that metrics cannot explain: one age for all kinds does not show that the watch of
// one kind fails while those of the others are answered, nor does it show the source of updates (issue 21).
func TestMetricsShowAgeByKindAndRole(t *testing.T) {
	c, _ := testControl(t)
	now := c.shared.clock.now()
	c.setState(feed.State{Role: feed.Reading})
	c.handleUpdate(&registry.Update{Kind: registry.Targets, AsOf: rev(7)}, now, false)
	c.handleUpdate(&registry.Update{Kind: registry.Configs, AsOf: rev(7)}, now-time.Minute, false)
	c.publish()
	var b strings.Builder
	c.metrics.set.WritePrometheus(&b)
	value := func(name string) float64 {
		_, rest, _ := strings.Cut(b.String(), name+" ")
		line, _, _ := strings.Cut(rest, "\n")
		v, err := strconv.ParseFloat(line, 64)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		return v
	}
	if age := value(`mangoweir_data_age_seconds{kind="targets"}`); age >= 60 {
		t.Errorf("the targets are %f s old", age)
	}
	if age := value(`mangoweir_data_age_seconds{kind="config"}`); age < 60 {
		t.Errorf("the configuration is %f s old, want a minute", age)
	}
	if value(`mangoweir_source_role{role="reader"}`) != 1 || value(`mangoweir_source_role{role="subscriber"}`) != 0 {
		t.Error("the role is not shown")
	}
}

// Guards against VMs that stay subscribed to each other, or to themselves, because each has read the store itself: they
// would never look for a reader again (day reader-cut on the grown site, a VM with a configuration 7.4 s old).
func TestRefreshedDataDoesNotMakeTheFeedFresh(t *testing.T) {
	c, _, conn := testSubscription(t)
	var e feed.Event
	e.Update, e.Refreshed = &registry.Update{Kind: registry.Targets, AsOf: rev(7)}, true
	e.ConfirmedAt[registry.Targets] = c.shared.clock.now()
	c.handleEvent(e)
	if c.registry.ConfirmedAt(registry.Targets) != e.ConfirmedAt[registry.Targets] {
		t.Error("the VM's own data does not count as confirmed")
	}
	c.heartbeat()
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	subscriber := bufio.NewReader(conn)
	for range 2 {
		var m feedpb.Message
		if err := protodelim.UnmarshalFrom(subscriber, &m); err != nil {
			t.Fatal(err)
		}
		if age := time.Duration(m.AgeMillis[registry.Targets]) * time.Millisecond; age < time.Minute {
			t.Errorf("subscribers are told an age of %s", age)
		}
	}
}

// Guards against a VM that is redirected to itself: its previous subscription was still open, and had the fewest VMs.
func TestNoRedirectToItself(t *testing.T) {
	c, server, _ := testSubscription(t)
	for len(c.subscribers) < feed.MaxSubscribers {
		c.subscribers = append(c.subscribers, c.subscribers[0])
	}
	again, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if _, err := protodelim.MarshalTo(again, &feedpb.Subscribe{Vm: "vm-2", Zone: "zone-a", Vms: 1}); err != nil {
		t.Fatal(err)
	}
	c.addSubscriber(<-server.Subscriptions())
	if err := again.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	var m feedpb.Message
	if err := protodelim.UnmarshalFrom(bufio.NewReader(again), &m); err == nil {
		t.Errorf("vm-2 is redirected to %q, its own subscription", m.Redirect)
	}
}

// rev returns a revision of a store that numbers no histories.
func rev(number uint64) registry.Revision { return registry.Revision{Number: number} }
