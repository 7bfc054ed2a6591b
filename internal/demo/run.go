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
// summary. StartEntries and StartCallers come before it. It fails when an event fails; the summary is
// valid then, too.
func (w *World) Run(ctx context.Context, script []Event, duration time.Duration, table io.Writer) (Summary, error) {
	duration = min(duration, MaxDuration)
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	began := time.Now()
	counts := []Count{w.Count()}
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
		counts = append(counts, w.Count())
		w.writeLine(table, time.Since(began), counts, names)
	}
	err := <-failed
	w.StopCallers()
	if steady < 0 {
		steady = len(counts) - 1
	}
	s := w.summarize(counts[0], counts[steady], w.Count(), time.Since(began))
	return s, err
}

// play carries out the events at their times. Each event ends before the next begins.
func (w *World) play(ctx context.Context, script []Event, began time.Time, names chan<- string) error {
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
func (w *World) writeLine(table io.Writer, at time.Duration, counts []Count, names []string) {
	now := &counts[len(counts)-1]
	window := counts[max(len(counts)-1-windowLines, 0)]
	event := ""
	for _, name := range names {
		event += name + "  "
	}
	fmt.Fprintf(table, "%5.0fs  %6d  %6d  %8d  %7d  %7d  %9.2f  %s\n", at.Seconds(), now.OpenFlows,
		now.Callers.Broken, now.Callers.Count(caller.Answered), now.Callers.Count(caller.Refused), now.Doubles,
		imbalance(window, *now), event)
}
