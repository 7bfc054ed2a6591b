package demo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/mangoweir/mangoweir/internal/standin/caller"
)

// Summary is the result of a run, counted at callers and targets only.
type Summary struct {
	Seed      uint64  `json:"seed"`
	Seconds   float64 `json:"seconds"`
	OpenFlows int     `json:"openFlows"`

	BrokenSilent uint64 `json:"brokenSilent"`
	BrokenMoved  uint64 `json:"brokenMoved"`
	// Moved counts flows that left a zone taken out of service.
	Moved    uint64 `json:"moved"`
	FeedGaps uint64 `json:"feedGaps"`

	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
	Unknown  uint64 `json:"unknown"`
	Silent   uint64 `json:"silent"`

	PostsDone     uint64 `json:"postsDone"`
	PostsGivenUp  uint64 `json:"postsGivenUp"`
	UploadsDone   uint64 `json:"uploadsDone"`
	UploadsFailed uint64 `json:"uploadsFailed"`

	Doubles          int    `json:"doubles"`
	UntrueRefusals   int    `json:"untrueRefusals"`
	Mismatched       uint64 `json:"mismatched"`
	WrongContent     uint64 `json:"wrongContent"`
	StrayPackets     uint64 `json:"strayPackets"`
	PacketsWhileOut  uint64 `json:"packetsWhileOut"`
	NewWorkAtLeaving uint64 `json:"newWorkAtLeaving"`
	// ColdBreaches counts requests above the bound of a cold target, later than its first report of
	// being cold; ColdBreachesAll also has those before it.
	ColdBreaches    uint64 `json:"coldBreaches"`
	ColdBreachesAll uint64 `json:"coldBreachesAll"`

	// Imbalance is the worst maximum over mean of the work of equal targets before the first event.
	Imbalance float64 `json:"imbalance"`
	// Goodput is the share of answered feed registrations and postings after the first event.
	Goodput float64 `json:"goodput"`
}

// summarize forms the summary of a run from its counts at the start, before the first event and at the
// end.
func (w *World) summarize(start, steady, end Count, took time.Duration) Summary {
	c := &end.Callers
	s := Summary{
		Seed: w.opts.Seed, Seconds: took.Seconds(), OpenFlows: end.OpenFlows,
		BrokenSilent: c.BrokenSilent, BrokenMoved: c.BrokenMoved, Moved: c.Moved, FeedGaps: c.FeedGaps,
		Answered: c.Count(caller.Answered), Refused: c.Count(caller.Refused),
		Unknown: c.Count(caller.Unknown), Silent: c.Count(caller.Silent),
		PostsDone: c.PostsDone + c.PostsConfirmed, PostsGivenUp: c.PostsGivenUp,
		UploadsDone: c.UploadsDone, UploadsFailed: c.UploadsFailed,
		Doubles: end.Doubles, UntrueRefusals: w.untrue(), Mismatched: c.Mismatched,
		WrongContent: c.UploadsMismatched,
		Imbalance:    imbalance(start, steady), Goodput: goodput(steady, end),
	}
	for i := range end.Targets {
		t := &end.Targets[i]
		s.StrayPackets += t.StrayPackets
		s.PacketsWhileOut += t.PacketsWhileZoneOut
		s.NewWorkAtLeaving += t.NewFlowsWhileDraining
		s.ColdBreaches += t.ColdBreachesAfterReport
		s.ColdBreachesAll += t.ColdBreaches
	}
	return s
}

// promise is a count that has to be 0.
type promise struct {
	count uint64
	what  string
}

// promises lists the counts that have to be 0.
func (s *Summary) promises() []promise {
	return []promise{
		{s.BrokenSilent + s.BrokenMoved, "broken flows"},
		{uint64(s.Doubles), "doubled requests"},
		{uint64(s.UntrueRefusals), "requests refused as not run that ran"},
		{s.Mismatched, "answers to another request"},
		{s.WrongContent, "uploads with other content"},
		{s.StrayPackets, "packets at another service"},
		{s.PacketsWhileOut, "packets at a zone taken out of service"},
		{s.NewWorkAtLeaving, "new flows at leaving targets"},
		{s.ColdBreaches, "requests above the bound of a cold target"},
	}
}

// BrokenPromiseError says which promises a run broke.
type BrokenPromiseError struct{ Promises []string }

// Error lists the broken promises.
func (e *BrokenPromiseError) Error() string {
	return "demo: promises were broken: " + strings.Join(e.Promises, ", ")
}

// Check returns a BrokenPromiseError when a promise was broken, and nil otherwise.
func (s *Summary) Check() error {
	var broken []string
	for _, p := range s.promises() {
		if p.count > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", p.count, p.what))
		}
	}
	if broken == nil {
		return nil
	}
	return &BrokenPromiseError{Promises: broken}
}

// WriteText writes the summary.
func (s *Summary) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%.0f s, seed %d, %d flows, %d moved out of a zone\n", s.Seconds, s.Seed, s.OpenFlows, s.Moved)
	fmt.Fprintf(&b, "requests: %d answered, %d refused with a come-back time, %d unknown, %d silent\n",
		s.Answered, s.Refused, s.Unknown, s.Silent)
	fmt.Fprintf(&b, "postings: %d done, %d given up; uploads: %d done, %d failed\n",
		s.PostsDone, s.PostsGivenUp, s.UploadsDone, s.UploadsFailed)
	fmt.Fprintf(&b, "imbalance before the first event: %.2f; goodput after it: %.3f%%; feed gaps: %d\n",
		s.Imbalance, 100*s.Goodput, s.FeedGaps)
	for _, p := range s.promises() {
		mark := "kept  "
		if p.count > 0 {
			mark = "BROKEN"
		}
		fmt.Fprintf(&b, "%s  %d %s\n", mark, p.count, p.what)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
