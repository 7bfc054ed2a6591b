package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/mangoweir/mangoweir/core"
	api "github.com/mangoweir/mangoweir/internal/platform"
)

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	api.WriteObject(w, s.Object(r.PathValue("key")))
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	value, err := api.ReadValue(r, key)
	if err == nil && !api.ValidKey(key) {
		err = &api.BadRequestError{Op: "write " + key, Message: "malformed key"}
	}
	if err != nil {
		api.WriteError(w, err)
		return
	}
	expect, conditional, err := api.ReadCondition(r)
	if err != nil {
		api.WriteError(w, err)
		return
	}
	s.runOnPut(key)
	version, loseResponse, err := s.write(key, value, expect, conditional)
	if err != nil {
		api.WriteError(w, err)
		return
	}
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	api.WriteVersion(w, version)
}

// write writes a value if the condition is met and reports whether its response must be lost.
func (s *Server) write(key string, value []byte, expect uint64, conditional bool) (version uint64, loseResponse bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key].Version
	if conditional && current != expect {
		s.calls.Conflicts++
		return 0, false, &api.ConflictError{Key: key, Expected: expect, Version: current}
	}
	version = s.storeLocked(key, value)
	s.calls.Writes++
	if s.faults.loseResponses > 0 {
		s.faults.loseResponses--
		return version, true, nil
	}
	return version, false, nil
}

func (s *Server) heads(w http.ResponseWriter, r *http.Request) {
	keys := r.URL.Query()["key"]
	if len(keys) > api.MaxHeads {
		api.WriteError(w, &api.BadRequestError{Op: "read heads", Message: "too many keys"})
		return
	}
	heads := make([]api.Head, len(keys))
	s.mu.Lock()
	for i, key := range keys {
		heads[i] = api.Head{Key: key, Version: s.objects[key].Version}
	}
	s.mu.Unlock()
	api.WriteHeads(w, heads)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	millis, waitErr := strconv.ParseInt(r.URL.Query().Get("waitMillis"), 10, 64)
	if err != nil || waitErr != nil || millis < 0 {
		api.WriteError(w, &api.BadRequestError{Op: "watch " + key, Message: "after or waitMillis is not a valid number"})
		return
	}
	timer := time.NewTimer(min(time.Duration(millis)*time.Millisecond, api.MaxWatch))
	defer timer.Stop()
	for {
		s.mu.Lock()
		o, objectsChanged, outageChanged := s.objects[key], s.objectsChanged, s.faults.outageChanged
		s.mu.Unlock()
		if o.Version > after {
			api.WriteObject(w, o)
			return
		}
		select {
		case <-objectsChanged:
		case <-outageChanged:
			panic(http.ErrAbortHandler)
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	vms := []core.ListedVM{}
	now := time.Now()
	s.mu.Lock()
	for _, l := range s.vms {
		if !l.visibleFrom.After(now) {
			vms = l.vms
		}
	}
	s.mu.Unlock()
	api.WriteVMs(w, vms)
}
