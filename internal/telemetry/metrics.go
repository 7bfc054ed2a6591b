package telemetry

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics holds the metrics of a daemon. It is separate from the library's global set, so that
// several daemons can run in one process.
type Metrics struct {
	set *metrics.Set
}

// NewMetrics returns Metrics with an empty set.
func NewMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

// Set returns the set to register metrics in.
func (m *Metrics) Set() *metrics.Set { return m.set }

// ReadinessCheck returns nil when the daemon can serve, and otherwise an error with the reason.
type ReadinessCheck func() error

// Handler serves /metrics, /healthz (200 while the process runs) and /readyz (200, or 503 with the
// reason).
func (m *Metrics) Handler(ready ReadinessCheck) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", m.serveMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeText(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, "not ready: "+err.Error())
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
	return mux
}

func (m *Metrics) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintln(w, text)
}
