package link

import (
	"log/slog"
	"time"
)

// pauseGap is the time between two checks above which this process is assumed to have been paused. A
// paused process reads nothing, so the link is not counted as silent for that time.
const pauseGap = 500 * time.Millisecond

// monitor checks whether bytes are still received on the link. When none are, it sends pings after
// pingAfter, has a second connection dialed after silentAfter, and closes the link after closeAfter.
func (l *link) monitor() {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	lastCheck := time.Now()
	silentSince := lastCheck
	for {
		select {
		case <-l.closed:
			return
		case <-l.session.CloseChan():
			l.closeAfterError()
			return
		case <-ticker.C:
		}
		if l.retired.Load() {
			continue
		}
		now := time.Now()
		if now.Sub(lastCheck) > pauseGap {
			silentSince = now
		}
		lastCheck = now
		if received := l.raw.lastReceived(); received.After(silentSince) {
			silentSince = received
		}
		l.checkSilence(now.Sub(silentSince))
	}
}

func (l *link) checkSilence(silence time.Duration) {
	if silence >= pingAfter {
		l.ping()
	}
	if silence >= closeAfter {
		l.manager.limitedLog.Log(slog.LevelWarn, "closed", "closed a silent link", "peer", l.peer)
		l.close()
		return
	}
	silent := silence >= silentAfter
	if silent == l.silent.Load() {
		return
	}
	l.silent.Store(silent)
	if silent {
		l.manager.limitedLog.Log(slog.LevelInfo, "silent", "link is silent, dialing a new connection", "peer", l.peer)
		l.manager.wakeDialer(l)
	}
}

// ping sends a yamux ping, whose answer counts as received bytes. At most one ping is pending.
func (l *link) ping() {
	if !l.pinging.CompareAndSwap(false, true) {
		return
	}
	l.manager.goroutines.Go(func() {
		defer l.pinging.Store(false)
		_, _ = l.session.Ping()
	})
}
