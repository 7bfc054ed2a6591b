package demo

import (
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// zoneLog records which zones are out of service and when they were last taken back in. It is safe for
// concurrent use.
type zoneLog struct {
	mu sync.Mutex
	// out is true for zones that are out of service; returnedAt is when a zone was last taken back in.
	out        map[core.ZoneName]bool
	returnedAt map[core.ZoneName]time.Time
}

// newZoneLog returns a zoneLog with the zones and states of a configuration.
func newZoneLog(cfg *core.Config) *zoneLog {
	l := &zoneLog{out: map[core.ZoneName]bool{}, returnedAt: map[core.ZoneName]time.Time{}}
	for _, z := range cfg.Zones {
		l.out[z.Name] = z.State == core.ZoneOut
	}
	return l
}

// set records the state of a zone.
func (l *zoneLog) set(zone core.ZoneName, state core.ZoneState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out[zone] && state == core.ZoneIn {
		l.returnedAt[zone] = time.Now()
	}
	l.out[zone] = state == core.ZoneOut
}

// isOut reports whether a zone is out of service.
func (l *zoneLog) isOut(zone core.ZoneName) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out[zone]
}

// moveAllowed reports whether a zone was out of service at some time after since, so that flows were
// allowed to leave its targets.
func (l *zoneLog) moveAllowed(_, zone string, since time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	name := core.ZoneName(zone)
	return l.out[name] || l.returnedAt[name].After(since)
}
