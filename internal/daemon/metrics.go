package daemon

import (
	"fmt"
	"io"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// writeMetrics writes the metrics of links, sockets and the snapshot.
func (d *Daemon) writeMetrics(w io.Writer) {
	gauge := func(name string, value float64) { fmt.Fprintf(w, "mangoweir_%s %g\n", name, value) }
	d.writeLinkMetrics(gauge)
	fabric, targets := d.ports.fabric.Counters(), d.ports.targets.Counters()
	gauge(`datagrams_received_total{port="fabric"}`, float64(fabric.Received))
	gauge(`datagrams_sent_total{port="fabric"}`, float64(fabric.Sent))
	gauge(`datagrams_oversized_total{port="fabric"}`, float64(fabric.Oversized))
	gauge(`datagrams_received_total{port="target"}`, float64(targets.Received))
	gauge(`datagrams_sent_total{port="target"}`, float64(targets.Sent))
	if snap := d.snapshot.Load(); snap != nil {
		d.writeSnapshotMetrics(gauge, snap)
	}
}

// writeLinkMetrics writes the counters of peer links.
func (d *Daemon) writeLinkMetrics(gauge func(string, float64)) {
	s := d.links.Stats()
	gauge("links", float64(s.Links))
	gauge("links_replaced_total", float64(s.LinksReplaced))
	gauge("link_garbage_total", float64(s.ConnectionsRefused))
	gauge(`link_bytes_sent_total{kind="control"}`, float64(s.ControlSent.Bytes))
	gauge(`link_bytes_sent_total{kind="traffic"}`, float64(s.TrafficSent.Bytes))
	gauge(`link_messages_sent_total{kind="control"}`, float64(s.ControlSent.Messages))
	gauge(`link_messages_sent_total{kind="traffic"}`, float64(s.TrafficSent.Messages))
	gauge("link_queue_full_total", float64(s.QueueFull))
}

// writeSnapshotMetrics writes the metrics that are taken from the snapshot.
func (d *Daemon) writeSnapshotMetrics(gauge func(string, float64), snap *core.Snapshot) {
	if snap.Config != nil {
		gauge("config_generation", float64(snap.Config.Generation))
	}
	gauge("config_generation_known", float64(snap.NewestGeneration))
	gauge("authority_seconds", max((snap.AuthorityUntil-d.runtime.now()).Seconds(), 0))
	gauge("uptime_seconds", time.Since(d.runtime.start).Seconds())
	owned, cold, flows, inFlight := 0, 0, 0, 0
	for _, t := range snap.Targets {
		if t.Owner != snap.Self {
			continue
		}
		owned++
		flows += int(t.Load.Flows)
		inFlight += int(t.Load.InFlight)
		if t.Load.Cold {
			cold++
		}
		writeTargetMetrics(gauge, t)
	}
	gauge("targets_held", float64(owned))
	gauge("targets_cold", float64(cold))
	gauge("flows", float64(flows))
	gauge("requests_in_flight", float64(inFlight))
}

// writeTargetMetrics writes the load of a target that this VM owns.
func writeTargetMetrics(gauge func(string, float64), t *core.TargetSnapshot) {
	label := fmt.Sprintf(`{target=%q}`, t.Target.Name)
	gauge("target_flows"+label, float64(t.Load.Flows))
	gauge("target_in_flight"+label, float64(t.Load.InFlight))
	gauge("target_limit"+label, float64(t.Load.Limit))
	gauge("target_queued"+label, float64(t.Load.Queued))
}
