package traffic

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// targetTable keeps one target per key, each until its time.
type targetTable[K comparable] struct {
	target map[K]core.TargetID
	until  untilTable[K]
}

func (t *targetTable[K]) init() {
	t.target = map[K]core.TargetID{}
	t.until.init()
}

func (t *targetTable[K]) put(k K, target core.TargetID, until time.Duration) {
	t.target[k] = target
	t.until.put(k, until)
}

// get returns the target of a key, or 0.
func (t *targetTable[K]) get(k K, now time.Duration) core.TargetID {
	if !t.until.has(k, now) {
		return 0
	}
	return t.target[k]
}

// expire forgets keys whose time has passed. It scans the table only when most of it has.
func (t *targetTable[K]) expire(now time.Duration) {
	t.until.expire(now)
	if len(t.target) > 2*len(t.until.m)+16 {
		maps.DeleteFunc(t.target, func(k K, _ core.TargetID) bool { return !t.until.has(k, now) })
	}
}

// crossed reports whether a copy of a request arrives from the target that this owner has just sent
// its own copy to. Two owners in doubt about one flow do that when each finds the other's target in
// a note; only the copy at the lower target id may go on, otherwise both would run.
func (o *owner) crossed(f *core.ForwardRequest, now time.Duration) bool {
	if f.Request.Idempotent {
		return false
	}
	to := o.away.get(keyOf(&f.Request), now)
	return to != 0 && o.id > to && slices.Contains(f.AskedTargets, to)
}
