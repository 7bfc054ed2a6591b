package telemetry

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// rateLimitInterval is the shortest time between two lines of the same kind.
const rateLimitInterval = time.Second

// RateLimitedLogger writes at most one line per second and kind, so that bad input cannot flood the
// log. Each line contains the number of lines of its kind that were suppressed since the last one, if any.
// Safe for concurrent use.
type RateLimitedLogger struct {
	log   *slog.Logger
	now   func() time.Time
	mu    sync.Mutex
	kinds map[string]*kindState
}

// kindState is the state of one kind of lines.
type kindState struct {
	last       time.Time
	suppressed uint64
}

// NewRateLimitedLogger returns a RateLimitedLogger that writes to log.
func NewRateLimitedLogger(log *slog.Logger) *RateLimitedLogger {
	return &RateLimitedLogger{log: log, now: time.Now, kinds: map[string]*kindState{}}
}

// Log writes a line unless one of the same kind was written within the last second. Lines below the
// logger's level are ignored and not counted. The number of kinds must be bounded, because the memory of a
// kind is never freed.
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

// allow reports whether a line may be written, and how many lines were suppressed since the last one.
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
