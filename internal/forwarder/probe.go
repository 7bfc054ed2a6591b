package forwarder

import (
	"context"
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

// dialFunc opens a TCP connection to an address within a timeout.
type dialFunc func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error)

func dialTCP(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout, KeepAlive: -1}).DialContext(ctx, "tcp", addr)
}

// prober checks whether targets that do not answer still run, by connecting to them.
type prober struct {
	dial    dialFunc
	slots   chan struct{}
	results chan probe
	// wake makes the traffic thread read the results.
	wake func()
}

func newProber(wake func()) *prober {
	return &prober{dial: dialTCP, slots: make(chan struct{}, maxProbes), results: make(chan probe, maxProbes), wake: wake}
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
		result, err := runProbe(p.dial, request)
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
// It counts as ended only if a process listens at another target of its zone, as a zone that is cut off may
// refuse all connections. It counts as full only if another target of its zone accepts one, as a network fault may reset them.
func runProbe(dial dialFunc, request forward.ProbeRequest) (forward.ProbeResult, error) {
	result, err := connect(dial, request.Target, firstProbeTimeout)
	if result != forward.Silent {
		return checkZone(dial, result, request.SameZoneTargets), err
	}
	reference := make(chan forward.ProbeResult, 1)
	go func() {
		if request.Reference == nil {
			reference <- forward.Silent
			return
		}
		// The error is not needed, because it does not concern the probed target.
		result, _ := connect(dial, request.Reference, firstProbeTimeout)
		reference <- result
	}()
	result, err = connect(dial, request.Target, secondProbeTimeout)
	if result == forward.Silent && <-reference != forward.Alive {
		return forward.Unclear, err
	}
	return checkZone(dial, result, request.SameZoneTargets), err
}

// checkZone corrects the result of a connection attempt by attempts to connect to other targets of the same zone.
func checkZone(dial dialFunc, result forward.ProbeResult, others []*forward.Target) forward.ProbeResult {
	switch {
	case result == forward.Ended && !anyListens(dial, others):
		return forward.Silent
	case result == forward.ConnectionReset && anyAccepts(dial, others):
		return forward.Full
	}
	return result
}

// anyAccepts reports whether at least one of the targets accepts connections.
func anyAccepts(dial dialFunc, targets []*forward.Target) bool {
	return anyResult(dial, targets, func(r forward.ProbeResult) bool { return r == forward.Alive })
}

// anyListens reports whether a process listens at one of the targets. One that resets the connection is at its connection limit.
func anyListens(dial dialFunc, targets []*forward.Target) bool {
	return anyResult(dial, targets, func(r forward.ProbeResult) bool { return r == forward.Alive || r == forward.ConnectionReset })
}

// anyResult reports whether a connection attempt to at least one of the targets has a wanted result.
func anyResult(dial dialFunc, targets []*forward.Target, wanted func(forward.ProbeResult) bool) bool {
	results := make(chan forward.ProbeResult, len(targets))
	for _, t := range targets {
		go func() {
			// The reason why a target does not accept is not needed here.
			result, _ := connect(dial, t, firstProbeTimeout)
			results <- result
		}()
	}
	for range targets {
		if wanted(<-results) {
			return true
		}
	}
	return false
}

// connect makes one connection attempt to a target.
func connect(dial dialFunc, t *forward.Target, timeout time.Duration) (forward.ProbeResult, error) {
	conn, err := dial(context.Background(), t.Addr.String(), timeout)
	switch {
	case err == nil:
		return forward.Alive, conn.Close()
	case portClosed(err):
		return forward.Ended, err
	case errors.Is(err, syscall.ECONNRESET):
		return forward.ConnectionReset, err
	}
	return forward.Silent, err
}

// portClosed reports whether no process listens at the address of a failed connection attempt. A reset does not show
// that: a target that is at its connection limit resets new connections while its flows go on.
func portClosed(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// wakeTraffic makes a blocked read from the packet socket return.
func wakeTraffic(conn *net.UDPConn, log *slog.Logger) {
	if err := conn.SetReadDeadline(time.Now()); err != nil && !errors.Is(err, net.ErrClosed) {
		log.Warn("cannot wake the traffic thread", "error", err)
	}
}
