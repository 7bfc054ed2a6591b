package telemetry

import (
	"context"
	"io"
	"log/slog"
	"net/url"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/mangoweir/mangoweir/core"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// tracerName names the tracer in exported spans.
const tracerName = "github.com/mangoweir/mangoweir"

// exportTimeout bounds the time of one export to an OTLP endpoint.
const exportTimeout = 5 * time.Second

// traceFileMode makes trace files accessible to the daemon's user only, because traces contain addresses
// of clients.
const traceFileMode = 0o600

// TraceSettings are the settings of traces. Without File and Endpoint, traces are off.
type TraceSettings struct {
	// File is the path of a file to which spans are appended, one JSON object per span.
	File string
	// Endpoint is the URL of an OTLP endpoint, such as http://127.0.0.1:4318/v1/traces.
	Endpoint string
	// Ratio is the share of requests that are traced, from 0 to 1.
	Ratio float64
	// VM and Zone are attributes of all spans.
	VM   core.VMName
	Zone core.ZoneName
}

// Tracer starts the spans of a daemon. Ended spans wait for their export in a bounded queue and are
// dropped when it is full, so tracing never delays a request. Safe for concurrent use.
type Tracer struct {
	// tracer is nil when traces are off.
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	file     io.Closer
}

// NewTracer returns a Tracer that reports failed exports to log. Errors: ErrTraceSettings, ErrTraceFile.
func NewTracer(settings TraceSettings, log *slog.Logger) (*Tracer, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	t := &Tracer{}
	exporter, err := t.exporter(settings)
	if err != nil || exporter == nil {
		return t, err
	}
	t.provider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(&loggingExporter{SpanExporter: exporter, log: NewRateLimitedLogger(log)}),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(settings.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "mangoweir"),
			attribute.String("service.instance.id", string(settings.VM)),
			attribute.String("mangoweir.zone", string(settings.Zone)),
		)),
	)
	t.tracer = t.provider.Tracer(tracerName)
	return t, nil
}

func (s TraceSettings) check() error {
	if s.File != "" && s.Endpoint != "" {
		return newError(ErrTraceSettings, "file %s and endpoint %s", s.File, s.Endpoint)
	}
	if !(s.Ratio >= 0 && s.Ratio <= 1) {
		return newError(ErrTraceSettings, "ratio %v", s.Ratio)
	}
	if s.Endpoint == "" {
		return nil
	}
	u, err := url.Parse(s.Endpoint)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return newError(ErrTraceSettings, "endpoint %q", s.Endpoint)
	}
	return nil
}

// exporter returns the exporter for a file or an endpoint, or nil when traces are off.
func (t *Tracer) exporter(settings TraceSettings) (sdktrace.SpanExporter, error) {
	if settings.Endpoint != "" {
		exporter, err := otlptracehttp.New(context.Background(),
			otlptracehttp.WithEndpointURL(settings.Endpoint),
			otlptracehttp.WithTimeout(exportTimeout))
		if err != nil {
			return nil, newError(ErrTraceSettings, "%v", err)
		}
		return exporter, nil
	}
	if settings.File == "" {
		return nil, nil
	}
	file, err := os.OpenFile(settings.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, traceFileMode)
	if err != nil {
		return nil, newError(ErrTraceFile, "%v", err)
	}
	t.file = file
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	return exporter, errors.Trace(err)
}

// Close exports the spans that are still in the queue. It stops when ctx ends.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		err = firstError(err, t.file.Close())
	}
	return errors.Annotate(err, "close traces")
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// loggingExporter logs failed exports itself, because the SDK would report them to a global handler.
type loggingExporter struct {
	sdktrace.SpanExporter
	log *RateLimitedLogger
}

func (e *loggingExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	if err := e.SpanExporter.ExportSpans(ctx, spans); err != nil {
		e.log.Log(slog.LevelWarn, "export", "spans not exported", "spans", len(spans), "error", err)
	}
	return nil
}
