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

// simulation drives a cluster with late and lost packets, crashes, isolated VMs, handovers and
// changes of the target set, and checks what targets run and clients receive.
type simulation struct {
	*cluster
	rng   *rand.Rand
	steps int
	// faults is the mean number of steps per fault, loss the mean number of packets per lost packet.
	faults, loss int
	// runs counts how often targets ran a non-idempotent request (1 for an idempotent one), notRun
	// how often clients received a refusal of it as not run.
	runs     map[requestKey]int
	notRun   map[requestKey]int
	answered map[requestKey]bool
	requests []sentRequest
	calls    []call
	// lastSender is the VM that last sent something to a target for a flow, which gets the answers.
	lastSender     map[targetFlow]core.VMName
	running        map[core.AttemptToken]bool
	authorityUntil map[core.VMName]time.Duration
	isolated       core.VMName
	rejoinAt       int
	lastSource     core.AttemptSource
	failure        string
}

// targetFlow is a flow at a target.
type targetFlow struct {
	flow   core.FlowKey
	target core.TargetID
}

type sentRequest struct {
	request core.Request
	sentAt  time.Duration
}

// call is a function that is called at a step.
type call struct {
	step int
	do   func()
}

func newSimulation(t *rapid.T, tb testing.TB) *simulation {
	seed := rapid.Uint64().Draw(t, "seed")
	f := &simulation{rng: rand.New(rand.NewPCG(seed, 0)), cluster: newCluster(tb, 3, 4), runs: map[requestKey]int{}, notRun: map[requestKey]int{},
		answered: map[requestKey]bool{}, lastSender: map[targetFlow]core.VMName{},
		running: map[core.AttemptToken]bool{}, authorityUntil: map[core.VMName]time.Duration{}, lastSource: 3}
	f.faults = []int{15, 60, 200}[f.draw(3)]
	f.loss = []int{6, 20, 1000}[f.draw(3)]
	f.holdMessage = func(core.VMName, core.Message) bool { return true }
	for id := range f.targets {
		f.setBackup(id)
	}
	f.authority = 2 * time.Second
	f.warm()
	return f
}

// draw returns a number below n. rapid's own generators favour small values, which made nearly all
// steps faults.
func (f *simulation) draw(n int) int { return f.rng.IntN(n) }

func (f *simulation) after(n int, do func()) { f.calls = append(f.calls, call{f.steps + n, do}) }

// setBackup makes the VM after the owner its backup.
func (f *simulation) setBackup(id core.TargetID) {
	for i, n := range f.names {
		if n == f.targets[id].Owner {
			f.targets[id].Backup = f.names[(i+1)%len(f.names)]
		}
	}
}

// advance runs one step.
func (f *simulation) advance() {
	f.steps++
	f.now += step
	later := f.calls
	f.calls = nil
	for _, scheduled := range later {
		if scheduled.step > f.steps {
			f.calls = append(f.calls, scheduled)
			continue
		}
		scheduled.do()
	}
	// A link takes less than a step in most cases: a backup's confirmation has to arrive within 100
	// ms.
	for range 3 {
		f.transfer()
	}
	for _, n := range f.names {
		f.in(n, core.Tick{})
	}
	if f.steps%8 == 0 {
		f.publishAll()
	}
	f.processOutput()
}

func (f *simulation) publishAll() {
	for _, n := range f.names {
		if n != f.isolated {
			f.authorityUntil[n] = f.now + f.authority
			f.publishTo(n)
		}
	}
}

// transfer delivers the messages on the links, in order, some of them a step later.
func (f *simulation) transfer() {
	held := f.held
	f.held = nil
	late := map[[2]core.VMName]bool{}
	for _, m := range held {
		link := [2]core.VMName{m.from, m.To}
		if m.from == f.isolated || m.To == f.isolated {
			continue
		}
		if late[link] || f.draw(5) == 0 {
			late[link] = true
			f.held = append(f.held, m)
			continue
		}
		f.in(m.To, core.PeerMessage{From: m.from, Msg: m.Msg})
	}
}

// processOutput delivers what the VMs sent to targets and clients, and checks it.
func (f *simulation) processOutput() {
	sent, answers, refusals, ownerChanges := f.sent, f.answers, f.refusals, f.ownerChanges
	f.sent, f.answers, f.refusals, f.ownerChanges = nil, nil, nil, nil
	for _, change := range ownerChanges {
		if target := f.targets[change.Target]; change.FencingToken > target.FencingToken && change.Owner != f.isolated {
			target.Owner, target.AssignedOwner, target.FencingToken = change.Owner, change.Owner, change.FencingToken
			f.setBackup(change.Target)
			f.publishAll()
		}
	}
	for _, s := range sent {
		f.deliverToTarget(s)
	}
	for _, a := range answers {
		f.answered[requestKey{a.Flow, a.ID}] = true
		if string(a.Payload) != fmt.Sprint(a.Flow.Port, a.ID.Lo) {
			f.failure = "an answer reached another request"
		}
	}
	for _, r := range refusals {
		k := requestKey{r.Flow, r.ID}
		f.answered[k] = true
		if r.Run != core.NotRun {
			continue
		}
		f.notRun[k]++
	}
	for k, n := range f.runs {
		if n > 1 {
			f.failure = "a non-idempotent request ran twice"
		}
		if f.notRun[k] > 0 {
			f.failure = "a request that was refused as not run ran"
		}
	}
}

// deliverToTarget delivers a packet to its target late or never; the target runs, sheds or cancels
// the request.
func (f *simulation) deliverToTarget(s core.SendTarget) {
	if f.draw(f.loss) == 0 {
		return
	}
	vm := core.VMName("")
	for _, n := range f.names {
		if core.AttemptToken(f.vms[n].opts.Source) == s.Token>>32 {
			vm = n
		}
	}
	f.after(1+f.draw(4), func() {
		f.lastSender[targetFlow{s.Request.Flow, s.Target}] = vm
		if s.Kind == core.SendCancel {
			if f.running[s.Token] {
				delete(f.running, s.Token)
				f.answerFromTarget(s, core.AnswerCancelled)
			}
			return
		}
		if f.draw(8) == 0 {
			f.answerFromTarget(s, core.AnswerShed)
			return
		}
		f.running[s.Token] = true
		f.after(f.draw(12), func() {
			if !f.running[s.Token] {
				return
			}
			delete(f.running, s.Token)
			f.runs[requestKeyOf(&s.Request)]++
			if s.Request.Idempotent {
				// Idempotent requests may run more than once.
				f.runs[requestKeyOf(&s.Request)] = 1
			}
			f.answerFromTarget(s, core.AnswerOK)
		})
	})
}

func (f *simulation) answerFromTarget(s core.SendTarget, status core.AnswerStatus) {
	if f.draw(f.loss) == 0 {
		return
	}
	a := answerTo(s, status, fmt.Sprint(s.Request.Flow.Port, s.Request.ID.Lo))
	f.after(f.draw(4), func() {
		vm := f.lastSender[targetFlow{s.Request.Flow, s.Target}]
		if f.vms[vm] != nil {
			f.in(vm, a)
		}
	})
}

// sendOrRepeat sends a new request, or repeats one without an answer, through any VM and perhaps
// late.
func (f *simulation) sendOrRepeat() {
	if n := len(f.requests); n > 0 && f.draw(2) == 0 {
		earlier := f.requests[n-1-f.draw(min(n, 20))]
		if f.now-earlier.sentAt < core.MaxDeadline && !f.answered[requestKeyOf(&earlier.request)] {
			f.sendCopies(earlier.request)
		}
		return
	}
	r := posting(0, len(f.requests)+1)
	if f.draw(3) == 0 {
		r.Idempotent = true
		r.Class = core.ClassRead
	}
	r.Flow.Port = uint16(f.draw(6))
	r.Deadline = 4 * time.Second
	f.requests = append(f.requests, sentRequest{r, f.now})
	f.sendCopies(r)
}

// sendCopies sends up to three copies of a request, some of them late, to any VMs.
func (f *simulation) sendCopies(r core.Request) {
	for range 1 + f.draw(3) {
		vm := f.names[f.draw(len(f.names))]
		delay := f.draw(2)
		if f.draw(4) == 0 {
			delay = f.draw(int(core.MaxPacketLifetime / step))
		}
		f.after(delay, func() { f.request(vm, r) })
	}
}

// startHandover starts the handover of a target to another VM.
func (f *simulation) startHandover() {
	id := core.TargetID(1 + f.draw(4))
	target := f.targets[id]
	to := f.names[f.draw(3)]
	if to != target.Owner && target.Owner != f.isolated && to != f.isolated {
		f.in(target.Owner, core.StartHandover{Target: id, To: to, FencingToken: target.FencingToken + 1})
	}
}

// crash replaces a VM by one without state. The backups take its targets over.
func (f *simulation) crash() {
	n := f.names[f.draw(3)]
	if f.isolated != "" || f.handingOver() {
		return
	}
	f.lastSource++
	f.vms[n] = New(Options{Self: n, Source: f.lastSource, ShardCount: 1})
	held := f.held
	f.held = nil
	for _, m := range held {
		if m.from != n && m.To != n {
			f.held = append(f.held, m)
		}
	}
	for _, p := range f.names {
		if p != n {
			f.in(p, core.LinkEvent{Peer: n, State: core.LinkRefused})
			f.in(p, core.LinkEvent{Peer: n, State: core.LinkUp})
		}
	}
	f.takeOver(n, 0, f.now)
	f.publishAll()
}

// handingOver reports whether control has not recorded a handover yet. Its receiver may own the
// target when the sender crashes, which control has to take into account before it orders a
// takeover.
func (f *simulation) handingOver() bool {
	for id, target := range f.targets {
		o := f.vms[target.Owner].owned[id]
		if o == nil || o.handover != nil || o.fencingToken != target.FencingToken {
			return true
		}
	}
	return false
}

// isolate cuts a VM off from its peers and control, but not from clients and targets.
func (f *simulation) isolate() {
	if f.isolated != "" {
		return
	}
	if f.handingOver() {
		return
	}
	n := f.names[f.draw(3)]
	f.isolated = n
	f.rejoinAt = f.steps + 60 + f.draw(400)
	f.after(40, func() { f.takeOver(n, f.authorityUntil[n], f.now) })
}

func (f *simulation) takeOver(lost core.VMName, authorityUntil, endedBy time.Duration) {
	for id := core.TargetID(1); id <= 4; id++ {
		target := f.targets[id]
		if target.Owner != lost {
			continue
		}
		// A handover in progress may have a higher fencing token.
		target.FencingToken += 2
		to := target.Backup
		target.Owner, target.AssignedOwner = to, to
		f.in(to, core.TakeOver{Target: id, FencingToken: target.FencingToken, PreviousOwnerUntil: authorityUntil, PreviousOwnerEndedBy: endedBy, BackupInSync: authorityUntil == 0})
		f.setBackup(id)
	}
	f.publishAll()
}

func (f *simulation) rejoin() {
	n := f.isolated
	f.isolated = ""
	for id := core.TargetID(1); id <= 4; id++ {
		if target := f.targets[id]; target.Owner != n {
			f.in(n, core.DropTarget{Target: id, Owner: target.Owner, FencingToken: target.FencingToken})
		}
	}
	f.publishAll()
}

// toggleDraining starts or ends the draining of a target.
func (f *simulation) toggleDraining() {
	id := core.TargetID(1 + f.draw(4))
	f.targets[id].Draining = !f.targets[id].Draining
	var ids []core.TargetID
	for i := core.TargetID(1); i <= 4; i++ {
		if !f.targets[i].Draining {
			ids = append(ids, i)
		}
	}
	f.replaceSet(ids...)
	f.previous = f.previous[:min(len(f.previous), core.MaxPreviousSets)]
	f.publishAll()
}

// Guards against non-idempotent requests that run twice, wrong "not run" refusals and answers to
// the wrong request under packet loss, retransmissions, crashes, isolation, handovers and changes
// of the target set at the same time.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newSimulation(rt, t)
		for range 600 {
			if f.draw(f.faults) == 0 {
				[]func(){f.startHandover, f.crash, f.isolate, f.toggleDraining}[f.draw(4)]()
			}
			if f.draw(2) == 0 {
				f.sendOrRepeat()
			}
			if f.isolated != "" && f.steps >= f.rejoinAt {
				f.rejoin()
			}
			f.advance()
			if f.failure != "" {
				rt.Fatalf("step %d: %s", f.steps, f.failure)
			}
		}
		f.checkEnd(rt)
	})
}

// checkEnd runs until everything has finished and checks that no request is left without a final
// answer and no slot is lost.
func (f *simulation) checkEnd(t *rapid.T) {
	if f.isolated != "" {
		f.rejoin()
	}
	for range 400 {
		f.advance()
	}
	if f.failure != "" {
		t.Fatal(f.failure)
	}
	for _, n := range f.names {
		s := f.vms[n]
		for _, o := range s.released {
			t.Logf("target %d: in flight %d, active %d, remote %d, attempts %d", o.id, o.inFlight, len(o.activeInOrder), len(o.remote.byKey), len(o.attempts))
		}
		if len(s.attempts)+len(s.deferred.list)+len(s.released)+len(s.queries.waiting) > 0 {
			t.Fatalf("%s has %d attempts, %d deferred requests and %d released targets left", n, len(s.attempts), len(s.deferred.list), len(s.released))
		}
		for _, o := range s.ownedInOrder {
			if o.inFlight != 0 || len(o.activeInOrder) != 0 || o.uploads != 0 {
				t.Fatalf("%s has %d attempts in flight and %d requests at target %d", n, o.inFlight, len(o.activeInOrder), o.id)
			}
		}
	}
}
