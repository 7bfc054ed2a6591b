package targetload

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	modelSlots   = 2
	modelQueue   = 8
	modelWork    = 50 * time.Millisecond
	modelService = "desk"
)

// model is a zone: targets with slots and queues, VMs that place requests on them, and a reader. Tables reach the VMs 250 ms after
// their summary was made.
type model struct {
	random  *rand.Rand
	now     time.Duration
	events  eventQueue
	targets []*modelTarget
	vms     []*modelVM
	groups  Groups
	pool    Pool
	table   *Table
	// readerLost stops the summaries.
	readerLost func(now time.Duration) bool
	requests   []modelRequest
}

type modelTarget struct {
	id    ID
	busy  int
	queue []func()
	// factor multiplies the time that requests take.
	factor func(now time.Duration) float64
}

type modelVM struct {
	work        WorkEstimator
	collector   Collector
	outstanding []int // by target
}

// modelRequest is a request that a VM placed.
type modelRequest struct {
	at       time.Duration
	target   int
	rejected bool
}

type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)        { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newModel(vms, targets int) *model {
	m := &model{random: rand.New(rand.NewPCG(1, uint64(vms))), groups: make(Groups),
		readerLost: func(time.Duration) bool { return false }}
	for i := range targets {
		id := ID(1000 + i)
		m.groups[id] = Group{Service: modelService, Slots: modelSlots}
		m.targets = append(m.targets, &modelTarget{id: id, factor: func(time.Duration) float64 { return 1 }})
	}
	for range vms {
		vm := &modelVM{outstanding: make([]int, targets)}
		m.vms = append(m.vms, vm)
		m.every(50*time.Millisecond, time.Duration(m.random.Int64N(int64(50*time.Millisecond))), func() {
			m.pool.Add(vm.collector.Take(m.now), m.now)
		})
	}
	m.every(250*time.Millisecond, 250*time.Millisecond, func() {
		if m.readerLost(m.now) {
			return
		}
		table := NewTable(m.pool.Summarize(m.groups, m.now), m.now)
		m.after(250*time.Millisecond, func() { m.table = table })
	})
	return m
}

func (m *model) after(wait time.Duration, run func()) {
	heap.Push(&m.events, event{m.now + wait, run})
}

func (m *model) every(period, first time.Duration, run func()) {
	m.after(first, func() {
		run()
		m.every(period, period, run)
	})
}

// arrive calls run at random times, rate times per second.
func (m *model) arrive(rate float64, run func()) {
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		run()
		m.arrive(rate, run)
	})
}

func (m *model) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	m.now = until
}

// rate returns the requests per second that occupy a number of slots.
func rate(slots float64) float64 { return slots / modelWork.Seconds() }

func (m *model) randomVM() *modelVM { return m.vms[m.random.IntN(len(m.vms))] }

// place selects a target: of two sampled ones, that with fewer requests outstanding at the VM.
func (m *model) place(vm *modelVM) int {
	a, b := m.sample(), m.sample()
	if vm.outstanding[b] < vm.outstanding[a] {
		return b
	}
	return a
}

func (m *model) sample() int {
	var i int
	for range 32 {
		i = m.random.IntN(len(m.targets))
		if m.random.Float64() < m.table.Weight(m.targets[i].id, modelService, m.now) {
			break
		}
	}
	return i
}

// newFlow places a request at a random VM.
func (m *model) newFlow() {
	vm := m.randomVM()
	target := m.place(vm)
	rejected := !m.send(vm, target)
	m.requests = append(m.requests, modelRequest{at: m.now, target: target, rejected: rejected})
}

// send sends a request to a target. It returns false when it was rejected.
func (m *model) send(vm *modelVM, index int) bool {
	target, arrived := m.targets[index], m.now
	start := func() {
		target.busy++
		took := float64(modelWork) * (0.5 + m.random.Float64()) * target.factor(m.now)
		m.after(time.Duration(took), func() {
			target.busy--
			if len(target.queue) > 0 {
				next := target.queue[0]
				target.queue = target.queue[1:]
				next()
			}
			vm.outstanding[index]--
			vm.work.Add(m.now - arrived)
			vm.collector.Finish(target.id, vm.work.Work(), m.now-arrived, false)
		})
	}
	switch {
	case target.busy < modelSlots:
		start()
	case len(target.queue) < modelQueue:
		target.queue = append(target.queue, start)
	default:
		vm.collector.Reject(target.id, vm.work.Work(), false)
		return false
	}
	vm.outstanding[index]++
	return true
}

// between returns the requests by target and the share of them that was rejected.
func (m *model) between(from, to time.Duration) (byTarget []float64, rejected float64) {
	byTarget = make([]float64, len(m.targets))
	var n float64
	for _, r := range m.requests {
		if r.at < from || r.at >= to {
			continue
		}
		byTarget[r.target]++
		n++
		if r.rejected {
			rejected++
		}
	}
	return byTarget, rejected / max(n, 1)
}

func sumOf(values []float64) (sum float64) {
	for _, v := range values {
		sum += v
	}
	return sum
}
