package e2e

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/internal/feed"
	"github.com/mangoweir/mangoweir/internal/standin/fleet"
	"github.com/mangoweir/mangoweir/internal/standin/objects"
)

// startFleet starts a deployment on the users' platform with real forwarder processes. At the end of the
// test it is stopped, and any violation fails the test.
func startFleet(t *testing.T, zones, vms int) *fleet.Fleet {
	t.Helper()
	binary, err := exec.LookPath("mangoweir")
	if err != nil {
		t.Fatal(err)
	}
	f, err := fleet.Start(fleet.Options{
		Binary: binary, Dir: t.TempDir(), Zones: zones, VMs: vms, Targets: 5, Clients: 24,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		f.Close()
		for _, v := range f.Checker.Violations() {
			t.Error(v)
		}
	})
	within(t, 15*time.Second, "all VMs are ready", f.Ready)
	if err := f.StartClients(); err != nil {
		t.Fatal(err)
	}
	return f
}

func within(t *testing.T, limit time.Duration, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", limit, description)
		}
	}
}

// outcomesDuring returns the outcomes of requests while a function runs, in whole seconds.
func outcomesDuring(f *fleet.Fleet, do func()) map[string]int {
	from := int(f.Checker.Now()/time.Second) + 1
	time.Sleep(time.Duration(from)*time.Second - f.Checker.Now())
	do()
	return f.Checker.Outcomes(from, int(f.Checker.Now()/time.Second)+1)
}

// metric returns the value of a VM's metric; 0 when the VM does not have the metric, and -1 when it
// does not answer.
func metric(t *testing.T, vm *fleet.VM, name string) float64 {
	t.Helper()
	res, err := http.Get(vm.MetricsURL())
	if err != nil {
		return -1
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(name) + ` (\S+)$`).FindSubmatch(body)
	if m == nil {
		return 0
	}
	v, err := strconv.ParseFloat(string(m[1]), 64)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// logLines returns the lines of a VM's log; each must be a JSON object.
func logLines(t *testing.T, f *fleet.Fleet, vm *fleet.VM) []map[string]any {
	t.Helper()
	file, err := os.Open(filepath.Join(f.Dir, vm.Name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var lines []map[string]any
	for s := bufio.NewScanner(file); s.Scan(); {
		var line map[string]any
		if err := json.Unmarshal(s.Bytes(), &line); err != nil {
			t.Fatalf("log line %q: %v", s.Text(), err)
		}
		lines = append(lines, line)
	}
	return lines
}

// readerOf waits until a zone has a reader and returns it.
func readerOf(t *testing.T, f *fleet.Fleet, zone string) *fleet.VM {
	t.Helper()
	var reader *fleet.VM
	within(t, 5*time.Second, zone+" has a reader", func() bool {
		o, _ := f.Store.Get("mangoweir-readers", zone)
		for _, vm := range f.VMs {
			if strings.Contains(string(o.Spec), `"`+vm.Name+`"`) {
				reader = vm
			}
		}
		return reader != nil
	})
	return reader
}

// Guards against requests that fail without any fault, and against store calls whose number grows with
// the number of VMs: only the reader of a zone watches the store.
func TestForwardCalm(t *testing.T) {
	t.Parallel()
	const zones, vms, seconds = 2, 4, 5
	f := startFleet(t, zones, vms)
	time.Sleep(time.Second)
	before := f.Store.Calls()
	out := outcomesDuring(f, func() { time.Sleep(seconds * time.Second) })
	if out["served"] == 0 || out["refused"]+out["failed"] > 0 {
		t.Errorf("outcomes without a fault: %v", out)
	}
	calls := 0
	for name, n := range f.Store.Calls() {
		calls += n - before[name]
	}
	// Each zone watches three kinds of objects. A watch lasts 1.5 s, and the measured time may begin
	// during one.
	if limit := zones * 3 * (seconds + 2) * 2 / 3; calls > limit {
		t.Errorf("%d calls to the store in %d s, want at most %d for any number of VMs", calls, seconds, limit)
	}
}

// Guards against VMs that miss changes after the reader of their zone was killed.
func TestForwardReaderKilled(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 3)
	for _, zone := range []string{"zone-a", "zone-b"} {
		readerOf(t, f, zone).Signal(syscall.SIGKILL)
	}
	f.ChangeRoute("desk")
	f.Targets()[0].Drain()
	time.Sleep(fleet.DrainBound + 500*time.Millisecond)
	out := outcomesDuring(f, func() { time.Sleep(2 * time.Second) })
	if out["served"] == 0 || out["refused"]+out["failed"] > 0 {
		t.Errorf("outcomes on the new route: %v", out)
	}
}

// Guards against VMs that miss changes because the store refuses their reader and serves the others,
// and against a refused reader that does not receive changes after a subscriber has taken over.
func TestForwardReaderTurnedAway(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 3)
	reader := readerOf(t, f, "zone-a")
	f.Checker.SuspendBounds(time.Now().Add(10 * time.Second))
	reader.StoreProxy.SetRefuse(true)
	reader.StoreProxy.Cut()
	f.ChangeRoute("desk")
	// The subscribers call the store after 2.5 s, and one becomes the reader 0.4 s later.
	within(t, 6*time.Second, "the change is in force on all VMs, including the refused reader", func() bool {
		for _, vm := range f.VMs {
			if metric(t, vm, "mangoweir_config_version") < f.ConfigVersion() {
				return false
			}
		}
		return true
	})
	// Requests that began before the change end within their deadline.
	time.Sleep(fleet.Deadline)
	out := outcomesDuring(f, func() { time.Sleep(time.Second) })
	if out["served"] == 0 || out["refused"]+out["failed"] > 0 {
		t.Errorf("outcomes afterwards: %v", out)
	}
}

// Guards against a reader whose work grows with the size of its zone, and against VMs that miss changes
// because they get the change feed through another VM, even when that VM is lost.
func TestForwardLargeZone(t *testing.T) {
	t.Parallel()
	const vms = feed.MaxSubscribers + 6
	f := startFleet(t, 1, vms)
	subscribers := func() (total, largest float64) {
		for _, vm := range f.VMs {
			n := metric(t, vm, "mangoweir_subscribers")
			total, largest = total+n, max(largest, n)
		}
		return total, largest
	}
	within(t, 10*time.Second, "all VMs except one subscribe", func() bool {
		total, _ := subscribers()
		return total == vms-1
	})
	if _, largest := subscribers(); largest > feed.MaxSubscribers {
		t.Errorf("a VM has %.0f subscribers, more than %d", largest, feed.MaxSubscribers)
	}
	inForce := func() bool {
		for _, vm := range f.VMs {
			if metric(t, vm, "mangoweir_config_version") < f.ConfigVersion() {
				return false
			}
		}
		return true
	}
	f.ChangeRoute("desk")
	within(t, fleet.ConfigBound, "the configuration is in force on all VMs", inForce)
	for _, vm := range f.VMs {
		// Kills a VM through which others get the feed, if there is one besides the reader.
		if n := metric(t, vm, "mangoweir_subscribers"); n > 0 && n < feed.MaxSubscribers {
			vm.Signal(syscall.SIGKILL)
			break
		}
	}
	f.ChangeRoute("desk")
	within(t, fleet.ConfigBound+2*time.Second, "the next configuration is in force after an intermediate VM was killed", func() bool { return f.Ready() && inForce() })
}

// Guards against requests that a planned stop interrupts.
func TestForwardPlannedStops(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 3)
	out := outcomesDuring(f, func() {
		for _, vm := range f.VMs {
			vm.Signal(syscall.SIGTERM)
			time.Sleep(2500 * time.Millisecond)
		}
	})
	if out["served"] == 0 || out["failed"] > 0 {
		t.Errorf("outcomes during planned stops: %v", out)
	}
}

// Guards against VMs that stop serving requests while the store is down, and against VMs that do not
// use the store again afterwards.
func TestForwardStoreDown(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 2)
	f.Checker.SuspendBounds(time.Now().Add(4 * time.Second))
	out := outcomesDuring(f, func() {
		f.Store.SetFaults(objects.Faults{Refusal: objects.Silent})
		time.Sleep(4 * time.Second)
		f.Store.ClearFaults()
	})
	if out["served"] == 0 || out["refused"]+out["failed"] > 0 {
		t.Errorf("outcomes while the store is down: %v", out)
	}
	within(t, 3*time.Second, "snapshots are fresh again", func() bool {
		for _, vm := range f.VMs {
			if metric(t, vm, "mangoweir_view_stale_seconds") != 0 {
				return false
			}
		}
		return true
	})
}

// Guards against requests on open flows that wait for a target that has ended, and against logs that do
// not show why the flows were reset.
func TestForwardTargetEnds(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 2)
	time.Sleep(time.Second)
	out := outcomesDuring(f, func() {
		f.Targets()[0].Kill()
		time.Sleep(2 * time.Second)
	})
	// Requests in progress at the target fail or are retried; each client has at most one.
	if out["failed"] > 3 {
		t.Errorf("outcomes after a target ended: %v", out)
	}
	for _, vm := range f.VMs {
		reported := false
		for _, line := range logLines(t, f, vm) {
			if line["target"] != f.Targets()[0].ID {
				continue
			}
			switch line["msg"] {
			case "control: a target ended":
				reported = true
			case "control: another VM saw a target":
				reported = reported || line["ended"] == true
			case "flow: probed":
				reported = reported || line["result"] == "ended"
			}
		}
		if !reported {
			t.Errorf("no log line of %s reports that the target has ended", vm.Name)
		}
	}
}

// Guards against invalid settings that take effect or end the process.
func TestForwardInvalidSettings(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1)
	vm := f.VMs[0]
	if err := os.WriteFile(filepath.Join(f.Dir, vm.Name+".json"), []byte(`{"node": 7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	vm.Signal(syscall.SIGHUP)
	within(t, 3*time.Second, "the error is counted", func() bool {
		return metric(t, vm, "mangoweir_settings_errors_total") > 0
	})
	out := outcomesDuring(f, func() { time.Sleep(time.Second) })
	if out["served"] == 0 || out["refused"]+out["failed"] > 0 {
		t.Errorf("outcomes with invalid settings: %v", out)
	}
}

// Guards against bytes on any port that end the process or disrupt flows.
func TestForwardGarbage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 1, 1)
	out := outcomesDuring(f, func() {
		for range 20 {
			f.SendGarbage(f.VMs[0])
			time.Sleep(50 * time.Millisecond)
		}
	})
	if out["served"] == 0 || out["refused"]+out["failed"] > 0 {
		t.Errorf("outcomes while garbage is sent: %v", out)
	}
	if metric(t, f.VMs[0], "mangoweir_malformed_packets_total") <= 0 {
		t.Error("malformed packets are not counted")
	}
}
