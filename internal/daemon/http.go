package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/platform"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

// startHTTP serves metrics, health, readiness and status, and forwards operators' reads and writes of
// objects to the platform. Errors: telemetry.ErrListen.
func startHTTP(addr netip.AddrPort, d *Daemon, client *platform.Client) (*telemetry.Server, error) {
	d.metrics.Set().RegisterMetricsWriter(d.writeMetrics)
	mux := http.NewServeMux()
	mux.Handle("/", d.metrics.Handler(d.readinessError))
	mux.HandleFunc("GET "+platform.StatusPath, d.serveStatus)
	mux.Handle(platform.ObjectsPath, platform.Proxy(client))
	return telemetry.StartServer(addr, mux, telemetry.ComponentLogger(d.opts.Log, "http"))
}

// closeHTTP closes the server. Calls in progress have 1 s to finish.
func closeHTTP(s *telemetry.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.Close(ctx)
}

// unmapped returns a with an IPv4-mapped IPv6 address replaced by its IPv4 address.
func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

func (d *Daemon) serveStatus(w http.ResponseWriter, r *http.Request) {
	status, err := d.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status)
}

// statusTimeout bounds the wait for the control thread's answer.
const statusTimeout = time.Second

// statusWaiters passes the status from the control thread to the calls of Status that wait for it. A call
// requests the status with a StatusPull that has no sender.
type statusWaiters struct {
	mu      sync.Mutex
	waiting []chan []core.VMStatus
}

// Status returns the newest generation and the states of the VMs of the deployment, as far as this VM has
// received them. It fails when the control thread does not respond within 1 s.
func (d *Daemon) Status(ctx context.Context) (platform.Status, error) {
	answer := make(chan []core.VMStatus, 1)
	d.status.mu.Lock()
	d.status.waiting = append(d.status.waiting, answer)
	d.status.mu.Unlock()
	d.runtime.post(core.PeerMessage{Msg: &core.StatusPull{}})
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status := platform.Status{VMs: []core.VMStatus{}}
	if snap := d.snapshot.Load(); snap != nil {
		status.Generation = snap.NewestGeneration
	}
	select {
	case vms := <-answer:
		status.VMs = append(status.VMs, vms...)
		return status, nil
	case <-ctx.Done():
		return status, errors.Annotate(ctx.Err(), "control thread does not respond; check the VM's load")
	}
}

// deliver sends the status to all waiting calls.
func (s *statusWaiters) deliver(vms []core.VMStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, answer := range s.waiting {
		answer <- vms
	}
	s.waiting = nil
}
