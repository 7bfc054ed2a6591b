package link

import (
	"log/slog"
	"time"
)

// pauseGap is the delay of a check that shows that this process was paused; it has then read
// nothing for reasons of its own.
const pauseGap = 500 * time.Millisecond

// monitor watches whether the link still brings anything. A silent link is asked for an answer, then
// a fresh connection is tried next to it, and at last it is closed.
func (l *link) monitor() {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	last := time.Now()
	since := last
	for {
		select {
		case <-l.closed:
			return
		case <-l.session.CloseChan():
			l.lost()
			return
		case <-ticker.C:
		}
		if l.retired.Load() {
			continue
		}
		now := time.Now()
		if now.Sub(last) > pauseGap {
			since = now
		}
		last = now
		if heard := l.raw.lastHeard(); heard.After(since) {
			since = heard
		}
		l.checkSilence(now.Sub(since))
	}
}

func (l *link) checkSilence(silence time.Duration) {
	if silence >= pingAfter {
		l.ping()
	}
	if silence >= closeAfter {
		l.m.limited.Log(slog.LevelWarn, "closed", "silent link closed", "peer", l.peer)
		l.close()
		return
	}
	silent := silence >= silentAfter
	if silent == l.silent.Load() {
		return
	}
	l.silent.Store(silent)
	if silent {
		l.m.limited.Log(slog.LevelInfo, "silent", "link is silent, trying a fresh one", "peer", l.peer)
		l.m.wakeDialer(l)
	}
}

// ping asks the peer for an answer, which counts as received bytes. One ping is out at a time.
func (l *link) ping() {
	if !l.pinging.CompareAndSwap(false, true) {
		return
	}
	l.m.goroutines.Go(func() {
		defer l.pinging.Store(false)
		_, _ = l.session.Ping()
	})
}
