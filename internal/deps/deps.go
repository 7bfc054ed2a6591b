//go:build deps

// Package deps keeps the declared dependencies in go.mod until the packages that use them exist.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/hashicorp/yamux"
	_ "github.com/juju/errors"
	_ "github.com/mattn/go-isatty"
	_ "github.com/pires/go-proxyproto"
	_ "github.com/plgd-dev/go-coap/v3/message"
	_ "github.com/plgd-dev/go-coap/v3/message/codes"
	_ "github.com/plgd-dev/go-coap/v3/message/pool"
	_ "github.com/plgd-dev/go-coap/v3/udp/client"
	_ "github.com/plgd-dev/go-coap/v3/udp/coder"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/smartystreets/goconvey/convey"
	_ "github.com/spf13/cobra"
	_ "github.com/tailscale/hujson"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/resource"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.opentelemetry.io/otel/trace"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/proto"
	_ "pgregory.net/rapid"
)
