package demo

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/mangoweir/mangoweir/internal/standin/client"
)

// Summary is the result of a run. All counts come from clients and targets.
type Summary struct {
	Seed      uint64  `json:"seed"`
	Seconds   float64 `json:"seconds"`
	OpenFlows int     `json:"openFlows"`

	BrokenSilent uint64 `json:"brokenSilent"`
	BrokenMoved  uint64 `json:"brokenMoved"`
	// Moved counts the moves of flows out of zones that were taken out of service.
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

	DuplicateRuns         int    `json:"doubles"`
	RefusedButRan         int    `json:"untrueRefusals"`
	Mismatched            uint64 `json:"mismatched"`
	WrongContent          uint64 `json:"wrongContent"`
	StrayPackets          uint64 `json:"strayPackets"`
	PacketsWhileOut       uint64 `json:"packetsWhileOut"`
	NewFlowsWhileDraining uint64 `json:"newWorkAtLeaving"`
	// ColdBreaches counts requests above the limit of a cold target after it first reported its cold
	// start; ColdBreachesAll also includes those before.
	ColdBreaches    uint64 `json:"coldBreaches"`
	ColdBreachesAll uint64 `json:"coldBreachesAll"`

	// Imbalance is the highest ratio of maximum to mean of the requests per slot of a service's targets
	// before the first event.
	Imbalance float64 `json:"imbalance"`
	// Goodput is the share of answered feed registrations and postings among those that ended after the
	// first event.
	Goodput float64 `json:"goodput"`
}

// summarize returns the summary of a run from its counts at the start, before the first event and at the
// end.
func (d *Deployment) summarize(start, beforeFirstEvent, end Counts, duration time.Duration) Summary {
	c := &end.Clients
	s := Summary{
		Seed: d.opts.Seed, Seconds: duration.Seconds(), OpenFlows: end.OpenFlows,
		BrokenSilent: c.BrokenSilent, BrokenMoved: c.BrokenMoved, Moved: c.AllowedMoves, FeedGaps: c.FeedGaps,
		Answered: c.Count(client.Answered), Refused: c.Count(client.Refused),
		Unknown: c.Count(client.Unknown), Silent: c.Count(client.Silent),
		PostsDone: c.PostsDone + c.PostsConfirmed, PostsGivenUp: c.PostsGivenUp,
		UploadsDone: c.UploadsDone, UploadsFailed: c.UploadsFailed,
		DuplicateRuns: end.DuplicateRuns, RefusedButRan: d.refusedButRan(), Mismatched: c.Mismatched,
		WrongContent: c.UploadsMismatched,
		Imbalance:    imbalance(start, beforeFirstEvent), Goodput: goodput(beforeFirstEvent, end),
	}
	for i := range end.Targets {
		t := &end.Targets[i]
		s.StrayPackets += t.StrayPackets
		s.PacketsWhileOut += t.PacketsWhileZoneOut
		s.NewFlowsWhileDraining += t.NewFlowsWhileDraining
		s.ColdBreaches += t.ColdBreachesAfterReport
		s.ColdBreachesAll += t.ColdBreaches
	}
	return s
}

// guarantee is a count that must be 0 in every run.
type guarantee struct {
	count uint64
	what  string
}

// guarantees returns the counts that must be 0.
func (s *Summary) guarantees() []guarantee {
	return []guarantee{
		{s.BrokenSilent + s.BrokenMoved, "broken flows"},
		{uint64(s.DuplicateRuns), "duplicate runs of requests"},
		{uint64(s.RefusedButRan), "requests that ran although refused as not run"},
		{s.Mismatched, "answers to another request"},
		{s.WrongContent, "uploads with other content"},
		{s.StrayPackets, "packets at targets of another service"},
		{s.PacketsWhileOut, "packets at targets of a zone out of service"},
		{s.NewFlowsWhileDraining, "new flows at draining targets"},
		{s.ColdBreaches, "requests above the limit of a cold target"},
	}
}

// ViolationError lists the guarantees that a run violated.
type ViolationError struct{ Violations []string }

// Error lists the violations.
func (e *ViolationError) Error() string {
	return "demo: guarantees were violated: " + strings.Join(e.Violations, ", ")
}

// Check returns a ViolationError when a guarantee was violated, and nil otherwise.
func (s *Summary) Check() error {
	var violations []string
	for _, g := range s.guarantees() {
		if g.count > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", g.count, g.what))
		}
	}
	if violations == nil {
		return nil
	}
	return &ViolationError{Violations: violations}
}

// WriteText writes the summary as text.
func (s *Summary) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%.0f s, seed %d, %d flows, %d moved out of a zone\n", s.Seconds, s.Seed, s.OpenFlows, s.Moved)
	fmt.Fprintf(&b, "requests: %d answered, %d refused with a retry-after time, %d unknown, %d silent\n",
		s.Answered, s.Refused, s.Unknown, s.Silent)
	fmt.Fprintf(&b, "postings: %d done, %d given up; uploads: %d done, %d failed\n",
		s.PostsDone, s.PostsGivenUp, s.UploadsDone, s.UploadsFailed)
	fmt.Fprintf(&b, "imbalance before the first event: %.2f; goodput after it: %.3f%%; feed gaps: %d\n",
		s.Imbalance, 100*s.Goodput, s.FeedGaps)
	for _, g := range s.guarantees() {
		mark := "kept  "
		if g.count > 0 {
			mark = "BROKEN"
		}
		fmt.Fprintf(&b, "%s  %d %s\n", mark, g.count, g.what)
	}
	_, err := io.WriteString(w, b.String())
	return err
}
