package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/standin/client"
)

// Summary is the result of a run as its clients measured it.
type Summary struct {
	Seed    uint64  `json:"seed"`
	Clients int     `json:"callers"`
	Seconds float64 `json:"seconds"`
	// Begun counts reads, postings and uploads that were started; Skipped counts those that were not,
	// because too many were in progress.
	Begun   int            `json:"begun"`
	Skipped int            `json:"skipped"`
	Classes []ClassSummary `json:"classes"`
	// Refusals counts refusals and unknown outcomes by the reason that the load balancer reported.
	Refusals map[string]uint64 `json:"refusals"`

	Mismatched uint64 `json:"mismatched"`
	Late       uint64 `json:"late"`

	FeedsOpened   uint64 `json:"feedsOpened"`
	Notifications uint64 `json:"notifications"`
	FeedGaps      uint64 `json:"feedGaps"`
	BrokenFlows   uint64 `json:"broken"`
	BrokenSilent  uint64 `json:"brokenSilent"`
	BrokenMoved   uint64 `json:"brokenMoved"`

	PostsDone         uint64 `json:"postsDone"`
	PostsConfirmed    uint64 `json:"postsConfirmed"`
	PostsGivenUp      uint64 `json:"postsGivenUp"`
	UploadsDone       uint64 `json:"uploadsDone"`
	UploadsFailed     uint64 `json:"uploadsFailed"`
	UploadsMismatched uint64 `json:"uploadsMismatched"`

	// Audit is the result of the check against the targets' ledger; nil when Options.AuditLimit was 0.
	Audit *client.Audit `json:"audit,omitempty"`
}

// ClassSummary is the part of a Summary about a class of requests. A retry with a new id counts as
// another request. P50 to Max are latencies of answered requests in milliseconds.
type ClassSummary struct {
	Class     string  `json:"class"`
	Answered  uint64  `json:"answered"`
	Refused   uint64  `json:"refused"`
	Unknown   uint64  `json:"unknown"`
	Silent    uint64  `json:"silent"`
	Abandoned uint64  `json:"abandoned"`
	P50       float64 `json:"p50ms"`
	P90       float64 `json:"p90ms"`
	P99       float64 `json:"p99ms"`
	Max       float64 `json:"maxms"`
}

// recorder records the outcomes of all clients' requests.
type recorder struct {
	mu       sync.Mutex
	latency  [core.NumClasses]*hdr.Histogram
	refusals map[string]uint64
}

// maxReasons bounds the reasons that are counted separately, because they come from the network.
const maxReasons = 32

// newRecorder returns a recorder for latencies from 1 µs to 1 min with 3 significant digits.
func newRecorder() *recorder {
	r := &recorder{refusals: map[string]uint64{}}
	for c := range r.latency {
		r.latency[c] = hdr.New(1, time.Minute.Microseconds(), 3)
	}
	return r
}

// record adds an outcome. Further reasons than the first maxReasons count as "other".
func (r *recorder) record(c core.Class, o client.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch o.Status {
	case client.Answered:
		// The deadline keeps latencies below the upper end of the range, so this cannot fail.
		_ = r.latency[c].RecordValue(max(o.Took.Microseconds(), 1))
	case client.Refused, client.Unknown:
		reason := o.Reason
		if _, known := r.refusals[reason]; !known && len(r.refusals) >= maxReasons {
			reason = "other"
		}
		r.refusals[reason]++
	}
}

// fill sets the fields of a summary that come from the outcomes and from the clients' counts.
func (r *recorder) fill(s *Summary, total *client.Stats) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range core.NumClasses {
		h, n := r.latency[c], total.Outcomes[c]
		ms := func(v int64) float64 { return float64(v) / 1000 }
		s.Classes = append(s.Classes, ClassSummary{
			Class: c.String(), Answered: n[client.Answered], Refused: n[client.Refused], Unknown: n[client.Unknown],
			Silent: n[client.Silent], Abandoned: n[client.Abandoned],
			P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
		})
	}
	s.Refusals = maps.Clone(r.refusals)
	s.Mismatched, s.Late = total.Mismatched, total.Late
	s.FeedsOpened, s.Notifications, s.FeedGaps = total.FeedsOpened, total.Notifications, total.FeedGaps
	s.BrokenFlows, s.BrokenSilent, s.BrokenMoved = total.BrokenFlows, total.BrokenSilent, total.BrokenMoved
	s.PostsDone, s.PostsConfirmed, s.PostsGivenUp = total.PostsDone, total.PostsConfirmed, total.PostsGivenUp
	s.UploadsDone, s.UploadsFailed, s.UploadsMismatched = total.UploadsDone, total.UploadsFailed, total.UploadsMismatched
}

// WriteText writes the summary as a table.
func (s *Summary) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\tanswered\trefused\tunknown\tsilent\tabandoned\tp50 ms\tp90 ms\tp99 ms\tmax ms\t")
	for _, c := range s.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", c.Class, c.Answered, c.Refused,
			c.Unknown, c.Silent, c.Abandoned, c.P50, c.P90, c.P99, c.Max)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, `
%d clients, %.1f s, seed %d: %d requests started, %d skipped
feeds: %d opened, %d notifications, %d missing, %d broken flows (%d silent, %d moved)
postings: %d done, %d confirmed by the ledger, %d given up
uploads: %d done, %d failed, %d with other content
answers: %d to another request, %d late
refusals: %s
%s`, s.Clients, s.Seconds, s.Seed, s.Begun, s.Skipped,
		s.FeedsOpened, s.Notifications, s.FeedGaps, s.BrokenFlows, s.BrokenSilent, s.BrokenMoved,
		s.PostsDone, s.PostsConfirmed, s.PostsGivenUp,
		s.UploadsDone, s.UploadsFailed, s.UploadsMismatched, s.Mismatched, s.Late, s.reasons(), s.audit())
	return err
}

// reasons lists the reasons of refusals in a fixed order.
func (s *Summary) reasons() string {
	if len(s.Refusals) == 0 {
		return "none"
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(s.Refusals)) {
		parts = append(parts, fmt.Sprintf("%d %q", s.Refusals[name], name))
	}
	return strings.Join(parts, ", ")
}

// audit returns the line about the check against the ledger.
func (s *Summary) audit() string {
	if s.Audit == nil {
		return "ledger: not checked\n"
	}
	return fmt.Sprintf("ledger: %d postings checked, %d doubled, %d missing, %d run although refused\n",
		s.Audit.Checked, s.Audit.DuplicateRuns, s.Audit.AnsweredButNotRun, s.Audit.RefusedButRan)
}
