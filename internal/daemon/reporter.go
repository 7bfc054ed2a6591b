package daemon

import (
	"errors"
	"fmt"
	"log/slog"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

// reporter counts and logs packets, refusals and events of the core. It is safe for concurrent use.
type reporter struct {
	set       *metrics.Set
	packetLog *telemetry.RateLimitedLogger
	coreLog   *telemetry.RateLimitedLogger
	events    [core.NumEvents]*metrics.Counter
	refusals  [core.NumReasons][core.NumClasses][2]*metrics.Counter
}

// newReporter registers the counters in set.
func newReporter(set *metrics.Set, log *slog.Logger) *reporter {
	r := &reporter{
		set:       set,
		packetLog: telemetry.NewRateLimitedLogger(telemetry.ComponentLogger(log, "carrier")),
		coreLog:   telemetry.NewRateLimitedLogger(telemetry.ComponentLogger(log, "core")),
	}
	for k := range core.NumEvents {
		r.events[k] = set.NewCounter(fmt.Sprintf(`mangoweir_events_total{kind=%q}`, k))
	}
	for reason := core.ReasonNone + 1; reason < core.NumReasons; reason++ {
		for class := range core.NumClasses {
			for run, runLabel := range [2]string{"not_run", "unknown"} {
				r.refusals[reason][class][run] = set.NewCounter(fmt.Sprintf(
					`mangoweir_refused_total{reason=%q,class=%q,run=%q}`, reason, class, runLabel))
			}
		}
	}
	return r
}

// badPacket counts and logs a packet that could not be decoded or encoded.
func (r *reporter) badPacket(port string, err error) {
	kind := "other"
	var e *carrier.Error
	if errors.As(err, &e) {
		kind = e.Kind.String()
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`mangoweir_bad_packets_total{port=%q,kind=%q}`, port, kind)).Inc()
	r.packetLog.Log(slog.LevelWarn, "bad packet "+port+" "+kind, "packet dropped", "port", port, "error", err)
}

// dropped counts and logs a valid packet that could not be handled.
func (r *reporter) dropped(reason string) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`mangoweir_dropped_packets_total{reason=%q}`, reason)).Inc()
	r.packetLog.Log(slog.LevelWarn, "dropped "+reason, "packet dropped", "reason", reason)
}

// refused counts a refusal that was sent to a client.
func (r *reporter) refused(reason core.RefusalReason, class core.Class, run core.RunStatus) {
	if reason == core.ReasonNone || reason >= core.NumReasons || class >= core.NumClasses || run > core.RunUnknown {
		return
	}
	r.refusals[reason][class][run].Inc()
}

// refusalCounts returns the numbers of refusals by reason and class as log arguments, for the last log line
// of a VM.
func (r *reporter) refusalCounts() []any {
	var args []any
	for reason := core.ReasonNone + 1; reason < core.NumReasons; reason++ {
		for class := range core.NumClasses {
			if n := r.refusals[reason][class][0].Get() + r.refusals[reason][class][1].Get(); n > 0 {
				args = append(args, "refused_"+reason.String()+"_"+class.String(), n)
			}
		}
	}
	return args
}

// perRequest reports whether an event kind can occur with every request. Such events are only counted.
func perRequest(k core.EventKind) bool {
	switch k {
	case core.EventDuplicateAbsorbed, core.EventAnswerDropped, core.EventFlowPlaced,
		core.EventFlowRedirected, core.EventFlowLost, core.EventPacketDropped:
		return true
	}
	return false
}

// eventLevel returns the log level of an event kind.
func eventLevel(k core.EventKind) slog.Level {
	switch k {
	case core.EventConfigInvalid, core.EventPeerSuspect, core.EventPeerDead, core.EventTakeOver,
		core.EventHandoverFailed, core.EventAuthorityLost, core.EventClockJump, core.EventPlatformDown:
		return slog.LevelWarn
	}
	return slog.LevelInfo
}

// event counts an event of the core and logs it unless it can occur with every request.
func (r *reporter) event(e core.Event, targetName string) {
	if e.Kind >= core.NumEvents {
		return
	}
	r.events[e.Kind].Inc()
	if perRequest(e.Kind) {
		return
	}
	args := []any{"event", e.Kind.String()}
	for _, f := range [...]struct{ key, value string }{
		{"vm", string(e.VM)}, {"zone", string(e.Zone)}, {"target", targetName},
	} {
		if f.value != "" {
			args = append(args, f.key, f.value)
		}
	}
	if e.Value != 0 {
		args = append(args, "value", e.Value)
	}
	limitKey := e.Kind.String() + " " + string(e.VM) + " " + targetName
	r.coreLog.Log(eventLevel(e.Kind), limitKey, eventMessage(e.Kind), args...)
}

// eventMessage returns the log message of an event kind.
func eventMessage(k core.EventKind) string {
	switch k {
	case core.EventConfigInstalled:
		return "configuration in force"
	case core.EventConfigInvalid:
		return "configuration refused; the previous one stays in force"
	case core.EventEpochInstalled:
		return "member list in force"
	case core.EventPeerSuspect:
		return "peer is silent"
	case core.EventPeerDead:
		return "peer's process has ended"
	case core.EventPeerBack:
		return "peer is back"
	case core.EventTakeOver:
		return "target taken over"
	case core.EventHandoverStarted:
		return "handover of a target started"
	case core.EventHandoverDone:
		return "handover of a target done"
	case core.EventHandoverFailed:
		return "handover of a target failed"
	case core.EventAuthorityLost:
		return "authority lost; non-idempotent requests are refused"
	case core.EventAuthorityGained:
		return "authority gained"
	case core.EventClockJump:
		return "process was paused; authority dropped"
	case core.EventTargetCold:
		return "target is cold"
	case core.EventTargetWarm:
		return "target is warm"
	case core.EventTargetDraining:
		return "target is draining"
	case core.EventPlatformDown:
		return "platform does not respond"
	case core.EventPlatformBack:
		return "platform responds again"
	}
	return "event"
}
