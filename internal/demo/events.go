package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Event is a change at a time of the script.
type Event struct {
	// At is the time since the start of the run.
	At   time.Duration
	Name string
	Do   func(ctx context.Context, w *Deployment) error
}

// SetZone has a zone taken out of service or back, and tells the zone's targets, so that they count
// packets that still come.
func (w *Deployment) SetZone(ctx context.Context, zone core.ZoneName, state core.ZoneState) error {
	// Flows may leave as soon as the change is on its way.
	if state == core.ZoneOut {
		w.zones.set(zone, state)
	}
	if err := w.opts.SetZone(ctx, zone, state); err != nil {
		return fmt.Errorf("demo: zone %s: %w", zone, err)
	}
	w.zones.set(zone, state)
	for _, s := range w.targets {
		for _, t := range s.targets {
			if t.Zone() == string(zone) {
				t.SetZoneOut(state == core.ZoneOut)
			}
		}
	}
	return nil
}

// ReplaceEntryVM starts a new entry VM in the zone of the named one and stops the named one as planned.
// The fabric sends packets to both until the old one has stopped.
func (w *Deployment) ReplaceEntryVM(ctx context.Context, name string) error {
	i := w.entry(name)
	if i < 0 {
		return fmt.Errorf("demo: no entry VM %q", name)
	}
	old := w.entries[i]
	if _, err := w.addEntry(ctx, old.zone); err != nil {
		return err
	}
	err := old.Stop(ctx)
	w.dropEntry(name)
	if err != nil {
		return fmt.Errorf("demo: stop of entry VM %s: %w", name, err)
	}
	return nil
}

// KillEntryVM ends an entry VM at once. The fabric notices it after the given time.
func (w *Deployment) KillEntryVM(name string, notice time.Duration) error {
	i := w.entry(name)
	if i < 0 {
		return fmt.Errorf("demo: no entry VM %q", name)
	}
	w.entries[i].Kill()
	time.Sleep(notice)
	w.dropEntry(name)
	return nil
}

// TurnCold makes a target cold without notice.
func (w *Deployment) TurnCold(name string) error {
	t := w.Target(name)
	if t == nil {
		return fmt.Errorf("demo: no target %q", name)
	}
	t.TurnCold()
	return nil
}

// entry returns the index of the named entry VM, or -1.
func (w *Deployment) entry(name string) int {
	return slices.IndexFunc(w.entries, func(e entry) bool { return e.Name() == name })
}

// dropEntry forgets an entry VM that has ended.
func (w *Deployment) dropEntry(name string) {
	w.fabric.RemoveVM(name)
	w.entries = slices.DeleteFunc(w.entries, func(e entry) bool { return e.Name() == name })
}

// DefaultDuration is the length of the default script.
const DefaultDuration = 50 * time.Second

// DefaultScript takes the last zone out and back, replaces an entry VM of the first zone and turns a
// target of the first service in the first zone cold.
func DefaultScript(cfg *core.Config) []Event {
	first, last := cfg.Zones[0].Name, cfg.Zones[len(cfg.Zones)-1].Name
	return []Event{
		{15 * time.Second, fmt.Sprintf("zone %s leaves", last), func(ctx context.Context, w *Deployment) error {
			return w.SetZone(ctx, last, core.ZoneOut)
		}},
		{22 * time.Second, "an entry VM is replaced", func(ctx context.Context, w *Deployment) error {
			names := w.EntryVMs(first)
			if len(names) == 0 {
				return fmt.Errorf("demo: zone %s has no entry VM", first)
			}
			return w.ReplaceEntryVM(ctx, names[0])
		}},
		{29 * time.Second, fmt.Sprintf("zone %s returns", last), func(ctx context.Context, w *Deployment) error {
			return w.SetZone(ctx, last, core.ZoneIn)
		}},
		{38 * time.Second, "a target turns cold", func(_ context.Context, w *Deployment) error {
			for _, t := range cfg.Services[0].Targets {
				if t.Zone == first {
					return w.TurnCold(t.Name)
				}
			}
			return fmt.Errorf("demo: zone %s has no target", first)
		}},
	}
}
