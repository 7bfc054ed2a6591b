package control

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// statusInterval is the time between two writes of a zone's status when nothing changed. It keeps
// the fleet's writes well below the platform's rate.
const statusInterval = 30 * time.Second

// statusMinimum is the least time between two writes of a zone's status.
const statusMinimum = 5 * time.Second

// statusState is what was last written.
type statusState struct {
	writtenAt time.Duration
	written   []core.VMStatus
}

// updateStatus writes the zone's status if this VM is the first reader of its zone.
func (c *Control) updateStatus() {
	since := c.now - c.status.writtenAt
	if since < statusMinimum || c.rankInZone(c.opts.Zone, saltReader) != 0 {
		return
	}
	vms := c.zoneStatus()
	if since < statusInterval && slices.EqualFunc(vms, c.status.written, sameStatus) {
		return
	}
	c.status = statusState{writtenAt: c.now, written: vms}
	c.emit(core.WriteStatus{Zone: c.opts.Zone, VMs: vms})
}

// sameStatus ignores the time since the last heartbeat.
func sameStatus(a, b core.VMStatus) bool {
	a.HeartbeatAgeMillis = b.HeartbeatAgeMillis
	return a == b
}

// zoneStatus returns what this VM knows about the VMs of its zone, in name order.
func (c *Control) zoneStatus() []core.VMStatus {
	return slices.DeleteFunc(c.knownStatus(), func(s core.VMStatus) bool { return s.Zone != c.opts.Zone })
}

// knownStatus returns what this VM knows about itself and the VMs it has heard, in name order.
func (c *Control) knownStatus() []core.VMStatus {
	vms := []core.VMStatus{{
		Name: c.opts.Self, Zone: c.opts.Zone, Generation: c.generation(), State: c.ownState(),
	}}
	c.peers.all(func(name core.VMName, p *peer) bool {
		if !p.heard() {
			return true
		}
		vms = append(vms, core.VMStatus{
			Name: name, Zone: p.zone, Generation: p.generation, State: p.state,
			HeartbeatAgeMillis: int64((c.now - p.lastHeard) / time.Millisecond),
		})
		return true
	})
	slices.SortFunc(vms, func(a, b core.VMStatus) int { return compare(a.Name, b.Name) })
	return vms
}
