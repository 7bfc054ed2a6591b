package objects

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// pageSize is the number of objects in one answer. The platform's is about 500; a small one makes
	// clients continue.
	pageSize = 50
	// maxWait is the longest time that a watch waits.
	maxWait     = 30 * time.Second
	objectsPath = "/v1/objects/"
)

// Refusal is how the store turns calls away.
type Refusal string

// Refusals.
const (
	NoRefusal   Refusal = ""
	Busy        Refusal = "busy"   // 503
	RateLimited Refusal = "many"   // 429
	Reset       Refusal = "reset"  // the connection is reset
	Silent      Refusal = "silent" // no answer, for good
)

// Faults are what is wrong with the store for some or all callers.
type Faults struct {
	Refusal Refusal
	// Delay is added to each answer.
	Delay time.Duration
	// LostResponses is the share of writes that are done and not answered.
	LostResponses float64
	// HoldWatches holds back all watches without an answer.
	HoldWatches bool
}

// SetFaults sets the faults for all callers.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// SetVMFaults sets the faults for the VM at an IP address, in place of those for all.
func (s *Store) SetVMFaults(ip string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[ip] = f
	s.wake()
}

// ClearFaults ends all faults.
func (s *Store) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.vms = Faults{}, map[string]Faults{}
	s.wake()
}

func (s *Store) faultsFor(r *http.Request) Faults {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.vms[ip]; ok && f != (Faults{}) {
		return f
	}
	return s.faults
}

// ServeHTTP answers a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	query := r.URL.Query()
	call := r.Method + " " + kind
	if query.Has("watch") {
		call += " watch"
	}
	s.mu.Lock()
	s.calls[call]++
	s.mu.Unlock()
	f := s.faultsFor(r)
	if f.refuse(w, r) {
		return
	}
	time.Sleep(f.Delay)
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		items, more, asOf := s.page(kind, query.Get("after"), pageSize)
		reply(w, http.StatusOK, map[string]any{"items": orEmpty(items), "hasMore": more, "asOf": asOf})
	case r.Method == http.MethodGet:
		if o, ok := s.Get(kind, name); ok {
			reply(w, http.StatusOK, o)
			return
		}
		reply(w, http.StatusNotFound, map[string]string{"error": "no such object"})
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, f, kind, name)
	default:
		reply(w, http.StatusBadRequest, map[string]string{"error": "unknown call"})
	}
}

// refuse turns a call away if the faults say so.
func (f Faults) refuse(w http.ResponseWriter, r *http.Request) bool {
	switch f.Refusal {
	case NoRefusal:
		return false
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case RateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		abort(w)
	case Silent:
		<-r.Context().Done()
	}
	return true
}

// abort resets the connection of a call.
func abort(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	waitMS, errWait := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || errWait != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "watch and waitMs are whole numbers"})
		return
	}
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxWait))
	defer timer.Stop()
	expired := false
	for {
		f := s.faultsFor(r)
		if f.refuse(w, r) {
			return
		}
		events, asOf, next, ok := s.since(kind, after)
		switch {
		case f.HoldWatches:
		case !ok:
			reply(w, http.StatusGone, map[string]string{"error": "that history is gone"})
			return
		case len(events) > 0 || expired:
			reply(w, http.StatusOK, map[string]any{"events": orEmpty(events), "asOf": asOf})
			return
		}
		select {
		case <-next:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// write creates or replaces an object under its condition.
func (s *Store) write(w http.ResponseWriter, r *http.Request, f Faults, kind, name string) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if name == "" {
		name = o.Meta.Name
	}
	s.mu.Lock()
	old, exists := s.kinds[kind][name]
	create := r.Method == http.MethodPost
	status := http.StatusOK
	switch {
	case create && exists, !create && exists && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		status = http.StatusConflict
	case !create && !exists:
		status = http.StatusNotFound
	default:
		old.Meta.Name, old.Spec = name, o.Spec
		old = s.set(kind, old)
	}
	s.mu.Unlock()
	if status == http.StatusOK && rand.Float64() < f.LostResponses {
		<-r.Context().Done()
		return
	}
	reply(w, status, old)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left gets no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func orEmpty[T any](s []T) []T {
	if s == nil {
		return []T{}
	}
	return s
}
