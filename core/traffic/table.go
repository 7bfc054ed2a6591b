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
	// seen is the time of the last packet in units of seenUnit; the lowest bit is a flag.
	seen uint32
}

// seenUnit is the resolution of idle times. With the flag bit, 31 bits of it last for 6 years.
const seenUnit = 100 * time.Millisecond

// Flags of an entry.
const (
	// probedFlag marks a redirect whose target's holder was asked whether the flow still exists.
	probedFlag = 1
	// guessFlag marks a note that no owner has confirmed: the flow's only candidate at the time.
	guessFlag = 1
)

const chunkEntries = 512

// flowTable maps flows to entries. It is an open-addressing index over chunks of entries: the index
// holds 32 bits of hash and the entry's number, so that growing it touches no entry, and entries
// can be visited in a fixed order a few at a time.
type flowTable struct {
	seed   uint64
	index  []uint64
	chunks [][]flowEntry
	free   []uint32
	next   uint32
	count  int
	cursor uint32
}

func newFlowTable(seed uint64) flowTable { return flowTable{seed: seed} }

// toSeen converts a time to a flowEntry's seen value.
func toSeen(now time.Duration) uint32 { return uint32(now/seenUnit) << 1 }

// use notes a packet of a flow and keeps the flag.
func (e *flowEntry) use(now time.Duration) { e.seen = toSeen(now) | e.seen&1 }

// idle returns the time since the entry's last packet.
func (e *flowEntry) idle(now time.Duration) time.Duration {
	d := int32(toSeen(now)>>1) - int32(e.seen>>1)
	return time.Duration(max(d, 0)) * seenUnit
}

func (t *flowTable) hash(k *core.FlowKey) uint32 {
	return uint32(rendezvous.Mix(k.Hash(), t.seed) >> 32)
}

func (t *flowTable) entry(i uint32) *flowEntry {
	return &t.chunks[i/chunkEntries][i%chunkEntries]
}

// find returns the slot of a key in the index, or -1.
func (t *flowTable) find(k *core.FlowKey, h uint32) int {
	if len(t.index) == 0 {
		return -1
	}
	mask := uint32(len(t.index) - 1)
	for i := h & mask; ; i = (i + 1) & mask {
		v := t.index[i]
		if v == 0 {
			return -1
		}
		if uint32(v>>32) == h && t.entry(uint32(v)-1).key == *k {
			return int(i)
		}
	}
}

// get returns the entry of a flow, or nil. The entry is valid until the flow is removed.
func (t *flowTable) get(k *core.FlowKey) *flowEntry {
	i := t.find(k, t.hash(k))
	if i < 0 {
		return nil
	}
	return t.entry(uint32(t.index[i]) - 1)
}

// put adds a flow or changes its target, and returns its entry.
func (t *flowTable) put(k core.FlowKey, target core.TargetID, now time.Duration) *flowEntry {
	h := t.hash(&k)
	if i := t.find(&k, h); i >= 0 {
		e := t.entry(uint32(t.index[i]) - 1)
		e.target = target
		e.seen = toSeen(now)
		return e
	}
	// At most 3/4 of the index is used.
	if 4*(t.count+1) > 3*len(t.index) {
		t.grow()
	}
	n := t.allocate()
	e := t.entry(n)
	*e = flowEntry{key: k, target: target, seen: toSeen(now)}
	t.insert(uint64(h)<<32 | uint64(n+1))
	t.count++
	return e
}

func (t *flowTable) allocate() uint32 {
	if n := len(t.free); n > 0 {
		i := t.free[n-1]
		t.free = t.free[:n-1]
		return i
	}
	if int(t.next) == len(t.chunks)*chunkEntries {
		t.chunks = append(t.chunks, make([]flowEntry, chunkEntries))
	}
	t.next++
	return t.next - 1
}

func (t *flowTable) insert(v uint64) {
	mask := uint32(len(t.index) - 1)
	i := uint32(v>>32) & mask
	for t.index[i] != 0 {
		i = (i + 1) & mask
	}
	t.index[i] = v
}

func (t *flowTable) grow() {
	old := t.index
	t.index = make([]uint64, max(64, 2*len(old)))
	for _, v := range old {
		if v != 0 {
			t.insert(v)
		}
	}
}

// remove deletes a flow, if it is known.
func (t *flowTable) remove(k *core.FlowKey) {
	i := t.find(k, t.hash(k))
	if i < 0 {
		return
	}
	n := uint32(t.index[i]) - 1
	*t.entry(n) = flowEntry{}
	t.free = append(t.free, n)
	t.count--
	t.closeGap(uint32(i))
}

// closeGap empties a slot of the index and moves later entries of the same run forward.
func (t *flowTable) closeGap(gap uint32) {
	mask := uint32(len(t.index) - 1)
	t.index[gap] = 0
	for i := (gap + 1) & mask; t.index[i] != 0; i = (i + 1) & mask {
		home := uint32(t.index[i]>>32) & mask
		if (i-home)&mask >= (i-gap)&mask {
			t.index[gap] = t.index[i]
			t.index[i] = 0
			gap = i
		}
	}
}

// sweep visits at most n entries from where the last call ended.
func (t *flowTable) sweep(n int, visit func(e *flowEntry)) {
	for range min(n, int(t.next)) {
		if t.cursor >= t.next {
			t.cursor = 0
		}
		e := t.entry(t.cursor)
		t.cursor++
		if e.target != 0 {
			visit(e)
		}
	}
}

// all visits all entries in a fixed order.
func (t *flowTable) all(visit func(e *flowEntry)) {
	for i := range t.next {
		if e := t.entry(i); e.target != 0 {
			visit(e)
		}
	}
}
