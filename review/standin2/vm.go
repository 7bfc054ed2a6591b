//go:build review

package main

import (
	"encoding/json"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	// cpuShare is the machines' share of a core in their settings, that of site rmra-sfax.
	cpuShare = 0.088
	// probeInterval is the interval of the routers' readiness requests; two misses take a VM out of rotation.
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
)

// vm is a machine that runs one process of the system.
type vm struct {
	w        *world
	name     string
	zone     string
	addr     netip.Addr
	settings string
	log      *os.File

	mu       sync.Mutex
	cmd      *exec.Cmd
	started  time.Time
	stopped  bool
	expected bool
	ended    chan struct{}
}

func (v *vm) packets() netip.AddrPort { return netip.AddrPortFrom(v.addr, packetPort) }
func (v *vm) ready() string           { return netip.AddrPortFrom(v.addr, readyPort).String() }
func (v *vm) control() string         { return netip.AddrPortFrom(v.addr, controlPort).String() }

// writeSettings writes the settings file that DEPLOY.md describes.
func (v *vm) writeSettings(seeds []string, storeAddr string, zones []string) error {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region"
	}
	b, err := json.MarshalIndent(map[string]any{
		"node": v.name, "role": "forward", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": v.addr.String(), "zone": v.zone, "region": "region", "zones": regions,
		"bindAddrs":         map[string]string{"datagramAddr": v.packets().String(), "ready": v.ready(), "control": v.control()},
		"internalPortRange": []int{7720, 7735}, "seeds": seeds, "bootstrap": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": cpuShare, "cpuSpeedFactor": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "announce", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseDelayS": 2, "stableWindowMs": stableWindow.Milliseconds(), "ackMs": 5000, "catchUpS": 4, "drainMs": 3000,
			"graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 12000,
			"coldOverage": coldOverage, "coldSlack": coldSlack, "evacuateMs": 5000, "recoveryS": 12, "reorderMs": 2000, "maxFlowS": 60,
		},
		"hash": "mod", "accessMode": "echo",
		"platform": map[string]any{
			"address": storeAddr, "accessMode": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "minTtlMs": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(v.settings, b, 0o600)
}

// run runs the process and starts it again whenever it has ended, until the end of the test.
func (v *vm) run(binary string) {
	defer close(v.ended)
	for {
		v.mu.Lock()
		if v.stopped {
			v.mu.Unlock()
			return
		}
		cmd := exec.Command(binary, "forward")
		cmd.Env = append(os.Environ(), "MANGOWEIR_NODE_FILE="+v.settings)
		cmd.Stdout, cmd.Stderr = v.log, v.log
		err := cmd.Start()
		v.cmd, v.started = cmd, time.Now()
		v.mu.Unlock()
		if err != nil {
			v.w.fatal("cannot start %s: %v", v.name, err)
			return
		}
		v.w.record("machine   %s started, process %d", v.name, cmd.Process.Pid)
		_ = cmd.Wait()
		v.mu.Lock()
		v.cmd = nil
		if !v.stopped && !v.expected {
			v.w.fatal("the process of %s ended by itself: %s", v.name, cmd.ProcessState)
		}
		v.expected = false
		v.mu.Unlock()
		v.w.record("machine   %s ended", v.name)
		time.Sleep(restartDelay)
	}
}

// signal sends a signal to the process of this VM, if it runs.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		v.expected = true
	}
	// The process may have ended in the meantime.
	_ = v.cmd.Process.Signal(s)
}

// close ends the process for good.
func (v *vm) close() {
	v.mu.Lock()
	v.stopped = true
	if v.cmd != nil {
		_ = v.cmd.Process.Kill()
	}
	v.mu.Unlock()
	<-v.ended
	_ = v.log.Close()
}

func newVM(w *world, z, n int) (*vm, error) {
	v := &vm{w: w, zone: w.zones[z], addr: w.address(20+z, n), ended: make(chan struct{})}
	v.name = "front-" + v.zone + "-" + string(rune('0'+n))
	v.settings = filepath.Join(w.dir, v.name+".json")
	var err error
	v.log, err = os.Create(filepath.Join(w.dir, v.name+".log"))
	return v, err
}

// router hands the packets of clients to the VMs of the client's zone, by a hash over those in rotation.
type router struct {
	w    *world
	conn *net.UDPConn
	http http.Client

	mu     sync.Mutex
	misses map[*vm]int
}

func (r *router) forward(zone string, b []byte) {
	vms := r.inRotation(zone)
	h := fnv.New32a()
	_, _ = h.Write(b[12:24])
	// A packet to a VM that is down is lost.
	_, _ = r.conn.WriteToUDPAddrPort(b, vms[int(h.Sum32()>>8)%len(vms)].packets())
}

// inRotation returns the VMs of a zone in rotation, or all of the zone if fewer than half of them are.
func (r *router) inRotation(zone string) []*vm {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, ready []*vm
	for _, v := range r.w.vms {
		if v.zone != zone {
			continue
		}
		all = append(all, v)
		if r.misses[v] < maxMisses {
			ready = append(ready, v)
		}
	}
	if 2*len(ready) < len(all) {
		return all
	}
	return ready
}

func (r *router) probe(stop <-chan struct{}) {
	for {
		for _, v := range r.w.vms {
			go r.probeVM(v)
		}
		select {
		case <-stop:
			return
		case <-time.After(probeInterval):
		}
	}
}

func (r *router) probeVM(v *vm) {
	res, err := r.http.Get("http://" + v.ready() + "/v1/readiness")
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.misses[v] = 0
	} else {
		r.misses[v]++
	}
}

// allReady reports whether the last readiness request to each VM was answered with 200.
func (r *router) allReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range r.w.vms {
		if n, ok := r.misses[v]; !ok || n > 0 {
			return false
		}
	}
	return true
}
