// Package soak is the soak test. It runs real forwarder processes on loopback addresses, injects random faults
// from outside and checks the observations of clients and targets. The seed determines the plan of faults. The
// timing of packets depends on the machine, so that a seed reproduces the faults but not every interleaving.
//
// Steps of the system clock are not tested, as they require privileges.
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
	// startTimeout is the maximum time until all VMs are ready.
	startTimeout = 15 * time.Second
	// recoveryShare is the minimum share of requests that must be served from recoveryTime after the last
	// events on. The users allow 12 s (recoveryS) for a loss of all VMs; faults here end earlier, and the
	// targets keep running.
	recoveryShare = 0.9
	recoveryTime  = 4 * time.Second
	// minTargets is the number of running targets of the service up to which no target is removed.
	minTargets = 4
)

// Result is the result of a run.
type Result struct {
	Seed       uint64
	Plan       []Event
	Violations []fleet.Violation
	Outcomes   map[string]int
}

// run is the state of a run.
type run struct {
	*fleet.Fleet
	progress io.Writer
	events   sync.WaitGroup
	// storeFaults counts the faults of the store. A fault that has ended clears the store's faults only if it
	// is the newest one.
	mu          sync.Mutex
	storeFaults int
	zonesOut    map[int]bool
}

// Run runs the plan of a seed with extra events and returns the result. An error means that the run itself failed.
func Run(options fleet.Options, length time.Duration, extra Extra, progress io.Writer) (*Result, error) {
	f, err := fleet.Start(options)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	for end := time.Now().Add(startTimeout); !f.Ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, fmt.Errorf("seed %d: the VMs were not ready within %s; see the logs in %s", options.Seed, startTimeout, options.Dir)
		}
	}
	if err := f.StartClients(); err != nil {
		return nil, err
	}
	r := &run{Fleet: f, progress: progress, zonesOut: map[int]bool{}}
	offset := f.Checker.Now()
	plan := NewPlan(options.Seed, length, extra)
	for _, e := range plan {
		time.Sleep(offset + e.At - f.Checker.Now())
		fmt.Fprintf(progress, "seed %d  %s\n", options.Seed, e)
		if !e.Planned() {
			f.Checker.SuspendBounds(time.Now().Add(e.Duration))
		}
		r.events.Go(func() { r.apply(e) })
	}
	r.events.Wait()
	time.Sleep(offset + length - f.Checker.Now())
	now := int(f.Checker.Now() / time.Second)
	last := f.Checker.Outcomes(now-int((quietEnd-recoveryTime)/time.Second), now)
	result := &Result{Seed: options.Seed, Plan: plan, Violations: f.Checker.Violations(), Outcomes: f.Checker.Outcomes(0, now+1)}
	if total := last["served"] + last["refused"] + last["failed"]; float64(last["served"]) < recoveryShare*float64(total) || total == 0 {
		result.Violations = append(result.Violations, fleet.Violation{
			At: f.Checker.Now(), Rule: "RECOVER", Detail: fmt.Sprintf("outcomes in the last seconds: %v", last),
		})
	}
	for _, vm := range f.VMs {
		if version := vm.ConfigVersion(); version != f.ConfigVersion() {
			result.Violations = append(result.Violations, fleet.Violation{
				At: f.Checker.Now(), Rule: "CONFIG", Detail: fmt.Sprintf("%s has configuration %v at the end, want %v", vm.Name, version, f.ConfigVersion()),
			})
		}
	}
	return result, nil
}

// apply applies one event and returns when it has ended.
func (r *run) apply(event Event) {
	vm := r.VMs[event.Pick%len(r.VMs)]
	switch event.Kind {
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
		time.Sleep(event.Duration)
		vm.Signal(syscall.SIGCONT)
		r.Checker.SuspendBounds(time.Now())
	case Reload, ReloadWithoutSignal:
		if err := vm.WriteSettings(fleet.ColdSlack - float64(event.Pick%3)); err != nil {
			fmt.Fprintf(r.progress, "cannot write settings: %v\n", err)
		}
		if event.Kind == Reload {
			vm.Signal(syscall.SIGHUP)
		}
	case LinkSilent:
		vm.StoreProxy.Silence()
	case LinkRefuse:
		vm.StoreProxy.SetRefuse(true)
		vm.StoreProxy.Cut()
		time.Sleep(event.Duration)
		vm.StoreProxy.SetRefuse(false)
	case StoreBusy, StoreRateLimited, StoreReset, StoreSilent, StoreSlow, StoreLostResponses, StoreHoldsWatches:
		r.storeFault(event)
	case StoreRestored:
		r.restoreStore(event)
	case Compact:
		r.Store.DropHistory()
	case Expire:
		r.expireEntries(event)
	case InvalidEntry:
		r.writeForeignEntry(event)
	case Drain, Crash, Restart, AddTarget:
		r.changeTarget(event)
	case Full:
		r.fillTargets(event)
	case ZoneOut:
		r.zoneOut(event)
	case Route:
		r.ChangeRoute("desk")
	case PacketLoss, PacketDisorder:
		r.packetFault(event)
	}
}

// writeForeignEntry writes an entry of another writer: an unreadable one, or one of a service that no configuration has, which has
// the address of a running target, under a name of its own or in place of the target's entry.
func (r *run) writeForeignEntry(event Event) {
	target := r.Targets()[event.Pick%len(r.Targets())]
	switch {
	case event.Pick%3 == 0 && target.Alive():
		target.WriteForeignEntry(fmt.Sprintf("sidecar-%x", 0x9000+event.Pick))
	case event.Pick%3 == 1 && target.Alive():
		target.WriteForeignEntry(target.ID)
	default:
		r.Store.PutRaw("servers", fmt.Sprintf("i-%x", 0x9000+event.Pick), []byte(`{"service":"desk","address":7,"state":"asleep"}`))
	}
}

// storeFault sets a fault of the store for the duration of the event.
func (r *run) storeFault(event Event) {
	faults := map[Kind]objects.Faults{
		StoreBusy: {Refusal: objects.Busy}, StoreRateLimited: {Refusal: objects.RateLimited}, StoreReset: {Refusal: objects.Reset},
		StoreSilent: {Refusal: objects.Silent}, StoreSlow: {Delay: 240 * time.Millisecond},
		StoreLostResponses: {LostResponses: 0.5}, StoreHoldsWatches: {HoldWatches: true},
	}
	r.mu.Lock()
	r.storeFaults++
	fault := r.storeFaults
	r.Store.SetFaults(faults[event.Kind])
	r.mu.Unlock()
	time.Sleep(event.Duration)
	r.mu.Lock()
	defer r.mu.Unlock()
	if event.Kind == StoreHoldsWatches {
		r.Store.DropHistory()
	}
	if fault == r.storeFaults {
		r.Store.ClearFaults()
	}
	r.Checker.SuspendBounds(time.Now())
}

// restoreStore restores the store from an earlier copy while it is down, and lets operators write again what it lacks. Targets
// do so with their next heartbeat.
func (r *run) restoreStore(event Event) {
	outage := event
	outage.Kind = []Kind{StoreBusy, StoreReset, StoreSilent}[event.Pick%3]
	r.events.Go(func() { r.storeFault(outage) })
	time.Sleep(event.Duration)
	r.RestoreStore(maxCopyAge * time.Duration(event.Pick) / 1000)
	time.Sleep(maxRewriteDelay * time.Duration(event.Pick%10) / 10)
	r.RewriteObjects()
	// Changes soon after the return get revisions that were given out before.
	r.ChangeRoute("desk")
	r.Checker.SuspendBounds(time.Now().Add(fleet.Heartbeat))
}

// expireEntries removes the entries of half of the running targets during an outage of the store. The targets
// write them again.
func (r *run) expireEntries(event Event) {
	event.Kind = StoreBusy
	for i, target := range r.Targets() {
		if target.Alive() && i%2 == event.Pick%2 {
			r.Store.Remove("servers", target.ID)
		}
	}
	r.storeFault(event)
	// All targets have renewed their entries after a heartbeat.
	r.Checker.SuspendBounds(time.Now().Add(2 * time.Second))
}

// changeTarget restarts, ends or drains one of the running targets, or adds one.
func (r *run) changeTarget(event Event) {
	var alive []*fleet.Target
	for _, target := range r.Targets() {
		if target.Alive() && target.Service == "desk" {
			alive = append(alive, target)
		}
	}
	target := alive[event.Pick%len(alive)]
	switch {
	case event.Kind == Restart:
		target.Kill()
		time.Sleep(event.Duration / 4)
		r.report(target.Start(true))
	case event.Kind == AddTarget || len(alive) <= minTargets:
		_, err := r.AddTarget(event.Pick%r.Zones, "desk", true)
		r.report(err)
	case event.Kind == Crash:
		target.Kill()
	case event.Kind == Drain:
		target.Drain()
		time.Sleep(fleet.DrainBound + event.Duration)
		target.Leave()
	}
}

// fillTargets makes a third of the targets full, as far as they run, for the duration of the event.
func (r *run) fillTargets(event Event) {
	for i, target := range r.Targets() {
		if i%3 == event.Pick%3 {
			target.SetFull(event.Duration)
		}
	}
	time.Sleep(event.Duration)
}

func (r *run) report(err error) {
	if err != nil {
		fmt.Fprintf(r.progress, "event failed: %v\n", err)
	}
}

// zoneOut takes a zone out of service and brings it back. It does nothing while a zone is out already.
func (r *run) zoneOut(event Event) {
	r.mu.Lock()
	if len(r.zonesOut) > 0 {
		r.mu.Unlock()
		return
	}
	r.zonesOut[event.Pick%r.Zones] = true
	r.mu.Unlock()
	r.TakeZoneOut(event.Pick % r.Zones)
	time.Sleep(zoneOutTime + event.Duration)
	r.BringZoneBack(event.Pick % r.Zones)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.zonesOut, event.Pick%r.Zones)
}

// packetFault drops, or delays, duplicates and reorders, packets from clients for the duration of the event.
func (r *run) packetFault(event Event) {
	faults := faultproxy.Faults{Drop: 0.2}
	if event.Kind == PacketDisorder {
		faults = faultproxy.Faults{Duplicate: 0.2, Reorder: 0.2, Delay: 5 * time.Millisecond, Jitter: 20 * time.Millisecond}
	}
	r.report(r.SetPacketFaults(faults))
	time.Sleep(event.Duration)
	r.report(r.SetPacketFaults(faultproxy.Faults{}))
	r.Checker.SuspendBounds(time.Now())
}
