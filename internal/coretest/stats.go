package coretest

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mangoweir/mangoweir/core"
)

// Stats counts outcomes at clients and targets.
type Stats struct {
	// Offered counts logical requests by class, the other fields their outcomes. Retries counts refusals
	// after which a client may retry.
	Offered, Done, Unknown, GaveUp, TimedOut, Retries [core.NumClasses]uint64
	// Refused counts refusals sent by VMs, by reason.
	Refused [core.NumReasons]uint64
	Events  [core.NumEvents]uint64

	// The following fields count violations, by the guarantee of the core that was violated.
	BrokenFlows, DuplicateRuns, WrongNotRun, WrongAnswers, WrongService uint64
	ZoneOutPackets, DrainingTargetFlows                                 uint64
	// FeedSeconds counts the seconds in which feeds should have been live, FeedLiveSeconds those in which
	// they were.
	FeedSeconds, FeedLiveSeconds uint64
	// Violations describes each violation of a guarantee of the core.
	Violations []string

	runs    map[runKey]int
	notRun  map[runKey]bool
	latency [core.NumClasses]*hdrhistogram.Histogram
}

type runKey struct {
	flow core.FlowKey
	id   core.RequestID
}

// recordRun records that a posting ran at a target.
func (c *Cluster) recordRun(t *Target, r core.Request) {
	if r.Idempotent || r.Class != core.ClassPosting {
		return
	}
	s := &c.Stats
	if s.runs == nil {
		s.runs = map[runKey]int{}
	}
	key := runKey{r.Flow, r.ID}
	s.runs[key]++
	if s.runs[key] > 1 {
		s.DuplicateRuns++
		c.recordViolation("posting %v of %v ran %d times, last on %s", r.ID.Lo, r.Flow.ClientAddr(),
			s.runs[key], t.Target.Name)
	}
	if s.notRun[key] {
		s.WrongNotRun++
		c.recordViolation("posting %v of %v ran after \"not run\", on %s", r.ID.Lo, r.Flow.ClientAddr(), t.Target.Name)
	}
}

// checkRefusal checks a refusal of a posting with the status "not run" against the postings that ran.
func (c *Cluster) checkRefusal(refusal core.RefuseClient) {
	if refusal.Run != core.NotRun {
		return
	}
	s := &c.Stats
	key := runKey{refusal.Flow, refusal.ID}
	if s.runs[key] > 0 {
		s.WrongNotRun++
		c.recordViolation("posting %v of %v was refused as \"not run\" (%s) after it ran", refusal.ID.Lo,
			refusal.Flow.ClientAddr(), refusal.Reason)
	}
	if s.notRun == nil {
		s.notRun = map[runKey]bool{}
	}
	s.notRun[key] = true
}

func (s *Stats) addLatency(c core.Class, d time.Duration) {
	if s.latency[c] == nil {
		s.latency[c] = hdrhistogram.New(1, 60_000_000, 3)
	}
	_ = s.latency[c].RecordValue(max(d.Microseconds(), 1))
}

// Latency returns a percentile of the time from offering a request to its answer.
func (s *Stats) Latency(c core.Class, percent float64) time.Duration {
	if s.latency[c] == nil {
		return 0
	}
	return time.Duration(s.latency[c].ValueAtQuantile(percent)) * time.Microsecond
}

// Goodput returns the share of answered requests among the finished requests of a class.
func (s *Stats) Goodput(c core.Class) float64 {
	ended := s.Done[c] + s.Unknown[c] + s.GaveUp[c] + s.TimedOut[c]
	if ended == 0 {
		return 1
	}
	return float64(s.Done[c]) / float64(ended)
}

// Summary returns the refusals by reason, the events by kind and the seconds of live feeds, for test logs.
func (s *Stats) Summary() string {
	var b strings.Builder
	for r, n := range s.Refused {
		if n > 0 {
			fmt.Fprintf(&b, " %s=%d", core.RefusalReason(r), n)
		}
	}
	b.WriteString(" |")
	for k, n := range s.Events {
		if n > 0 {
			fmt.Fprintf(&b, " %s=%d", core.EventKind(k), n)
		}
	}
	fmt.Fprintf(&b, " | feed seconds live %d of %d", s.FeedLiveSeconds, s.FeedSeconds)
	return b.String()
}
