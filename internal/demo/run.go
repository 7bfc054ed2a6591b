package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/internal/standin/caller"
)

// MaxDuration bounds a run.
const MaxDuration = time.Minute

// windowLines is the number of lines of the table over which imbalance is taken.
const windowLines = 5

// Run lets the script happen while callers work, writes a line per second to table, and returns the
// summary. StartEntryVMs and StartClients come before it. It fails when an event fails; the summary is
// valid then, too.
func (w *Deployment) Run(ctx context.Context, script []Event, duration time.Duration, table io.Writer) (Summary, error) {
	duration = min(duration, MaxDuration)
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	began := time.Now()
	counts := []Counts{w.Counts()}
	steady := -1
	fmt.Fprintln(table, tableHeader)
	events := make(chan string, len(script)+1)
	failed := make(chan error, 1)
	go func() { failed <- w.play(ctx, script, began, events) }()
	ticker := time.NewTicker(tableInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			continue
		case <-ticker.C:
		}
		names := drain(events)
		if len(names) > 0 && steady < 0 {
			steady = len(counts) - 1
		}
		counts = append(counts, w.Counts())
		w.writeLine(table, time.Since(began), counts, names)
	}
	err := <-failed
	w.StopClients()
	if steady < 0 {
		steady = len(counts) - 1
	}
	s := w.summarize(counts[0], counts[steady], w.Counts(), time.Since(began))
	return s, err
}

// play carries out the events at their times. Each event ends before the next begins.
func (w *Deployment) play(ctx context.Context, script []Event, began time.Time, names chan<- string) error {
	script = slices.Clone(script)
	slices.SortStableFunc(script, func(a, b Event) int { return int(a.At - b.At) })
	for _, e := range script {
		timer := time.NewTimer(time.Until(began.Add(e.At)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		names <- e.Name
		if err := e.Do(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

// drain returns the names of the events since the last line.
func drain(events <-chan string) []string {
	var names []string
	for {
		select {
		case name := <-events:
			names = append(names, name)
		default:
			return names
		}
	}
}

// tableHeader names the columns of the live table.
const tableHeader = "  time   flows  broken      done  refused  doubled  imbalance  event"

// writeLine writes a line of the live table.
func (w *Deployment) writeLine(table io.Writer, at time.Duration, counts []Counts, names []string) {
	now := &counts[len(counts)-1]
	window := counts[max(len(counts)-1-windowLines, 0)]
	event := ""
	for _, name := range names {
		event += name + "  "
	}
	fmt.Fprintf(table, "%5.0fs  %6d  %6d  %8d  %7d  %7d  %9.2f  %s\n", at.Seconds(), now.OpenFlows,
		now.Clients.BrokenFlows, now.Clients.Count(caller.Answered), now.Clients.Count(caller.Refused), now.DuplicateRuns,
		imbalance(window, *now), event)
}
