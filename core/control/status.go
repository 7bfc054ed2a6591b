package control

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// statusInterval is the time between two writes of a zone's status when nothing changed. It keeps the
// fleet's writes well below the rate that the platform allows.
const statusInterval = 30 * time.Second

// statusMinInterval is the least time between two writes of a zone's status.
const statusMinInterval = 5 * time.Second

// statusState is the status that was last written.
type statusState struct {
	writtenAt time.Duration
	written   []core.VMStatus
}

// updateStatus writes the zone's status if this VM is the first reader of its zone.
func (c *Control) updateStatus() {
	since := c.now - c.status.writtenAt
	if since < statusMinInterval || c.rankInZone(c.opts.Zone, saltReader) != 0 {
		return
	}
	vms := c.zoneStatus()
	if since < statusInterval && slices.EqualFunc(vms, c.status.written, sameStatus) {
		return
	}
	c.status = statusState{writtenAt: c.now, written: vms}
	c.emit(core.WriteStatus{Zone: c.opts.Zone, VMs: vms})
}

// sameStatus reports whether two statuses differ at most in the time since the last heartbeat.
func sameStatus(a, b core.VMStatus) bool {
	a.HeartbeatAgeMillis = b.HeartbeatAgeMillis
	return a == b
}

// zoneStatus returns the status of the VMs of this VM's zone, in name order.
func (c *Control) zoneStatus() []core.VMStatus {
	return slices.DeleteFunc(c.vmStatuses(), func(s core.VMStatus) bool { return s.Zone != c.opts.Zone })
}

// vmStatuses returns the status of this VM and of all VMs of which a heartbeat has arrived, in name order.
func (c *Control) vmStatuses() []core.VMStatus {
	vms := []core.VMStatus{{
		Name: c.opts.Self, Zone: c.opts.Zone, Generation: c.generation(), State: c.ownState(),
	}}
	c.peers.all(func(name core.VMName, p *peer) bool {
		if !p.hasHeartbeat() {
			return true
		}
		vms = append(vms, core.VMStatus{
			Name: name, Zone: p.zone, Generation: p.generation, State: p.state,
			HeartbeatAgeMillis: int64((c.now - p.lastHeartbeat) / time.Millisecond),
		})
		return true
	})
	slices.SortFunc(vms, func(a, b core.VMStatus) int { return compare(a.Name, b.Name) })
	return vms
}
