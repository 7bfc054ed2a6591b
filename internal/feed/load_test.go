package feed

import (
	"fmt"
	"log/slog"
	"math"
	"net"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/mangoweir/mangoweir/core/admission"
	"github.com/mangoweir/mangoweir/core/targetload"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

// testLoad returns a load with a value in each field.
func testLoad() *Load {
	return &Load{
		Zone: "sfax-medina", Age: 300 * time.Millisecond,
		Summary: targetload.Summary{
			Targets:  []targetload.TargetLoad{{ID: 0xfedcba98, Slowness: 6.25}, {ID: 7, Slowness: 1.5}},
			Services: []targetload.ServiceLoad{{Service: "huvo11a", Slowness: 1.75, Rejected: 0.125}, {Service: "b", Slowness: 1}},
		},
		Policy: admission.Policy{
			Shares:       []admission.Share{{Service: "huvo11a", Priority: 2, Admitted: 0.25}, {Service: "huvo11a", Priority: -1, Admitted: 0.5}},
			Reservations: []admission.Reservation{{Service: "huvo11a", Fraction: 0.25}, {Service: "c", Fraction: 0.5}},
		},
	}
}

// Guards against a malformed entry that takes effect, that is not counted, or that takes valid entries with it.
func TestMalformedLoadEntriesAreDropped(t *testing.T) {
	valid := encodeLoad(testLoad())
	tests := map[string]func(pb *feedpb.LoadSummary){
		"target without slowness": func(pb *feedpb.LoadSummary) { pb.Targets = append(pb.Targets, &feedpb.TargetLoad{Token: 9}) },
		"target of absurd slowness": func(pb *feedpb.LoadSummary) {
			pb.Targets = append(pb.Targets, &feedpb.TargetLoad{Token: 9, SlownessPercent: math.MaxUint32})
		},
		"second entry of a target": func(pb *feedpb.LoadSummary) {
			pb.Targets = append(pb.Targets, &feedpb.TargetLoad{Token: 7, SlownessPercent: 900})
		},
		"service without a name": func(pb *feedpb.LoadSummary) {
			pb.Services = append(pb.Services, &feedpb.ServiceLoad{SlownessPercent: 100})
		},
		"service with nothing": func(pb *feedpb.LoadSummary) {
			pb.Services = append(pb.Services, &feedpb.ServiceLoad{Service: "x"})
		},
		"more rejections than requests": func(pb *feedpb.LoadSummary) {
			pb.Services = append(pb.Services, &feedpb.ServiceLoad{Service: "x", SlownessPercent: 100, RejectedPermille: 1001})
		},
		"more than all targets reserved": func(pb *feedpb.LoadSummary) {
			pb.Services = append(pb.Services, &feedpb.ServiceLoad{Service: "x", SlownessPercent: 100, ReservedPermille: 1001})
		},
		"share that starves a priority": func(pb *feedpb.LoadSummary) {
			pb.Shares = append(pb.Shares, &feedpb.AdmittedShare{Service: "x", Priority: 1})
		},
		"share above 1": func(pb *feedpb.LoadSummary) {
			pb.Shares = append(pb.Shares, &feedpb.AdmittedShare{Service: "x", Priority: 1, Permille: 1001})
		},
	}
	for name, add := range tests {
		pb := proto.CloneOf(valid)
		add(pb)
		got := decodeLoad(pb)
		if got.Malformed != 1 {
			t.Errorf("%s: %d entries count as malformed, want 1", name, got.Malformed)
		}
		if got.Malformed = 0; !reflect.DeepEqual(got, testLoad()) {
			t.Errorf("%s: the valid entries are %+v", name, got)
		}
	}
}

// Guards against reports of absurd values that reach the pool, or that take valid reports with them.
func TestMalformedReportsAreDropped(t *testing.T) {
	valid := &feedpb.LoadReport{Token: 7, Responses: 3, Rejected: 1, TookMillis: 900, WorkMillis: 400, UrgentWorkMillis: 100}
	want := targetload.Report{ID: 7, Responses: 3, Rejected: 1, Took: 900 * time.Millisecond, Work: 400 * time.Millisecond, UrgentWork: 100 * time.Millisecond}
	for name, bad := range map[string]*feedpb.LoadReport{
		"no requests":                {Token: 8},
		"requests that overflow":     {Token: 8, Responses: math.MaxUint32, Rejected: math.MaxUint32},
		"time without a response":    {Token: 8, Rejected: 1, TookMillis: 5},
		"response of an hour":        {Token: 8, Responses: 1, TookMillis: 3_600_000},
		"work of an hour":            {Token: 8, Responses: 1, WorkMillis: 3_600_000},
		"more urgent work than work": {Token: 8, Responses: 1, WorkMillis: 5, UrgentWorkMillis: 6},
	} {
		got, malformed := decodeReports([]*feedpb.LoadReport{bad, valid})
		if malformed != 1 || len(got) != 1 || got[0] != want {
			t.Errorf("%s: %d malformed, reports %+v", name, malformed, got)
		}
	}
}

// Guards against reports that this VM encodes and the reader drops: durations are rounded, and the urgent work must not
// exceed the work by that.
func TestReportRoundTrip(t *testing.T) {
	in := []targetload.Report{{ID: 1, Responses: 2, Took: 1_499 * time.Microsecond, Work: 1_500 * time.Microsecond, UrgentWork: 1_500 * time.Microsecond}}
	want := []targetload.Report{{ID: 1, Responses: 2, Took: time.Millisecond, Work: 2 * time.Millisecond, UrgentWork: 2 * time.Millisecond}}
	if got, malformed := decodeReports(encodeReports(in)); malformed != 0 || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %d malformed", got, malformed)
	}
}

// Guards against figures that are no numbers or out of range in a message.
func TestAbsurdLoadIsEncodedWithinRange(t *testing.T) {
	for _, value := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		l := &Load{Age: -time.Hour, Summary: targetload.Summary{Services: []targetload.ServiceLoad{{Service: "a", Slowness: value, Rejected: value}}}}
		l.Policy.Reservations = []admission.Reservation{{Service: "a", Fraction: value}}
		if got := decodeLoad(encodeLoad(l)); got.Malformed != 0 || got.Age != 0 || len(got.Summary.Services) != 1 {
			t.Errorf("%f: decoded as %+v", value, got)
		}
	}
}

// Guards against control traffic that grows with the deployment: reports and summaries must each stay within 5 KB per second
// of a VM, with 150 bytes of the rest of the message.
func TestLoadMessagesAreBounded(t *testing.T) {
	load := &Load{Zone: "sfax-medina"}
	var reports []targetload.Report
	for i := range 1000 {
		name := fmt.Sprintf("service-%04d", i)
		load.Summary.Targets = append(load.Summary.Targets, targetload.TargetLoad{ID: targetload.ID(i), Slowness: 6})
		load.Summary.Services = append(load.Summary.Services, targetload.ServiceLoad{Service: name, Slowness: 1.5})
		reports = append(reports, targetload.Report{ID: targetload.ID(i), Responses: 5, Rejected: 1, Took: time.Second, Work: 200 * time.Millisecond, UrgentWork: time.Millisecond})
	}
	load.Policy.Reservations = []admission.Reservation{{Service: "service-0999", Fraction: 0.5}}
	pb := encodeLoad(load)
	if len(pb.Targets) != maxLoadEntries || len(pb.Services) != maxLoadEntries || pb.Services[0].ReservedPermille != 500 {
		t.Errorf("%d targets and %d services, the first of which is %v", len(pb.Targets), len(pb.Services), pb.Services[0])
	}
	load.Summary.Services = load.Summary.Services[:2]
	summarySize := proto.Size(encodeLoad(load))
	reportsSize := proto.Size(&feedpb.Subscribe{LoadReports: encodeReports(reports)})
	t.Logf("%d bytes with %d targets, %d bytes with %d reports", summarySize, maxLoadEntries, reportsSize, maxLoadEntries)
	q := loadQueue{sentAt: time.Second, sent: maxLoadEntries}
	for size, interval := range map[int]time.Duration{summarySize: 250 * time.Millisecond, reportsSize: q.nextSend() - q.sentAt} {
		if perSecond := float64(size+150) / interval.Seconds(); perSecond > 5000 {
			t.Errorf("%d bytes every %s are %.0f per second", size, interval, perSecond)
		}
	}
}

// Guards against a VM that relays the reports of 16 others with a message for each, and against old reports that are sent
// when a feed returns.
func TestLoadQueue(t *testing.T) {
	var q loadQueue
	report := func(id targetload.ID, work time.Duration) []targetload.Report {
		return []targetload.Report{{ID: id, Responses: 1, Took: work, Work: work}}
	}
	now := 5 * time.Second
	if wait, schedule := q.add(report(1, time.Millisecond), now); !schedule || wait != 0 {
		t.Errorf("the first report waits %s (%v)", wait, schedule)
	}
	if got := q.take(now); len(got) != 1 {
		t.Errorf("%d reports, want 1", len(got))
	}
	now += 100 * time.Millisecond
	if wait, schedule := q.add(report(1, time.Millisecond), now); !schedule || wait != loadReportInterval-100*time.Millisecond {
		t.Errorf("the second report waits %s (%v)", wait, schedule)
	}
	if _, schedule := q.add(report(1, 2*time.Millisecond), now); schedule {
		t.Error("two sends are scheduled")
	}
	if got := q.take(now); got != nil {
		t.Errorf("%d reports are sent too early", len(got))
	}
	for id := range targetload.ID(2 * maxLoadEntries) {
		q.add(report(1000+id, time.Duration(id)*time.Microsecond), now)
	}
	now += loadReportInterval
	got := q.take(now)
	if len(got) != maxLoadEntries || got[0].ID != 1 || got[0].Responses != 2 || got[0].Work != 3*time.Millisecond {
		t.Errorf("%d reports, the first of which is %+v", len(got), got[0])
	}
	if wait, _ := q.add(report(1, time.Millisecond), now); wait != maxLoadEntries*loadReportSpacing {
		t.Errorf("the next report waits %s after a full message", wait)
	}
	now += maxQueuedLoadAge + time.Millisecond
	if got := q.take(now); got != nil {
		t.Errorf("%d old reports are sent", len(got))
	}
	if _, schedule := q.add(report(1, time.Millisecond), now); !schedule {
		t.Error("no send is scheduled after old reports were discarded")
	}
}

// Guards against reports that are lost on the way to the VM that this one subscribes to, and against a subscription without
// reports (an earlier release) that is taken for one with them.
func TestReportsReachTheServer(t *testing.T) {
	server, err := Listen("127.0.0.1:0", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := protodelim.MarshalTo(conn, &feedpb.Subscribe{Vm: "vm-2", Zone: "zone-a"}); err != nil {
		t.Fatal(err)
	}
	<-server.Subscriptions()
	s := testSource(&readerStore{}, make(chan Event, 16))
	s.ReportLoad([]targetload.Report{{ID: 7, Responses: 1, Took: time.Second, Work: time.Second}, {ID: 8}})
	s.sendSubscribeIfDue(&feedConn{conn: conn})
	select {
	case got := <-server.Loads():
		want := LoadReports{Zone: "zone-a", Reports: []targetload.Report{{ID: 7, Responses: 1, Took: time.Second, Work: time.Second}}}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v", got)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no reports")
	}
	if n := s.LoadsQueued(); n != 0 {
		t.Errorf("%d targets are still queued", n)
	}
}

// Guards against a summary whose age counts from the wrong time, as this VM was paused or the message waited on a small link, and
// against a message of an earlier release, without a summary, that is taken for an empty one.
func TestSummaryIsDeliveredWithItsTime(t *testing.T) {
	events := make(chan Event, 1)
	s := testSource(&readerStore{}, events)
	for _, load := range []*Load{testLoad(), nil} {
		message := Message{Load: load, ZoneVMs: 3}
		message.addDelay(time.Second)
		before := s.Now()
		s.deliver(t.Context(), message)
		after := s.Now()
		e := <-events
		age := 1300 * time.Millisecond
		if load != nil && (e.Load != load || e.LoadAt < before-age || e.LoadAt > after-age) {
			t.Errorf("the summary is from %s, want %s", e.LoadAt, before-age)
		}
		if load == nil && e.Load != nil {
			t.Errorf("a message without a summary has %+v", e.Load)
		}
	}
}

// FuzzLoad guards against reports and summaries that make the decoders panic, and against decoded values out of range.
func FuzzLoad(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		var subscribe feedpb.Subscribe
		if proto.Unmarshal(b, &subscribe) == nil {
			reports, malformed := decodeReports(subscribe.LoadReports)
			if len(reports)+malformed != len(subscribe.LoadReports) {
				t.Errorf("%d valid and %d malformed of %d reports", len(reports), malformed, len(subscribe.LoadReports))
			}
			if again, malformed := decodeReports(encodeReports(reports)); malformed != 0 || !reflect.DeepEqual(again, reports) {
				t.Errorf("reports %+v become %+v, %d malformed", reports, again, malformed)
			}
		}
		var message feedpb.Message
		if proto.Unmarshal(b, &message) != nil || message.Load == nil {
			return
		}
		load := decodeLoad(message.Load)
		if load.Age < 0 || load.Malformed < 0 {
			t.Errorf("age %s, %d malformed", load.Age, load.Malformed)
		}
		load.Malformed = 0
		if again := decodeLoad(encodeLoad(load)); !reflect.DeepEqual(again, load) {
			t.Errorf("load %+v becomes %+v", load, again)
		}
	})
}
