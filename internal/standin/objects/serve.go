package objects

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// pageSize is the maximum number of objects in one response. The platform's is about 500; with a smaller
	// one, clients read several pages.
	pageSize = 50
	// maxWait is the maximum time that a watch waits.
	maxWait     = 30 * time.Second
	objectsPath = "/v1/objects/"
	// eraHeader is the number of the store's history, in all responses.
	eraHeader = "Store-Era"
)

// Refusal is the way in which the store refuses calls.
type Refusal string

// Refusals. NoRefusal means that calls are served.
const (
	NoRefusal   Refusal = ""
	Busy        Refusal = "busy"   // 503
	RateLimited Refusal = "many"   // 429
	Reset       Refusal = "reset"  // the connection is reset
	Silent      Refusal = "silent" // there is never a response
)

// Faults are the faults of the store for one VM or for all.
type Faults struct {
	Refusal Refusal
	// Delay is the time by which each response is delayed.
	Delay time.Duration
	// LostResponses is the share of writes that take effect but get no response.
	LostResponses float64
	// HoldWatches keeps all watches open without a response.
	HoldWatches bool
}

// SetFaults sets the faults for all VMs without faults of their own.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// SetVMFaults sets the faults for the VM at an IP address, which replace those for all VMs.
func (s *Store) SetVMFaults(ip string, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmFaults[ip] = f
	s.notifyWatches()
}

// ClearFaults removes all faults.
func (s *Store) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.vmFaults = Faults{}, map[string]Faults{}
	s.notifyWatches()
}

func (s *Store) faultsFor(r *http.Request) Faults {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	defer s.mu.Unlock()
	if f, ok := s.vmFaults[ip]; ok && f != (Faults{}) {
		return f
	}
	return s.faults
}

// ServeHTTP handles a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	query := r.URL.Query()
	call := r.Method + " " + kind
	if query.Has("watch") {
		call += " watch"
	}
	s.mu.Lock()
	s.calls[call]++
	setEra(w, s.era)
	s.mu.Unlock()
	faults := s.faultsFor(r)
	if faults.refuse(w, r) {
		return
	}
	time.Sleep(faults.Delay)
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		items, more, asOf, era := s.page(kind, query.Get("after"), pageSize)
		setEra(w, era)
		respond(w, http.StatusOK, map[string]any{"items": orEmpty(items), "hasMore": more, "asOf": asOf})
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.kinds[kind][name]
		setEra(w, s.era)
		s.mu.Unlock()
		if ok {
			respond(w, http.StatusOK, o)
			return
		}
		respond(w, http.StatusNotFound, map[string]string{"error": "no such object"})
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, faults, kind, name)
	default:
		respond(w, http.StatusBadRequest, map[string]string{"error": "unknown call"})
	}
}

// refuse refuses a call, or leaves it without a response, if the faults require it.
func (f Faults) refuse(w http.ResponseWriter, r *http.Request) bool {
	switch f.Refusal {
	case NoRefusal:
		return false
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case RateLimited:
		w.WriteHeader(http.StatusTooManyRequests)
	case Reset:
		resetConnection(w)
	case Silent:
		<-r.Context().Done()
	}
	return true
}

// resetConnection closes the connection of a call with a TCP reset.
func resetConnection(w http.ResponseWriter) {
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
		respond(w, http.StatusBadRequest, map[string]string{"error": "watch and waitMs must be whole numbers"})
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
		events, asOf, era, next, ok := s.changesSince(kind, after)
		setEra(w, era)
		switch {
		case f.HoldWatches:
		case !ok:
			respond(w, http.StatusGone, map[string]string{"error": "the history after this revision has been dropped"})
			return
		case len(events) > 0 || expired:
			respond(w, http.StatusOK, map[string]any{"events": orEmpty(events), "asOf": asOf})
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

// write creates an object, or replaces it if it still has the revision that the call requires.
func (s *Store) write(w http.ResponseWriter, r *http.Request, faults Faults, kind, name string) {
	var object Object
	if err := json.NewDecoder(r.Body).Decode(&object); err != nil {
		respond(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if name == "" {
		name = object.Meta.Name
	}
	s.mu.Lock()
	old, exists := s.kinds[kind][name]
	create := r.Method == http.MethodPost
	status := http.StatusOK
	switch {
	case create && exists, !create && exists && object.Meta.Revision != 0 && object.Meta.Revision != old.Meta.Revision:
		status = http.StatusConflict
	case !create && !exists:
		status = http.StatusNotFound
	case exists && bytes.Equal(old.Spec, object.Spec):
		// A write that changes nothing does not increase the revision and produces no event.
	default:
		old.Meta.Name, old.Spec = name, object.Spec
		old = s.put(kind, old)
	}
	setEra(w, s.era)
	s.mu.Unlock()
	if status == http.StatusOK && rand.Float64() < faults.LostResponses {
		<-r.Context().Done()
		return
	}
	respond(w, status, old)
}

// setEra sets the number of the history that a response belongs to.
func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(eraHeader, strconv.FormatUint(era, 10))
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may have closed the connection; then there is nothing to do.
	_ = json.NewEncoder(w).Encode(body)
}

func orEmpty[T any](s []T) []T {
	if s == nil {
		return []T{}
	}
	return s
}
