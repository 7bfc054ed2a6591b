package forwarder

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
)

// targetAt returns a target at an address.
func targetAt(t *testing.T, addr string) *forward.Target {
	t.Helper()
	return &forward.Target{Addr: netip.MustParseAddrPort(addr)}
}

// silentTarget returns a target whose queue of new connections is full, so that it does not answer.
func silentTarget(t *testing.T) *forward.Target {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port)).String()
	for range 4 {
		conn, err := net.DialTimeout("tcp", addr, firstProbeTimeout)
		if err != nil {
			return targetAt(t, addr)
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue of new connections does not fill")
	return nil
}

// Guards against flows that are reset because this VM or its link was busy: in a simulated day, a VM that sent
// a large configuration to its subscribers counted a running target as silent.
func TestProbe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	alive := targetAt(t, l.Addr().String())
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := targetAt(t, closed.Addr().String())
	_ = closed.Close()
	silent := silentTarget(t)
	for name, test := range map[string]struct {
		request forward.ProbeRequest
		want    forward.ProbeResult
	}{
		"a target that accepts":                                   {forward.ProbeRequest{Target: alive}, forward.Alive},
		"a closed port, while another target of the zone accepts": {forward.ProbeRequest{Target: ended, SameZoneTargets: []*forward.Target{ended, alive}}, forward.Ended},
		// After a network fault that refused connections, VMs reset flows of running targets for 5 s.
		"a closed port of the only target in its zone":         {forward.ProbeRequest{Target: ended, Reference: alive}, forward.Silent},
		"a closed port in a zone that refuses all connections": {forward.ProbeRequest{Target: ended, SameZoneTargets: []*forward.Target{ended, ended}}, forward.Silent},
		"a closed port in a zone that is silent":               {forward.ProbeRequest{Target: ended, SameZoneTargets: []*forward.Target{silent}}, forward.Silent},
		"a silent target while the reference accepts":          {forward.ProbeRequest{Target: silent, Reference: alive}, forward.Silent},
		"a silent target while the reference is silent":        {forward.ProbeRequest{Target: silent, Reference: silent}, forward.Unclear},
		"a silent target without a reference":                  {forward.ProbeRequest{Target: silent}, forward.Unclear},
		"a silent target while the reference has ended":        {forward.ProbeRequest{Target: silent, Reference: ended}, forward.Unclear},
	} {
		if got, err := runProbe(dialTCP, test.request); got != test.want {
			t.Errorf("%s: %s (%v), want %s", name, got, err, test.want)
		}
	}
}

// dialErrors returns a dialFunc whose attempts fail with the error for the address, or succeed if there is none.
func dialErrors(errs map[string]syscall.Errno) dialFunc {
	return func(_ context.Context, addr string, _ time.Duration) (net.Conn, error) {
		if errno, ok := errs[addr]; ok {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
		client, server := net.Pipe()
		_ = server.Close()
		return client, nil
	}
}

// Guards against flows of a running target that are reset because the target is at its connection limit and resets new
// connections: on days with too little room, 13 of 13 targets that were taken for ended were full. A closed port must
// still be found when all other targets of the zone are full. A VM with few flows sees no answers of the zone for seconds, so that the
// probe itself must show that the zone answers.
func TestProbeOfFullTarget(t *testing.T) {
	full, closed, alive := targetAt(t, "10.0.0.1:80"), targetAt(t, "10.0.0.2:80"), targetAt(t, "10.0.0.3:80")
	dial := dialErrors(map[string]syscall.Errno{"10.0.0.1:80": syscall.ECONNRESET, "10.0.0.2:80": syscall.ECONNREFUSED})
	for name, test := range map[string]struct {
		request forward.ProbeRequest
		want    forward.ProbeResult
	}{
		"a full target while another one of the zone accepts": {forward.ProbeRequest{Target: full, SameZoneTargets: []*forward.Target{closed, alive}}, forward.Full},
		"a zone that resets all connections":                  {forward.ProbeRequest{Target: full, SameZoneTargets: []*forward.Target{full}}, forward.ConnectionReset},
		"the only target of its zone, which is full":          {forward.ProbeRequest{Target: full}, forward.ConnectionReset},
		"a closed port while the rest of the zone is full":    {forward.ProbeRequest{Target: closed, SameZoneTargets: []*forward.Target{full}}, forward.Ended},
	} {
		if got, err := runProbe(dial, test.request); got != test.want {
			t.Errorf("%s: %s (%v), want %s", name, got, err, test.want)
		}
	}
}

// Guards against flows of running targets that are reset because their zone is cut off between the two attempts of a probe and refuses
// the second one.
func TestSecondProbeAttemptChecksZone(t *testing.T) {
	target, closed, alive := targetAt(t, "10.0.0.1:80"), targetAt(t, "10.0.0.2:80"), targetAt(t, "10.0.0.3:80")
	for name, test := range map[string]struct {
		second syscall.Errno
		others []*forward.Target
		want   forward.ProbeResult
	}{
		"refused in a zone that refuses all connections":    {syscall.ECONNREFUSED, []*forward.Target{closed}, forward.Silent},
		"refused while another target of the zone accepts":  {syscall.ECONNREFUSED, []*forward.Target{alive}, forward.Ended},
		"reset while another target of the zone accepts":    {syscall.ECONNRESET, []*forward.Target{alive}, forward.Full},
		"reset while no other target of the zone does":      {syscall.ECONNRESET, []*forward.Target{closed}, forward.ConnectionReset},
		"no answer while the reference accepts connections": {syscall.ETIMEDOUT, []*forward.Target{alive}, forward.Silent},
	} {
		var attempts atomic.Int32
		dial := func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
			errs := map[string]syscall.Errno{"10.0.0.2:80": syscall.ECONNREFUSED}
			if addr == "10.0.0.1:80" {
				errs[addr] = test.second
				if attempts.Add(1) == 1 {
					errs[addr] = syscall.ETIMEDOUT
				}
			}
			return dialErrors(errs)(ctx, addr, timeout)
		}
		request := forward.ProbeRequest{Target: target, Reference: alive, SameZoneTargets: test.others}
		if got, err := runProbe(dial, request); got != test.want {
			t.Errorf("%s: %s (%v), want %s", name, got, err, test.want)
		}
	}
}
