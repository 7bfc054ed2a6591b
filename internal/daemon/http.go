package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/platform"
)

// httpServer serves metrics, health, readiness and status, and passes operators' reads and writes
// of objects on to the platform.
type httpServer struct {
	server http.Server
	addr   netip.AddrPort
}

// startHTTP opens the HTTP port.
func startHTTP(addr netip.AddrPort, d *Daemon, client *platform.Client) (*httpServer, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { d.writeMetrics(w) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok\n") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if d.Ready() {
			writeText(w, http.StatusOK, "ready\n")
			return
		}
		writeText(w, http.StatusServiceUnavailable, "not ready: waits for the configuration or for holders of targets\n")
	})
	mux.HandleFunc("GET "+platform.StatusPath, func(w http.ResponseWriter, r *http.Request) {
		st, err := d.Status(r.Context())
		if err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(st)
	})
	mux.Handle(platform.ObjectsPath, platform.Proxy(client))
	local := listener.Addr().(*net.TCPAddr).AddrPort()
	h := &httpServer{addr: netip.AddrPortFrom(local.Addr().Unmap(), local.Port())}
	h.server = http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second}
	go func() { _ = h.server.Serve(listener) }()
	return h, nil
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

// close ends the server; calls in progress get a short time to finish.
func (h *httpServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if h.server.Shutdown(ctx) != nil {
		_ = h.server.Close()
	}
}

// statusTimeout bounds the wait for the control thread's answer.
const statusTimeout = time.Second

// statusCalls hands the control thread's answers to the operators that wait for them. The control
// thread is asked with a StatusPull from a peer without a name.
type statusCalls struct {
	mu      sync.Mutex
	waiting []chan []core.VMStatus
}

// Status returns what this VM knows about the VMs of the deployment.
func (d *Daemon) Status(ctx context.Context) (platform.Status, error) {
	answer := make(chan []core.VMStatus, 1)
	d.status.mu.Lock()
	d.status.waiting = append(d.status.waiting, answer)
	d.status.mu.Unlock()
	d.runtime.post(core.PeerMessage{Msg: &core.StatusPull{}})
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st := platform.Status{VMs: []core.VMStatus{}}
	if snap := d.snapshot.Load(); snap != nil {
		st.Generation = snap.NewestGeneration
	}
	select {
	case vms := <-answer:
		st.VMs = append(st.VMs, vms...)
		return st, nil
	case <-ctx.Done():
		return st, errors.Annotate(ctx.Err(), "control thread does not answer; check the VM's load")
	}
}

// deliver hands the control thread's answer to all that wait.
func (c *statusCalls) deliver(vms []core.VMStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, answer := range c.waiting {
		answer <- vms
	}
	c.waiting = nil
}
