package platform

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"

	api "github.com/mangoweir/mangoweir/internal/platform"
)

// Outage is how the platform fails.
type Outage int

// Outages.
const (
	// Up: calls are served.
	Up Outage = iota
	// Refusing: calls are answered with 503 and have no effect.
	Refusing
	// Disconnecting: connections are closed without an answer; calls have no effect.
	Disconnecting
	// Silent: calls wait until the caller gives up or the outage ends; then the connection is closed
	// and calls have had no effect.
	Silent
)

// retryAfter is the time to wait that a refusal by the rate limit names.
const retryAfter = 100 * time.Millisecond

// faults are the faults in force; the server's lock guards them.
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
	// Writes and Conflicts are the puts that took effect and that failed their condition.
	Writes, Conflicts int
	// RateLimited and Failed are the calls that the rate limit and an outage stopped.
	RateLimited, Failed int
}

// Calls returns the counters.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetOutage begins or, with Up, ends an outage. Waiting watches are cut off when one begins.
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

// SetDelay makes each call take the given time before it is handled.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.delay = d
}

// LoseResponses makes the answers of the next n writes get lost after they took effect.
func (s *Server) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseResponses = n
}

// SetRate limits the calls a second, with bursts up to burst calls; a rate of 0 removes the limit.
func (s *Server) SetRate(perSecond float64, burst int) {
	limit := rate.Limit(perSecond)
	if perSecond == 0 {
		limit = rate.Inf
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.limiter = rate.NewLimiter(limit, burst)
}

// OnPut sets a function that runs before a put is handled, such as another operator's write; nil
// removes it. It may call all methods of the server.
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

// applyFaults counts a call, applies the faults and reports whether the call is to be handled.
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

// waitDelay waits and reports whether the caller is still there.
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

// countLocked counts a call by kind; the caller holds the lock.
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
