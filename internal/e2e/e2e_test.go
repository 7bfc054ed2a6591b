package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/mangoweir/mangoweir/internal/cli"
	"github.com/mangoweir/mangoweir/internal/faultproxy"
	api "github.com/mangoweir/mangoweir/internal/platform"
	"github.com/mangoweir/mangoweir/internal/standin/client"
	"github.com/mangoweir/mangoweir/internal/standin/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"mangoweir": func() { os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// deployments counts the deployments of this process. The count is part of a deployment's
// loopback addresses, so that each deployment has addresses of its own.
var deployments atomic.Int32

// deploymentNumber returns the second byte of a deployment's loopback addresses. It depends on the
// process id, so that two test runs on one machine rarely use the same addresses.
func deploymentNumber() int {
	const first, runs, perRun = 10, 24, 10
	return first + os.Getpid()%runs*perRun + int(deployments.Add(1))%perRun
}

// envKey is the key of a script's deployment among the values of the script's environment.
type envKey struct{}

// TestScripts runs the scenarios. Their commands are:
//
//	deploy VMS TARGETS    start the stand-ins and write manifest.json
//	start VM...           start entry VMs
//	apply FILE            apply a manifest
//	ready VM... DURATION  wait until VMs are ready
//	load N                start N clients with live feeds, reads and postings
//	endload               stop the clients and log their counts
//	sleep DURATION        wait for a time
//	crash VM...           kill the process
//	freeze|thaw VM...     suspend or resume the process
//	drain VM...           stop the process as planned; it must end with exit code 0
//	silence VM...         stop all traffic on the open connections from other VMs
//	restart TARGET|ZONE   restart a target or all targets of a zone cold
//	zone out|in ZONE      take a zone out of service or back in through the platform
//	platform up|down      end or start an outage of the platform
//	platform lose N       lose the platform's answers to the next N writes
//	cutoff|rejoin ZONE    disconnect a zone from the platform or connect it again
//	faults RATE           lose, duplicate and reorder packets between clients and VMs
//	generation N DURATION wait until a configuration generation is in force on all running VMs
//	garbage VM...         send truncated, oversized, random and repeated bytes to all ports
//	badpackets VM...      check that the VMs counted the packets that they rejected
//	expect NAME OP N      check a count of the clients or targets; OP is ==, >= or <=
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Values[envKey{}] = &deployment{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"deploy": cmdDeploy, "start": forEachVM((*deployment).start), "crash": forEachVM((*deployment).kill),
			"freeze": signalVM(syscall.SIGSTOP), "thaw": signalVM(syscall.SIGCONT), "drain": cmdDrain,
			"silence": forEachVM(func(_ *deployment, v *entryVM) error { v.linkProxy.Silence(); return nil }),
			"apply":   cmdApply, "ready": cmdReady, "load": cmdLoad, "endload": cmdEndLoad, "sleep": cmdSleep,
			"zone": cmdZone, "platform": cmdPlatform, "cutoff": setCut(true), "rejoin": setCut(false),
			"faults": cmdFaults, "generation": cmdGeneration, "expect": cmdExpect, "restart": cmdRestart,
			"garbage": forEachVM((*deployment).sendGarbage), "badpackets": cmdBadPackets,
		},
	})
}

func deploymentOf(ts *testscript.TestScript) *deployment { return ts.Value(envKey{}).(*deployment) }

func cmdDeploy(ts *testscript.TestScript, _ bool, args []string) {
	vms, targets := number(ts, args, 0), number(ts, args, 1)
	binary, err := exec.LookPath("mangoweir")
	if p := filepath.SplitList(ts.Getenv("PATH")); err != nil && len(p) > 0 {
		binary = filepath.Join(p[0], "mangoweir")
	}
	d, err := newDeployment(ts.MkAbs("."), binary, deploymentNumber(), vms, targets)
	ts.Check(err)
	registered := deploymentOf(ts)
	copyDeployment(registered, d)
	ts.Defer(func() { _ = registered.close() })
}

// copyDeployment copies a deployment into the one that was registered when the script began.
func copyDeployment(to, from *deployment) {
	to.dir, to.binary, to.number, to.zones = from.dir, from.binary, from.number, from.zones
	to.platform, to.platformProxies, to.fabric = from.platform, from.platformProxies, from.fabric
	to.targets, to.ledger, to.vms, to.movesAllowed = from.targets, from.ledger, from.vms, from.movesAllowed
}

// forEachVM returns a command that calls a function for each VM in its arguments.
func forEachVM(do func(*deployment, *entryVM) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			v, err := deploymentOf(ts).vm(name)
			ts.Check(err)
			ts.Check(do(deploymentOf(ts), v))
		}
	}
}

func signalVM(sig os.Signal) func(*testscript.TestScript, bool, []string) {
	return forEachVM(func(_ *deployment, v *entryVM) error { return v.cmd.Process.Signal(sig) })
}

// drainLimit is the maximum duration of a planned stop in scripts.
const drainLimit = 30 * time.Second

func cmdDrain(ts *testscript.TestScript, neg bool, args []string) {
	forEachVM(func(d *deployment, v *entryVM) error { return d.drain(v, drainLimit) })(ts, neg, args)
}

func cmdApply(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	url, err := os.ReadFile(filepath.Join(d.dir, "platform-url"))
	ts.Check(err)
	ts.Check(ts.Exec("mangoweir", "apply", "--platform", string(url), args[0]))
}

func cmdZone(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	url, err := os.ReadFile(filepath.Join(d.dir, "platform-url"))
	ts.Check(err)
	d.allowMoves(args[1], true)
	ts.Check(ts.Exec("mangoweir", "zone", "--platform", string(url), args[0], args[1]))
	if args[0] == "in" {
		for _, t := range d.targets {
			if t.Zone() == args[1] {
				t.SetZoneOut(false)
			}
		}
	}
}

// waitUntil polls a condition until it holds, and fails the script when that takes longer than the
// limit.
func waitUntil(ts *testscript.TestScript, limit time.Duration, description string, condition func() bool) {
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			ts.Fatalf("%s: not within %v", description, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Logf("%s after %v", description, time.Since(start).Round(10*time.Millisecond))
}

func cmdReady(ts *testscript.TestScript, _ bool, args []string) {
	limit := duration(ts, args, len(args)-1)
	for _, name := range args[:len(args)-1] {
		v, err := deploymentOf(ts).vm(name)
		ts.Check(err)
		waitUntil(ts, limit, name+" ready", func() bool {
			res, err := http.Get("http://" + v.addr + ":8080/readyz")
			if err != nil {
				return false
			}
			defer res.Body.Close()
			return res.StatusCode == http.StatusOK
		})
	}
}

func cmdGeneration(ts *testscript.TestScript, _ bool, args []string) {
	want := number(ts, args, 0)
	for _, v := range deploymentOf(ts).vms {
		if !v.running {
			continue
		}
		waitUntil(ts, duration(ts, args, 1), fmt.Sprintf("%s has generation %d", v.name, want), func() bool {
			return generation(v) == want
		})
	}
}

// generation returns the configuration generation in force on a VM; 0 when the VM does not answer.
func generation(v *entryVM) int {
	res, err := http.Get("http://" + v.addr + ":8080" + api.StatusPath)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	var st api.Status
	if json.NewDecoder(res.Body).Decode(&st) != nil {
		return 0
	}
	for _, s := range st.VMs {
		if string(s.Name) == v.name {
			return int(s.Generation)
		}
	}
	return 0
}

func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(deploymentOf(ts).startLoad(number(ts, args, 0)))
}

func cmdEndLoad(ts *testscript.TestScript, _ bool, _ []string) {
	st := deploymentOf(ts).endLoad()
	ts.Logf("outcomes by class and status: %v", st.Outcomes)
	ts.Logf("feeds opened %d, notifications %d, broken flows %d (silent %d, moved %d), allowed moves %d, postings done %d, with unknown outcome %d",
		st.FeedsOpened, st.Notifications, st.BrokenFlows, st.BrokenSilent, st.BrokenMoved, st.AllowedMoves, st.PostsDone, st.PostsUnknown)
}

func cmdSleep(ts *testscript.TestScript, _ bool, args []string) { time.Sleep(duration(ts, args, 0)) }

func cmdBadPackets(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		v, err := deploymentOf(ts).vm(name)
		ts.Check(err)
		res, err := http.Get("http://" + v.addr + ":8080/metrics")
		ts.Check(err)
		body, err := io.ReadAll(res.Body)
		ts.Check(err)
		_ = res.Body.Close()
		for _, want := range []string{`mangoweir_bad_packets_total{port="fabric"`, `mangoweir_bad_packets_total{port="target"`,
			`mangoweir_datagrams_oversized_total{port="fabric"} `, "mangoweir_link_garbage_total "} {
			if !metricIsPositive(string(body), want) {
				ts.Fatalf("%s has not counted any packet in %s", name, want)
			}
		}
	}
}

// metricIsPositive reports whether any metric whose line has the given prefix is above 0.
func metricIsPositive(body, prefix string) bool {
	for line := range strings.Lines(body) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, prefix) && !strings.HasSuffix(line, " 0") {
			return true
		}
	}
	return false
}

func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	for _, t := range deploymentOf(ts).targets {
		if t.Name() == args[0] || t.Zone() == args[0] {
			t.Restart(100 * time.Millisecond)
		}
	}
}

func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	switch args[0] {
	case "up":
		d.platform.SetOutage(platform.Up)
	case "down":
		d.platform.SetOutage(platform.Silent)
	case "lose":
		d.platform.LoseResponses(number(ts, args, 1))
	default:
		ts.Fatalf("platform: unknown argument; use up, down or lose N")
	}
}

func setCut(on bool) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		p := deploymentOf(ts).platformProxies[args[0]]
		p.SetRefuse(on)
		if on {
			p.Cut()
		}
	}
}

func cmdFaults(ts *testscript.TestScript, _ bool, args []string) {
	rate, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	f := faultproxy.Faults{Drop: rate, Duplicate: rate, Reorder: rate}
	ts.Check(deploymentOf(ts).fabric.SetFaults(f, f))
}

// cmdExpect checks a count of the clients or targets.
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	d := deploymentOf(ts)
	got, ok := d.counts()[args[0]]
	if !ok {
		ts.Fatalf("unknown count %q", args[0])
	}
	want := uint64(number(ts, args, 2))
	holds := map[string]bool{"==": got == want, ">=": got >= want, "<=": got <= want}[args[1]]
	if !holds {
		ts.Fatalf("%s is %d, want %s %d", args[0], got, args[1], want)
	}
}

// counts returns the counts that scripts can check, by name.
func (d *deployment) counts() map[string]uint64 {
	st := d.stats()
	c := map[string]uint64{
		"duplicate-runs": uint64(d.ledger.DuplicateRuns()), "mismatched": st.Mismatched, "broken-flows": st.BrokenFlows,
		"answered": st.Count(client.Answered), "postings": st.PostsDone, "unknown-postings": st.PostsUnknown,
		"notifications": st.Notifications, "feeds": st.FeedsOpened,
	}
	for _, t := range d.targets {
		targetStats := t.Stats()
		c["stray-packets"] += targetStats.StrayPackets
		c["zone-out-packets"] += targetStats.PacketsWhileZoneOut
		c["new-flows-while-draining"] += targetStats.NewFlowsWhileDraining
		c["cold-breaches"] += targetStats.ColdBreachesAfterReport
	}
	return c
}

func number(ts *testscript.TestScript, args []string, i int) int {
	if i >= len(args) {
		ts.Fatalf("argument %d is missing", i+1)
	}
	n, err := strconv.Atoi(args[i])
	ts.Check(err)
	return n
}

func duration(ts *testscript.TestScript, args []string, i int) time.Duration {
	if i < 0 || i >= len(args) {
		ts.Fatalf("argument %d is missing", i+1)
	}
	d, err := time.ParseDuration(args[i])
	ts.Check(err)
	return d
}
