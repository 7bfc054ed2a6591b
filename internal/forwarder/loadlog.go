package forwarder

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/mangoweir/mangoweir/core/admission"
	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/targetload"
	"github.com/mangoweir/mangoweir/internal/feed"
)

const (
	// slowFrom and recoveredBelow are multiples of the slowness of its service from which a target counts as slow, and below
	// which it counts as recovered. They differ so that a target between them does not change with each load.
	slowFrom, recoveredBelow = 3, 2
	// shortFrom and enoughBelow are the shares of rejected requests from which a service counts as short of capacity, and
	// below which it no longer does.
	shortFrom, enoughBelow = 0.02, 0.005
	// loggedShareChange is the change of an admitted share from which it is logged.
	loggedShareChange = 0.1
	// loadLogLinesPerSecond is the maximum number of log lines about loads.
	loadLogLinesPerSecond = 10
)

// loadStatus is the load in force as metrics show it.
type loadStatus struct {
	at          time.Duration
	slowTargets int
	shares      []admission.Share
}

// share returns the part of the new flows of a priority that is admitted.
func (s *loadStatus) share(service string, priority int, now time.Duration) float64 {
	if s == nil || now-s.at > maxLoadAge {
		return 1
	}
	for _, share := range s.shares {
		if share.Service == service && share.Priority == priority {
			return share.Admitted
		}
	}
	return 1
}

// recordLoad counts a load that came into force, and adds gauges for its shares and reservations.
func (c *controlMetrics) recordLoad(load *feed.Load, shared *sharedState) {
	c.loadSummaries.Inc()
	for _, s := range load.Policy.Shares {
		c.set.GetOrCreateGauge(fmt.Sprintf("mangoweir_admitted_share{service=%q,priority=\"%d\"}", s.Service, s.Priority), func() float64 {
			return shared.load.Load().share(s.Service, s.Priority, shared.clock.now())
		})
	}
	for _, r := range load.Policy.Reservations {
		c.set.GetOrCreateGauge(fmt.Sprintf("mangoweir_reserved_fraction{service=%q}", r.Service), func() float64 {
			return shared.gate.Load().ReservedFraction(r.Service, shared.clock.now())
		})
	}
}

// loadLog writes lines about changes of the load, up to loadLogLinesPerSecond. The zero value is ready to use.
type loadLog struct {
	limit *rate.Limiter
	// suppressed counts the lines that were omitted since the last written one.
	suppressed int
	// slow has the names of the slow targets.
	slow  map[targetload.ID]string
	short map[string]bool
	// shares are the shares that were logged last, below 1.
	shares map[shareKey]float64
}

type shareKey struct {
	service  string
	priority int
}

// update logs the changes since the last load and returns the number of slow targets. lookup returns a target or nil.
func (l *loadLog) update(log *slog.Logger, load *feed.Load, lookup func(targetload.ID) *forward.Target) int {
	if l.limit == nil {
		l.limit = rate.NewLimiter(loadLogLinesPerSecond, loadLogLinesPerSecond)
		l.slow, l.short, l.shares = map[targetload.ID]string{}, map[string]bool{}, map[shareKey]float64{}
	}
	services := map[string]targetload.ServiceLoad{}
	for _, s := range load.Summary.Services {
		services[s.Service] = s
	}
	l.updateTargets(log, load.Summary.Targets, services, lookup)
	l.updateServices(log, services)
	l.updateShares(log, load.Policy.Shares)
	return len(l.slow)
}

func (l *loadLog) updateTargets(log *slog.Logger, targets []targetload.TargetLoad, services map[string]targetload.ServiceLoad, lookup func(targetload.ID) *forward.Target) {
	stillSlow := map[targetload.ID]bool{}
	for _, load := range targets {
		t := lookup(load.ID)
		if t == nil {
			continue
		}
		of := services[t.LoadGroup].Slowness
		if of == 0 {
			of = 1
		}
		_, slow := l.slow[load.ID]
		switch {
		case slow && load.Slowness >= recoveredBelow*of:
			stillSlow[load.ID] = true
		case !slow && load.Slowness >= slowFrom*of:
			l.slow[load.ID], stillSlow[load.ID] = t.ID, true
			l.write(log, slog.LevelWarn, "a target is slow", "target", t.ID, "zone", string(t.Zone), "service", t.Service,
				"slowness", round2(load.Slowness), "service_slowness", round2(of))
		}
	}
	for id, name := range l.slow {
		if !stillSlow[id] {
			delete(l.slow, id)
			l.write(log, slog.LevelInfo, "a target is no longer slow", "target", name)
		}
	}
}

func (l *loadLog) updateServices(log *slog.Logger, services map[string]targetload.ServiceLoad) {
	for name, s := range services {
		if s.Rejected > shortFrom && !l.short[name] {
			l.short[name] = true
			l.write(log, slog.LevelWarn, "a service is short of capacity", "service", name, "rejected", round2(s.Rejected), "slowness", round2(s.Slowness))
		}
	}
	for name := range l.short {
		if services[name].Rejected < enoughBelow {
			delete(l.short, name)
			l.write(log, slog.LevelInfo, "a service is no longer short of capacity", "service", name)
		}
	}
}

func (l *loadLog) updateShares(log *slog.Logger, shares []admission.Share) {
	current := map[shareKey]float64{}
	for _, s := range shares {
		current[shareKey{s.Service, s.Priority}] = s.Admitted
	}
	for key := range l.shares {
		if _, ok := current[key]; !ok {
			current[key] = 1
		}
	}
	for key, share := range current {
		before, logged := l.shares[key]
		if !logged {
			before = 1
		}
		if math.Abs(share-before) <= loggedShareChange && (share < 1 || !logged) {
			continue
		}
		if l.shares[key] = share; share >= 1 {
			delete(l.shares, key)
		}
		l.write(log, slog.LevelInfo, "an admitted share changed", "service", key.service, "priority", key.priority,
			"admitted", round2(share), "before", round2(before))
	}
}

func (l *loadLog) write(log *slog.Logger, level slog.Level, message string, args ...any) {
	if !l.limit.Allow() {
		l.suppressed++
		return
	}
	if l.suppressed > 0 {
		args = append(args, "suppressed", l.suppressed)
		l.suppressed = 0
	}
	log.Log(context.Background(), level, message, args...)
}

// round2 rounds a figure for the log.
func round2(v float64) float64 { return math.Round(v*100) / 100 }
