package forward

import "time"

// Evidence that a target does not answer, and how much of it makes the target a suspect.
const (
	// synSilence is the evidence of a SYN that had to be repeated: a target answers a SYN at once.
	synSilence = 2
	// dataSilence is the evidence of a repeated data packet: a long request looks alike.
	dataSilence = 1
	// suspectAfter is the evidence without any answer in between that makes a target a suspect: two
	// SYNs, since one may have been lost on the way.
	suspectAfter = 4
	// minSuspicion and maxSuspicion bound the time that a suspect is left out. It doubles with each
	// time that the target did not answer afterwards. The minimum is about the time in which a
	// restarted target is back; the maximum bounds how long a healed one goes unused.
	minSuspicion = time.Second
	maxSuspicion = 8 * time.Second
)

// load is what a VM observes of a target.
type load struct {
	// open counts the flows that this VM has seen, busy those that wait for the target.
	open, busy int
	// silence is the evidence since the target's last answer.
	silence int
	// suspectUntil is the time until which the target is left out; suspicion is how long the last
	// such time was.
	suspectUntil, suspicion time.Duration
	// probeAt is the time from which the target may be probed again. endedUntil and silentUntil are the
	// times until which results of probes count.
	probeAt, endedUntil, silentUntil time.Duration
	// lostFrom is the time from which the flows of a target that has ended are reset.
	lostFrom time.Duration
	// lastCold is the time of the last new flow under the cold budget, coldCount the number of them
	// since the last pause of coldWindow.
	lastCold  time.Duration
	coldCount int
}

func (f *Forwarder) load(token Token) *load {
	l := f.loads[token]
	if l == nil {
		l = &load{}
		f.loads[token] = l
	}
	return l
}

// noteOpening remembers that a SYN went to a target.
func (f *Forwarder) noteOpening(flow Flow, t *Target, now time.Duration) {
	s := f.flows.get(flow)
	if s == nil {
		s = f.flows.add(flow)
	}
	s.attach(f.load(t.Token), t.Token)
	s.setBusy(true, false)
	s.since, s.seq, s.ack = now, 0, 0
}

// observe learns from a packet of an open flow, which goes to d.Target.
func (f *Forwarder) observe(h *Header, s *flowState, d *Decision, now time.Duration) {
	if h.Flags&(FIN|RST) != 0 {
		f.flows.remove(h.Flow)
		return
	}
	s.lastAck = h.Ack
	if s.opening {
		d.OpenTime = now - s.since
		s.load.answered()
		s.setBusy(false, false)
		s.ack = h.Ack
	}
	switch {
	case s.working && h.Ack != s.ack:
		d.ResponseTime = now - s.since
		s.load.answered()
		s.setBusy(false, false)
		s.ack = h.Ack
		if h.Length == 0 {
			return
		}
		fallthrough
	case h.Length > 0 && !s.working:
		s.setBusy(false, true)
		s.since, s.seq, s.ack = now, h.Seq, h.Ack
	case h.Length > 0 && h.Seq == s.seq:
		f.noteSilence(s.load, dataSilence, now)
		f.suspect(d, s.load, d.Target, now)
	case h.Length > 0:
		s.seq = h.Seq
	}
}

func (f *Forwarder) forget(flow Flow) { f.flows.remove(flow) }

// answered clears the suspicion of a target.
func (l *load) answered() {
	l.silence, l.silentUntil = 0, 0
	if l.suspicion > 0 {
		l.suspicion, l.suspectUntil = 0, 0
	}
}

// noteSilence adds evidence that a target does not answer.
func (f *Forwarder) noteSilence(l *load, evidence int, now time.Duration) {
	if l == nil || now < l.suspectUntil {
		return
	}
	if l.silence += evidence; l.silence < suspectAfter {
		return
	}
	l.silence = 0
	l.suspicion = min(max(2*l.suspicion, minSuspicion), maxSuspicion)
	l.suspectUntil = now + l.suspicion
	f.events.Suspected++
}
