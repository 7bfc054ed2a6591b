package traffic

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// originTable keeps the targets that flows came from, each until no repetition of a request from
// before the move can arrive.
type originTable struct {
	from  map[core.FlowKey]core.TargetID
	until untilTable[core.FlowKey]
}

func (t *originTable) init() {
	t.from = map[core.FlowKey]core.TargetID{}
	t.until.init()
}

func (t *originTable) put(k core.FlowKey, from core.TargetID, until time.Duration) {
	t.from[k] = from
	t.until.put(k, until)
}

// get returns the target that a flow came from, or 0.
func (t *originTable) get(k core.FlowKey, now time.Duration) core.TargetID {
	if !t.until.has(k, now) {
		return 0
	}
	return t.from[k]
}

// expire forgets flows whose time has passed. It scans the table only when most of it has.
func (t *originTable) expire(now time.Duration) {
	t.until.expire(now)
	if len(t.from) > 2*len(t.until.m)+16 {
		maps.DeleteFunc(t.from, func(k core.FlowKey, _ core.TargetID) bool { return !t.until.has(k, now) })
	}
}

// awayTable keeps the targets that requests were sent to, each until no repetition can arrive.
type awayTable struct {
	to    map[reqKey]core.TargetID
	until untilTable[reqKey]
}

func (t *awayTable) init() {
	t.to = map[reqKey]core.TargetID{}
	t.until.init()
}

func (t *awayTable) put(k reqKey, to core.TargetID, until time.Duration) {
	t.to[k] = to
	t.until.put(k, until)
}

func (t *awayTable) expire(now time.Duration) {
	t.until.expire(now)
	if len(t.to) > 2*len(t.until.m)+16 {
		maps.DeleteFunc(t.to, func(k reqKey, _ core.TargetID) bool { return !t.until.has(k, now) })
	}
}

// crossed reports whether a copy of a request arrives from the target that this owner has just sent
// its own copy to. Two owners in doubt about one flow do that when each finds the other's target in
// a note; only the copy at the lower target id may go on, otherwise both would run.
func (o *owner) crossed(f *core.ForwardRequest, now time.Duration) bool {
	if f.Request.Idempotent {
		return false
	}
	k := keyOf(&f.Request)
	to := o.away.to[k]
	return to != 0 && o.away.until.has(k, now) && o.id > to && slices.Contains(f.Asked, to)
}
