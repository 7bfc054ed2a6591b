package telemetry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// Limits of the HTTP server. Requests for metrics are small and come from nearby machines.
const (
	httpReadTimeout  = 5 * time.Second
	httpWriteTimeout = 10 * time.Second
	httpMaxHeader    = 8 << 10
)

// Server serves metrics, health and readiness over HTTP.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
}

// StartServer serves handler at addr, which is usually a local address; port 0 selects a free port.
// Errors: ErrListen.
func StartServer(addr netip.AddrPort, handler http.Handler, log *slog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, newError(ErrListen, "%v", err)
	}
	s := &Server{
		http: &http.Server{
			Handler:        handler,
			ReadTimeout:    httpReadTimeout,
			WriteTimeout:   httpWriteTimeout,
			MaxHeaderBytes: httpMaxHeader,
			ErrorLog:       slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		},
		listener: listener,
		done:     make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("metrics are no longer served", "error", err)
		}
	}()
	return s, nil
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Close waits for requests in progress until ctx ends, then closes all connections.
func (s *Server) Close(ctx context.Context) {
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
	}
	<-s.done
}
