package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// rateLimitInterval is the shortest time between two lines of a kind.
const rateLimitInterval = time.Second

// RateLimitedLogger writes at most one line per second and kind, so that bad input cannot flood the
// log. A line states how many lines of its kind were suppressed before it. Safe for concurrent use.
type RateLimitedLogger struct {
	log   *slog.Logger
	now   func() time.Time
	mu    sync.Mutex
	kinds map[string]*kindState
}

type kindState struct {
	last       time.Time
	suppressed uint64
}

// NewRateLimitedLogger returns a RateLimitedLogger that writes to log.
func NewRateLimitedLogger(log *slog.Logger) *RateLimitedLogger {
	return &RateLimitedLogger{log: log, now: time.Now, kinds: map[string]*kindState{}}
}

// Log writes a line unless one of the same kind was written within the last second. Lines below the
// logger's level do not count. Kinds are constants of the calling code: each takes memory for good.
func (l *RateLimitedLogger) Log(level slog.Level, kind, msg string, args ...any) {
	if !l.log.Enabled(context.Background(), level) {
		return
	}
	suppressed, ok := l.allow(kind)
	if !ok {
		return
	}
	if suppressed > 0 {
		args = append(args[:len(args):len(args)], "suppressed", suppressed)
	}
	l.log.Log(context.Background(), level, msg, args...)
}

// allow returns whether a line may be written, and how many were not since the last one.
func (l *RateLimitedLogger) allow(kind string) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	k := l.kinds[kind]
	if k == nil {
		k = &kindState{}
		l.kinds[kind] = k
	} else if now.Sub(k.last) < rateLimitInterval {
		k.suppressed++
		return 0, false
	}
	suppressed := k.suppressed
	k.last = now
	k.suppressed = 0
	return suppressed, true
}
