package forward

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// ProbeResult is the result of a connection attempt to a target.
type ProbeResult uint8

// Results of probes.
const (
	// Alive means that the target accepted a connection.
	Alive ProbeResult = iota
	// Ended means that the target's machine refused the connection while another target of its zone accepted
	// one, so the target's process has exited.
	Ended
	// Silent means that the target did not answer while another target did, or that its machine refused the
	// connection and no other target of its zone accepted one. The target or its machine is gone, or cut
	// off from this VM.
	Silent
	// Unclear means that neither the target nor another one answered. This VM itself may be cut off,
	// overloaded, or sending more than the capacity of its link.
	Unclear
	// ConnectionReset means that the target's machine reset the connection and no other target of its zone accepted one: the
	// target runs and is at its connection limit, or the network between the two resets connections.
	ConnectionReset
	// Full means that the target's machine reset the connection while another target of its zone accepted one, so the
	// target runs and is at its connection limit.
	Full
)

// probeResults are the names of results in logs and metrics.
var probeResults = [...]string{"alive", "ended", "silent", "unclear", "reset", "full"}

// NumProbeResults is the number of results.
const NumProbeResults = len(probeResults)

// String returns the result as logs and metrics show it.
func (r ProbeResult) String() string { return probeResults[r] }

// ProbeRequest describes a probe.
type ProbeRequest struct {
	// Target is the target to connect to; nil means that no probe is requested.
	Target *Target
	// Reference is another target that is not suspected, or nil. If Target does not answer, the result is
	// Silent only when Reference answers; otherwise the fault may be this VM's own.
	Reference *Target
	// SameZoneTargets are up to two other targets of Target's zone. A zone that is cut off may refuse all
	// connections, so a refusal proves that Target has ended only when one of these accepts.
	SameZoneTargets []*Target
}

// maxSameZoneTargets is the maximum number of other targets of the same zone in a probe. It is above 1 because
// one of them may have ended as well.
const maxSameZoneTargets = 2

const (
	// probeInterval is the minimum time between two probes of a target. Each long request to a slow target
	// would otherwise cause one.
	probeInterval = time.Second
	// endedTTL is how long the result Ended counts. The next retransmitted packet then requests another
	// probe. It is below the stability window of the platform's rules (4 s), after which a target that was
	// cut off must get flows again.
	endedTTL = 3 * time.Second
	// silentTTL is how long the result Silent counts. The next retransmitted packet then requests another
	// probe.
	silentTTL = 2 * time.Second
	// zoneAnswerTime is how long an answer of a target shows that this VM reaches its zone.
	zoneAnswerTime = time.Second
)

// DrainExitDelay is the time between a drained target closing its port and removing its entry, and the exit
// of its process. Its last flows still work in this time, although the port refuses connections. On a
// standard day, three such flows were reset after a refused connection.
const DrainExitDelay = time.Second

// FlowReset is a reset to send to a flow's client without a packet of the flow.
type FlowReset struct {
	Flow Flow
	// Ack is the client's last acknowledgement. The client accepts a reset only near it.
	Ack uint32
}

// requestProbe adds a probe of a target that did not answer to a decision, unless the target was probed
// less than probeInterval ago, has ended or is draining.
func (f *Forwarder) requestProbe(decision *Decision, l *load, target *Target, now time.Duration) {
	if target == nil || target.Condition == Draining || now < l.nextProbe || l.ended(now) {
		return
	}
	l.nextProbe = now + probeInterval
	decision.Probe = ProbeRequest{Target: target, Reference: f.reference(target, now), SameZoneTargets: f.snapshot.SameZoneTargets(target)}
}

// reference returns a target other than t that is not suspected, or nil. It prefers this VM's zone, so that
// another zone being cut off does not look like a fault of this VM.
func (f *Forwarder) reference(t *Target, now time.Duration) *Target {
	for _, route := range f.snapshot.Routes {
		for i := range route.Backends {
			s := route.Backends[i].Service
			for _, pool := range [][]*Target{s.Local, s.Remote} {
				if c := f.best(pool, newFlow{avoid: t.Token, urgent: true}, now); c.target != nil && !c.suspected {
					return c.target
				}
			}
		}
	}
	return nil
}

func (l *load) ended(now time.Duration) bool  { return now < l.endedUntil }
func (l *load) silent(now time.Duration) bool { return now < l.silentUntil }

// HandleProbe applies the result of a probe that a decision requested. When the target has ended and the
// snapshot is fresh, it returns resets of the flows with a pending request. Without these the clients would
// wait until they retransmit a packet; after a reset they may retry at once.
func (f *Forwarder) HandleProbe(token Token, result ProbeResult, now time.Duration) []FlowReset {
	l := f.loads[token]
	if l == nil {
		return nil
	}
	switch result {
	case Alive, Full:
		l.endedUntil, l.silentUntil = 0, 0
		return nil
	case ConnectionReset:
		if t := f.snapshot.Targets[token]; t != nil && (f.zoneAnswers(t.Zone, now) || f.loaded(t, now)) {
			return nil
		}
		l.silentUntil = now + silentTTL
		return nil
	case Silent:
		l.silentUntil = now + silentTTL
		return nil
	case Unclear:
		return nil
	}
	l.endedUntil, l.lostFrom = now+endedTTL, now
	if !f.fresh(now) {
		// The target may have drained after the snapshot became stale.
		l.lostFrom += DrainExitDelay
		return nil
	}
	return f.resetPending(l)
}

// zoneAnswers reports whether a target of a zone has answered a flow within zoneAnswerTime. A network fault between this VM and a
// zone ends all answers, overload does not.
func (f *Forwarder) zoneAnswers(zone core.ZoneName, now time.Duration) bool {
	at, ok := f.answeredAt[zone]
	return ok && now-at < zoneAnswerTime
}

// resetPending removes the flows that wait for a response of some targets and returns their resets.
func (f *Forwarder) resetPending(targets ...*load) []FlowReset {
	if len(targets) == 0 {
		return nil
	}
	var resets []FlowReset
	for flow, s := range f.flows.all() {
		if s.requestPending && slices.Contains(targets, s.load) {
			resets = append(resets, FlowReset{Flow: flow, Ack: s.lastAck})
		}
	}
	for _, r := range resets {
		f.flows.remove(r.Flow)
	}
	return resets
}

// lost reports whether a packet's flow must be reset because its target has ended or is silent, and returns
// which of the two is the reason. A silent target may still be running behind a network fault, so only
// retransmitted data, which has been unanswered for at least 200 ms, causes a reset.
func (s *flowState) lost(h *Header, now time.Duration) (Reason, bool) {
	switch {
	case s.load.ended(now) && now >= s.load.lostFrom:
		return TargetGone, true
	case s.load.silent(now) && h.Length > 0:
		return TargetSilent, s.requestPending && h.Seq == s.seq
	}
	return OnFlow, false
}
