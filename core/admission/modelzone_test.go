package admission

import (
	"math"
	"time"
)

// place takes the target with fewer outstanding requests at this VM among two that are considered.
func (m *model) place(r *modelRequest) *modelTarget {
	fraction := 0.0
	if m.reservation {
		fraction = m.gate.ReservedFraction(modelService, m.now)
	}
	var first *modelTarget
	for range 64 {
		t := m.targets[m.rng.IntN(len(m.targets))]
		if t.down || m.rng.Float64() >= m.weight(r.priority, Reserved(t.token, fraction), fraction) {
			continue
		}
		if first == nil {
			first = t
			continue
		}
		if m.outstanding[r.vm][t] < m.outstanding[r.vm][first] {
			return t
		}
		return first
	}
	return first
}

// weight is the probability with which a sampled target is considered.
func (m *model) weight(priority int, reserved bool, fraction float64) float64 {
	switch {
	case priority > 0 && reserved:
		return modelOverflow
	case priority == 0 && !reserved && fraction > 0 && m.short:
		return modelElsewhere
	}
	return 1
}

func (m *model) send(r *modelRequest, t *modelTarget) {
	r.target, r.token = t, t.token
	switch {
	case t.down:
		m.fail(r)
	case t.inWork < modelSlots:
		m.accepted(r)
		m.work(r)
	case len(t.queue) < modelQueue:
		m.accepted(r)
		t.queue = append(t.queue, r)
	default:
		m.rejected++
		m.lastRejection = m.now
		if m.now > burstEnd+modelGiveUp {
			m.lateRejected++
		}
		m.addUrgent(r)
		m.fail(r)
	}
}

func (m *model) accepted(r *modelRequest) {
	m.outstanding[r.vm][r.target]++
	if r.flow != nil {
		r.flow.target, r.flow.token = r.target, r.token
	}
}

func (m *model) work(r *modelRequest) {
	r.target.inWork++
	m.after(time.Duration((0.6+0.8*m.rng.Float64())*float64(modelWork)), func() { m.finish(r) })
}

func (m *model) finish(r *modelRequest) {
	t := r.target
	if t.token != r.token { // the target ended while the request was in work
		m.fail(r)
		return
	}
	m.outstanding[r.vm][t]--
	t.inWork--
	m.responses++
	m.addUrgent(r)
	if m.now-r.started <= modelDeadline {
		m.count(r).served++
	}
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		m.work(next)
	}
}

func (m *model) addUrgent(r *modelRequest) {
	if r.priority == 0 {
		m.urgentWork += modelWork.Seconds()
	}
}

func (m *model) fail(r *modelRequest) {
	if r.attempt++; r.attempt < modelAttempts {
		m.after(modelBackoff, func() { m.try(r) })
	}
}

// control is the reader of the zone.
func (m *model) control() {
	if m.readerLost {
		return
	}
	m.after(updateInterval, m.control)
	load := Load{Service: modelService, Priorities: []int{0, 1, 2}}
	for _, t := range m.targets {
		if !t.down {
			load.Targets++
			load.Slots += modelSlots
		}
	}
	if total := m.responses + m.rejected; total > 0 {
		load.Rejected = m.rejected / total
	}
	if load.Rejected >= relaxedRejected {
		m.lastShort = m.now
	}
	load.UrgentSlots = m.urgentWork * math.Ln2 / modelHalfLife
	policy := m.controller.Update([]Load{load}, m.now)
	m.policies = append(m.policies, policy)
	m.after(modelDelay, func() { m.gate, m.short = NewGate(policy, m.now), load.Rejected > relaxedRejected })
	decay := math.Exp2(-updateInterval.Seconds() / modelHalfLife)
	m.responses, m.rejected, m.urgentWork = m.responses*decay, m.rejected*decay, m.urgentWork*decay
}

// stop ends a target. Its flows are reset; their clients send again.
func (m *model) stop(t *modelTarget) {
	t.down, t.token = true, m.rng.Uint32()
	for _, r := range t.queue {
		m.after(0, func() { m.fail(r) })
	}
	t.inWork, t.queue = 0, nil
	for _, counts := range m.outstanding {
		delete(counts, t)
	}
}
