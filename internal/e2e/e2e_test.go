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
	"github.com/mangoweir/mangoweir/internal/standin/caller"
	"github.com/mangoweir/mangoweir/internal/standin/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"mangoweir": func() { os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// sites numbers the deployments, each of which has loopback addresses of its own.
var sites atomic.Int32

// siteNumber returns the second number of a site's loopback addresses. It depends on the process, so
// that two test runs on one machine hardly ever meet.
func siteNumber() int {
	const first, runs, perRun = 10, 24, 10
	return first + os.Getpid()%runs*perRun + int(sites.Add(1))%perRun
}

// siteKey is the key of a script's site among the values of its environment.
type siteKey struct{}

// TestScripts runs the scenarios. Commands of the language:
//
//	site VMS TARGETS      start the stand-ins and write manifest.json
//	start VM...           start entry VMs
//	apply FILE            apply a manifest
//	ready VM... DURATION  wait until VMs are ready
//	load N                start N callers with feeds, reads and postings
//	pass DURATION         let time pass
//	crash|freeze|thaw|drain|silence VM
//	zone out|in ZONE      take a zone out through an entry VM or the platform
//	platform up|down|lose N
//	cutoff|rejoin ZONE    cut a zone off from the platform
//	faults RATE           lose and duplicate packets of callers
//	generation N DURATION wait until all live VMs have a generation
//	garbage VM...         send truncated, oversized, random and replayed bytes to all ports
//	badpackets VM...      check that the VM counted what it could not use
//	expect NAME OP N      check a count, taken at callers and targets
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Values[siteKey{}] = &site{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"site": cmdSite, "start": each((*site).start), "crash": each((*site).kill),
			"freeze": signal(syscall.SIGSTOP), "thaw": signal(syscall.SIGCONT), "drain": cmdDrain,
			"silence": each(func(_ *site, v *process) error { v.link.Silence(); return nil }),
			"apply":   cmdApply, "ready": cmdReady, "load": cmdLoad, "endload": cmdEndLoad, "pass": cmdPass,
			"zone": cmdZone, "platform": cmdPlatform, "cutoff": cut(true), "rejoin": cut(false),
			"faults": cmdFaults, "generation": cmdGeneration, "expect": cmdExpect, "restart": cmdRestart,
			"garbage": each((*site).garbage), "badpackets": cmdBadPackets,
		},
	})
}

func siteOf(ts *testscript.TestScript) *site { return ts.Value(siteKey{}).(*site) }

func cmdSite(ts *testscript.TestScript, _ bool, args []string) {
	vms, targets := number(ts, args, 0), number(ts, args, 1)
	binary, err := exec.LookPath("mangoweir")
	if p := filepath.SplitList(ts.Getenv("PATH")); err != nil && len(p) > 0 {
		binary = filepath.Join(p[0], "mangoweir")
	}
	s, err := newSite(ts.MkAbs("."), binary, siteNumber(), vms, targets)
	ts.Check(err)
	holder := siteOf(ts)
	moveSite(holder, s)
	ts.Defer(func() { _ = holder.close() })
}

// moveSite fills in the site that was registered when the script began.
func moveSite(to, from *site) {
	to.dir, to.binary, to.number, to.zones = from.dir, from.binary, from.number, from.zones
	to.platform, to.platformLinks, to.fabric = from.platform, from.platformLinks, from.fabric
	to.targets, to.ledger, to.vms, to.excused = from.targets, from.ledger, from.vms, from.excused
}

// each returns a command that does something with each named VM.
func each(do func(*site, *process) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			v, err := siteOf(ts).vm(name)
			ts.Check(err)
			ts.Check(do(siteOf(ts), v))
		}
	}
}

func signal(sig os.Signal) func(*testscript.TestScript, bool, []string) {
	return each(func(_ *site, v *process) error { return v.cmd.Process.Signal(sig) })
}

// drainLimit bounds a planned stop in scripts.
const drainLimit = 30 * time.Second

func cmdDrain(ts *testscript.TestScript, neg bool, args []string) {
	each(func(s *site, v *process) error { return s.drain(v, drainLimit) })(ts, neg, args)
}

func cmdApply(ts *testscript.TestScript, _ bool, args []string) {
	s := siteOf(ts)
	url, err := os.ReadFile(filepath.Join(s.dir, "platform-url"))
	ts.Check(err)
	ts.Check(ts.Exec("mangoweir", "apply", "--platform", string(url), args[0]))
}

func cmdZone(ts *testscript.TestScript, _ bool, args []string) {
	s := siteOf(ts)
	url, err := os.ReadFile(filepath.Join(s.dir, "platform-url"))
	ts.Check(err)
	s.excuse(args[1], true)
	ts.Check(ts.Exec("mangoweir", "zone", "--platform", string(url), args[0], args[1]))
	if args[0] == "in" {
		for _, t := range s.targets {
			if t.Zone() == args[1] {
				t.SetZoneOut(false)
			}
		}
	}
}

// eventually polls a condition until it holds.
func eventually(ts *testscript.TestScript, limit time.Duration, what string, ok func() bool) {
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			ts.Fatalf("%s: not within %v", what, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Logf("%s after %v", what, time.Since(start).Round(10*time.Millisecond))
}

func cmdReady(ts *testscript.TestScript, _ bool, args []string) {
	limit := duration(ts, args, len(args)-1)
	for _, name := range args[:len(args)-1] {
		v, err := siteOf(ts).vm(name)
		ts.Check(err)
		eventually(ts, limit, name+" ready", func() bool {
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
	for _, v := range siteOf(ts).vms {
		if !v.alive {
			continue
		}
		eventually(ts, duration(ts, args, 1), fmt.Sprintf("%s has generation %d", v.name, want), func() bool {
			return generation(v) == want
		})
	}
}

// generation returns the generation in force on a VM, 0 when it does not answer.
func generation(v *process) int {
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
	ts.Check(siteOf(ts).startLoad(number(ts, args, 0)))
}

func cmdEndLoad(ts *testscript.TestScript, _ bool, _ []string) {
	st := siteOf(ts).endLoad()
	ts.Logf("outcomes by class and status: %v", st.Outcomes)
	ts.Logf("feeds opened %d, notifications %d, broken %d (silent %d, moved %d), moved with leave %d, postings done %d, unknown %d",
		st.FeedsOpened, st.Notifications, st.Broken, st.BrokenSilent, st.BrokenMoved, st.Moved, st.PostsDone, st.PostsUnknown)
}

func cmdPass(ts *testscript.TestScript, _ bool, args []string) { time.Sleep(duration(ts, args, 0)) }

func cmdBadPackets(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		v, err := siteOf(ts).vm(name)
		ts.Check(err)
		res, err := http.Get("http://" + v.addr + ":8080/metrics")
		ts.Check(err)
		body, err := io.ReadAll(res.Body)
		ts.Check(err)
		_ = res.Body.Close()
		for _, want := range []string{`mangoweir_bad_packets_total{port="fabric"`, `mangoweir_bad_packets_total{port="target"`,
			`mangoweir_datagrams_oversized_total{port="fabric"} `, "mangoweir_link_garbage_total "} {
			if !countsSome(string(body), want) {
				ts.Fatalf("%s has not counted any %s", name, want)
			}
		}
	}
}

// countsSome reports whether a metric whose line has the given prefix is above 0.
func countsSome(body, prefix string) bool {
	for line := range strings.Lines(body) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, prefix) && !strings.HasSuffix(line, " 0") {
			return true
		}
	}
	return false
}

func cmdRestart(ts *testscript.TestScript, _ bool, args []string) {
	for _, t := range siteOf(ts).targets {
		if t.Name() == args[0] || t.Zone() == args[0] {
			t.Restart(100 * time.Millisecond)
		}
	}
}

func cmdPlatform(ts *testscript.TestScript, _ bool, args []string) {
	s := siteOf(ts)
	switch args[0] {
	case "up":
		s.platform.SetOutage(platform.Up)
	case "down":
		s.platform.SetOutage(platform.Silent)
	case "lose":
		s.platform.LoseAnswers(number(ts, args, 1))
	default:
		ts.Fatalf("platform up, down or lose N")
	}
}

func cut(on bool) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		p := siteOf(ts).platformLinks[args[0]]
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
	ts.Check(siteOf(ts).fabric.SetFaults(f, f))
}

// cmdExpect checks a count that callers or targets took.
func cmdExpect(ts *testscript.TestScript, _ bool, args []string) {
	s := siteOf(ts)
	got, ok := s.counts()[args[0]]
	if !ok {
		ts.Fatalf("unknown count %q", args[0])
	}
	want := uint64(number(ts, args, 2))
	holds := map[string]bool{"==": got == want, ">=": got >= want, "<=": got <= want}[args[1]]
	if !holds {
		ts.Fatalf("%s is %d, want %s %d", args[0], got, args[1], want)
	}
}

// counts returns what scripts can expect.
func (s *site) counts() map[string]uint64 {
	st := s.stats()
	c := map[string]uint64{
		"doubles": uint64(s.ledger.DuplicateRuns()), "mismatched": st.Mismatched, "broken": st.Broken,
		"done": st.Count(caller.Answered), "postings": st.PostsDone, "unknown": st.PostsUnknown,
		"notifications": st.Notifications, "feeds": st.FeedsOpened,
	}
	for _, t := range s.targets {
		ts := t.Stats()
		c["strays"] += ts.StrayPackets
		c["zone-out-packets"] += ts.PacketsWhileZoneOut
		c["leaving-flows"] += ts.NewFlowsWhileDraining
		c["cold-breaches"] += ts.ColdBreachesAfterReport
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
