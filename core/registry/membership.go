package registry

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

// settleTime is how long a VM must have been its zone's reader before its subscribers count as the members of
// the zone. All VMs of a zone find a new reader within half a second.
const settleTime = time.Second

// Membership decides which VMs count as members of this VM's zone. The zone's reader knows them from its
// subscribers and sends them to these. The members divide the budgets of cold targets, so that a VM which
// counts too few members uses more than its part. A VM therefore has no members until it was told of them,
// and a VM that replaces the reader keeps the previous ones until all others have found it.
type Membership struct {
	self    forward.VMID
	members []forward.VMID
	// downstream are this VM and the members that receive the change feed through it.
	downstream []forward.VMID
	// settledAt is when downstream becomes the members, if this VM still is the reader.
	reading   bool
	settledAt time.Duration
}

// NewMembership returns the Membership of a VM that knows no members.
func NewMembership(self forward.VMID) *Membership {
	return &Membership{self: self, downstream: []forward.VMID{self}}
}

// SetReading records whether this VM is the reader of its zone.
func (m *Membership) SetReading(reading bool, now time.Duration) {
	if reading && !m.reading {
		m.settledAt = now + settleTime
	}
	m.reading = reading
}

// SetDownstream replaces the members that receive the change feed through this VM.
func (m *Membership) SetDownstream(vms []forward.VMID) {
	m.downstream = sortedUnion(vms, []forward.VMID{m.self})
}

// Receive replaces the members by those that another VM of the zone has sent.
func (m *Membership) Receive(vms []forward.VMID) {
	if !m.reading {
		m.members = sortedUnion(vms)
	}
}

// Members returns the members in ascending order; it is empty when they are not known.
func (m *Membership) Members(now time.Duration) []forward.VMID {
	if m.reading && now >= m.settledAt {
		m.members = m.downstream
	}
	return m.members
}

// sortedUnion returns the distinct VMs of some lists in ascending order.
func sortedUnion(lists ...[]forward.VMID) []forward.VMID {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}
