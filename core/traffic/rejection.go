package traffic

import "github.com/mangoweir/mangoweir/core"

// rejectNotification makes a target end a feed that no shard has, such as one whose registration
// was abandoned. Only the owner does so, as it alone sends to the target. During a handover the
// notifications of the previous owner's registration may be rejected; the new owner registers the
// feed itself.
func (s *Shard) rejectNotification(m core.TargetAnswer) {
	if s.rejections >= rejectionsPerTick {
		return
	}
	s.rejections++
	v := s.ownedAt(m)
	if v == nil {
		return
	}
	s.emit(core.RejectNotification{Target: v.Target.ID, Addr: m.From, Flow: m.Flow, Payload: m.Payload})
}

// ownedAt returns the target that a message came from if this VM may send to it, else nil.
func (s *Shard) ownedAt(m core.TargetAnswer) *core.TargetSnapshot {
	if s.snapshot == nil {
		return nil
	}
	for _, target := range s.snapshot.Targets {
		if target.Target.Addr != m.From || target.Target.Service != m.Flow.Service {
			continue
		}
		if target.Owner == s.opts.Self && !target.ZoneOut && !target.Removed && s.now >= target.NotBefore {
			return target
		}
	}
	return nil
}

// cancelMatches reports whether a cancellation with the given id is for a request.
func cancelMatches(cancel, id core.RequestID) bool { return cancel == id || id.CancelledBy(cancel) }
