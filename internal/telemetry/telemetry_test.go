package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/mangoweir/mangoweir/core"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against log lines without their component's prefix or in a wrong format, and against a level that
// is ignored.
func TestLogger(t *testing.T) {
	Convey("Lines have the prefix, attributes and level", t, func() {
		out := &bytes.Buffer{}
		log, err := NewLogger(out, LogSettings{Format: LogJSON, Level: "warn"})
		So(err, ShouldBeNil)
		component := ComponentLogger(log, "link").With("peer", "vm-1").WithGroup("g")
		component.Info("hidden")
		component.Warn("lost", "n", 2)
		var line map[string]any
		So(json.Unmarshal(out.Bytes(), &line), ShouldBeNil)
		So(line["msg"], ShouldEqual, "link: lost")
		So(line["peer"], ShouldEqual, "vm-1")
		So(line["g"], ShouldResemble, map[string]any{"n": 2.0})
	})
	Convey("Text at level info is the default", t, func() {
		out := &bytes.Buffer{}
		log, err := NewLogger(out, LogSettings{})
		So(err, ShouldBeNil)
		log.Debug("hidden")
		ComponentLogger(log, "wire").Info("shown")
		So(out.String(), ShouldContainSubstring, `level=INFO msg="wire: shown"`)
		So(out.String(), ShouldNotContainSubstring, "hidden")
	})
	Convey("Errors are logged with their message and without source locations", t, func() {
		out := &bytes.Buffer{}
		log, err := NewLogger(out, LogSettings{})
		So(err, ShouldBeNil)
		log.Info("failed", "error", errors.Annotate(errors.New("refused"), "dial"))
		So(out.String(), ShouldEndWith, `error="dial: refused"`+"\n")
	})
	Convey("Unknown settings are refused", t, func() {
		_, err := NewLogger(io.Discard, LogSettings{Format: "xml"})
		So(errors.Is(err, ErrLogSettings), ShouldBeTrue)
		_, err = NewLogger(io.Discard, LogSettings{Level: "loud"})
		So(errors.Is(err, ErrLogSettings), ShouldBeTrue)
	})
}

// Guards against bad input that floods the log, and against lines of one kind that suppress lines of
// another.
func TestLimitedLogger(t *testing.T) {
	Convey("One line per second and kind is written, with the number of suppressed lines", t, func() {
		out := &bytes.Buffer{}
		log, err := NewLogger(out, LogSettings{})
		So(err, ShouldBeNil)
		limited := NewRateLimitedLogger(log)
		now := time.Now()
		limited.now = func() time.Time { return now }
		limited.Log(slog.LevelDebug, "a", "hidden")
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() { limited.Log(slog.LevelWarn, "a", "garbage", "from", "x") })
		}
		wg.Wait()
		limited.Log(slog.LevelWarn, "b", "other")
		So(strings.Count(out.String(), "\n"), ShouldEqual, 2)
		now = now.Add(rateLimitInterval)
		limited.Log(slog.LevelWarn, "a", "garbage", "from", "y")
		So(out.String(), ShouldContainSubstring, "from=y suppressed=99")
		now = now.Add(rateLimitInterval)
		limited.Log(slog.LevelWarn, "a", "garbage", "from", "z")
		So(out.String(), ShouldEndWith, "from=z\n")
	})
}

// Guards against missing metrics, and against a readiness that differs from the daemon's.
func TestHTTP(t *testing.T) {
	Convey("Given a server", t, func() {
		metrics := NewMetrics()
		metrics.Set().NewCounter(`mangoweir_test_total{kind="x"}`).Add(3)
		var notReady error
		log := slog.New(slog.DiscardHandler)
		server, err := StartServer(netip.MustParseAddrPort("127.0.0.1:0"), metrics.Handler(func() error { return notReady }), log)
		So(err, ShouldBeNil)
		defer server.Close(context.Background())
		get := func(path string) (int, string) {
			r, err := http.Get("http://" + server.Addr().String() + path)
			So(err, ShouldBeNil)
			defer r.Body.Close()
			body, err := io.ReadAll(r.Body)
			So(err, ShouldBeNil)
			return r.StatusCode, string(body)
		}
		status, body := get("/metrics")
		So(status, ShouldEqual, http.StatusOK)
		So(body, ShouldContainSubstring, `mangoweir_test_total{kind="x"} 3`)
		So(body, ShouldContainSubstring, "go_goroutines")
		status, _ = get("/readyz")
		So(status, ShouldEqual, http.StatusOK)
		notReady = errors.New("no manifest yet")
		status, body = get("/readyz")
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(body, ShouldContainSubstring, "no manifest yet")
		status, _ = get("/healthz")
		So(status, ShouldEqual, http.StatusOK)
		status, _ = get("/other")
		So(status, ShouldEqual, http.StatusNotFound)
		_, err = StartServer(server.Addr(), metrics.Handler(nil), log)
		So(errors.Is(err, ErrListen), ShouldBeTrue)
	})
}

// exportedSpan is the part of an exported span that the tests check.
type exportedSpan struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ TraceID, SpanID string }
	Status      struct{ Code, Description string }
}

func readSpans(t *testing.T, path string) map[string]exportedSpan {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	spans := map[string]exportedSpan{}
	for d := json.NewDecoder(file); ; {
		var s exportedSpan
		if err := d.Decode(&s); err == io.EOF {
			return spans
		} else if err != nil {
			t.Fatal(err)
		}
		spans[s.Name] = s
	}
}

// Guards against hops that lose their trace between VMs, also when a VM in between has traces off.
func TestTraceFile(t *testing.T) {
	Convey("The hops on three VMs belong to one trace, although traces are off on the second VM", t, func() {
		path := filepath.Join(t.TempDir(), "spans")
		log := slog.New(slog.DiscardHandler)
		tracerA, err := NewTracer(TraceSettings{File: path, Ratio: 1, VM: "vm-a", Zone: "z"}, log)
		So(err, ShouldBeNil)
		disabled, err := NewTracer(TraceSettings{}, log)
		So(err, ShouldBeNil)
		tracerB, err := NewTracer(TraceSettings{File: path, Ratio: 0, VM: "vm-b", Zone: "z"}, log)
		So(err, ShouldBeNil)

		first := tracerA.StartRoot(HopIngress)
		passedThrough := disabled.StartHop(first.Context(), HopForward)
		So(passedThrough.Context(), ShouldResemble, first.Context())
		last := tracerB.StartHop(passedThrough.Context(), HopTarget)
		last.SetAttribute("target", "t-1")
		last.End("shed")
		passedThrough.End("")
		first.End("")
		So(tracerA.Close(context.Background()), ShouldBeNil)
		So(tracerB.Close(context.Background()), ShouldBeNil)
		So(disabled.Close(context.Background()), ShouldBeNil)

		spans := readSpans(t, path)
		So(len(spans), ShouldEqual, 2)
		So(spans["target"].Parent.SpanID, ShouldEqual, spans["ingress"].SpanContext.SpanID)
		So(spans["target"].SpanContext.TraceID, ShouldEqual, spans["ingress"].SpanContext.TraceID)
		So(spans["target"].Status.Description, ShouldEqual, "shed")
	})
	Convey("A request that is not traced remains untraced", t, func() {
		path := filepath.Join(t.TempDir(), "spans")
		tracer, err := NewTracer(TraceSettings{File: path, Ratio: 0}, slog.New(slog.DiscardHandler))
		So(err, ShouldBeNil)
		root := tracer.StartRoot(HopIngress)
		So(root.Context(), ShouldResemble, core.TraceContext{})
		tracer.StartHop(root.Context(), HopForward).End("")
		So(tracer.Close(context.Background()), ShouldBeNil)
		So(readSpans(t, path), ShouldBeEmpty)
	})
	Convey("Contradicting settings are refused", t, func() {
		for _, s := range []TraceSettings{{File: "a", Endpoint: "http://b"}, {Ratio: 2}, {Endpoint: "b:1"}, {Endpoint: "ftp://b"}} {
			_, err := NewTracer(s, slog.Default())
			So(errors.Is(err, ErrTraceSettings), ShouldBeTrue)
		}
		_, err := NewTracer(TraceSettings{File: "/nowhere/spans"}, slog.Default())
		So(errors.Is(err, ErrTraceFile), ShouldBeTrue)
	})
}

// Guards against spans that do not reach an OTLP endpoint, and against failures that are not logged.
func TestTraceEndpoint(t *testing.T) {
	Convey("Spans are sent to the endpoint, and a failure is logged", t, func() {
		status := http.StatusOK
		exports := make(chan string, 16)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			exports <- r.URL.Path + " " + string(body)
			w.WriteHeader(status)
		}))
		defer server.Close()
		for _, status = range []int{http.StatusOK, http.StatusBadRequest} {
			out := &bytes.Buffer{}
			log, err := NewLogger(out, LogSettings{})
			So(err, ShouldBeNil)
			tracer, err := NewTracer(TraceSettings{Endpoint: server.URL + "/v1/traces", Ratio: 1, VM: "vm-a"}, log)
			So(err, ShouldBeNil)
			tracer.StartRoot(HopIngress).End("")
			So(tracer.Close(context.Background()), ShouldBeNil)
			export := <-exports
			So(export, ShouldStartWith, "/v1/traces ")
			So(export, ShouldContainSubstring, "ingress")
			So(strings.Contains(out.String(), "spans not exported"), ShouldEqual, status != http.StatusOK)
		}
	})
}
