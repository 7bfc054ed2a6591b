package forwarder

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

const (
	// maxProbes bounds the probes under way. More targets than that do not answer when this VM is cut
	// off, and then further probes tell nothing new.
	maxProbes = 16
	// firstTimeout and secondTimeout bound the connection attempts. Zones are at most 3 ms apart; small
	// VMs and targets take some milliseconds more. One packet may be lost, so silence takes two.
	firstTimeout  = 150 * time.Millisecond
	secondTimeout = 250 * time.Millisecond
)

// probe is a probe and its result.
type probe struct {
	target *forward.Target
	result forward.ProbeResult
	took   time.Duration
	err    error
}

// prober finds out whether targets that do not answer are alive, by connecting to them.
type prober struct {
	slots   chan struct{}
	results chan probe
	// wake makes the traffic thread look for results.
	wake func()
}

func newProber(wake func()) *prober {
	return &prober{slots: make(chan struct{}, maxProbes), results: make(chan probe, maxProbes), wake: wake}
}

// ask starts a probe, unless too many are under way.
func (p *prober) ask(r forward.ProbeRequest) {
	select {
	case p.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		start := time.Now()
		result, err := run(r)
		p.results <- probe{target: r.Target, result: result, took: time.Since(start), err: err}
		<-p.slots
		p.wake()
	}()
}

// result returns the next result, if there is one.
func (p *prober) result() (probe, bool) {
	select {
	case r := <-p.results:
		return r, true
	default:
		return probe{}, false
	}
}

// run probes a target. While this VM or its link is busy nothing answers in time, so the second attempt
// is compared with one to the witness.
func run(r forward.ProbeRequest) (forward.ProbeResult, error) {
	result, err := connect(r.Target, firstTimeout)
	switch {
	case result == forward.Ended && !anyAccepts(r.SameZoneTargets):
		return forward.Silent, err
	case result != forward.Silent:
		return result, err
	}
	witness := make(chan forward.ProbeResult, 1)
	go func() {
		if r.Reference == nil {
			witness <- forward.Silent
			return
		}
		// What it says is all that counts; its error is that of a target which is not in question.
		result, _ := connect(r.Reference, firstTimeout)
		witness <- result
	}()
	result, err = connect(r.Target, secondTimeout)
	if result == forward.Silent && <-witness != forward.Alive {
		return forward.Unclear, err
	}
	return result, err
}

// anyAccepts reports whether one of some targets accepts connections.
func anyAccepts(targets []*forward.Target) bool {
	results := make(chan forward.ProbeResult, len(targets))
	for _, t := range targets {
		go func() {
			// Why one does not accept is of no interest here.
			result, _ := connect(t, firstTimeout)
			results <- result
		}()
	}
	for range targets {
		if <-results == forward.Alive {
			return true
		}
	}
	return false
}

// connect makes one connection attempt to a target.
func connect(t *forward.Target, timeout time.Duration) (forward.ProbeResult, error) {
	conn, err := net.DialTimeout("tcp", t.Addr.String(), timeout)
	switch {
	case err == nil:
		return forward.Alive, conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return forward.Ended, err
	}
	return forward.Silent, err
}

// wake makes a blocked read of the packet socket return.
func wake(conn *net.UDPConn, log *slog.Logger) {
	if err := conn.SetReadDeadline(time.Now()); err != nil && !errors.Is(err, net.ErrClosed) {
		log.Warn("cannot wake the traffic thread", "error", err)
	}
}
