package target

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
)

var (
	testClient  = netip.MustParseAddrPort("127.0.0.1:4711")
	testService = netip.MustParseAddrPort("127.0.0.9:5683")
)

// testVM sends requests to a target and receives its answers as an entry VM does.
type testVM struct {
	target    *Target
	socket    *carrier.Socket
	answers   chan core.TargetAnswer
	lastToken core.AttemptToken
}

// newVM starts a target and returns a VM that sends to it.
func newVM(t *testing.T, opts Options) *testVM {
	opts.Service, opts.ReportsLoad = testService, true
	target, err := Start(opts)
	So(err, ShouldBeNil)
	v := &testVM{target: target}
	v.changeAddress(t)
	Reset(target.Close)
	return v
}

// changeAddress opens a socket with a new address, so that the target sees another VM.
func (v *testVM) changeAddress(t *testing.T) {
	socket, err := carrier.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	So(err, ShouldBeNil)
	answers := make(chan core.TargetAnswer, 1000)
	go socket.Serve(t.Context(), func(data []byte, from netip.AddrPort) {
		if a, _, err := carrier.DecodeAnswer(data, from); err == nil {
			answers <- a
		}
	})
	v.socket, v.answers = socket, answers
}

// request returns a request with a new token.
func (v *testVM) request(code codes.Code, payload string, opts ...message.Option) core.SendTarget {
	m := message.Message{Code: code, MessageID: 1, Payload: []byte(payload)}
	for _, o := range opts {
		carrier.AddOption(&m, o.ID, o.Value)
	}
	b, err := carrier.AppendDatagram(nil, carrier.Header{Source: testClient, Destination: testService}, &m)
	So(err, ShouldBeNil)
	req, _, err := carrier.DecodeRequest(b)
	So(err, ShouldBeNil)
	v.lastToken++
	return core.SendTarget{Token: v.lastToken, Request: req, Remaining: 5 * time.Second}
}

// send sends an attempt or a cancellation to the target and returns its token.
func (v *testVM) send(a core.SendTarget) core.AttemptToken {
	b, err := carrier.AppendSendTarget(nil, &a, testService)
	So(err, ShouldBeNil)
	So(v.socket.Write(b, v.target.Addr()), ShouldBeNil)
	return a.Token
}

// answer waits for the next answer and returns it with its CoAP message and its reply.
func (v *testVM) answer() (core.TargetAnswer, message.Message, Reply) {
	select {
	case a := <-v.answers:
		m, _ := carrier.ParseMessage(a.Payload)
		r, _ := ParseReply(m.Payload)
		return a, m, r
	case <-time.After(3 * time.Second):
		So("no answer within 3 s", ShouldBeEmpty)
		return core.TargetAnswer{}, message.Message{}, Reply{}
	}
}

// allTimes returns service times that are the same for all classes.
func allTimes(d time.Duration) (times [core.NumClasses]time.Duration) {
	for i := range times {
		times[i] = d
	}
	return times
}

// Guards against a posting that the stand-in itself runs twice: it would look like a fault of the load
// balancer.
func TestPostings(t *testing.T) {
	Convey("A posting runs once per attempt, and a second run of the same content is counted as a duplicate run", t, func() {
		v := newVM(t, Options{Name: "a", Slots: 2})
		post := v.request(codes.POST, "dues")
		v.send(post)
		_, m, r := v.answer()
		So(m.Code, ShouldEqual, codes.Changed)
		So(r, ShouldResemble, Reply{Target: "a", Boot: r.Boot, Key: ContentKey([]byte("dues"))})
		v.send(post)
		_, _, repeated := v.answer()
		So(repeated, ShouldResemble, r)
		So(v.target.opts.Ledger.DuplicateRuns(), ShouldEqual, 0)
		v.send(v.request(codes.POST, "dues"))
		v.answer()
		So(v.target.opts.Ledger.DuplicateRuns(), ShouldEqual, 1)
		v.send(v.request(codes.GET, "", message.Option{ID: carrier.OptionPath, Value: []byte(PathLedger)},
			message.Option{ID: carrier.OptionQuery, Value: []byte(QueryKey + r.Key)}))
		_, _, ledger := v.answer()
		So(ledger.Runs, ShouldEqual, 2)
	})
	Convey("A cancelled posting does not run, and a passed deadline gets no answer", t, func() {
		v := newVM(t, Options{Slots: 2, ServiceTime: allTimes(time.Hour)})
		post := v.request(codes.POST, "dues")
		v.send(post)
		post.Kind = core.SendCancel
		v.send(post)
		a, _, _ := v.answer()
		So(a.Status, ShouldEqual, core.AnswerCancelled)
		So(a.Token, ShouldEqual, post.Token)
		late := v.request(codes.POST, "late")
		late.Remaining = 10 * time.Millisecond
		v.send(late)
		time.Sleep(100 * time.Millisecond)
		s := v.target.Stats()
		So([]any{s.InUse, s.Expired, s.Cancelled, v.target.opts.Ledger.Len()}, ShouldResemble, []any{0, uint64(1), uint64(1), 0})
	})
}

// Guards against a cold target with the capacity of a warm one, and against breaches that are not counted.
func TestCold(t *testing.T) {
	Convey("A cold target sheds a request above its capacity and counts the breach", t, func() {
		v := newVM(t, Options{Slots: 4, StartCold: true, Cold: Cold{Warmup: time.Hour}, ServiceTime: allTimes(time.Hour)})
		v.send(v.request(codes.GET, ""))
		v.send(v.request(codes.GET, ""))
		a, _, _ := v.answer()
		So(a.Status, ShouldEqual, core.AnswerShed)
		So(*a.Load, ShouldResemble, core.LoadReport{InUse: 1, Slots: 4, Cold: true, BootID: a.Load.BootID})
		s := v.target.Stats()
		So([]any{s.ColdPeakInFlight, s.ColdBreaches, s.Capacity}, ShouldResemble, []any{2, uint64(1), 1})
	})
	Convey("A target that crashes on overload restarts cold with another boot id", t, func() {
		v := newVM(t, Options{Slots: 4, StartCold: true, Cold: Cold{CrashOnOverload: true, RestartDelay: 10 * time.Millisecond},
			ServiceTime: allTimes(time.Hour)})
		boot := v.target.Stats().Boot
		v.send(v.request(codes.GET, ""))
		v.send(v.request(codes.GET, ""))
		time.Sleep(200 * time.Millisecond)
		s := v.target.Stats()
		So([]any{s.Crashes, s.Up, s.Cold, s.InUse}, ShouldResemble, []any{uint64(1), true, true, 0})
		So(s.Boot, ShouldNotEqual, boot)
	})
	Convey("A cold target has its full capacity after the warm-up", t, func() {
		v := newVM(t, Options{Slots: 4, StartCold: true, Cold: Cold{Warmup: 50 * time.Millisecond}})
		time.Sleep(60 * time.Millisecond)
		So(v.target.Stats().Capacity, ShouldEqual, 4)
	})
}

// Guards against notifications to a VM that the feed has moved away from, and against feeds that never
// end.
func TestFeed(t *testing.T) {
	Convey("A feed moves with its client to another VM and ends on request", t, func() {
		v := newVM(t, Options{FeedInterval: 10 * time.Millisecond})
		sub := v.request(codes.GET, "", message.Option{ID: carrier.OptionObserve})
		v.send(sub)
		for want := range uint64(3) {
			a, _, r := v.answer()
			So(a.Status, ShouldEqual, core.AnswerNotification)
			So(r.Seq, ShouldEqual, want)
		}
		oldAnswers := v.answers
		v.changeAddress(t)
		v.send(sub)
		_, _, r := v.answer()
		So(r.Seq, ShouldBeGreaterThan, 2)
		So(v.target.Stats().Feeds, ShouldEqual, 1)
		time.Sleep(50 * time.Millisecond)
		So(len(oldAnswers), ShouldBeLessThan, 3)
		sub.Kind = core.SendCancel
		v.send(sub)
		for a, _, _ := v.answer(); a.Status != core.AnswerCancelled; a, _, _ = v.answer() {
			So(a.Token, ShouldEqual, sub.Token)
		}
		So(v.target.Stats().Feeds, ShouldEqual, 0)
	})
}

// Guards against uploads that are reported complete with content that differs from what was sent.
func TestUpload(t *testing.T) {
	block := func(n uint32, more bool) []message.Option {
		var m message.Message
		carrier.SetOptionUint(&m, carrier.OptionBlock1, carrier.Block{Num: n, More: more}.Value())
		carrier.SetOption(&m, carrier.OptionRequestTag, []byte("tag"))
		return m.Options
	}
	Convey("Blocks are joined in order, repeated blocks change nothing, gaps are refused", t, func() {
		v := newVM(t, Options{})
		put := func(body string, n uint32, more bool) (codes.Code, string) {
			v.send(v.request(codes.PUT, body, block(n, more)...))
			_, m, r := v.answer()
			return m.Code, r.Key
		}
		full := string(bytes.Repeat([]byte("x"), 16))
		for _, step := range []struct {
			body string
			n    uint32
			more bool
			want codes.Code
		}{
			{full, 1, true, codes.RequestEntityIncomplete}, {full, 0, true, codes.Continue},
			{full, 0, true, codes.Continue}, {"y", 2, false, codes.RequestEntityIncomplete},
			{"short", 1, true, codes.BadRequest}, {full, 1, true, codes.Continue},
			{"end", 2, false, codes.Changed}, {"end", 2, false, codes.Changed},
		} {
			code, key := put(step.body, step.n, step.more)
			So(code, ShouldEqual, step.want)
			if code == codes.Changed {
				So(key, ShouldEqual, ContentKey([]byte(full+full+"end")))
			}
		}
		So(v.target.Stats().UploadsDone, ShouldEqual, 1)
	})
}

// Guards against violations that the stand-in fails to count, and against a health endpoint that does
// not follow its mode.
func TestCounts(t *testing.T) {
	Convey("Stray packets are counted, a connection above the limit is refused, and probes are answered according to the health mode", t, func() {
		v := newVM(t, Options{Connections: 1, StartCold: true})
		stray, _ := carrier.AppendDatagram(nil, carrier.Header{Source: testClient, Destination: testClient}, &message.Message{Code: codes.GET})
		So(v.socket.Write(stray, v.target.Addr()), ShouldBeNil)
		v.send(v.request(codes.GET, ""))
		v.answer()
		other := v.request(codes.GET, "")
		other.Request.Flow.Port++
		v.send(other)
		a, _, _ := v.answer()
		So(a.Status, ShouldEqual, core.AnswerShed)
		So(v.target.Stats().StrayPackets, ShouldEqual, 1)

		probes := make(chan carrier.ProbeAnswer, 1)
		s, _ := carrier.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		go s.Serve(t.Context(), func(data []byte, _ netip.AddrPort) {
			p, _ := carrier.DecodeProbeAnswer(data)
			probes <- p
		})
		for mode, want := range map[HealthMode]carrier.ProbeAnswer{
			HealthCorrect:       {OK: true, Load: &core.LoadReport{Slots: 1, Cold: true}},
			HealthAlwaysOK:      {OK: true, Load: &core.LoadReport{Slots: 1}},
			HealthAlwaysFailing: {OK: false, Load: &core.LoadReport{Slots: 1, Cold: true}},
		} {
			v.target.SetBehavior(Behavior{Health: mode})
			b, _ := carrier.AppendProbe(nil, 9)
			So(s.Write(b, v.target.Addr()), ShouldBeNil)
			p := <-probes
			want.Token, want.Load.BootID = 9, p.Load.BootID
			So(p, ShouldResemble, want)
		}
	})
}
