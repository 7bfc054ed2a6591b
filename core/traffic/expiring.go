package traffic

import (
	"maps"
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// expiringTargets maps each key to a target until the key expires.
type expiringTargets[K comparable] struct {
	targets map[K]core.TargetID
	keys    expiringKeys[K]
}

func (t *expiringTargets[K]) init() {
	t.targets = map[K]core.TargetID{}
	t.keys.init()
}

func (t *expiringTargets[K]) put(k K, target core.TargetID, until time.Duration) {
	t.targets[k] = target
	t.keys.put(k, until)
}

// get returns the target of a key, or 0.
func (t *expiringTargets[K]) get(k K, now time.Duration) core.TargetID {
	if !t.keys.has(k, now) {
		return 0
	}
	return t.targets[k]
}

// expire removes expired keys. It scans the table only when most of its entries have expired.
func (t *expiringTargets[K]) expire(now time.Duration) {
	t.keys.expire(now)
	if len(t.targets) > 2*len(t.keys.expiresAt)+16 {
		maps.DeleteFunc(t.targets, func(k K, _ core.TargetID) bool { return !t.keys.has(k, now) })
	}
}

// copiesCrossed reports whether a copy of a request arrives from the target to which this owner has
// just forwarded its own copy. This happens when two owners have an unconfirmed placement of the flow
// and each is referred to the other's target by a peer's flow table entry. Only the copy at the
// lower target id may go on, otherwise both would run.
func (o *ownedTarget) copiesCrossed(f *core.ForwardRequest, now time.Duration) bool {
	if f.Request.Idempotent {
		return false
	}
	to := o.forwardedTo.get(requestKeyOf(&f.Request), now)
	return to != 0 && o.id > to && slices.Contains(f.AskedTargets, to)
}
