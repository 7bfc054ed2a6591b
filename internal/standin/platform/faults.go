package platform

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"

	api "github.com/mangoweir/mangoweir/internal/platform"
)

// Outage is the way in which the platform fails.
type Outage int

// Outages.
const (
	// Up: calls are served.
	Up Outage = iota
	// Refusing: calls receive a response with status 503 and have no effect.
	Refusing
	// Disconnecting: connections are closed without a response; calls have no effect.
	Disconnecting
	// Silent: calls receive no response until the client closes the connection or the outage changes; then
	// the connection is closed. Calls have no effect.
	Silent
)

// retryAfter is the retry-after time in a response of the rate limit.
const retryAfter = 100 * time.Millisecond

// faults are the present faults. The server's lock guards them.
type faults struct {
	outage Outage
	// outageChanged is closed and replaced when outage changes.
	outageChanged chan struct{}
	delay         time.Duration
	loseResponses int
	limiter       *rate.Limiter
	onPut         func(key string)
}

// Calls counts the calls that the server received, by kind.
type Calls struct {
	Get, Put, Heads, Watch, VMs int
	// Writes counts the puts that took effect, Conflicts those whose condition was not met.
	Writes, Conflicts int
	// RateLimited counts the calls refused by the rate limit, Failed those that failed in an outage.
	RateLimited, Failed int
}

// Calls returns the counters.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetOutage begins an outage or, with Up, ends it. Each change closes the connections of waiting watches.
func (s *Server) SetOutage(o Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.outage == o {
		return
	}
	s.faults.outage = o
	close(s.faults.outageChanged)
	s.faults.outageChanged = make(chan struct{})
}

// SetDelay delays the handling of each call by d.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// LoseResponses closes the connections of the next n writes without a response after they took effect.
func (s *Server) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseResponses = n
}

// SetRate limits the calls per second, with bursts of up to burst calls. A rate of 0 removes the limit.
func (s *Server) SetRate(perSecond float64, burst int) {
	limit := rate.Limit(perSecond)
	if perSecond == 0 {
		limit = rate.Inf
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.limiter = rate.NewLimiter(limit, burst)
}

// OnPut sets a function that runs before each put, for example to write the object as another operator;
// nil removes it. The function may call all methods of the server.
func (s *Server) OnPut(f func(key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.onPut = f
}

func (s *Server) runOnPut(key string) {
	s.mu.Lock()
	f := s.faults.onPut
	s.mu.Unlock()
	if f != nil {
		f(key)
	}
}

// applyFaults counts a call, applies the faults and reports whether the call must still be handled.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.countLocked(r)
	outage, outageChanged, delay := s.faults.outage, s.faults.outageChanged, s.faults.delay
	allowed := s.faults.limiter.Allow()
	switch {
	case outage != Up:
		s.calls.Failed++
	case !allowed:
		s.calls.RateLimited++
	}
	s.mu.Unlock()
	switch outage {
	case Refusing:
		api.WriteError(w, &api.UnavailableError{Op: r.URL.Path, Err: errors.New("outage")})
		return false
	case Disconnecting:
		panic(http.ErrAbortHandler)
	case Silent:
		select {
		case <-outageChanged:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	if !allowed {
		api.WriteError(w, &api.RateLimitedError{Op: r.URL.Path, RetryAfter: retryAfter})
		return false
	}
	return waitDelay(r, delay)
}

// waitDelay waits for d and reports whether the client still waits for a response.
func waitDelay(r *http.Request, d time.Duration) bool {
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// countLocked counts a call by kind. The caller holds the lock.
func (s *Server) countLocked(r *http.Request) {
	path := r.URL.Path
	switch {
	case strings.HasPrefix(path, api.ObjectsPath) && r.Method == http.MethodPut:
		s.calls.Put++
	case strings.HasPrefix(path, api.ObjectsPath):
		s.calls.Get++
	case path == api.HeadsPath:
		s.calls.Heads++
	case strings.HasPrefix(path, api.WatchPath):
		s.calls.Watch++
	case path == api.VMsPath:
		s.calls.VMs++
	}
}
