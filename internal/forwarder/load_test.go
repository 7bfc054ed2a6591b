package forwarder

import (
	"bufio"
	"fmt"
	"log/slog"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/admission"
	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/core/targetload"
	"github.com/mangoweir/mangoweir/internal/feed"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

// loadTargets is the number of targets of service desk in each of zone-a and zone-b.
const loadTargets = 12

// loadControlThread returns a control thread of the given role in zone-a with a snapshot of 12 targets in each of two zones and
// routes of priorities 0 and 2, and a subscriber.
func loadControlThread(t *testing.T, role feed.Role) (*control, *bufio.Reader) {
	t.Helper()
	c, subscriber := testControl(t)
	c.setState(feed.State{Role: role})
	config := &registry.Config{Version: 1, Services: []registry.Service{{Name: "desk"}}}
	for i, priority := range []int{2, 0, 2} {
		config.Routes = append(config.Routes, registry.Route{
			Name: fmt.Sprintf("r-%d", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(i)}), 80), Priority: priority,
			Backends: []registry.Backend{{Service: "desk", Weight: 1}},
		})
	}
	targets := registry.Update{Kind: registry.Targets, Full: true, AsOf: rev(7)}
	for i := range 2 * loadTargets {
		zone := core.ZoneName("zone-a")
		if i >= loadTargets {
			zone = "zone-b"
		}
		targets.Records = append(targets.Records, registry.Record{Name: fmt.Sprintf("i-%d", i), Revision: rev(7), Target: &registry.Target{
			NumericID: uint64(i), StartMillis: 1000, Service: "desk", Slots: 2, Zone: zone,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}})
	}
	now := c.shared.clock.now()
	for _, u := range []registry.Update{
		targets,
		{Kind: registry.Configs, Full: true, AsOf: rev(7), Records: []registry.Record{{Name: registry.ConfigName, Revision: rev(3), Config: config}}},
		{Kind: registry.ZonesOut, Full: true, AsOf: rev(7)},
	} {
		c.registry.Apply(u, now)
	}
	c.publish()
	if c.snapshot == nil {
		t.Fatal("no snapshot")
	}
	return c, subscriber
}

// loadID returns the token of a target of loadControlThread.
func loadID(i int) targetload.ID {
	return targetload.ID(forward.NewToken(fmt.Sprintf("i-%d", i), 1000))
}

// loadReport returns reports of all targets of zone-a of which target 0 is ten times slower than the others, and of rejected requests of each.
func loadReport(rejected uint32) feed.LoadReports {
	reports := feed.LoadReports{Zone: "zone-a"}
	for i := range loadTargets {
		r := targetload.Report{ID: loadID(i), Responses: 10, Rejected: rejected, UrgentResponses: 5, UrgentRejected: rejected, Took: 400 * time.Millisecond, Work: 400 * time.Millisecond, UrgentWork: 100 * time.Millisecond}
		if i == 0 {
			r.Took *= 10
		}
		reports.Reports = append(reports.Reports, r)
	}
	return reports
}

// nextLoad returns the next summary that a subscriber gets, or nil when there is none until its connection's deadline.
func nextLoad(subscriber *bufio.Reader) *feedpb.LoadSummary {
	for {
		var m feedpb.Message
		if protodelim.UnmarshalFrom(subscriber, &m) != nil {
			return nil
		}
		if m.Load != nil {
			return m.Load
		}
	}
}

// receivedLoad returns a load of zone-a with a slow target, a share and a reservation.
func receivedLoad() *feed.Load {
	return &feed.Load{
		Zone: "zone-a",
		Summary: targetload.Summary{
			Targets:  []targetload.TargetLoad{{ID: loadID(0), Slowness: 8}},
			Services: []targetload.ServiceLoad{{Service: "desk@zone-a", Slowness: 1, Rejected: 0.1}},
		},
		Policy: admission.Policy{
			Shares:       []admission.Share{{Service: "desk", Priority: 2, Admitted: 0.25}},
			Reservations: []admission.Reservation{{Service: "desk", Fraction: 0.25}},
		},
	}
}

// metricLine returns the line of a metric.
func metricLine(c *control, name string) string {
	var b strings.Builder
	c.metrics.set.WritePrometheus(&b)
	for line := range strings.Lines(b.String()) {
		if strings.HasPrefix(line, name+" ") {
			return strings.TrimSpace(strings.TrimPrefix(line, name))
		}
	}
	return "missing"
}

// Guards against reports that do not reach the pool of the zone's reader, and against a summary that does not reach its subscribers or
// the reader itself, or that lacks what tables and gates need.
func TestReportsBecomeASummary(t *testing.T) {
	c, subscriber := loadControlThread(t, feed.Reading)
	c.handleLoadReports(loadReport(5))
	now := c.shared.clock.now()
	c.updateLoad(now)
	pb := nextLoad(subscriber)
	if pb == nil {
		t.Fatal("the subscriber got no summary")
	}
	if pb.Zone != "zone-a" || len(pb.Targets) == 0 || pb.Targets[0].Token != uint32(loadID(0)) || len(pb.Services) != 2 ||
		pb.Services[0].Service != "desk@zone-a" || pb.Services[0].RejectedPermille == 0 ||
		pb.Services[1].Service != "desk" || pb.Services[1].ReservedPermille == 0 {
		t.Errorf("summary %v", pb)
	}
	if len(pb.Shares) != 1 || pb.Shares[0].Priority != 2 || pb.Shares[0].Permille >= 1000 {
		t.Errorf("shares %v, want one of priority 2", pb.Shares)
	}
	if w := c.shared.loadTable.Load().Weight(loadID(0), "desk@zone-a", now); w >= 1 {
		t.Errorf("the weight of the slow target at the reader is %f", w)
	}
	if c.shared.gate.Load().Admits("desk", 2, 0.99, now) || !c.shared.gate.Load().Admits("desk", 0, 0.99, now) {
		t.Error("the reader's gate does not distinguish the priorities")
	}
	for name, want := range map[string]string{
		"mangoweir_load_reports_total": "12", "mangoweir_load_summaries_total": "1", "mangoweir_load_malformed_total": "0", "mangoweir_slow_targets": "1",
	} {
		if got := metricLine(c, name); got != want {
			t.Errorf("%s is %s, want %s", name, got, want)
		}
	}
}

// Guards against summaries that are computed before they are due, and against a summary that stays in force because the reader does not
// send that it has become empty.
func TestEmptySummaryIsSentOnce(t *testing.T) {
	c, subscriber := loadControlThread(t, feed.Reading)
	now := c.shared.clock.now()
	c.updateLoad(now)
	c.handleLoadReports(loadReport(0))
	c.updateLoad(now)
	c.updateLoad(now + loadInterval/2)
	// In steps of a second the messages fit into the subscriber's queue.
	for at := now + loadInterval; at < now+2*time.Minute; at += time.Second {
		c.updateLoad(at)
	}
	var loads []*feedpb.LoadSummary
	for pb := nextLoad(subscriber); pb != nil; pb = nextLoad(subscriber) {
		loads = append(loads, pb)
	}
	empty := 0
	for _, pb := range loads {
		if len(pb.Targets)+len(pb.Services)+len(pb.Shares) == 0 {
			empty++
		}
	}
	if len(loads) < 5 || empty != 1 {
		t.Errorf("%d summaries, %d of them empty, want one", len(loads), empty)
	}
	if c.computesLoad(now + 2*time.Minute) {
		t.Error("the reader still computes summaries")
	}
}

// Guards against reports that two VMs which borrow from each other exchange endlessly, reports of another zone in the pool, and
// reports that do not reach the zone's reader.
func TestLoadReportsAreSentTowardsTheReader(t *testing.T) {
	for role, want := range map[feed.Role]int{feed.Borrowing: 0, feed.Searching: 0, feed.Reading: 0, feed.Subscribed: loadTargets} {
		c, _ := loadControlThread(t, role)
		other := loadReport(0)
		other.Zone = "zone-b"
		c.handleLoadReports(other)
		if n := c.source.LoadsQueued(); n != 0 {
			t.Errorf("%s: %d reports of another zone are sent on", role, n)
		}
		c.handleLoadReports(loadReport(0))
		if got := c.source.LoadsQueued(); got != want {
			t.Errorf("%s: %d reports are sent on, want %d", role, got, want)
		}
		if computes := c.computesLoad(c.shared.clock.now()); computes != (role == feed.Reading) {
			t.Errorf("%s: computes a load: %v", role, computes)
		}
	}
}

// Guards against reports of targets that nobody knows, which would fill the pool.
func TestReportsOfUnknownTargetsAreCounted(t *testing.T) {
	c, _ := loadControlThread(t, feed.Reading)
	reports := loadReport(0)
	reports.Malformed = 2
	reports.Reports = append(reports.Reports, targetload.Report{ID: 1, Responses: 1, Took: time.Second, Work: time.Second})
	c.handleLoadReports(reports)
	if got := metricLine(c, "mangoweir_load_malformed_total"); got != "3" {
		t.Errorf("%s reports count as malformed, want 3", got)
	}
}

// Guards against a summary that a subscriber does not apply or send on, and against one that two VMs which borrow from each other
// exchange endlessly.
func TestSummaryIsAppliedAndSentOnOnce(t *testing.T) {
	for _, role := range []feed.Role{feed.Subscribed, feed.Borrowing} {
		c, subscriber := loadControlThread(t, role)
		now := c.shared.clock.now()
		at := now - 40*time.Millisecond
		for i := range 3 {
			// A copy that comes back appears to be slightly newer, since its age is an estimate.
			c.handleEvent(feed.Event{Load: receivedLoad(), LoadAt: at + time.Duration(i)*5*time.Millisecond})
		}
		if got := c.shared.loadTable.Load().Slowness(loadID(0), "desk@zone-a", now); got != 8 {
			t.Errorf("%s: the slowness is %f, want 8", role, got)
		}
		if got := c.shared.gate.Load().ReservedFraction("desk", now); got != 0.25 {
			t.Errorf("%s: the reserved fraction is %f, want 0.25", role, got)
		}
		first := nextLoad(subscriber)
		if first == nil || first.AgeMillis < 40 || len(first.Targets) != 1 || len(first.Shares) != 1 {
			t.Errorf("%s: the subscriber got %v", role, first)
		}
		if again := nextLoad(subscriber); again != nil {
			t.Errorf("%s: the summary was sent again: %v", role, again)
		}
	}
}

// Guards against a summary of another zone, an old one (this VM was paused), one that reaches the reader itself, and a message of an
// earlier release without one, that change anything.
func TestSummariesThatAreIgnored(t *testing.T) {
	zoneB := receivedLoad()
	zoneB.Zone = "zone-b"
	for _, test := range []struct {
		name string
		role feed.Role
		load *feed.Load
		age  time.Duration
	}{
		{"of another zone", feed.Subscribed, zoneB, 0},
		{"old", feed.Subscribed, receivedLoad(), maxLoadAge + time.Millisecond},
		{"at the reader", feed.Reading, receivedLoad(), 0},
		{"none", feed.Subscribed, nil, 0},
	} {
		c, subscriber := loadControlThread(t, test.role)
		c.handleEvent(feed.Event{ZoneVMs: 3, Load: test.load, LoadAt: c.shared.clock.now() - test.age})
		if c.shared.loadTable.Load() != nil || c.shared.gate.Load() != nil {
			t.Errorf("%s: a table or gate is in force", test.name)
		}
		if pb := nextLoad(subscriber); pb != nil {
			t.Errorf("%s: the subscriber got %v", test.name, pb)
		}
	}
}

// Guards against a table, shares and metrics that stay in force after the reader was lost.
func TestLoadOfALostReaderAgesOut(t *testing.T) {
	c, _ := loadControlThread(t, feed.Subscribed)
	at := c.shared.clock.now() - maxLoadAge + 200*time.Millisecond
	c.handleEvent(feed.Event{Load: receivedLoad(), LoadAt: at})
	share, reserved := `mangoweir_admitted_share{service="desk",priority="2"}`, `mangoweir_reserved_fraction{service="desk"}`
	check := func(when string, now time.Duration, slowness float64, admits bool, want map[string]string) {
		t.Helper()
		if got := c.shared.loadTable.Load().Slowness(loadID(0), "desk@zone-a", now); got != slowness {
			t.Errorf("%s: the slowness is %f, want %f", when, got, slowness)
		}
		if got := c.shared.gate.Load().Admits("desk", 2, 0.9, now); got != admits {
			t.Errorf("%s: admitted: %v", when, got)
		}
		for name, value := range want {
			if got := metricLine(c, name); got != value {
				t.Errorf("%s: %s is %s, want %s", when, name, got, value)
			}
		}
	}
	check("before", at+maxLoadAge-100*time.Millisecond, 8, false, map[string]string{share: "0.25", reserved: "0.25", "mangoweir_slow_targets": "1"})
	time.Sleep(250 * time.Millisecond)
	check("after", c.shared.clock.now(), 1, true, map[string]string{share: "1", reserved: "0.25", "mangoweir_slow_targets": "0"})
}

// Guards against entries of targets, services and priorities that this VM does not know, and against a share of the most
// urgent priority, whose flows are always admitted.
func TestUnknownLoadEntriesHaveNoEffect(t *testing.T) {
	c, subscriber := loadControlThread(t, feed.Subscribed)
	load := receivedLoad()
	load.Summary.Targets = append(load.Summary.Targets, targetload.TargetLoad{ID: 1, Slowness: 9})
	load.Summary.Services = append(load.Summary.Services, targetload.ServiceLoad{Service: "other", Slowness: 9})
	load.Policy.Shares = append(load.Policy.Shares, admission.Share{Service: "desk", Priority: 0, Admitted: 0.5}, admission.Share{Service: "desk", Priority: 1, Admitted: 0.5})
	load.Policy.Reservations = append(load.Policy.Reservations, admission.Reservation{Service: "other", Fraction: 0.5})
	known, unknown := c.knownLoad(load)
	if unknown != 5 || !reflect.DeepEqual(known, receivedLoad()) {
		t.Errorf("%d unknown entries, want 5; known %+v", unknown, known)
	}
	now := c.shared.clock.now()
	c.handleEvent(feed.Event{Load: load, LoadAt: now})
	if !c.shared.gate.Load().Admits("desk", 0, 0.99, now) || c.shared.gate.Load().Admits("desk", 2, 0.99, now) {
		t.Error("the gate does not distinguish the priorities")
	}
	// Other VMs may know more than this one.
	if pb := nextLoad(subscriber); pb == nil || len(pb.Targets) != 2 {
		t.Errorf("the subscriber got %v", pb)
	}
}

// Guards against a new reader that decides by reports from an earlier time in the role.
func TestNewReaderStartsEmpty(t *testing.T) {
	c, _ := loadControlThread(t, feed.Reading)
	c.handleLoadReports(loadReport(5))
	c.setState(feed.State{Role: feed.Subscribed})
	c.setState(feed.State{Role: feed.Reading})
	c.updateLoad(c.shared.clock.now())
	if c.shared.loadTable.Load() != nil {
		t.Error("a load was computed without reports")
	}
}

// Guards against wrong capacities and priorities in admission decisions.
func TestAdmissionLoads(t *testing.T) {
	c, _ := loadControlThread(t, feed.Reading)
	summary := &targetload.Summary{Services: []targetload.ServiceLoad{
		{Service: "desk@zone-a", Slowness: 2, Rejected: 0.3, UrgentRejected: 0.1, Slots: 24, UrgentSlots: 3}, {Service: "desk@zone-b", Slowness: 1, UrgentSlots: 1},
	}}
	want := admission.Load{Service: "desk", Slowness: 2, Rejected: 0.1, Slots: 2 * loadTargets, UrgentSlots: 4, Targets: loadTargets, Priorities: []int{0, 2}}
	load := func() admission.Load {
		c.load.capacity = newLoadCapacity(c.snapshot)
		return c.admissionLoads(summary)[0]
	}
	if got := load(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if n := len(c.load.capacity.groups); n != 2*loadTargets {
		t.Errorf("%d targets in groups, want those of both zones", n)
	}
	c.registry.Apply(registry.Update{Kind: registry.ZonesOut, AsOf: rev(8), Records: []registry.Record{{Name: "zone-a", Revision: rev(8)}}}, c.shared.clock.now())
	c.publish()
	want.Slowness, want.Rejected, want.UrgentSlots = 1, 0, 1
	if got := load(); !reflect.DeepEqual(got, want) {
		t.Errorf("with the own zone out: got %+v, want the capacity and load of the other zone, %+v", got, want)
	}
}

// Guards against changes of the load that the log does not show, and against a log line for each summary.
func TestLoadLog(t *testing.T) {
	c, _ := loadControlThread(t, feed.Subscribed)
	var lines []string
	log := slog.New(slog.NewTextHandler(writerFunc(func(b []byte) (int, error) {
		lines = append(lines, string(b))
		return len(b), nil
	}), nil))
	var l loadLog
	for range 3 {
		l.update(log, receivedLoad(), c.target)
	}
	slight := receivedLoad()
	slight.Policy.Shares[0].Admitted = 0.3
	slight.Summary.Targets[0].Slowness = 2.5
	l.update(log, slight, c.target)
	l.update(log, &feed.Load{Zone: "zone-a"}, c.target)
	want := []string{"a target is slow", "a service is short of capacity", "an admitted share changed", "a target is no longer slow", "a service is no longer short of capacity", "an admitted share changed"}
	if len(lines) != len(want) {
		t.Fatalf("%d lines: %q", len(lines), lines)
	}
	for i := range want {
		if !strings.Contains(lines[i], want[i]) {
			t.Errorf("line %d is %q, want %q", i, lines[i], want[i])
		}
	}
	lines = nil
	many := &feed.Load{Zone: "zone-a"}
	for i := range 2 * loadTargets {
		many.Summary.Targets = append(many.Summary.Targets, targetload.TargetLoad{ID: loadID(i), Slowness: 8})
	}
	if slow := l.update(log, many, c.target); slow != 2*loadTargets || len(lines) > loadLogLinesPerSecond {
		t.Errorf("%d slow targets, %d lines", slow, len(lines))
	}
	if slices.ContainsFunc(lines, func(s string) bool { return !strings.Contains(s, "target=i-") }) {
		t.Errorf("lines without the target's name: %q", lines)
	}
}

type writerFunc func(b []byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// Guards against loads that are late because nothing wakes the reader, and against a tick, which goes through all targets, for each load.
func TestTimerComputesLoads(t *testing.T) {
	c, subscriber := loadControlThread(t, feed.Reading)
	now := c.shared.clock.now()
	c.heartbeatAt = now + time.Hour
	c.handleLoadReports(loadReport(0))
	if wait := c.untilTimer(); wait != 0 {
		t.Errorf("the first load is due in %s", wait)
	}
	c.handleTimer()
	if nextLoad(subscriber) == nil {
		t.Error("no load was sent")
	}
	if c.settingsChecked != 0 {
		t.Error("a load caused a tick")
	}
	if wait := c.untilTimer(); wait <= 0 || wait > loadInterval {
		t.Errorf("the next load is due in %s, want at most %s", wait, loadInterval)
	}
}

// Guards against a reader that spends its processor time on the targets of each snapshot, and against one that never takes over new
// targets.
func TestCapacityIsUpdatedLessOftenWithManyTargets(t *testing.T) {
	c, _ := loadControlThread(t, feed.Reading)
	now := c.shared.clock.now()
	c.load.updateCapacity(c.snapshot, now)
	next := *c.snapshot
	due := now + 2*loadTargets*capacityTimePerTarget
	if c.load.updateCapacity(&next, due-1); c.load.capacityOf == &next {
		t.Error("the capacity was computed too early")
	}
	if c.load.updateCapacity(&next, due); c.load.capacityOf != &next {
		t.Error("the capacity was not computed when due")
	}
}

// Guards against control traffic that grows with the number of services.
func TestLargeLoadsAreSentLessOften(t *testing.T) {
	c, subscriber := loadControlThread(t, feed.Reading)
	now := c.shared.clock.now()
	next := *c.snapshot
	next.Routes = map[forward.Endpoint]*forward.Route{}
	reports := feed.LoadReports{Zone: "zone-a"}
	for i := range loadTargets {
		id := loadID(i)
		name := fmt.Sprintf("%s-%d", strings.Repeat("service", 20), i)
		service := &forward.Service{Name: name, Local: []*forward.Target{c.target(id)}}
		next.Routes[forward.Endpoint{Port: uint32(i)}] = &forward.Route{Backends: []forward.Backend{{Service: service, Weight: 1}}}
		reports.Reports = append(reports.Reports, targetload.Report{ID: id, Responses: 1, Took: time.Second, Work: time.Second})
	}
	c.snapshot = &next
	c.handleLoadReports(reports)
	c.updateLoad(now)
	size := proto.Size(nextLoad(subscriber))
	if wait := c.load.dueAt - now; float64(size)/wait.Seconds() > 4001 {
		t.Errorf("%d bytes are sent every %s", size, wait)
	}
}

// BenchmarkLoadCapacity measures what a new snapshot costs the reader of a zone, in the largest deployment.
func BenchmarkLoadCapacity(b *testing.B) {
	service := &forward.Service{Name: "desk"}
	for i := range 76_000 {
		target := &forward.Target{Token: forward.Token(i * 2_654_435_761), Service: "desk", Slots: 2}
		if i%3 == 0 {
			service.Local = append(service.Local, target)
		} else {
			service.Remote = append(service.Remote, target)
		}
	}
	snapshot := &forward.Snapshot{Routes: map[forward.Endpoint]*forward.Route{{}: {Backends: []forward.Backend{{Service: service, Weight: 1}}}}}
	for b.Loop() {
		newLoadCapacity(snapshot)
	}
}
