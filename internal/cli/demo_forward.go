package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/mangoweir/mangoweir/internal/standin/fleet"
	"github.com/mangoweir/mangoweir/internal/standin/objects"
)

// Times of the script of the forwarding demo, from the start of the clients.
const (
	forwardDemoLength = 20 * time.Second
	storeOutage       = 1500 * time.Millisecond
	// copyAge is the age of the copy from which the store is restored.
	copyAge = 5 * time.Second
)

// errDemoViolation reports that the forwarding demo broke a rule.
const errDemoViolation = errors.ConstError("a rule was violated; see the lines above")

// forwardDemoEvent is a change during the forwarding demo.
type forwardDemoEvent struct {
	at   time.Duration
	name string
	do   func(*fleet.Fleet)
}

// forwardDemoScript loses changes of the store and makes others right after its return.
func forwardDemoScript() []forwardDemoEvent {
	return []forwardDemoEvent{
		{2 * time.Second, "a route changes", func(f *fleet.Fleet) { f.ChangeRoute("desk") }},
		{4 * time.Second, "a target drains", func(f *fleet.Fleet) { f.Targets()[0].Drain() }},
		{5 * time.Second, "a route changes", func(f *fleet.Fleet) { f.ChangeRoute("desk") }},
		{6 * time.Second, "the store is down", func(f *fleet.Fleet) {
			f.Checker.SuspendBounds(time.Now().Add(storeOutage))
			f.Store.SetFaults(objects.Faults{Refusal: objects.Reset})
		}},
		{6*time.Second + storeOutage, "the store returns from an earlier copy", func(f *fleet.Fleet) {
			f.RestoreStore(copyAge)
			f.Store.ClearFaults()
		}},
		{8 * time.Second, "operators write again what it lacks, and change a route", func(f *fleet.Fleet) {
			f.RewriteObjects()
			f.ChangeRoute("desk")
		}},
		{9 * time.Second, "a target drains", func(f *fleet.Fleet) { f.Targets()[1].Drain() }},
		{13 * time.Second, "both targets end", func(f *fleet.Fleet) {
			f.Targets()[0].Leave()
			f.Targets()[1].Leave()
		}},
	}
}

// runForwardDemo runs forwarder processes on a stand-in of the users' platform, whose store returns from an earlier copy, and
// prints the outcomes of requests by second. Errors: errDemoViolation.
func runForwardDemo(ctx context.Context, seed uint64, out io.Writer) error {
	binary, err := os.Executable()
	if err != nil {
		return errors.Trace(err)
	}
	dir, err := os.MkdirTemp("", "mangoweir-demo-")
	if err != nil {
		return errors.Trace(err)
	}
	defer os.RemoveAll(dir)
	f, err := fleet.Start(fleet.Options{Binary: binary, Dir: dir, Zones: 2, VMs: 2, Targets: 5, Clients: 24, Seed: seed})
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	for end := time.Now().Add(readyTimeout); !f.Ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.Errorf("the VMs are not ready within %s: free processors and try again", readyTimeout)
		}
	}
	if err := f.StartClients(); err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(out, "%6s %8s %8s %8s  %s\n", "second", "served", "refused", "failed", "configuration by VM")
	start, script := time.Now(), forwardDemoScript()
	for second := int(f.Checker.Now() / time.Second); time.Since(start) < forwardDemoLength; {
		for len(script) > 0 && time.Since(start) >= script[0].at {
			fmt.Fprintf(out, "%6.1f %s\n", time.Since(start).Seconds(), script[0].name)
			script[0].do(f)
			script = script[1:]
		}
		if now := int(f.Checker.Now() / time.Second); now > second {
			o := f.Checker.Outcomes(second, now)
			fmt.Fprintf(out, "%6.1f %8d %8d %8d  %v\n", time.Since(start).Seconds(), o["served"], o["refused"], o["failed"], configVersions(f))
			second = now
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	violations := f.Checker.Violations()
	for _, v := range violations {
		fmt.Fprintln(out, v)
	}
	for _, version := range configVersions(f) {
		if version != f.ConfigVersion() {
			fmt.Fprintf(out, "a VM has configuration %v at the end, want %v\n", version, f.ConfigVersion())
			return errDemoViolation
		}
	}
	if len(violations) > 0 {
		return errDemoViolation
	}
	fmt.Fprintln(out, "no rule was violated")
	return nil
}

// configVersions returns the version of the configuration on each VM.
func configVersions(f *fleet.Fleet) []float64 {
	var versions []float64
	for _, vm := range f.VMs {
		versions = append(versions, vm.ConfigVersion())
	}
	return versions
}
