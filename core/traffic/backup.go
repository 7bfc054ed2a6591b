package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// backupCopy has the ids of the requests that another VM has started at a target.
type backupCopy struct {
	fencingToken core.FencingToken
	keys         expiringKeys[requestKey]
}

// backupAssigned reports whether the backup in the snapshot was assigned to this VM as the owner.
// Until control has recorded a change of the owner, the snapshot names the previous owner's backup.
func (s *Shard) backupAssigned(o *ownedTarget) bool {
	return o.snapshot != nil && o.snapshot.Owner == s.opts.Self
}

// askBackup asks the backup to keep a copy of a record. It reports false when there is nothing to
// wait for: there is no backup, or the present one has confirmed.
func (s *Shard) askBackup(o *ownedTarget, r *request) bool {
	backup := o.snapshot.Backup
	if backup == "" || backup == s.opts.Self || r.confirmed && r.backup == backup {
		return false
	}
	o.backupSeq++
	r.backupSeq = o.backupSeq
	r.backup = backup
	r.confirmed = false
	r.confirmSince = s.now
	s.send(backup, &core.RecordStarted{
		Target:       o.id,
		FencingToken: o.fencingToken,
		Flow:         r.req.Flow,
		ID:           r.req.ID,
		Seq:          r.backupSeq,
	})
	return true
}

// onRecordStarted keeps a copy, unless the sender is not the newest owner.
func (s *Shard) onRecordStarted(from core.VMName, m *core.RecordStarted) {
	if o := s.owned[m.Target]; o != nil && o.fencingToken >= m.FencingToken {
		return
	}
	copies := s.backupCopies[m.Target]
	if copies == nil {
		copies = &backupCopy{}
		copies.keys.init()
		s.backupCopies[m.Target] = copies
	}
	if m.FencingToken < copies.fencingToken || copies.keys.order.len() >= maxRecords {
		return
	}
	copies.fencingToken = m.FencingToken
	copies.keys.put(requestKey{m.Flow, m.ID}, s.now+core.RequestLifetime)
	s.send(from, &core.RecordAck{Target: m.Target, FencingToken: m.FencingToken, Seq: m.Seq})
}

// onRecordAck queues the request whose record was confirmed.
func (s *Shard) onRecordAck(from core.VMName, m *core.RecordAck) {
	o := s.owned[m.Target]
	if o == nil || m.FencingToken > o.fencingToken {
		return
	}
	for _, r := range o.activeInOrder {
		if r.state != requestConfirming || r.backupSeq != m.Seq || r.backup != from {
			continue
		}
		if s.now-r.confirmSince >= backupWait {
			return
		}
		r.confirmed = true
		r.state = requestQueued
		s.enqueue(o, r)
		s.sendQueued(o)
		return
	}
}

// restoreFromBackup turns the copies of a previous owner's started records into records.
func (s *Shard) restoreFromBackup(o *ownedTarget) {
	copies := s.backupCopies[o.id]
	if copies == nil {
		return
	}
	for copies.keys.order.len() > 0 {
		k := copies.keys.order.pop()
		s.setRecord(o, k, record{
			state:     core.RecordUnknown,
			reason:    core.ReasonTargetLost,
			retryAt:   s.now + minRetryAfter,
			expiresAt: copies.keys.expiresAt[k],
		})
	}
}

// expireBackups removes expired copies. The copies of a target expire in the order of arrival. The
// targets may be visited in any order because no actions result.
func (s *Shard) expireBackups() {
	for id, c := range s.backupCopies {
		c.keys.expire(s.now)
		if c.keys.order.len() == 0 {
			delete(s.backupCopies, id)
		}
	}
}

// backupRole describes since when this VM has been the backup of a target's owner.
type backupRole struct {
	fencingToken core.FencingToken
	since        time.Duration
	// endedAt is when a snapshot first no longer named this VM as the backup; 0 while it is the
	// backup.
	endedAt time.Duration
}

// backupRoleRetention is the time for which an ended role is kept: control may publish the change
// of the owner before it orders the takeover.
const backupRoleRetention = 5 * time.Second

// updateBackupRoles records for which targets this VM is the backup.
func (s *Shard) updateBackupRoles() {
	for id, target := range s.snapshot.Targets {
		role, ok := s.backupRoles[id]
		switch {
		case target.Backup == s.opts.Self && target.Owner != s.opts.Self:
			if !ok || role.fencingToken != target.FencingToken || role.endedAt != 0 {
				s.backupRoles[id] = backupRole{fencingToken: target.FencingToken, since: s.now}
			}
		case ok && role.endedAt == 0:
			role.endedAt = s.now
			s.backupRoles[id] = role
		}
	}
	for id, role := range s.backupRoles {
		if role.endedAt != 0 && s.now-role.endedAt > backupRoleRetention || s.snapshot.Targets[id] == nil {
			delete(s.backupRoles, id)
		}
	}
}

// wasBackup reports whether this VM has copies of all records of a target that have not expired. An
// owner that got the target by handover has older records that were never sent to its backup, so
// the role must have lasted for RequestLifetime.
func (s *Shard) wasBackup(id core.TargetID) bool {
	role, ok := s.backupRoles[id]
	if !ok || role.endedAt != 0 && s.now-role.endedAt > backupRoleRetention {
		return false
	}
	return s.now-role.since >= core.RequestLifetime
}
