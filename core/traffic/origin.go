package traffic

import (
	"maps"
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
