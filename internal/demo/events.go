package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Event is a change that a script makes at a given time.
type Event struct {
	// At is the time since the start of the run.
	At   time.Duration
	Name string
	Do   func(ctx context.Context, d *Deployment) error
}

// SetZone takes a zone out of service or back in, and sets the state at the zone's targets, so that they
// count the packets that they receive while the zone is out.
func (d *Deployment) SetZone(ctx context.Context, zone core.ZoneName, state core.ZoneState) error {
	// Flows may leave as soon as Options.SetZone has sent the change, which is before it returns.
	if state == core.ZoneOut {
		d.zones.set(zone, state)
	}
	if err := d.opts.SetZone(ctx, zone, state); err != nil {
		return fmt.Errorf("demo: zone %s: %w", zone, err)
	}
	d.zones.set(zone, state)
	for _, s := range d.services {
		for _, t := range s.targets {
			if t.Zone() == string(zone) {
				t.SetZoneOut(state == core.ZoneOut)
			}
		}
	}
	return nil
}

// ReplaceEntryVM starts a new entry VM in the zone of the named VM and then stops the named VM as planned.
// The fabric sends packets to both until the named VM has stopped.
func (d *Deployment) ReplaceEntryVM(ctx context.Context, name string) error {
	i := d.entryVMIndex(name)
	if i < 0 {
		return fmt.Errorf("demo: no entry VM %q", name)
	}
	old := d.entryVMs[i]
	if _, err := d.addEntryVM(ctx, old.zone); err != nil {
		return err
	}
	err := old.Stop(ctx)
	d.removeEntryVM(name)
	if err != nil {
		return fmt.Errorf("demo: stop entry VM %s: %w", name, err)
	}
	return nil
}

// KillEntryVM ends an entry VM at once. The fabric stops sending packets to it after detectionDelay.
func (d *Deployment) KillEntryVM(name string, detectionDelay time.Duration) error {
	i := d.entryVMIndex(name)
	if i < 0 {
		return fmt.Errorf("demo: no entry VM %q", name)
	}
	d.entryVMs[i].Kill()
	time.Sleep(detectionDelay)
	d.removeEntryVM(name)
	return nil
}

// TurnCold makes a target cold; the entry VMs are not informed.
func (d *Deployment) TurnCold(name string) error {
	t := d.Target(name)
	if t == nil {
		return fmt.Errorf("demo: no target %q", name)
	}
	t.TurnCold()
	return nil
}

// entryVMIndex returns the index of the named entry VM, or -1.
func (d *Deployment) entryVMIndex(name string) int {
	return slices.IndexFunc(d.entryVMs, func(e zoneEntryVM) bool { return e.Name() == name })
}

// removeEntryVM removes an entry VM that has ended from the fabric and from the list.
func (d *Deployment) removeEntryVM(name string) {
	d.fabric.RemoveVM(name)
	d.entryVMs = slices.DeleteFunc(d.entryVMs, func(e zoneEntryVM) bool { return e.Name() == name })
}

// DefaultDuration is the length of the default script.
const DefaultDuration = 50 * time.Second

// DefaultScript returns a script that takes the last zone out of service and back in, replaces an entry
// VM of the first zone and makes a target of the first service in the first zone cold.
func DefaultScript(cfg *core.Config) []Event {
	first, last := cfg.Zones[0].Name, cfg.Zones[len(cfg.Zones)-1].Name
	return []Event{
		{15 * time.Second, fmt.Sprintf("zone %s leaves", last), func(ctx context.Context, d *Deployment) error {
			return d.SetZone(ctx, last, core.ZoneOut)
		}},
		{22 * time.Second, "an entry VM is replaced", func(ctx context.Context, d *Deployment) error {
			names := d.EntryVMs(first)
			if len(names) == 0 {
				return fmt.Errorf("demo: zone %s has no entry VM", first)
			}
			return d.ReplaceEntryVM(ctx, names[0])
		}},
		{29 * time.Second, fmt.Sprintf("zone %s returns", last), func(ctx context.Context, d *Deployment) error {
			return d.SetZone(ctx, last, core.ZoneIn)
		}},
		{38 * time.Second, "a target turns cold", func(_ context.Context, d *Deployment) error {
			for _, t := range cfg.Services[0].Targets {
				if t.Zone == first {
					return d.TurnCold(t.Name)
				}
			}
			return fmt.Errorf("demo: zone %s has no target", first)
		}},
	}
}
