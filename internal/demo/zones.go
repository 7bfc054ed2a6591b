package demo

import (
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// zoneLog knows which zones are out of service and when they came back. It is safe for concurrent use.
type zoneLog struct {
	mu sync.Mutex
	// out has the zones that are out; back is when a zone was last taken back into service.
	out  map[core.ZoneName]bool
	back map[core.ZoneName]time.Time
}

// newZoneLog returns the log for a configuration.
func newZoneLog(cfg *core.Config) *zoneLog {
	l := &zoneLog{out: map[core.ZoneName]bool{}, back: map[core.ZoneName]time.Time{}}
	for _, z := range cfg.Zones {
		l.out[z.Name] = z.State == core.ZoneOut
	}
	return l
}

// set notes the state of a zone.
func (l *zoneLog) set(zone core.ZoneName, state core.ZoneState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out[zone] && state == core.ZoneIn {
		l.back[zone] = time.Now()
	}
	l.out[zone] = state == core.ZoneOut
}

// isOut reports whether a zone is out of service.
func (l *zoneLog) isOut(zone core.ZoneName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out[zone]
}

// excused reports whether a zone was out of service at some time after since.
func (l *zoneLog) excused(_, zone string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := core.ZoneName(zone)
	return l.out[name] || l.back[name].After(since)
}
