package forward

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangoweir/mangoweir/core"
)

const (
	// coldWindow is the time in which a VM gives a cold target at most its share of new flows. The platform's
	// limit applies to one second; the other 250 ms cover different delays on the way to the target.
	coldWindow = 1250 * time.Millisecond
	// coldShare is the part of a cold target's limit that the VMs of its zone use together. VMs that do not
	// agree on the members of the zone may use up to twice as much: a partition splits them into two groups,
	// each of which divides the whole part among its own members.
	coldShare = 0.5
)

// VMID is a hash of a VM's name. Two VMs of a zone with the same VMID count as one member, and both use its
// shares.
type VMID uint32

// NewVMID returns the VMID of a VM.
func NewVMID(name core.VMName) VMID { return VMID(xxhash.Sum64String(string(name))) }

// ColdShare returns how many new flows per coldWindow the VM self may give a cold target with the given limit
// per second. members are the VMs of the target's zone, in any order and without duplicates.
//
// Rendezvous hashing ranks the members for each target, and the first ones get a share of at least one flow.
// The shares of all members add up to the same number whether the zone has 1 VM or 600, and a VM that joins or
// leaves changes the ranks of the others by one at most. A VM that is not a member, or does not know the
// members, has no share.
func ColdShare(self VMID, members []VMID, target Token, limit float64) int {
	total := int(coldShare * limit)
	if total < 1 || !slices.Contains(members, self) {
		return 0
	}
	rank := 0
	own := rendezvousWeight(self, target)
	for _, m := range members {
		if w := rendezvousWeight(m, target); w > own {
			rank++
		}
	}
	admitting := min(total, len(members))
	if rank >= admitting {
		return 0
	}
	share := total / admitting
	if rank < total%admitting {
		share++
	}
	return share
}

// rendezvousWeight returns the weight of a VM for a target. The function is the finalizer of SplitMix64, a
// bijection: different VMs never have the same weight for a target.
func rendezvousWeight(vm VMID, target Token) uint64 {
	x := uint64(vm)<<32 | uint64(target)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// coldFlows contains the times of the new flows that a VM gave a cold target within the last coldWindow.
type coldFlows []time.Duration

// admit reports whether the share allows another new flow, and records the flow if it does.
func (c *coldFlows) admit(share int, now time.Duration) bool {
	c.expire(now)
	if len(*c) >= share {
		return false
	}
	*c = append(*c, now)
	return true
}

// nextAt returns when the share allows another new flow; ok is false if it never does.
func (c *coldFlows) nextAt(share int, now time.Duration) (at time.Duration, ok bool) {
	if share == 0 {
		return 0, false
	}
	c.expire(now)
	if len(*c) < share {
		return now, true
	}
	return (*c)[len(*c)-share] + coldWindow, true
}

func (c *coldFlows) expire(now time.Duration) {
	*c = slices.DeleteFunc(*c, func(at time.Duration) bool { return now-at >= coldWindow })
}
