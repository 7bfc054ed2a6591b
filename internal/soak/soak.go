// Package soak runs real forwarder processes on loopback under random faults from outside, and checks
// what clients and targets see. The seed decides the plan of faults; the timing of packets is that of
// the machine, so that a seed repeats the faults and not each interleaving.
//
// Clocks are not stepped: that takes privileges.
package soak

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"

	"github.com/mangoweir/mangoweir/internal/faultproxy"
	"github.com/mangoweir/mangoweir/internal/standin/fleet"
	"github.com/mangoweir/mangoweir/internal/standin/objects"
)

const (
	// startTimeout bounds the start of all VMs.
	startTimeout = 15 * time.Second
	// recoveryShare is the least share of requests that must be served after recoveryTime (the users'
	// recoveryS is 12 s for a loss of all VMs; faults here end earlier and leave hosts in place).
	recoveryShare = 0.9
	recoveryTime  = 4 * time.Second
	// minHosts is the number of targets below which none is taken away.
	minHosts = 4
)

// Result is the outcome of a run.
type Result struct {
	Seed       uint64
	Plan       []Event
	Violations []fleet.Violation
	Outcomes   map[string]int
}

// run is a run under way.
type run struct {
	*fleet.Fleet
	progress io.Writer
	events   sync.WaitGroup
	// store serialises faults of the store: the newest one holds.
	mu      sync.Mutex
	storeNo int
	zones   map[int]bool
}

// Run plays the plan of a seed and returns what was seen. The error is about the run itself.
func Run(o fleet.Options, length time.Duration, progress io.Writer) (*Result, error) {
	f, err := fleet.Start(o)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for end := time.Now().Add(startTimeout); !f.Ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, fmt.Errorf("seed %d: the VMs were not ready within %s; look at the logs in %s", o.Seed, startTimeout, o.Dir)
		}
	}
	if err := f.StartClients(); err != nil {
		return nil, err
	}
	r := &run{Fleet: f, progress: progress, zones: map[int]bool{}}
	offset := f.Checker.Now()
	plan := NewPlan(o.Seed, length)
	for _, e := range plan {
		time.Sleep(offset + e.At - f.Checker.Now())
		fmt.Fprintf(progress, "seed %d  %s\n", o.Seed, e)
		if !e.Planned() {
			f.Checker.SuspendBounds(time.Now().Add(e.Duration))
		}
		r.events.Go(func() { r.play(e) })
	}
	r.events.Wait()
	time.Sleep(offset + length - f.Checker.Now())
	now := int(f.Checker.Now() / time.Second)
	last := f.Checker.Outcomes(now-int((quietEnd-recoveryTime)/time.Second), now)
	result := &Result{Seed: o.Seed, Plan: plan, Violations: f.Checker.Violations(), Outcomes: f.Checker.Outcomes(0, now+1)}
	if total := last["served"] + last["refused"] + last["failed"]; float64(last["served"]) < recoveryShare*float64(total) || total == 0 {
		result.Violations = append(result.Violations, fleet.Violation{
			At: f.Checker.Now(), Rule: "RECOVER", Detail: fmt.Sprintf("in the last seconds: %v", last),
		})
	}
	return result, nil
}

// play carries out one event.
func (r *run) play(e Event) {
	vm := r.VMs[e.Pick%len(r.VMs)]
	switch e.Kind {
	case Term:
		vm.Signal(syscall.SIGTERM)
	case Kill:
		vm.Signal(syscall.SIGKILL)
	case KillAll:
		for _, vm := range r.VMs {
			vm.Signal(syscall.SIGKILL)
		}
	case Pause:
		vm.Signal(syscall.SIGSTOP)
		time.Sleep(e.Duration)
		vm.Signal(syscall.SIGCONT)
		r.Checker.SuspendBounds(time.Now())
	case Reload, ReloadWithoutSignal:
		if err := vm.WriteSettings(fleet.ColdSlack - float64(e.Pick%3)); err != nil {
			fmt.Fprintf(r.progress, "cannot write settings: %v\n", err)
		}
		if e.Kind == Reload {
			vm.Signal(syscall.SIGHUP)
		}
	case LinkSilent:
		vm.StoreProxy.Silence()
	case LinkRefuse:
		vm.StoreProxy.SetRefuse(true)
		vm.StoreProxy.Cut()
		time.Sleep(e.Duration)
		vm.StoreProxy.SetRefuse(false)
	case StoreBusy, StoreRateLimited, StoreReset, StoreSilent, StoreSlow, StoreLostResponses, StoreHoldsWatches:
		r.storeFault(e)
	case Compact:
		r.Store.DropHistory()
	case Expire:
		r.lapse(e)
	case InvalidEntry:
		r.Store.PutRaw("servers", fmt.Sprintf("i-%x", 0x9000+e.Pick), []byte(`{"service":"desk","address":7,"state":"asleep"}`))
	case Drain, Crash, Restart, AddTarget:
		r.changeHost(e)
	case ZoneOut:
		r.zoneOut(e)
	case Route:
		r.ChangeRoute("desk")
	case PacketLoss, PacketDisorder:
		r.packetFault(e)
	}
}

// storeFault makes the store misbehave for a while.
func (r *run) storeFault(e Event) {
	faults := map[Kind]objects.Faults{
		StoreBusy: {Refusal: objects.Busy}, StoreRateLimited: {Refusal: objects.RateLimited}, StoreReset: {Refusal: objects.Reset},
		StoreSilent: {Refusal: objects.Silent}, StoreSlow: {Delay: 240 * time.Millisecond},
		StoreLostResponses: {LostResponses: 0.5}, StoreHoldsWatches: {HoldWatches: true},
	}
	r.mu.Lock()
	r.storeNo++
	no := r.storeNo
	r.Store.SetFaults(faults[e.Kind])
	r.mu.Unlock()
	time.Sleep(e.Duration)
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Kind == StoreHoldsWatches {
		r.Store.DropHistory()
	}
	if no == r.storeNo {
		r.Store.ClearFaults()
	}
	r.Checker.SuspendBounds(time.Now())
}

// lapse takes entries of living targets away during an outage; they write them again afterwards.
func (r *run) lapse(e Event) {
	e.Kind = StoreBusy
	for i, h := range r.Targets() {
		if h.Alive() && i%2 == e.Pick%2 {
			r.Store.Remove("servers", h.ID)
		}
	}
	r.storeFault(e)
	// Targets renew their entries within a heartbeat.
	r.Checker.SuspendBounds(time.Now().Add(2 * time.Second))
}

// changeHost changes one of the living targets, or adds one.
func (r *run) changeHost(e Event) {
	var alive []*fleet.Target
	for _, h := range r.Targets() {
		if h.Alive() && h.Service == "desk" {
			alive = append(alive, h)
		}
	}
	h := alive[e.Pick%len(alive)]
	switch {
	case e.Kind == Restart:
		h.Kill()
		time.Sleep(e.Duration / 4)
		r.report(h.Start(true))
	case e.Kind == AddTarget || len(alive) <= minHosts:
		_, err := r.AddTarget(e.Pick%r.Zones, "desk", true)
		r.report(err)
	case e.Kind == Crash:
		h.Kill()
	case e.Kind == Drain:
		h.Drain()
		time.Sleep(fleet.DrainBound + e.Duration)
		h.Leave()
	}
}

func (r *run) report(err error) {
	if err != nil {
		fmt.Fprintf(r.progress, "event failed: %v\n", err)
	}
}

// zoneOut takes a zone out and brings it back; one zone at a time.
func (r *run) zoneOut(e Event) {
	r.mu.Lock()
	if len(r.zones) > 0 {
		r.mu.Unlock()
		return
	}
	r.zones[e.Pick%r.Zones] = true
	r.mu.Unlock()
	r.TakeZoneOut(e.Pick % r.Zones)
	time.Sleep(zoneOutTime + e.Duration)
	r.BringZoneBack(e.Pick % r.Zones)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.zones, e.Pick%r.Zones)
}

// packetFault impairs packets from clients for a while.
func (r *run) packetFault(e Event) {
	faults := faultproxy.Faults{Drop: 0.2}
	if e.Kind == PacketDisorder {
		faults = faultproxy.Faults{Duplicate: 0.2, Reorder: 0.2, Delay: 5 * time.Millisecond, Jitter: 20 * time.Millisecond}
	}
	r.report(r.SetPacketFaults(faults))
	time.Sleep(e.Duration)
	r.report(r.SetPacketFaults(faultproxy.Faults{}))
	r.Checker.SuspendBounds(time.Now())
}
