package carrier

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/mangoweir/mangoweir/core"
	_ "github.com/mangoweir/mangoweir/internal/fixedseed"
)

var (
	testClient  = netip.MustParseAddrPort("127.0.0.1:4711")
	testService = netip.MustParseAddrPort("127.0.0.9:5683")
)

// datagram returns a datagram from the test client to the test service.
func datagram(m message.Message) []byte {
	b, err := AppendDatagram(nil, Header{Source: testClient, Destination: testService}, &m)
	if err != nil {
		panic(err)
	}
	return b
}

// withOptions returns a confirmable message with the given options.
func withOptions(code codes.Code, opts ...message.Option) message.Message {
	m := message.Message{Code: code, MessageID: 77, Token: []byte{1, 2}}
	for _, o := range opts {
		AddOption(&m, o.ID, o.Value)
	}
	return m
}

// Guards against a request that runs twice because it is wrongly taken for idempotent, and against uploads
// or live feeds in the wrong class.
func TestRequestKinds(t *testing.T) {
	opt := func(id message.OptionID, v uint32) message.Option {
		return message.Option{ID: id, Value: uintBytes(v)}
	}
	upload := message.Option{ID: OptionPath, Value: []byte(UploadPath)}
	Convey("The method and the options determine the kind and class of a request", t, func() {
		for _, c := range []struct {
			name       string
			m          message.Message
			method     core.Method
			class      core.Class
			idempotent bool
			sticky     bool
		}{
			{"GET", withOptions(codes.GET), core.MethodOther, core.ClassRead, true, false},
			{"Observe 0", withOptions(codes.GET, opt(OptionObserve, 0)), core.MethodSubscribe, core.ClassFeed, true, false},
			{"Observe 1", withOptions(codes.GET, opt(OptionObserve, 1)), core.MethodUnsubscribe, core.ClassFeed, true, false},
			{"POST with Observe", withOptions(codes.POST, opt(OptionObserve, 0)), core.MethodOther, core.ClassPosting, false, false},
			{"PATCH", withOptions(codes.PATCH), core.MethodOther, core.ClassPosting, false, false},
			{"unknown method", withOptions(codes.Code(31)), core.MethodOther, core.ClassPosting, false, false},
			{"PUT", withOptions(codes.PUT), core.MethodOther, core.ClassPosting, true, false},
			{"PUT Block1", withOptions(codes.PUT, opt(OptionBlock1, 0)), core.MethodOther, core.ClassUpload, true, true},
			{"PUT upload path", withOptions(codes.PUT, upload), core.MethodOther, core.ClassUpload, true, false},
			{"POST Block1", withOptions(codes.POST, opt(OptionBlock1, 8)), core.MethodOther, core.ClassUpload, false, true},
		} {
			req, service, err := DecodeRequest(datagram(c.m))
			So(err, ShouldBeNil)
			So(service, ShouldEqual, testService)
			So(req.Flow, ShouldEqual, core.NewFlowKey(testClient, 0))
			got := []any{c.name, req.Method, req.Class, req.Idempotent, req.Sticky}
			So(got, ShouldResemble, []any{c.name, c.method, c.class, c.idempotent, c.sticky})
		}
	})
	Convey("A deadline of 0 becomes 1 ms, a long one is limited, a malformed one is ignored", t, func() {
		for v, want := range map[string]time.Duration{"": time.Millisecond, "\x07\xd0": 2 * time.Second,
			"\xff\xff\xff\xff": core.MaxDeadline, "\x01\x01\x01\x01\x01": 0} {
			req, _, err := DecodeRequest(datagram(withOptions(codes.GET, message.Option{ID: OptionDeadline, Value: []byte(v)})))
			So(err, ShouldBeNil)
			So(req.Deadline, ShouldEqual, want)
		}
	})
	Convey("Errors have the right kinds", t, func() {
		kind := func(b []byte) Kind {
			_, _, err := DecodeRequest(b)
			var e *Error
			So(errors.As(err, &e), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, e.Kind.String())
			return e.Kind
		}
		So(kind(nil), ShouldEqual, KindHeader)
		So(kind(make([]byte, MaxDatagram+1)), ShouldEqual, KindTooLarge)
		So(kind(datagram(withOptions(codes.GET))[:31]), ShouldEqual, KindMessage)
		So(kind(datagram(withOptions(codes.Content))), ShouldEqual, KindUnexpected)
		So(kind(datagram(withOptions(codes.PUT, opt(OptionBlock1, 7)))), ShouldEqual, KindOption)
	})
}

// Guards against a retransmitted datagram that counts as a new request, and against a new request that
// counts as a retransmission.
func TestRequestID(t *testing.T) {
	id := func(m message.Message) core.RequestID {
		req, _, err := DecodeRequest(datagram(m))
		So(err, ShouldBeNil)
		return req.ID
	}
	tag := message.Option{ID: OptionRequestTag, Value: []byte("tag")}
	block := func(n uint32) message.Option {
		return message.Option{ID: OptionBlock1, Value: uintBytes(Block{Num: n, SizeExp: 6}.Value())}
	}
	Convey("Token, message id, tag and block number determine the request id", t, func() {
		plain := withOptions(codes.POST)
		other := withOptions(codes.POST)
		other.MessageID++
		token := withOptions(codes.POST)
		token.Token = []byte{9}
		So(id(plain), ShouldEqual, id(withOptions(codes.POST)))
		So(id(plain), ShouldNotEqual, id(other))
		So(id(plain), ShouldNotEqual, id(token))

		tagged, retagged := withOptions(codes.PUT, tag, block(0)), withOptions(codes.PUT, tag, block(0))
		retagged.MessageID, retagged.Token = 5, []byte{7}
		So(id(tagged), ShouldEqual, id(retagged))
		So(id(tagged), ShouldNotEqual, id(withOptions(codes.PUT, tag, block(1))))
		So(id(tagged), ShouldNotEqual, id(withOptions(codes.PUT, tag)))
		So(id(plain), ShouldNotEqual, id(withOptions(codes.POST, block(0))))
	})
	Convey("A reset cancels only the untagged request with its message id", t, func() {
		req, _, err := DecodeRequest(datagram(message.Message{Type: message.Reset, MessageID: 77}))
		So(err, ShouldBeNil)
		So(req.Method, ShouldEqual, core.MethodCancel)
		So(id(withOptions(codes.POST)).CancelledBy(req.ID), ShouldBeTrue)
		So(id(withOptions(codes.PUT, tag)).CancelledBy(req.ID), ShouldBeFalse)
		other := withOptions(codes.POST)
		other.MessageID++
		So(id(other).CancelledBy(req.ID), ShouldBeFalse)
	})
}

// Guards against a wrong status of a target's answer: a request that ran but counts as shed would run
// twice.
func TestAnswerStatus(t *testing.T) {
	Convey("The code, the flags and the Observe option determine the status", t, func() {
		report := func(r Report) message.Option {
			return message.Option{ID: OptionLoadReport, Value: r.Encode()}
		}
		load := core.LoadReport{InUse: 3, Slots: 4, Cold: true, Draining: true, BootID: 1 << 60}
		for _, c := range []struct {
			m    message.Message
			want core.AnswerStatus
		}{
			{withOptions(codes.Content), core.AnswerOK},
			{withOptions(codes.ServiceUnavailable), core.AnswerOK},
			{withOptions(codes.ServiceUnavailable, report(Report{Load: load, Shed: true})), core.AnswerShed},
			{withOptions(codes.InternalServerError, report(Report{Load: load, Shed: true})), core.AnswerOK},
			{withOptions(codes.TooManyRequests), core.AnswerShed},
			{withOptions(codes.Content, report(Report{Load: load, Cancelled: true})), core.AnswerCancelled},
			{withOptions(codes.Content, message.Option{ID: OptionObserve, Value: []byte{5}}), core.AnswerNotification},
		} {
			c.m.Token = []byte{0, 0, 0, 9, 0, 0, 0, 8}
			b, _ := AppendDatagram(nil, Header{Source: testService, Destination: testClient}, &c.m)
			a, service, err := DecodeAnswer(b, testService)
			So(err, ShouldBeNil)
			So(a.Status, ShouldEqual, c.want)
			So(a.Token, ShouldEqual, core.NewAttemptToken(9, 8))
			So(service, ShouldEqual, testService)
			if a.Load != nil {
				So(*a.Load, ShouldEqual, load)
			}
		}
	})
}

// Guards against refusals that mislead clients: a retry-after time that is too short, or a run status that
// differs from the decision of the core.
func TestRefusal(t *testing.T) {
	Convey("A refusal contains the run status, the retry-after time and the reason", t, func() {
		req, _, _ := DecodeRequest(datagram(withOptions(codes.POST)))
		b, err := AppendRefusal(nil, &core.RefuseClient{Flow: req.Flow, Request: req.Payload, Run: core.RunUnknown,
			Reason: core.ReasonTargetLost, RetryAfter: 1001 * time.Millisecond}, testService)
		So(err, ShouldBeNil)
		h, body, _ := SplitDatagram(b)
		So(h, ShouldEqual, Header{Source: testService, Destination: testClient})
		m, _ := ParseMessage(body)
		age, _ := OptionUint(&m, OptionMaxAge)
		run, ok := OptionUint(&m, OptionRunStatus)
		So([]any{m.Type, m.Code, m.MessageID, age, run, ok, string(m.Payload)}, ShouldResemble, []any{
			message.Acknowledgement, codes.GatewayTimeout, int32(77), uint32(2), uint32(1), true, "target_lost"})
	})
}

// genRequest draws any valid request of a client.
func genRequest(t *rapid.T) message.Message {
	m := message.Message{
		Type:      message.Type(rapid.IntRange(0, 1).Draw(t, "type")),
		Code:      codes.Code(rapid.IntRange(1, 31).Draw(t, "code")),
		MessageID: int32(rapid.Uint16().Draw(t, "mid")),
		Token:     rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "token"),
		Payload:   rapid.SliceOfN(rapid.Byte(), 0, 1024).Draw(t, "payload"),
	}
	for range rapid.IntRange(0, 8).Draw(t, "options") {
		id := rapid.SampledFrom([]message.OptionID{OptionPath, OptionQuery, OptionDeadline, 2049, 65535}).Draw(t, "id")
		AddOption(&m, id, rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "value"))
	}
	return m
}

// Guards against requests and answers that a VM changes when it passes them on.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := genRequest(t)
		req, service, err := DecodeRequest(datagram(in))
		if err != nil {
			t.Fatal(err)
		}
		token := core.AttemptToken(rapid.Uint64().Draw(t, "attempt"))
		sent, err := AppendRequest(nil, &core.SendTarget{Token: token, Request: req, Remaining: time.Second}, service)
		if err != nil {
			t.Fatal(err)
		}
		h, body, err := SplitDatagram(sent)
		if err != nil || h.Source != testClient || h.Destination != testService {
			t.Fatal(h, err)
		}
		out, err := ParseMessage(body)
		if err != nil || out.Code != in.Code || !bytes.Equal(out.Payload, in.Payload) || binary.BigEndian.Uint64(out.Token) != uint64(token) {
			t.Fatal(out, err)
		}
		RemoveOption(&in, OptionDeadline)
		if ms, _ := OptionUint(&out, OptionDeadline); ms != 1000 {
			t.Fatal("deadline is", ms)
		}
		RemoveOption(&out, OptionDeadline)
		checkSameOptions(t, in.Options, out.Options)
		checkAnswer(t, req, out, in)
	})
}

// checkAnswer encodes the answer to a message that a target received and compares it with the client's
// request.
func checkAnswer(t *rapid.T, req core.Request, sent, in message.Message) {
	answer := message.Message{Type: message.NonConfirmable, Code: codes.Content, Token: sent.Token, MessageID: 3, Payload: sent.Payload}
	AddOption(&answer, OptionObserve, []byte{1})
	AddOption(&answer, OptionLoadReport, Report{}.Encode())
	body, _ := AppendMessage(nil, &answer)
	notification := rapid.Bool().Draw(t, "notification")
	b, err := AppendAnswer(nil, &core.AnswerClient{Flow: req.Flow, Request: req.Payload, Payload: body, Notification: notification}, testService, 4242)
	if err != nil {
		t.Fatal(err)
	}
	h, body, _ := SplitDatagram(b)
	out, err := ParseMessage(body)
	observe, _ := OptionUint(&out, OptionObserve)
	if err != nil || h.Destination != testClient || !bytes.Equal(out.Token, in.Token) || observe != 4242 || hasOption(&out, OptionLoadReport) {
		t.Fatal(out, err)
	}
	if !notification && (out.MessageID != in.MessageID || (out.Type == message.Acknowledgement) != (in.Type == message.Confirmable)) {
		t.Fatal("message id or type does not match the request", out)
	}
	if notification && out.Type != message.NonConfirmable {
		t.Fatal("type of the notification is", out.Type)
	}
}

func checkSameOptions(t *rapid.T, a, b message.Options) {
	if len(a) != len(b) {
		t.Fatal(a, b)
	}
	for i := range a {
		if a[i].ID != b[i].ID || !bytes.Equal(a[i].Value, b[i].Value) {
			t.Fatal(a[i], b[i])
		}
	}
}

// Guards against notifications that clients drop as outdated.
func TestObserveValue(t *testing.T) {
	Convey("The value increases across VMs as RFC 7641, 3.4 requires", t, func() {
		at := time.Unix(1_800_000_000, 0)
		for _, step := range []time.Duration{observeTick, time.Second, 127 * time.Second} {
			v1, v2 := ObserveValue(at), ObserveValue(at.Add(step))
			So((v2-v1)&0xffffff, ShouldBeBetween, 0, 1<<23)
		}
	})
}

// Guards against a probe that is decoded as a client's request, and against the loss of its result.
func TestProbe(t *testing.T) {
	Convey("Probes have a LOCAL header, and their answers contain the load", t, func() {
		b, err := AppendProbe(nil, 7)
		So(err, ShouldBeNil)
		So(IsProbe(b), ShouldBeTrue)
		_, _, err = DecodeRequest(b)
		So(err, ShouldNotBeNil)
		m := withOptions(codes.ServiceUnavailable, message.Option{ID: OptionLoadReport, Value: Report{}.Encode()})
		m.Token = binary.BigEndian.AppendUint64(nil, 7)
		b, _ = AppendDatagram(nil, Header{Local: true}, &m)
		p, err := DecodeProbeAnswer(b)
		So(err, ShouldBeNil)
		So(p, ShouldResemble, ProbeAnswer{Token: 7, Load: &core.LoadReport{}})
	})
}

// Guards against acknowledging a message that must not be acknowledged, and against a reset with the
// message id of another message.
func TestEmptyMessages(t *testing.T) {
	Convey("Empty messages are sent to the target with the message id of its message", t, func() {
		m := withOptions(codes.Content)
		in, _ := AppendDatagram(nil, Header{Source: testService, Destination: testClient}, &m)
		for typ, encode := range map[message.Type]func(_, _ []byte) ([]byte, error){
			message.Reset: AppendReset, message.Acknowledgement: AppendAck} {
			b, err := encode(nil, in)
			So(err, ShouldBeNil)
			h, body, _ := SplitDatagram(b)
			out, _ := ParseMessage(body)
			So(h, ShouldEqual, Header{Source: testClient, Destination: testService})
			So([]any{out.Type, out.Code, out.MessageID}, ShouldResemble, []any{typ, codes.Empty, int32(77)})
			So(NeedsAck(body), ShouldBeFalse)
		}
		_, body, _ := SplitDatagram(in)
		So(NeedsAck(body), ShouldBeTrue)
	})
}

// BenchmarkRequest measures decoding a request and encoding it for a target.
func BenchmarkRequest(b *testing.B) {
	in := datagram(withOptions(codes.POST, message.Option{ID: OptionPath, Value: []byte("posting")}))
	buf := make([]byte, 0, MaxDatagram)
	b.ReportAllocs()
	for b.Loop() {
		req, service, err := DecodeRequest(in)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := AppendRequest(buf, &core.SendTarget{Token: 1, Request: req, Remaining: time.Second}, service); err != nil {
			b.Fatal(err)
		}
	}
}

// FuzzDecodeRequest guards against panics and against requests that cannot be passed on.
func FuzzDecodeRequest(f *testing.F) {
	f.Add(datagram(withOptions(codes.PUT, message.Option{ID: OptionBlock1, Value: []byte{8}})))
	f.Add(datagram(message.Message{Type: message.Reset, MessageID: 1}))
	f.Fuzz(func(t *testing.T, b []byte) {
		req, service, err := DecodeRequest(b)
		if err != nil {
			return
		}
		send := core.SendTarget{Request: req, Token: 1, Remaining: core.MaxDeadline}
		if _, err := AppendRequest(nil, &send, service); err != nil && req.Method != core.MethodCancel {
			t.Fatal(err)
		}
		if _, err := AppendCancel(nil, &send, service); err != nil {
			t.Fatal(err)
		}
		if _, err := AppendRefusal(nil, &core.RefuseClient{Flow: req.Flow, Request: req.Payload}, service); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzDecodeAnswer guards against panics and against answers that cannot be passed on.
func FuzzDecodeAnswer(f *testing.F) {
	m := withOptions(codes.Content, message.Option{ID: OptionObserve, Value: []byte{1}})
	m.Token = make([]byte, TokenSize)
	f.Add(datagram(m))
	req, _, _ := DecodeRequest(datagram(withOptions(codes.GET)))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, _ = DecodeProbeAnswer(b)
		a, service, err := DecodeAnswer(b, testService)
		if err != nil {
			return
		}
		if _, err := AppendAnswer(nil, &core.AnswerClient{Flow: a.Flow, Request: req.Payload, Payload: a.Payload}, service, 1); err != nil {
			t.Fatal(err)
		}
		if _, err := AppendReset(nil, b); err != nil {
			t.Fatal(err)
		}
	})
}
