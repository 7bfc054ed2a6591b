package traffic

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	_ "github.com/mangoweir/mangoweir/internal/fixedseed"
	"pgregory.net/rapid"
)

const step = 50 * time.Millisecond

// world drives a fleet with late and lost packets, crashes, isolated VMs, handovers and changes of
// the target set, and checks what targets run and callers are told.
type world struct {
	*fleet
	rng   *rand.Rand
	steps int
	// faults is the number of steps per fault, loss the number of packets per lost one.
	faults, loss int
	// runs counts how often targets ran a posting (1 for a read), notRun how often callers were told
	// that they did not.
	runs     map[reqKey]int
	notRun   map[reqKey]int
	answered map[reqKey]bool
	asked    []asked
	later    []event
	// source is the VM that last sent something to a target for a flow, which gets the answers.
	source     map[path]core.VMName
	running    map[core.AttemptToken]bool
	authUntil  map[core.VMName]time.Duration
	isolated   core.VMName
	rejoinAt   int
	incarnates core.AttemptSource
	failure    string
}

// path is a flow at a target.
type path struct {
	flow   core.FlowKey
	target core.TargetID
}

type asked struct {
	r     core.Request
	first time.Duration
}

// event is something that happens at a step.
type event struct {
	step int
	do   func()
}

func newWorld(t *rapid.T, tb testing.TB) *world {
	seed := rapid.Uint64().Draw(t, "seed")
	w := &world{rng: rand.New(rand.NewPCG(seed, 0)), fleet: newFleet(tb, 3, 4), runs: map[reqKey]int{}, notRun: map[reqKey]int{},
		answered: map[reqKey]bool{}, source: map[path]core.VMName{},
		running: map[core.AttemptToken]bool{}, authUntil: map[core.VMName]time.Duration{}, incarnates: 3}
	w.faults = []int{15, 60, 200}[w.draw(3)]
	w.loss = []int{6, 20, 1000}[w.draw(3)]
	w.hold = func(core.VMName, core.Message) bool { return true }
	for id := range w.views {
		w.setBackup(id)
	}
	w.authority = 2 * time.Second
	w.warm()
	return w
}

// draw returns a number below n. Numbers drawn by rapid itself favour small values, which made
// nearly all steps faults.
func (w *world) draw(n int) int { return w.rng.IntN(n) }

func (w *world) after(steps int, do func()) { w.later = append(w.later, event{w.steps + steps, do}) }

// setBackup makes the VM after the holder its backup.
func (w *world) setBackup(id core.TargetID) {
	for i, n := range w.names {
		if n == w.views[id].Owner {
			w.views[id].Backup = w.names[(i+1)%len(w.names)]
		}
	}
}

// run lets one step pass.
func (w *world) run() {
	w.steps++
	w.now += step
	later := w.later
	w.later = nil
	for _, e := range later {
		if e.step > w.steps {
			w.later = append(w.later, e)
			continue
		}
		e.do()
	}
	// A link takes less than a step in most cases: a backup's confirmation has to arrive in 100 ms.
	for range 3 {
		w.transfer()
	}
	for _, n := range w.names {
		w.in(n, core.Tick{})
	}
	if w.steps%8 == 0 {
		w.publishAll()
	}
	w.settle()
}

func (w *world) publishAll() {
	for _, n := range w.names {
		if n != w.isolated {
			w.authUntil[n] = w.now + w.authority
			w.publishTo(n)
		}
	}
}

// transfer delivers the messages on the links, in order, some of them a step later.
func (w *world) transfer() {
	held := w.held
	w.held = nil
	late := map[[2]core.VMName]bool{}
	for _, m := range held {
		link := [2]core.VMName{m.from, m.To}
		if m.from == w.isolated || m.To == w.isolated {
			continue
		}
		if late[link] || w.draw(5) == 0 {
			late[link] = true
			w.held = append(w.held, m)
			continue
		}
		w.in(m.To, core.PeerMessage{From: m.from, Msg: m.Msg})
	}
}

// settle hands what the VMs sent to targets and callers.
func (w *world) settle() {
	sent, answers, refusals, holders := w.sent, w.answers, w.refusals, w.holders
	w.sent, w.answers, w.refusals, w.holders = nil, nil, nil, nil
	for _, h := range holders {
		if v := w.views[h.Target]; h.FencingToken > v.FencingToken && h.Owner != w.isolated {
			v.Owner, v.AssignedOwner, v.FencingToken = h.Owner, h.Owner, h.FencingToken
			w.setBackup(h.Target)
			w.publishAll()
		}
	}
	for _, s := range sent {
		w.toTarget(s)
	}
	for _, a := range answers {
		w.answered[reqKey{a.Flow, a.ID}] = true
		if string(a.Payload) != fmt.Sprint(a.Flow.Port, a.ID.Lo) {
			w.failure = "an answer reached another request"
		}
	}
	for _, r := range refusals {
		k := reqKey{r.Flow, r.ID}
		w.answered[k] = true
		if r.Run != core.NotRun {
			continue
		}
		w.notRun[k]++
	}
	for k, n := range w.runs {
		if n > 1 {
			w.failure = "a posting ran twice"
		}
		if w.notRun[k] > 0 {
			w.failure = "a request that was called not run ran"
		}
	}
}

// toTarget lets a packet reach its target late or never; the target runs, sheds or withdraws.
func (w *world) toTarget(s core.SendTarget) {
	if w.draw(w.loss) == 0 {
		return
	}
	vm := core.VMName("")
	for _, n := range w.names {
		if core.AttemptToken(w.vms[n].opts.Source) == s.Token>>32 {
			vm = n
		}
	}
	w.after(1+w.draw(4), func() {
		w.source[path{s.Request.Flow, s.Target}] = vm
		if s.Kind == core.SendCancel {
			if w.running[s.Token] {
				delete(w.running, s.Token)
				w.fromTarget(s, core.AnswerCancelled)
			}
			return
		}
		if w.draw(8) == 0 {
			w.fromTarget(s, core.AnswerShed)
			return
		}
		w.running[s.Token] = true
		w.after(w.draw(12), func() {
			if !w.running[s.Token] {
				return
			}
			delete(w.running, s.Token)
			w.runs[keyOf(&s.Request)]++
			if s.Request.Idempotent {
				// Reads may run more than once.
				w.runs[keyOf(&s.Request)] = 1
			}
			w.fromTarget(s, core.AnswerOK)
		})
	})
}

func (w *world) fromTarget(s core.SendTarget, status core.AnswerStatus) {
	if w.draw(w.loss) == 0 {
		return
	}
	a := answerTo(s, status, fmt.Sprint(s.Request.Flow.Port, s.Request.ID.Lo))
	w.after(w.draw(4), func() {
		vm := w.source[path{s.Request.Flow, s.Target}]
		if w.vms[vm] != nil {
			w.in(vm, a)
		}
	})
}

// ask sends a new request or repeats one that has no answer, through any VM and perhaps late.
func (w *world) ask() {
	if n := len(w.asked); n > 0 && w.draw(2) == 0 {
		a := w.asked[n-1-w.draw(min(n, 20))]
		if w.now-a.first < core.MaxDeadline && !w.answered[keyOf(&a.r)] {
			w.packet(a.r)
		}
		return
	}
	r := posting(0, len(w.asked)+1)
	if w.draw(3) == 0 {
		r.Idempotent = true
		r.Class = core.ClassRead
	}
	r.Flow.Port = uint16(w.draw(6))
	r.Deadline = 4 * time.Second
	w.asked = append(w.asked, asked{r, w.now})
	w.packet(r)
}

// packet sends up to three copies of a request, some of them late, to any VMs.
func (w *world) packet(r core.Request) {
	for range 1 + w.draw(3) {
		vm := w.names[w.draw(len(w.names))]
		late := w.draw(2)
		if w.draw(4) == 0 {
			late = w.draw(int(core.MaxPacketLifetime / step))
		}
		w.after(late, func() { w.request(vm, r) })
	}
}

// handOver releases a target to another VM.
func (w *world) handOver() {
	id := core.TargetID(1 + w.draw(4))
	v := w.views[id]
	to := w.names[w.draw(3)]
	if to != v.Owner && v.Owner != w.isolated && to != w.isolated {
		w.in(v.Owner, core.StartHandover{Target: id, To: to, FencingToken: v.FencingToken + 1})
	}
}

// crash replaces a VM by an empty one. The backups take its targets over.
func (w *world) crash() {
	n := w.names[w.draw(3)]
	if w.isolated != "" || w.handingOver() {
		return
	}
	w.incarnates++
	w.vms[n] = New(Options{Self: n, Source: w.incarnates, ShardCount: 1})
	held := w.held
	w.held = nil
	for _, m := range held {
		if m.from != n && m.To != n {
			w.held = append(w.held, m)
		}
	}
	for _, p := range w.names {
		if p != n {
			w.in(p, core.LinkEvent{Peer: n, State: core.LinkRefused})
			w.in(p, core.LinkEvent{Peer: n, State: core.LinkUp})
		}
	}
	w.takeOver(n, 0, w.now)
	w.publishAll()
}

// handingOver reports whether a handover is not known to control yet. Its receiver may hold the
// target when the sender dies, which control has to take into account before it orders a takeover.
func (w *world) handingOver() bool {
	for id, v := range w.views {
		o := w.vms[v.Owner].owners[id]
		if o == nil || o.handover != nil || o.number != v.FencingToken {
			return true
		}
	}
	return false
}

// isolate cuts a VM off from its peers and control, but not from callers and targets.
func (w *world) isolate() {
	if w.isolated != "" {
		return
	}
	if w.handingOver() {
		return
	}
	n := w.names[w.draw(3)]
	w.isolated = n
	w.rejoinAt = w.steps + 60 + w.draw(400)
	w.after(40, func() { w.takeOver(n, w.authUntil[n], w.now) })
}

func (w *world) takeOver(lost core.VMName, until, died time.Duration) {
	for id := core.TargetID(1); id <= 4; id++ {
		v := w.views[id]
		if v.Owner != lost {
			continue
		}
		// A handover in progress may have a higher number.
		v.FencingToken += 2
		to := v.Backup
		v.Owner, v.AssignedOwner = to, to
		w.in(to, core.TakeOver{Target: id, FencingToken: v.FencingToken, PreviousOwnerUntil: until, PreviousOwnerEndedBy: died, BackupInSync: until == 0})
		w.setBackup(id)
	}
	w.publishAll()
}

func (w *world) rejoin() {
	n := w.isolated
	w.isolated = ""
	for id := core.TargetID(1); id <= 4; id++ {
		if v := w.views[id]; v.Owner != n {
			w.in(n, core.DropTarget{Target: id, Owner: v.Owner, FencingToken: v.FencingToken})
		}
	}
	w.publishAll()
}

// changeSet lets a target drain or come back.
func (w *world) changeSet() {
	id := core.TargetID(1 + w.draw(4))
	w.views[id].Draining = !w.views[id].Draining
	var ids []core.TargetID
	for i := core.TargetID(1); i <= 4; i++ {
		if !w.views[i].Draining {
			ids = append(ids, i)
		}
	}
	w.replaceSet(ids...)
	w.former = w.former[:min(len(w.former), core.MaxPreviousSets)]
	w.publishAll()
}

// Guards against postings that run twice, untrue refusals and crossed answers under packet loss,
// repetition, crashes, isolation, handovers and changes of the target set at the same time.
func TestWorld(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, t)
		for range 600 {
			if w.draw(w.faults) == 0 {
				[]func(){w.handOver, w.crash, w.isolate, w.changeSet}[w.draw(4)]()
			}
			if w.draw(2) == 0 {
				w.ask()
			}
			if w.isolated != "" && w.steps >= w.rejoinAt {
				w.rejoin()
			}
			w.run()
			if w.failure != "" {
				rt.Fatalf("step %d: %s", w.steps, w.failure)
			}
		}
		w.checkEnd(rt)
	})
}

// checkEnd lets everything finish and checks that no request is left without a final answer and no
// slot is lost.
func (w *world) checkEnd(t *rapid.T) {
	if w.isolated != "" {
		w.rejoin()
	}
	for range 400 {
		w.run()
	}
	if w.failure != "" {
		t.Fatal(w.failure)
	}
	for _, n := range w.names {
		s := w.vms[n]
		for _, o := range s.former {
			t.Logf("target %d: in flight %d, live %d, remote %d, flights %d", o.id, o.inFlight, len(o.live), len(o.remote.m), len(o.flights))
		}
		if len(s.attempts)+len(s.parked.list)+len(s.former)+len(s.queries.waiting) > 0 {
			t.Fatalf("%s has %d attempts, %d parked requests and %d former owners left", n, len(s.attempts), len(s.parked.list), len(s.former))
		}
		for _, o := range s.ordered {
			if o.inFlight != 0 || len(o.live) != 0 || o.uploads != 0 {
				t.Fatalf("%s has %d attempts in flight and %d requests at target %d", n, o.inFlight, len(o.live), o.id)
			}
		}
	}
}
