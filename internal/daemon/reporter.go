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

// reporter turns what happens in a VM into counters and log lines. It is safe for concurrent use.
type reporter struct {
	set      *metrics.Set
	packets  *telemetry.RateLimitedLogger
	core     *telemetry.RateLimitedLogger
	events   [core.NumEvents]*metrics.Counter
	refusals [core.NumReasons][core.NumClasses][2]*metrics.Counter
}

// newReporter registers the counters in set.
func newReporter(set *metrics.Set, log *slog.Logger) *reporter {
	r := &reporter{
		set:     set,
		packets: telemetry.NewRateLimitedLogger(telemetry.ComponentLogger(log, "carrier")),
		core:    telemetry.NewRateLimitedLogger(telemetry.ComponentLogger(log, "core")),
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

// badPacket counts and logs a packet that could not be used.
func (r *reporter) badPacket(port string, err error) {
	kind := "other"
	var e *carrier.Error
	if errors.As(err, &e) {
		kind = e.Kind.String()
	}
	r.set.GetOrCreateCounter(fmt.Sprintf(`mangoweir_bad_packets_total{port=%q,kind=%q}`, port, kind)).Inc()
	r.packets.Log(slog.LevelWarn, "bad packet "+port+" "+kind, "Packet dropped.", "port", port, "error", err)
}

// dropped counts a packet that was valid but could not be handled.
func (r *reporter) dropped(reason string) {
	r.set.GetOrCreateCounter(fmt.Sprintf(`mangoweir_dropped_packets_total{reason=%q}`, reason)).Inc()
	r.packets.Log(slog.LevelWarn, "dropped "+reason, "Packet dropped.", "reason", reason)
}

// refused counts a refusal that was sent to a caller.
func (r *reporter) refused(reason core.RefusalReason, class core.Class, run core.RunStatus) {
	if reason == core.ReasonNone || reason >= core.NumReasons || class >= core.NumClasses || run > core.RunUnknown {
		return
	}
	r.refusals[reason][class][run].Inc()
}

// refusalCounts returns the refusals by reason and class, for the log line at the end of a VM.
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

// perRequest reports whether an event kind can come with every request, so that it is only counted.
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

// event counts an event of the core and logs it unless it can come with every request.
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
	r.core.Log(eventLevel(e.Kind), limitKey, eventMessage(e.Kind), args...)
}

// eventMessage returns the log line of an event kind.
func eventMessage(k core.EventKind) string {
	switch k {
	case core.EventConfigInstalled:
		return "Configuration in force."
	case core.EventConfigInvalid:
		return "Configuration refused, the former one stays in force."
	case core.EventEpochInstalled:
		return "Member list in force."
	case core.EventPeerSuspect:
		return "Peer is silent."
	case core.EventPeerDead:
		return "Peer's process has ended."
	case core.EventPeerBack:
		return "Peer is back."
	case core.EventTakeOver:
		return "Target taken over."
	case core.EventHandoverStarted:
		return "Handover of a target started."
	case core.EventHandoverDone:
		return "Handover of a target done."
	case core.EventHandoverFailed:
		return "Handover of a target failed."
	case core.EventAuthorityLost:
		return "Authority lost, postings are refused."
	case core.EventAuthorityGained:
		return "Authority gained."
	case core.EventClockJump:
		return "Process was paused, authority dropped."
	case core.EventTargetCold:
		return "Target is cold."
	case core.EventTargetWarm:
		return "Target is warm."
	case core.EventTargetLeaving:
		return "Target is leaving."
	case core.EventPlatformDown:
		return "Platform does not answer."
	case core.EventPlatformBack:
		return "Platform answers again."
	}
	return "Event."
}
