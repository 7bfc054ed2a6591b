//go:build review

package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kinds of objects in the store.
const (
	kindServers     = "servers"
	kindConfig      = "config"
	kindEvacuations = "evacuations"
)

const pageSize = 500

type meta struct {
	Name          string   `json:"name"`
	Revision      uint64   `json:"revision"`
	Created       uint64   `json:"created"`
	Finalizers    []string `json:"finalizers"`
	PendingDelete bool     `json:"pendingDelete"`
}

type object struct {
	Meta   meta            `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Removed bool   `json:"removed"`
	kind    string
	at      time.Time
}

// store is the platform's metadata store: lists, watches and conditional writes over one revision counter.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []event
	changed  chan struct{}
	// renewed is when the entry of a host was last written.
	renewed map[string]time.Time
	// down makes all calls end with status 503, of the operator and the hosts too.
	down bool
	// staleness is how old the data is that calls with staleOk get.
	staleness time.Duration
}

func newStore() *store {
	return &store{revision: 100, kinds: map[string]map[string]object{}, changed: make(chan struct{}), renewed: map[string]time.Time{}}
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// put writes an object as the operator or a host does, and reports whether the store accepted it.
func (s *store) put(kind, name string, spec any) bool {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	if kind == kindServers {
		s.renewed[name] = time.Now()
	}
	o := s.kinds[kind][name]
	if o.Meta.Name == "" || string(o.Spec) != string(raw) {
		o.Meta.Name, o.Spec = name, raw
		s.write(kind, o)
	}
	return true
}

// remove removes an object and reports whether the store accepted that.
func (s *store) remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.delete(kind, name)
	return true
}

// expire removes the entries of hosts that were silent for longer than silence. The time of an outage does not count.
func (s *store) expire(silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.renewed {
		switch {
		case s.down:
			s.renewed[name] = time.Now()
		case time.Since(at) > silence:
			delete(s.renewed, name)
			s.delete(kindServers, name)
		}
	}
}

func (s *store) write(kind string, o object) object {
	s.revision++
	o.Meta.Revision = s.revision
	if o.Meta.Created == 0 {
		o.Meta.Created = s.revision
	}
	o.Meta.Finalizers = []string{}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][o.Meta.Name] = o
	s.history = append(s.history, event{Object: o, kind: kind, at: time.Now()})
	s.notify()
	return o
}

func (s *store) delete(kind, name string) {
	o, ok := s.kinds[kind][name]
	if !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.revision++
	o.Meta.Revision = s.revision
	s.history = append(s.history, event{Object: o, Removed: true, kind: kind, at: time.Now()})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the daemons.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	query := r.URL.Query()
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.mu.Unlock()
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		page := s.page(kind, query.Get("after"))
		s.mu.Unlock()
		respond(w, http.StatusOK, page)
	case r.Method == http.MethodGet:
		o, ok := s.kinds[kind][name]
		if query.Get("staleOk") == "1" && s.staleness > 0 {
			o, ok = s.before(kind, name, time.Now().Add(-s.staleness))
		}
		s.mu.Unlock()
		if !ok {
			respond(w, http.StatusNotFound, map[string]any{})
			return
		}
		respond(w, http.StatusOK, o)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		status, o := s.conditionalWrite(r, kind, name)
		s.mu.Unlock()
		respond(w, status, o)
	default:
		s.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
	}
}

// before returns an object as it was at a time.
func (s *store) before(kind, name string, at time.Time) (o object, ok bool) {
	for _, e := range s.history {
		if e.kind == kind && e.Object.Meta.Name == name && e.at.Before(at) {
			o, ok = e.Object, !e.Removed
		}
	}
	return o, ok
}

func (s *store) page(kind, after string) map[string]any {
	items, more := []object{}, false
	for _, name := range slices.Sorted(maps.Keys(s.kinds[kind])) {
		if name <= after {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, s.kinds[kind][name])
	}
	return map[string]any{"items": items, "hasMore": more, "asOf": s.revision}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if err != nil || errWait != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, 30*time.Second))
	defer timer.Stop()
	for expired := false; ; {
		events := []event{}
		s.mu.Lock()
		down, asOf, changed := s.down, s.revision, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(events) > 0 || expired:
			respond(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) conditionalWrite(r *http.Request, kind, name string) (int, any) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	create := r.Method == http.MethodPost
	if create {
		name = o.Meta.Name
	}
	old, exists := s.kinds[kind][name]
	switch {
	case create && exists, !create && exists && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		return http.StatusConflict, old
	case !create && !exists:
		return http.StatusNotFound, map[string]any{}
	case exists && string(old.Spec) == string(o.Spec):
		return http.StatusOK, old
	}
	old.Meta.Name, old.Spec = name, o.Spec
	return http.StatusOK, s.write(kind, old)
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The daemon may have closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
