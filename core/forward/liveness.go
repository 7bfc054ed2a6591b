package forward

import (
	"slices"
	"time"
)

// ProbeResult is what a connection attempt to a target showed.
type ProbeResult uint8

// Results of probes.
const (
	// Alive: the target accepted a connection.
	Alive ProbeResult = iota
	// Ended: its machine refused the connection and others of its zone accept them, so the process is
	// gone.
	Ended
	// Silent: it did not answer while another target did, or it refused the connection and no other of
	// its zone accepts one. The target or its machine is gone, or cut off from this VM.
	Silent
	// Unclear: neither answered. This VM itself may be cut off, busy, or sending more than its link
	// carries.
	Unclear
)

// probeResults are the names of results in logs and metrics.
var probeResults = [...]string{"alive", "ended", "silent", "unclear"}

// NumProbeResults is the number of results.
const NumProbeResults = len(probeResults)

// String returns the result as logs and metrics show it.
func (r ProbeResult) String() string { return probeResults[r] }

// ProbeRequest asks for a probe.
type ProbeRequest struct {
	// Target is the one to connect to; nil asks for no probe.
	Target *Target
	// Reference is another target that answered lately. Only if it answers does the silence of Target say
	// anything of Target. It is nil when there is none.
	Reference *Target
	// SameZoneTargets are up to two other targets of its zone. A zone that is cut off may refuse all
	// connections, so a refusal proves an end only when one of these accepts.
	SameZoneTargets []*Target
}

// maxNeighbours is the number of neighbours of a probe: one may have ended, too.
const maxNeighbours = 2

const (
	// probeInterval is the least time between two probes of a target. A slow target gives cause for
	// one with each long request.
	probeInterval = time.Second
	// endedMemory is how long a refused connection counts; the next repeated packet asks for another
	// probe. It is below the users' stability window (4 s), after which a target that was cut off must be
	// served again.
	endedMemory = 3 * time.Second
	// silentMemory is how long a silent probe counts; the next repeated packet asks for another one.
	silentMemory = 2 * time.Second
)

// DrainExitDelay is the time from the moment at which a drained target closes its port and removes its entry to
// the end of its process. Its last flows are still well meanwhile: on a standard day three were reset after
// a refused connection.
const DrainExitDelay = time.Second

// FlowReset is a reset that is due without a packet of the flow.
type FlowReset struct {
	Flow Flow
	// Ack is the client's last acknowledgement, near which it takes a reset.
	Ack uint32
}

// suspect asks for a probe of a target after it failed to answer, unless there was one a moment ago.
func (f *Forwarder) suspect(d *Decision, l *load, t *Target, now time.Duration) {
	if t == nil || t.Condition == Draining || now < l.probeAt || l.ended(now) {
		return
	}
	l.probeAt = now + probeInterval
	d.Probe = ProbeRequest{Target: t, Reference: f.witness(t, now), SameZoneTargets: f.view.SameZoneTargets(t)}
}

// witness returns a target other than t that is not suspected itself, of this zone if there is one: a zone
// that is cut off must not look like trouble of this VM.
func (f *Forwarder) witness(t *Target, now time.Duration) *Target {
	for _, route := range f.view.Routes {
		for i := range route.Backends {
			s := route.Backends[i].Service
			for _, pool := range [][]*Target{s.Local, s.Remote} {
				if c := f.best(pool, t.Token, now); c.target != nil && !c.doubtful {
					return c.target
				}
			}
		}
	}
	return nil
}

func (l *load) ended(now time.Duration) bool  { return now < l.endedUntil }
func (l *load) silent(now time.Duration) bool { return now < l.silentUntil }

// HandleProbe takes the result of a probe that a decision asked for. When the target has ended, it returns
// the flows with a request under way: their clients would wait for their next repeated packet, and may
// retry at once after a reset.
func (f *Forwarder) HandleProbe(token Token, result ProbeResult, now time.Duration) []FlowReset {
	l := f.loads[token]
	if l == nil {
		return nil
	}
	switch result {
	case Alive:
		l.endedUntil, l.silentUntil = 0, 0
		return nil
	case Silent:
		l.silentUntil = now + silentMemory
		return nil
	case Unclear:
		return nil
	}
	l.endedUntil, l.lostFrom = now+endedMemory, now
	if !f.fresh(now) {
		// It may have drained since the view was current.
		l.lostFrom += DrainExitDelay
		return nil
	}
	return f.resetWorking(l)
}

// resetWorking forgets the flows that wait for a response of some targets and returns their resets.
func (f *Forwarder) resetWorking(targets ...*load) []FlowReset {
	if len(targets) == 0 {
		return nil
	}
	var resets []FlowReset
	for flow, s := range f.flows.all() {
		if s.working && slices.Contains(targets, s.load) {
			resets = append(resets, FlowReset{Flow: flow, Ack: s.lastAck})
		}
	}
	for _, r := range resets {
		f.flows.remove(r.Flow)
	}
	return resets
}

// lost reports whether a packet goes to a target that cannot answer it, and why. A target that is
// silent may still be alive behind a cut, so only repeated data is answered: it has waited for 200 ms at
// least.
func (s *flowState) lost(h *Header, now time.Duration) (Reason, bool) {
	switch {
	case s.load.ended(now) && now >= s.load.lostFrom:
		return TargetGone, true
	case s.load.silent(now) && h.Length > 0:
		return TargetSilent, s.working && h.Seq == s.seq
	}
	return OnFlow, false
}
