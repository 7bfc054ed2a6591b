package bench

import (
	"fmt"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/vm"
	"github.com/mangoweir/mangoweir/internal/coretest"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// attemptLifetime is the time after which an attempt without an answer no longer counts as in flight at its
// target. Requests take far less.
const attemptLifetime = 2 * time.Second

// attemptKey identifies an attempt. It contains the VM, as tokens of different VMs may be equal.
type attemptKey struct {
	vm    core.VMName
	token core.AttemptToken
}

// Meter counts the actions of all VMs of a cluster.
type Meter struct {
	// Sent counts the requests sent to targets, and Forwards the requests forwarded between VMs.
	Sent, Forwards uint64
	// FlowLearnedBytes is the size of the encoded FlowLearned messages between VMs, and HandoverBytes the
	// size of the encoded messages of handovers.
	FlowLearnedBytes, HandoverBytes uint64
	// ColdPeak is the highest ratio of the requests in flight at a cold target to its capacity at that time.
	ColdPeak float64
	// Refused counts the refusals with the status "not run", and RefusedWithFreeSlot those of them whose
	// flow's target was in service and had a free slot at that moment.
	Refused, RefusedWithFreeSlot uint64
	// Panics counts the inputs at which a core panicked. FirstPanic describes the first of these panics.
	Panics     uint64
	FirstPanic string

	cluster  *coretest.Cluster
	attempts map[core.TargetID]map[attemptKey]time.Duration
	targetOf map[attemptKey]core.TargetID
}

// meteredVM passes the inputs of one VM to its core and reports inputs and actions to the meter.
type meteredVM struct {
	coretest.Handler
	name  core.VMName
	meter *Meter
}

// Handle processes one input and reports it and the resulting actions to the meter.
func (v meteredVM) Handle(in core.Input, now time.Duration) []core.Action {
	v.meter.observeInput(v.name, in)
	out := v.handle(in, now)
	for _, a := range out {
		v.meter.observeAction(v.name, a, now)
	}
	return out
}

// handle processes one input. A panic is counted and its input is lost, but the VM's process continues,
// because ending it at each panic would hide what the scenario measures.
func (v meteredVM) handle(in core.Input, now time.Duration) (out []core.Action) {
	defer func() {
		if p := recover(); p != nil {
			v.meter.Panics++
			if v.meter.Panics > 1 {
				return
			}
			v.meter.FirstPanic = fmt.Sprintf("%T at %s: %v", in, v.name, p)
		}
	}()
	return v.Handler.Handle(in, now)
}

// wrap returns a constructor of cores whose inputs and actions are reported to the meter.
func (m *Meter) wrap(newVM func(vm.Options) coretest.Handler) func(vm.Options) coretest.Handler {
	return func(o vm.Options) coretest.Handler {
		return meteredVM{newVM(o), o.Control.Self, m}
	}
}

func (m *Meter) observeInput(name core.VMName, in core.Input) {
	a, ok := in.(core.TargetAnswer)
	if !ok {
		return
	}
	key := attemptKey{name, a.Token}
	if target, ok := m.targetOf[key]; ok {
		delete(m.attempts[target], key)
		delete(m.targetOf, key)
	}
}

func (m *Meter) observeAction(name core.VMName, a core.Action, now time.Duration) {
	switch a := a.(type) {
	case core.SendTarget:
		if a.Kind == core.SendRequest {
			m.recordAttempt(name, a, now)
		}
	case core.SendPeer:
		m.recordPeerMessage(name, a)
	case core.RefuseClient:
		m.recordRefusal(a, now)
	}
}

func (m *Meter) recordPeerMessage(name core.VMName, a core.SendPeer) {
	if a.To == name {
		return
	}
	switch msg := a.Msg.(type) {
	case *core.ForwardRequest:
		m.Forwards++
	case *core.FlowLearned:
		m.FlowLearnedBytes += encodedSize(msg)
	case *core.HandoverBegin, *core.HandoverChunk, *core.HandoverEnd, *core.HandoverAck:
		m.HandoverBytes += encodedSize(msg)
	}
}

// encodedSize returns the bytes of a message between VMs, or 0 when it cannot be encoded.
func encodedSize(msg core.Message) uint64 {
	b, err := wire.Encode(msg, wire.MaxVersion)
	if err != nil {
		return 0
	}
	return uint64(len(b))
}

// recordAttempt records an attempt. For a cold target it compares the requests in flight with the target's
// capacity.
func (m *Meter) recordAttempt(name core.VMName, a core.SendTarget, now time.Duration) {
	m.Sent++
	if m.attempts == nil {
		m.attempts = map[core.TargetID]map[attemptKey]time.Duration{}
		m.targetOf = map[attemptKey]core.TargetID{}
	}
	attempts := m.attempts[a.Target]
	if attempts == nil {
		attempts = map[attemptKey]time.Duration{}
		m.attempts[a.Target] = attempts
	}
	key := attemptKey{name, a.Token}
	attempts[key] = now
	m.targetOf[key] = a.Target
	if m.cluster == nil {
		return
	}
	t := m.cluster.TargetAt(core.Target{Addr: a.Addr})
	if t == nil || t.Capacity() >= t.Target.Slots {
		return
	}
	m.ColdPeak = max(m.ColdPeak, float64(m.inFlight(a.Target, now))/float64(t.Capacity()))
}

// inFlight returns the number of attempts at a target that may still run, and discards those older than
// attemptLifetime.
func (m *Meter) inFlight(id core.TargetID, now time.Duration) int {
	attempts := m.attempts[id]
	for k, at := range attempts {
		if now-at > attemptLifetime {
			delete(attempts, k)
			delete(m.targetOf, k)
		}
	}
	return len(attempts)
}

// recordRefusal counts a refusal of a request that was not run, and whether the flow's target could have run
// the request.
func (m *Meter) recordRefusal(a core.RefuseClient, now time.Duration) {
	if m.cluster == nil || a.Run != core.NotRun {
		return
	}
	m.Refused++
	c := m.cluster.Client(a.Flow)
	if c == nil || c.Target == 0 {
		return
	}
	for _, t := range m.cluster.Targets() {
		if t.Target.ID != c.Target {
			continue
		}
		if m.cluster.InService(t.Target.ID) && !t.Silent && !t.Gone && m.inFlight(c.Target, now) < t.Capacity() {
			m.RefusedWithFreeSlot++
		}
	}
}
