package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
)

// flowEntry is the state of a known flow. It holds no pointers, so that the garbage collector does
// not scan the table.
type flowEntry struct {
	key    core.FlowKey
	target core.TargetID
	// seenAt is the time of the last packet in units of seenAtUnit; the lowest bit is a flag.
	seenAt uint32
}

// seenAtUnit is the resolution of idle times. The 31 bits beside the flag cover 6 years.
const seenAtUnit = 100 * time.Millisecond

// Flags of an entry.
const (
	// queriedFlag marks a redirect whose target's owner was asked whether the flow still exists.
	queriedFlag = 1
	// unconfirmedFlag marks an ingress VM's entry that no owner has confirmed: the target was the
	// flow's only candidate when the entry was made.
	unconfirmedFlag = 1
)

// Sizes of a flowTable. Growing one of its segments at 300,000 flows moves about 5,000 entries,
// which takes less than a millisecond. A segment is between 53% and 75% full, so that an entry takes
// 60 bytes at most.
const (
	segmentBits = 6
	minSlots    = 4
	// A segment grows by growNum/growDen when more than maxFillNum/maxFillDen of its slots are used.
	maxFillNum, maxFillDen = 3, 4
	growNum, growDen       = 7, 5
)

// flowTable maps flows to entries. It is an open-addressing hash table with the entries in place, so
// that a look-up touches one or two cache lines, and split into segments that grow one at a time.
// Entries can be visited in a fixed order a few at a time.
type flowTable struct {
	seed     uint64
	segments [1 << segmentBits]segment
	count    int
	// slots is the number of slots of all segments.
	slots int
	// cursorSegment and cursorSlot are where the next sweep starts.
	cursorSegment, cursorSlot int
}

// segment holds the entries whose hashes have the same upper bits. Free slots have no target.
type segment struct {
	slots []flowEntry
	used  int
}

func newFlowTable(seed uint64) flowTable { return flowTable{seed: seed} }

// toSeenAt converts a time to the seenAt value of a flowEntry.
func toSeenAt(now time.Duration) uint32 { return uint32(now/seenAtUnit) << 1 }

// touchKeepFlag records a packet of a flow and keeps the flag.
func (e *flowEntry) touchKeepFlag(now time.Duration) { e.seenAt = toSeenAt(now) | e.seenAt&1 }

// idleTime returns the time since the entry's last packet.
func (e *flowEntry) idleTime(now time.Duration) time.Duration {
	d := int32(toSeenAt(now)>>1) - int32(e.seenAt>>1)
	return time.Duration(max(d, 0)) * seenAtUnit
}

func (t *flowTable) hash(k *core.FlowKey) uint32 {
	return uint32(rendezvous.Mix(k.Hash(), t.seed) >> 32)
}

func (t *flowTable) segment(h uint32) *segment { return &t.segments[h>>(32-segmentBits)] }

// home returns the first slot for a hash.
func (seg *segment) home(h uint32) int {
	return int(uint64(h<<segmentBits) * uint64(len(seg.slots)) >> 32)
}

// next returns the slot after i.
func (seg *segment) next(i int) int {
	i++
	if i == len(seg.slots) {
		return 0
	}
	return i
}

// find returns the slot of a key, or -1.
func (seg *segment) find(k *core.FlowKey, h uint32) int {
	if seg.used == 0 {
		return -1
	}
	for i := seg.home(h); seg.slots[i].target != 0; i = seg.next(i) {
		if seg.slots[i].key == *k {
			return i
		}
	}
	return -1
}

// get returns the entry of a flow, or nil. The entry is valid until a flow is added or removed.
func (t *flowTable) get(k *core.FlowKey) *flowEntry {
	h := t.hash(k)
	seg := t.segment(h)
	i := seg.find(k, h)
	if i < 0 {
		return nil
	}
	return &seg.slots[i]
}

// put adds a flow or changes its target, and returns its entry. The target must not be 0.
func (t *flowTable) put(k core.FlowKey, target core.TargetID, now time.Duration) *flowEntry {
	h := t.hash(&k)
	seg := t.segment(h)
	if i := seg.find(&k, h); i >= 0 {
		e := &seg.slots[i]
		e.target = target
		e.seenAt = toSeenAt(now)
		return e
	}
	if maxFillDen*(seg.used+1) > maxFillNum*len(seg.slots) {
		t.grow(seg)
	}
	t.count++
	return seg.insert(h, flowEntry{key: k, target: target, seenAt: toSeenAt(now)})
}

// insert adds an entry that is not in the segment. There must be a free slot.
func (seg *segment) insert(h uint32, e flowEntry) *flowEntry {
	i := seg.home(h)
	for seg.slots[i].target != 0 {
		i = seg.next(i)
	}
	seg.slots[i] = e
	seg.used++
	return &seg.slots[i]
}

func (t *flowTable) grow(seg *segment) {
	old := seg.slots
	seg.slots = make([]flowEntry, max(minSlots, len(old)*growNum/growDen))
	seg.used = 0
	t.slots += len(seg.slots) - len(old)
	for i := range old {
		if old[i].target != 0 {
			seg.insert(t.hash(&old[i].key), old[i])
		}
	}
}

// remove deletes a flow, if it is known.
func (t *flowTable) remove(k *core.FlowKey) {
	h := t.hash(k)
	seg := t.segment(h)
	i := seg.find(k, h)
	if i < 0 {
		return
	}
	t.count--
	seg.used--
	t.closeGap(seg, i)
}

// closeGap empties a slot and moves later entries of the same run back, so that look-ups find them.
func (t *flowTable) closeGap(seg *segment, gap int) {
	n := len(seg.slots)
	seg.slots[gap] = flowEntry{}
	for i := seg.next(gap); seg.slots[i].target != 0; i = seg.next(i) {
		home := seg.home(t.hash(&seg.slots[i].key))
		if (i-home+n)%n >= (i-gap+n)%n {
			seg.slots[gap] = seg.slots[i]
			seg.slots[i] = flowEntry{}
			gap = i
		}
	}
}

// sweep looks at n slots at most, from where the last call ended, and visits the entries in them.
// visit may remove the entry that it is given.
func (t *flowTable) sweep(n int, visit func(e *flowEntry)) {
	for range min(n, t.slots+len(t.segments)) {
		seg := &t.segments[t.cursorSegment]
		if t.cursorSlot >= len(seg.slots) {
			t.cursorSlot = 0
			t.cursorSegment = (t.cursorSegment + 1) % len(t.segments)
			continue
		}
		used := seg.used
		if e := &seg.slots[t.cursorSlot]; e.target != 0 {
			visit(e)
		}
		if seg.used == used {
			t.cursorSlot++
		}
	}
}

// visitAll visits all entries in a fixed order.
func (t *flowTable) visitAll(visit func(e *flowEntry)) {
	for i := range t.segments {
		slots := t.segments[i].slots
		for j := range slots {
			if slots[j].target != 0 {
				visit(&slots[j])
			}
		}
	}
}
