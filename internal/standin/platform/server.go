package platform

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mangoweir/mangoweir/core"
	api "github.com/mangoweir/mangoweir/internal/platform"
)

// headerTimeout is the longest time in which a client must send a request's header.
const headerTimeout = 5 * time.Second

// Server is the stand-in for the platform. It implements http.Handler.
type Server struct {
	mux *http.ServeMux

	mu      sync.Mutex
	objects map[string]api.Object
	// objectsChanged is closed and replaced at each write.
	objectsChanged chan struct{}
	faults         faults
	vms            []vmList
	calls          Calls

	http     *http.Server
	listener net.Listener
}

// vmList is a list of VMs and the time from which it is published.
type vmList struct {
	visibleFrom time.Time
	vms         []core.ListedVM
}

// New returns a server without objects, faults or a rate limit.
func New() *Server {
	s := &Server{
		mux:            http.NewServeMux(),
		objects:        map[string]api.Object{},
		objectsChanged: make(chan struct{}),
	}
	s.faults.limiter = rate.NewLimiter(rate.Inf, 0)
	s.faults.outageChanged = make(chan struct{})
	s.mux.HandleFunc("GET "+api.ObjectsPath+"{key...}", s.get)
	s.mux.HandleFunc("PUT "+api.ObjectsPath+"{key...}", s.put)
	s.mux.HandleFunc("GET "+api.HeadsPath, s.heads)
	s.mux.HandleFunc("GET "+api.WatchPath+"{key...}", s.watch)
	s.mux.HandleFunc("GET "+api.VMsPath, s.listVMs)
	return s
}

// ServeHTTP handles a call, subject to the present faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.applyFaults(w, r) {
		s.mux.ServeHTTP(w, r)
	}
}

// Start serves on a loopback address such as "127.0.0.1:0" and returns the base URL.
func (s *Server) Start(addr string) (string, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil || !a.Addr().IsLoopback() {
		return "", fmt.Errorf("listen on %q: the stand-in serves on loopback addresses only, such as 127.0.0.1:8500", addr)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	s.listener = l
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.http.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// Close ends all connections of a started server. Objects remain.
func (s *Server) Close() error {
	if s.http == nil {
		return nil
	}
	err := s.http.Close()
	// When Close follows Start at once, http.Server has not registered the listener yet and does not close
	// it.
	_ = s.listener.Close()
	return err
}

// Object returns an object; version 0 means that it does not exist.
func (s *Server) Object(key string) api.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[key]
	o.Key = key
	return o
}

// Set writes an object without any fault and without counting a call, and returns the new version.
func (s *Server) Set(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeLocked(key, value)
}

// SetVMs publishes a list of VMs once lag has passed.
func (s *Server) SetVMs(vms []core.ListedVM, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vmList{visibleFrom: time.Now().Add(lag), vms: vms})
}

// storeLocked writes an object. The caller holds the lock.
func (s *Server) storeLocked(key string, value []byte) uint64 {
	version := s.objects[key].Version + 1
	s.objects[key] = api.Object{Key: key, Version: version, Value: bytes.Clone(value)}
	close(s.objectsChanged)
	s.objectsChanged = make(chan struct{})
	return version
}
