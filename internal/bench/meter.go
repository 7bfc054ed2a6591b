package bench

import (
	"fmt"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/vm"
	"github.com/mangoweir/mangoweir/internal/coretest"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// forgottenAfter is the time after which an attempt without an answer no longer counts as work at
// its target; requests take far less.
const forgottenAfter = 2 * time.Second

// attemptKey identifies an attempt; tokens of different VMs may be equal.
type attemptKey struct {
	vm    core.VMName
	token core.AttemptToken
}

// Meter watches the actions of all VMs of a World.
type Meter struct {
	// Sent counts requests sent to targets, and Forwards the requests passed between VMs.
	Sent, Forwards uint64
	// FlowLearnedBytes are the encoded FlowLearned messages between VMs, and HandoverBytes those that
	// hand the state of a target over.
	FlowLearnedBytes, HandoverBytes uint64
	// ColdPeak is the highest ratio of the work in flight at a cold target to what it bears.
	ColdPeak float64
	// Refused counts refusals that say "not run", and Runnable those among them whose flow's
	// target had a free slot at that moment.
	Refused, RefusedWithFreeSlot uint64
	// Panics counts inputs at which a core panicked; FirstPanic describes the first one.
	Panics     uint64
	FirstPanic string

	world  *coretest.Cluster
	flight map[core.TargetID]map[attemptKey]time.Duration
	at     map[attemptKey]core.TargetID
}

// meteredVM passes the inputs and actions of one VM on and shows them to the meter.
type meteredVM struct {
	coretest.Handler
	name  core.VMName
	meter *Meter
}

// Handle processes one input.
func (v meteredVM) Handle(in core.Input, now time.Duration) []core.Action {
	v.meter.input(v.name, in)
	out := v.handle(in, now)
	for _, a := range out {
		v.meter.action(v.name, a, now)
	}
	return out
}

// handle processes one input. A panic counts, and the input is lost: a process that ended at each
// panic would hide what the scenario measures.
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

// wrap returns a constructor whose cores are watched.
func (m *Meter) wrap(newVM func(vm.Options) coretest.Handler) func(vm.Options) coretest.Handler {
	return func(o vm.Options) coretest.Handler {
		return meteredVM{newVM(o), o.Control.Self, m}
	}
}

func (m *Meter) input(name core.VMName, in core.Input) {
	a, ok := in.(core.TargetAnswer)
	if !ok {
		return
	}
	key := attemptKey{name, a.Token}
	if target, ok := m.at[key]; ok {
		delete(m.flight[target], key)
		delete(m.at, key)
	}
}

func (m *Meter) action(name core.VMName, a core.Action, now time.Duration) {
	switch a := a.(type) {
	case core.SendTarget:
		if a.Kind == core.SendRequest {
			m.sent(name, a, now)
		}
	case core.SendPeer:
		m.sentPeer(name, a)
	case core.RefuseClient:
		m.refused(a, now)
	}
}

func (m *Meter) sentPeer(name core.VMName, a core.SendPeer) {
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

// sent notes an attempt and compares the work at a cold target with what it bears.
func (m *Meter) sent(name core.VMName, a core.SendTarget, now time.Duration) {
	m.Sent++
	if m.flight == nil {
		m.flight = map[core.TargetID]map[attemptKey]time.Duration{}
		m.at = map[attemptKey]core.TargetID{}
	}
	flight := m.flight[a.Target]
	if flight == nil {
		flight = map[attemptKey]time.Duration{}
		m.flight[a.Target] = flight
	}
	key := attemptKey{name, a.Token}
	flight[key] = now
	m.at[key] = a.Target
	if m.world == nil {
		return
	}
	t := m.world.TargetAt(core.Target{Addr: a.Addr})
	if t == nil || t.Capacity() >= t.Target.Slots {
		return
	}
	m.ColdPeak = max(m.ColdPeak, float64(m.inFlight(a.Target, now))/float64(t.Capacity()))
}

// inFlight returns the attempts at a target that may still run.
func (m *Meter) inFlight(id core.TargetID, now time.Duration) int {
	flight := m.flight[id]
	for k, at := range flight {
		if now-at > forgottenAfter {
			delete(flight, k)
			delete(m.at, k)
		}
	}
	return len(flight)
}

// refused notes whether the target of a refused request could have run it.
func (m *Meter) refused(a core.RefuseClient, now time.Duration) {
	if m.world == nil || a.Run != core.NotRun {
		return
	}
	m.Refused++
	c := m.world.Client(a.Flow)
	if c == nil || c.Target == 0 {
		return
	}
	for _, t := range m.world.Targets() {
		if t.Target.ID != c.Target {
			continue
		}
		if m.world.InService(t.Target.ID) && !t.Silent && !t.Gone && m.inFlight(c.Target, now) < t.Capacity() {
			m.RefusedWithFreeSlot++
		}
	}
}
