package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/internal/standin/client"
)

// MaxDuration bounds the duration of a run.
const MaxDuration = time.Minute

// windowLines is the number of lines of the table over which the imbalance is computed.
const windowLines = 5

// Run executes the script while the clients send requests, writes a line per second to table, and returns
// the summary. Call StartEntryVMs and StartClients before it. It returns an error when an event fails;
// the summary is valid in this case, too.
func (d *Deployment) Run(ctx context.Context, script []Event, duration time.Duration, table io.Writer) (Summary, error) {
	duration = min(duration, MaxDuration)
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	start := time.Now()
	counts := []Counts{d.Counts()}
	beforeFirstEvent := -1
	fmt.Fprintln(table, tableHeader)
	events := make(chan string, len(script)+1)
	scriptDone := make(chan error, 1)
	go func() { scriptDone <- d.runScript(ctx, script, start, events) }()
	ticker := time.NewTicker(tableInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			continue
		case <-ticker.C:
		}
		names := takeNames(events)
		if len(names) > 0 && beforeFirstEvent < 0 {
			beforeFirstEvent = len(counts) - 1
		}
		counts = append(counts, d.Counts())
		d.writeLine(table, time.Since(start), counts, names)
	}
	err := <-scriptDone
	d.StopClients()
	if beforeFirstEvent < 0 {
		beforeFirstEvent = len(counts) - 1
	}
	s := d.summarize(counts[0], counts[beforeFirstEvent], d.Counts(), time.Since(start))
	return s, err
}

// runScript executes each event at its time, after it has sent the event's name to names. Each event ends
// before the next begins.
func (d *Deployment) runScript(ctx context.Context, script []Event, start time.Time, names chan<- string) error {
	script = slices.Clone(script)
	slices.SortStableFunc(script, func(a, b Event) int { return int(a.At - b.At) })
	for _, e := range script {
		timer := time.NewTimer(time.Until(start.Add(e.At)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
		names <- e.Name
		if err := e.Do(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

// takeNames returns the names of the events since its last call.
func takeNames(events <-chan string) []string {
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

// tableHeader is the first line of the live table.
const tableHeader = "  time   flows  broken      done  refused  doubled  imbalance  event"

// writeLine writes a line of the live table.
func (d *Deployment) writeLine(table io.Writer, elapsed time.Duration, counts []Counts, names []string) {
	now := &counts[len(counts)-1]
	window := counts[max(len(counts)-1-windowLines, 0)]
	event := ""
	for _, name := range names {
		event += name + "  "
	}
	fmt.Fprintf(table, "%5.0fs  %6d  %6d  %8d  %7d  %7d  %9.2f  %s\n", elapsed.Seconds(), now.OpenFlows,
		now.Clients.BrokenFlows, now.Clients.Count(client.Answered), now.Clients.Count(client.Refused), now.DuplicateRuns,
		imbalance(window, *now), event)
}
