package traffic

import (
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// backupCopy holds the ids of the requests that another VM has started at a target.
type backupCopy struct {
	number core.FencingToken
	keys   untilTable[reqKey]
}

// knowsBackup reports whether the snapshot's backup is that of this VM's holding. Until control has
// noted a change of the holder, it is the former holder's.
func (s *Shard) knowsBackup(o *owner) bool {
	return o.view != nil && o.view.Owner == s.opts.Self
}

// askBackup asks the backup to keep a copy of a record. It reports false when there is nothing to
// wait for: there is no backup, or the present one has confirmed.
func (s *Shard) askBackup(o *owner, r *request) bool {
	b := o.view.Backup
	if b == "" || b == s.opts.Self || r.confirmed && r.backup == b {
		return false
	}
	o.sequence++
	r.seq = o.sequence
	r.backup = b
	r.confirmed = false
	r.confirmFrom = s.now
	s.send(b, &core.RecordStarted{
		Target:       o.id,
		FencingToken: o.number,
		Flow:         r.req.Flow,
		ID:           r.req.ID,
		Seq:          r.seq,
	})
	return true
}

// onRecordStarted keeps a copy, unless the sender is not the newest holder.
func (s *Shard) onRecordStarted(from core.VMName, m *core.RecordStarted) {
	if o := s.owners[m.Target]; o != nil && o.number >= m.FencingToken {
		return
	}
	c := s.backups[m.Target]
	if c == nil {
		c = &backupCopy{}
		c.keys.init()
		s.backups[m.Target] = c
	}
	if m.FencingToken < c.number || c.keys.order.len() >= maxRecords {
		return
	}
	c.number = m.FencingToken
	c.keys.put(reqKey{m.Flow, m.ID}, s.now+core.RequestLifetime)
	s.send(from, &core.RecordAck{Target: m.Target, FencingToken: m.FencingToken, Seq: m.Seq})
}

// onRecordAck queues the request whose record was confirmed.
func (s *Shard) onRecordAck(from core.VMName, m *core.RecordAck) {
	o := s.owners[m.Target]
	if o == nil || m.FencingToken > o.number {
		return
	}
	for _, r := range o.live {
		if r.state != reqConfirming || r.seq != m.Seq || r.backup != from {
			continue
		}
		if s.now-r.confirmFrom >= backupWait {
			return
		}
		r.confirmed = true
		r.state = reqQueued
		s.enqueue(o, r)
		s.pump(o)
		return
	}
}

// adoptBackup turns the copies of a former holder's started records into records.
func (s *Shard) adoptBackup(o *owner) {
	c := s.backups[o.id]
	if c == nil {
		return
	}
	for c.keys.order.len() > 0 {
		k := c.keys.order.pop()
		s.setRecord(o, k, record{
			state:      core.RecordUnknown,
			reason:     core.ReasonTargetLost,
			comeBackAt: s.now + minComeBack,
			until:      c.keys.m[k],
		})
	}
}

// expireBackups removes the copies whose records are over. Copies expire in the order of arrival,
// so the order of targets does not matter.
func (s *Shard) expireBackups() {
	for id, c := range s.backups {
		c.keys.expire(s.now)
		if c.keys.order.len() == 0 {
			delete(s.backups, id)
		}
	}
}

// backupDuty is the time for which this VM has been the backup of a target's holder.
type backupDuty struct {
	number core.FencingToken
	since  time.Duration
	// endedAt is when control last named this VM as the backup; 0 while it does.
	endedAt time.Duration
}

// dutyMemory is the time for which the end of a duty is remembered: control may publish the change
// of the holder before it orders the takeover.
const dutyMemory = 5 * time.Second

// noteBackupDuties follows for which targets this VM is the backup.
func (s *Shard) noteBackupDuties() {
	for id, v := range s.snap.Targets {
		d, ok := s.duties[id]
		switch {
		case v.Backup == s.opts.Self && v.Owner != s.opts.Self:
			if !ok || d.number != v.FencingToken || d.endedAt != 0 {
				s.duties[id] = backupDuty{number: v.FencingToken, since: s.now}
			}
		case ok && d.endedAt == 0:
			d.endedAt = s.now
			s.duties[id] = d
		}
	}
	for id, d := range s.duties {
		if d.endedAt != 0 && s.now-d.endedAt > dutyMemory || s.snap.Targets[id] == nil {
			delete(s.duties, id)
		}
	}
}

// wasBackup reports whether this VM has copies of all records of a target that are still alive. A
// holder that got the target by handover has older records that were never sent to its backup.
func (s *Shard) wasBackup(id core.TargetID) bool {
	d, ok := s.duties[id]
	if !ok || d.endedAt != 0 && s.now-d.endedAt > dutyMemory {
		return false
	}
	return s.now-d.since >= core.RequestLifetime
}
