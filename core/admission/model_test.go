package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// The model is a zone with targets that queue requests, VMs that place new flows, and clients that retry. It has what decides the
// outcome of a shortage: full targets reject at once, long-lived flows stay on their targets, dropped SYNs are repeated.
const (
	modelTargets   = 40
	modelSlots     = 2
	modelQueue     = 8
	modelWork      = 100 * time.Millisecond // mean service time
	modelAttempts  = 3
	modelBackoff   = 5 * time.Millisecond // client's delay after a reset or a rejection
	modelGiveUp    = 1400 * time.Millisecond
	modelDeadline  = 2 * time.Second // responses after it are worth nothing
	modelFlowStart = 4 * time.Second // when urgent requests have shown what they need
	modelInterval  = 2700 * time.Millisecond
	modelHalfLife  = 0.5                    // seconds, of the pool's sums
	modelDelay     = 100 * time.Millisecond // from the reader to the VMs
	modelOverflow  = 1.0 / 16               // weight of reserved targets for less urgent flows
	// modelElsewhere is the weight of other targets for urgent flows while the service has rejections. With 1, the targets that less
	// urgent flows have filled are considered as often as the reserved ones, and the urgent route kept less than 98% (0.972 with
	// 100 VMs on least-urgent-presses).
	modelElsewhere = 1.0 / 16
	modelCapacity  = modelTargets * modelSlots / 0.1
	modelService   = "main"
	modelFreshHigh = 0.15 // shares of the requests: the rest arrives on long-lived flows
	modelFreshLow  = 0.12
)

var synCopies = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type modelTarget struct {
	token  uint32
	down   bool
	inWork int
	queue  []*modelRequest
}

// modelFlow is a long-lived flow. It is open while token is that of its target.
type modelFlow struct {
	target *modelTarget
	token  uint32
}

type modelRequest struct {
	priority int
	started  time.Duration
	attempt  int
	vm       int
	flow     *modelFlow // nil: a flow of its own
	target   *modelTarget
	token    uint32 // incarnation that the request was sent to
}

// outcome counts requests by the second in which they were first sent.
type outcome struct{ sent, served float64 }

type model struct {
	now           time.Duration
	seq           int
	events        events
	rng           *rand.Rand
	targets       []*modelTarget
	outstanding   []map[*modelTarget]int // by VM
	admission     bool                   // shares
	reservation   bool
	load          [3]float64 // factor of each priority's load
	base          float64    // load as a part of the capacity
	controller    Controller
	gate          *Gate
	policies      []Policy
	responses     float64
	rejected      float64
	urgentWork    float64 // seconds
	outcomes      [3][]outcome
	readerLost    bool
	short         bool // the service has rejections, as the VMs see it
	lastRejection time.Duration
	lateRejected  int           // rejections after the clients of the burst have given up
	lastDrop      time.Duration // of a SYN
	lastShort     time.Duration // last time that the reader saw too many rejections for shares to rise
}

func newModel(vms int, base float64, seed uint64) *model {
	m := &model{base: base, load: [3]float64{1, 1, 1}, rng: rand.New(rand.NewPCG(seed, 1)), admission: true, reservation: true}
	for range modelTargets {
		m.targets = append(m.targets, &modelTarget{token: m.rng.Uint32()})
	}
	for range vms {
		m.outstanding = append(m.outstanding, make(map[*modelTarget]int))
	}
	m.after(0, m.control)
	m.after(0, func() { m.arrive(0, modelFreshHigh) })
	m.after(0, func() { m.arrive(1, modelFreshLow) })
	flows := int((1 - modelFreshHigh - modelFreshLow) * base * modelCapacity * modelInterval.Seconds())
	for range flows {
		f := &modelFlow{}
		m.after(modelFlowStart+time.Duration(m.rng.Float64()*float64(modelInterval)), func() { m.sendOn(f) })
	}
	return m
}

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{m.now + d, m.seq, run})
}

func (m *model) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	m.now = until
}

// arrive sends requests on flows of their own.
func (m *model) arrive(priority int, share float64) {
	m.start(&modelRequest{priority: priority})
	rate := share * m.base * modelCapacity * m.load[priority]
	m.after(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), func() { m.arrive(priority, share) })
}

func (m *model) sendOn(f *modelFlow) {
	m.start(&modelRequest{priority: 2, flow: f})
	m.after(time.Duration((0.5+m.rng.Float64())*float64(modelInterval)/m.load[2]), func() { m.sendOn(f) })
}

func (m *model) start(r *modelRequest) {
	r.started = m.now
	m.count(r).sent++
	m.try(r)
}

func (m *model) count(r *modelRequest) *outcome {
	second := int(r.started / time.Second)
	for len(m.outcomes[r.priority]) <= second {
		m.outcomes[r.priority] = append(m.outcomes[r.priority], outcome{})
	}
	return &m.outcomes[r.priority][second]
}

func (m *model) try(r *modelRequest) {
	r.vm = m.rng.IntN(len(m.outstanding))
	if r.flow != nil && r.flow.target != nil && r.flow.token == r.flow.target.token {
		m.send(r, r.flow.target)
		return
	}
	m.syn(r, 0)
}

func (m *model) syn(r *modelRequest, i int) {
	if r.priority > 0 && m.admission && !m.gate.Admits(modelService, r.priority, m.rng.Float64(), m.now) {
		m.lastDrop = m.now
		if i+1 < len(synCopies) {
			m.after(synCopies[i+1]-synCopies[i], func() { m.syn(r, i+1) })
		} else {
			m.after(modelGiveUp-synCopies[i], func() { m.fail(r) })
		}
		return
	}
	if t := m.place(r); t != nil {
		m.send(r, t)
	} else {
		m.fail(r)
	}
}

// served returns the share of a priority's requests sent in [from, to) that were answered in time, and their number.
func (m *model) served(priority int, from, to time.Duration) (share, n float64) {
	var sum outcome
	for i := int(from / time.Second); i < int(to/time.Second); i++ {
		sum.sent += m.outcomes[priority][i].sent
		sum.served += m.outcomes[priority][i].served
	}
	return sum.served / sum.sent, sum.served
}
