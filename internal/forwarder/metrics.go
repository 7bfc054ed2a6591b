package forwarder

import (
	"cmp"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed"
	"github.com/mangoweir/mangoweir/internal/telemetry"
)

// trafficMetrics are the metrics of the traffic thread.
type trafficMetrics struct {
	// packets counts packets by reason and action.
	packets [forward.NumReasons][3]*metrics.Counter
	// probes counts probes of targets by result.
	probes [forward.NumProbeResults]*metrics.Counter
	// unreported counts reports of failures and of loads that the control thread was too busy to take.
	unreported *metrics.Counter
	// malformed counts packets that could not be decoded, receiveErrors and sendErrors failures of the socket.
	malformed, receiveErrors, sendErrors *metrics.Counter
	// openTime is the time from a SYN to the flow's next packet, responseTime the time from a request to the
	// first acknowledged data of its response, both in seconds.
	openTime, responseTime *metrics.Histogram
}

func newTrafficMetrics(set *metrics.Set) *trafficMetrics {
	m := &trafficMetrics{
		unreported:    set.NewCounter("mangoweir_unreported_failures_total"),
		malformed:     set.NewCounter("mangoweir_malformed_packets_total"),
		receiveErrors: set.NewCounter("mangoweir_receive_errors_total"),
		sendErrors:    set.NewCounter("mangoweir_send_errors_total"),
		openTime:      set.NewHistogram("mangoweir_flow_open_seconds"),
		responseTime:  set.NewHistogram("mangoweir_response_seconds"),
	}
	for r := range forward.NumProbeResults {
		m.probes[r] = set.NewCounter(fmt.Sprintf("mangoweir_probes_total{result=%q}", forward.ProbeResult(r)))
	}
	for r := range forward.NumReasons {
		for a := forward.Drop; a <= forward.Reset; a++ {
			name := fmt.Sprintf("mangoweir_packets_total{action=%q,reason=%q}", a, forward.Reason(r))
			m.packets[r][a] = set.NewCounter(name)
		}
	}
	return m
}

func (m *trafficMetrics) countDecision(decision *forward.Decision) {
	m.packets[decision.Reason][decision.Action].Inc()
	if decision.OpenTime > 0 {
		m.openTime.Update(decision.OpenTime.Seconds())
	}
	if decision.ResponseTime > 0 {
		m.responseTime.Update(decision.ResponseTime.Seconds())
	}
}

// controlMetrics are the metrics of the control thread.
type controlMetrics struct {
	set *metrics.Set
	// updates counts updates by kind, changes the changes of objects that they contain.
	updates, changes [registry.NumKinds]*metrics.Counter
	settingsErrors   *metrics.Counter
	// ended, returned and restarted count the ends, returns and restarts of targets that the watcher's connections
	// showed.
	ended, returned, restarted *metrics.Counter
	// deferredConfigs counts configurations that a subscriber did not get at once, because it had not received an older one yet.
	deferredConfigs *metrics.Counter
	// ejected counts ejections of targets.
	ejected *metrics.Counter
	// loadReports counts the reports of loads that this VM observed or received, loadSummaries the loads that came into force, and
	// loadMalformed the entries of both that had no effect, because of their values or an unknown target.
	loadReports, loadSummaries, loadMalformed *metrics.Counter
}

func newControlMetrics(m *telemetry.Metrics, shared *sharedState, subscribers func() int) *controlMetrics {
	set := m.Set()
	c := &controlMetrics{
		set: set, settingsErrors: set.NewCounter("mangoweir_settings_errors_total"),
		ended:    set.NewCounter(`mangoweir_target_transitions_total{to="ended"}`),
		returned: set.NewCounter(`mangoweir_target_transitions_total{to="returned"}`),

		restarted:       set.NewCounter(`mangoweir_target_transitions_total{to="restarted"}`),
		deferredConfigs: set.NewCounter("mangoweir_deferred_configs_total"),
		ejected:         set.NewCounter("mangoweir_target_ejections_total"),
		loadReports:     set.NewCounter("mangoweir_load_reports_total"),
		loadSummaries:   set.NewCounter("mangoweir_load_summaries_total"),
		loadMalformed:   set.NewCounter("mangoweir_load_malformed_total"),
	}
	for k := range registry.Kind(registry.NumKinds) {
		c.updates[k] = set.NewCounter(fmt.Sprintf("mangoweir_updates_total{kind=%q}", k))
		c.changes[k] = set.NewCounter(fmt.Sprintf("mangoweir_changes_total{kind=%q}", k))
	}
	set.NewGauge("mangoweir_config_version", func() float64 {
		if snapshot := shared.snapshot.Load(); snapshot != nil {
			return float64(snapshot.ConfigVersion)
		}
		return 0
	})
	set.NewGauge("mangoweir_view_stale_seconds", func() float64 {
		// Before the first snapshot, this is the time since the start.
		return max(0, (shared.clock.now() - max(clockStart, time.Duration(shared.freshUntil.Load()))).Seconds())
	})
	for k := range registry.Kind(registry.NumKinds) {
		set.NewGauge(fmt.Sprintf("mangoweir_data_age_seconds{kind=%q}", k), func() float64 {
			// Before the first confirmation, this is the time since the start.
			return (shared.clock.now() - cmp.Or(time.Duration(shared.confirmedAt[k].Load()), clockStart)).Seconds()
		})
	}
	for k := range registry.Kind(registry.NumKinds) {
		set.NewGauge(fmt.Sprintf("mangoweir_store_era{kind=%q}", k), func() float64 { return float64(shared.histories[k].era.Load()) })
		set.NewGauge(fmt.Sprintf("mangoweir_store_era_age_seconds{kind=%q}", k), func() float64 {
			// Before the first response, this is the time since the start.
			return (shared.clock.now() - cmp.Or(time.Duration(shared.histories[k].since.Load()), clockStart)).Seconds()
		})
	}
	set.NewGauge("mangoweir_held_records", func() float64 { return float64(shared.heldRecords.Load()) })
	for _, role := range []feed.Role{feed.Starting, feed.Reading, feed.Subscribed, feed.Borrowing, feed.Searching} {
		set.NewGauge(fmt.Sprintf("mangoweir_source_role{role=%q}", string(role)), func() float64 {
			if current := shared.role.Load(); current != nil && *current == role {
				return 1
			}
			return 0
		})
	}
	set.NewGauge("mangoweir_ready", func() float64 {
		if shared.ready() {
			return 1
		}
		return 0
	})
	set.NewGauge("mangoweir_slow_targets", func() float64 {
		if status := shared.load.Load(); status != nil && shared.clock.now()-status.at <= maxLoadAge {
			return float64(status.slowTargets)
		}
		return 0
	})
	set.NewGauge("mangoweir_subscribers", func() float64 { return float64(subscribers()) })
	return c
}

// storeCall records a call to the store.
func (c *controlMetrics) storeCall(op string, took time.Duration, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	name := fmt.Sprintf("mangoweir_store_call_seconds{call=%q,outcome=%q}", op, outcome)
	c.set.GetOrCreateHistogram(name).Update(took.Seconds())
}
