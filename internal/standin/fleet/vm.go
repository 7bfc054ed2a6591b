package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/mangoweir/mangoweir/internal/faultproxy"
)

// restartDelay is the time after which a process that has ended is started again.
const restartDelay = 200 * time.Millisecond

// VM is a stand-in for a VM that runs the forwarder. The process is started again whenever it ends.
type VM struct {
	fleet *Fleet
	Name  string
	Zone  string
	addr  netip.Addr
	// StoreProxy is the proxy through which the VM reaches the store. It can inject faults.
	StoreProxy   *faultproxy.TCP
	settingsPath string
	logFile      *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// ended is closed when the process has ended and is not started again.
	ended chan struct{}
	// exits counts how often the process ended by itself, without SIGTERM or SIGKILL.
	exits        int
	exitExpected bool
}

func (v *VM) packets() netip.AddrPort { return netip.AddrPortFrom(v.addr, PacketPort) }
func (v *VM) httpAddr() string        { return netip.AddrPortFrom(v.addr, httpPort).String() }
func (v *VM) feedAddr() string        { return netip.AddrPortFrom(v.addr, feedPort).String() }

// MetricsURL returns the URL of the VM's metrics.
func (v *VM) MetricsURL() string { return "http://" + v.httpAddr() + "/metrics" }

// ConfigVersion returns the version of the configuration that is in force on the VM according to its metrics; 0 when the VM
// does not answer.
func (v *VM) ConfigVersion() float64 {
	const metric = "mangoweir_config_version "
	client := http.Client{Timeout: time.Second}
	res, err := client.Get(v.MetricsURL())
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), metric); ok {
			version, _ := strconv.ParseFloat(value, 64)
			return version
		}
	}
	return 0
}

// WriteSettings writes the VM's settings file.
func (v *VM) WriteSettings(coldSlack float64) error {
	var seeds []string
	for _, other := range v.fleet.VMs {
		if len(seeds) < 3 {
			seeds = append(seeds, other.feedAddr())
		}
	}
	b, err := json.MarshalIndent(map[string]any{
		"node": v.Name, "zone": v.Zone,
		"bindAddrs": map[string]string{"datagramAddr": v.packets().String(), "ready": v.httpAddr(), "control": v.feedAddr()},
		"seeds":     seeds, "heartbeatMs": Heartbeat.Milliseconds(),
		"limits":   map[string]float64{"cpuShare": 0.1, "linkMbps": 1000},
		"bounds":   map[string]float64{"graceS": 6, "coldOverage": 1.5, "coldSlack": coldSlack},
		"platform": map[string]string{"address": v.StoreProxy.Addr().String()},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(v.settingsPath, b, 0o600)
}

// run starts the process, and again whenever it has ended, until the fleet stops.
func (v *VM) run(binary string) {
	defer close(v.ended)
	for {
		v.mu.Lock()
		if v.stopped {
			v.mu.Unlock()
			return
		}
		cmd := exec.Command(binary, "forward")
		cmd.Env = append(os.Environ(), "MANGOWEIR_NODE_FILE="+v.settingsPath)
		cmd.Stdout, cmd.Stderr = v.logFile, v.logFile
		err := cmd.Start()
		if err == nil {
			v.cmd = cmd
		}
		v.mu.Unlock()
		if err != nil {
			v.fleet.Checker.addViolation("EXIT", "VM %s cannot start: %v", v.Name, err)
			return
		}
		_ = cmd.Wait()
		v.mu.Lock()
		v.cmd = nil
		if !v.stopped && !v.exitExpected {
			v.exits++
			v.fleet.Checker.addViolation("EXIT", "the process of VM %s ended by itself: %s", v.Name, cmd.ProcessState)
		}
		v.exitExpected = false
		v.mu.Unlock()
		time.Sleep(restartDelay)
	}
}

// Signal sends a signal to the VM's process, if it runs, and never to another process.
func (v *VM) Signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		v.exitExpected = true
	}
	// The error is ignored: the process may have ended in the meantime.
	_ = v.cmd.Process.Signal(s)
}

// stop ends the process, which is not started again.
func (v *VM) stop() {
	v.mu.Lock()
	v.stopped = true
	if v.cmd != nil {
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
		_ = v.cmd.Process.Kill()
	}
	v.mu.Unlock()
	<-v.ended
	_ = v.logFile.Close()
	v.StoreProxy.Close()
}

// newVM creates the n-th VM of a zone without starting its process.
func newVM(f *Fleet, zone, n int, store netip.AddrPort) (*VM, error) {
	proxy, err := faultproxy.ListenTCP(store)
	if err != nil {
		return nil, err
	}
	v := &VM{
		fleet: f, Name: fmt.Sprintf("vm-%s-%d", f.zones[zone], n), Zone: f.zones[zone],
		addr: f.address(20+zone, n), StoreProxy: proxy, ended: make(chan struct{}),
	}
	v.settingsPath = filepath.Join(f.dir, v.Name+".json")
	v.logFile, err = os.Create(filepath.Join(f.dir, v.Name+".log"))
	return v, err
}
