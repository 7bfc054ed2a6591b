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
	// maxProbes is the maximum number of concurrent probes. When more targets than that do not answer, this
	// VM is probably cut off, and further probes give no new information.
	maxProbes = 16
	// firstProbeTimeout and secondProbeTimeout are the timeouts of the connection attempts. Zones are at most
	// 3 ms apart; small VMs and targets take some milliseconds more. One packet may be lost, so a target
	// counts as silent only after two attempts.
	firstProbeTimeout  = 150 * time.Millisecond
	secondProbeTimeout = 250 * time.Millisecond
)

// probe is a finished probe.
type probe struct {
	target *forward.Target
	result forward.ProbeResult
	took   time.Duration
	err    error
}

// prober checks whether targets that do not answer still run, by connecting to them.
type prober struct {
	slots   chan struct{}
	results chan probe
	// wake makes the traffic thread read the results.
	wake func()
}

func newProber(wake func()) *prober {
	return &prober{slots: make(chan struct{}, maxProbes), results: make(chan probe, maxProbes), wake: wake}
}

// start starts a probe, unless maxProbes are running.
func (p *prober) start(request forward.ProbeRequest) {
	select {
	case p.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		start := time.Now()
		result, err := runProbe(request)
		p.results <- probe{target: request.Target, result: result, took: time.Since(start), err: err}
		<-p.slots
		p.wake()
	}()
}

// nextResult returns the next result, if there is one.
func (p *prober) nextResult() (probe, bool) {
	select {
	case r := <-p.results:
		return r, true
	default:
		return probe{}, false
	}
}

// runProbe probes a target. While this VM or its link is overloaded, no target answers in time. The target
// therefore counts as silent only if the reference target accepts a connection during the second attempt.
// It counts as ended only if another target of its zone accepts one, as a zone that is cut off may refuse
// all connections.
func runProbe(request forward.ProbeRequest) (forward.ProbeResult, error) {
	result, err := connect(request.Target, firstProbeTimeout)
	switch {
	case result == forward.Ended && !anyAccepts(request.SameZoneTargets):
		return forward.Silent, err
	case result != forward.Silent:
		return result, err
	}
	reference := make(chan forward.ProbeResult, 1)
	go func() {
		if request.Reference == nil {
			reference <- forward.Silent
			return
		}
		// The error is not needed, because it does not concern the probed target.
		result, _ := connect(request.Reference, firstProbeTimeout)
		reference <- result
	}()
	result, err = connect(request.Target, secondProbeTimeout)
	if result == forward.Silent && <-reference != forward.Alive {
		return forward.Unclear, err
	}
	return result, err
}

// anyAccepts reports whether at least one of the targets accepts connections.
func anyAccepts(targets []*forward.Target) bool {
	results := make(chan forward.ProbeResult, len(targets))
	for _, t := range targets {
		go func() {
			// The reason why a target does not accept is not needed here.
			result, _ := connect(t, firstProbeTimeout)
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

// wakeTraffic makes a blocked read from the packet socket return.
func wakeTraffic(conn *net.UDPConn, log *slog.Logger) {
	if err := conn.SetReadDeadline(time.Now()); err != nil && !errors.Is(err, net.ErrClosed) {
		log.Warn("cannot wake the traffic thread", "error", err)
	}
}
