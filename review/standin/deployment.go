//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/mangoweir/mangoweir/internal/standin/objects"
)

// Ports and bounds of the deployment. The bounds are those of the example in DEPLOY.md.
const (
	packetPort = 8172
	readyPort  = 8167
	feedPort   = 8166
	hostPort   = 8080
	storePort  = 8169

	heartbeat    = 1200 * time.Millisecond
	stableWindow = 4 * time.Second
	idleTimeout  = 15 * time.Second
	coldStart    = 2 * time.Second
)

// deployment is a small deployment: machines that run the program of the deploy file, between stand-ins for the store,
// the routers, the hosts and the clients.
type deployment struct {
	record  *record
	dir     string
	program []string
	store   *objects.Store
	router  *router
	vms     []*vm
	hosts   []*host
	version uint64
	// coldPerS is the field of the services in the desired state.
	coldPerS float64

	network byte
	lock    net.Listener
	closers []func()
	hostIDs int

	mu         sync.Mutex
	violations []string
	// mostCold is the highest number of openings per second at a cold host.
	mostCold int
}

// newDeployment reserves a loopback network and starts the store.
func newDeployment(rec *record) (*deployment, error) {
	d := &deployment{record: rec, store: objects.New(), version: 3}
	program, err := deployProgram("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	d.program = program
	if d.dir, err = os.MkdirTemp("", "mangoweir-review-"); err != nil {
		return nil, err
	}
	if os.Getenv("KEEP_LOGS") == "" {
		d.onClose(func() { _ = os.RemoveAll(d.dir) })
	}
	for range 200 {
		d.network = byte(10 + rand.IntN(240))
		if d.lock, err = net.Listen("tcp4", netip.AddrPortFrom(d.address(255, 254), 8165).String()); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	d.onClose(func() { _ = d.lock.Close() })
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(d.address(2, 1), 0)))
	if err != nil {
		return nil, err
	}
	d.router = &router{d: d, conn: conn, misses: map[*vm]int{}}
	d.onClose(func() { _ = conn.Close() })
	return d, nil
}

// deployProgram returns the words of the run line of the deploy file.
func deployProgram(path string) ([]string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(b)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no run line")
}

func (d *deployment) onClose(f func()) { d.closers = append(d.closers, f) }

// close ends everything that the deployment started.
func (d *deployment) close() {
	for _, v := range d.vms {
		v.kill()
	}
	for _, h := range d.hosts {
		h.crash()
	}
	for _, f := range slices.Backward(d.closers) {
		f()
	}
}

func (d *deployment) address(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.network, byte(group), byte(n)})
}

// route returns the address of the route to the n-th service.
func (d *deployment) route(n int) netip.AddrPort {
	return netip.AddrPortFrom(d.address(90, 1+n), 443)
}

var serviceNames = []string{"live", "photo"}

// writeConfig writes the desired state.
func (d *deployment) writeConfig() {
	var routes, services []map[string]any
	for i, s := range serviceNames {
		routes = append(routes, map[string]any{
			"name": "r-" + s, "hostname": d.route(i).Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", d.route(i).Port()), "type": "unsafe",
			"timeoutMs": 8000, "targetLatencyMs": 500, "priority": 1, "service": s, "maxAttempts": 2,
		})
		services = append(services, map[string]any{
			"name": s, "healthCheckPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": false,
			"coldStartS": coldStart.Seconds(), "coldPerS": d.coldPerS,
		})
	}
	d.store.Put("config", "main", map[string]any{
		"version": d.version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeout.Milliseconds()},
	})
}

// addHost starts a host that is warm.
func (d *deployment) addHost(zone, service string) (*host, error) {
	d.hostIDs++
	n := uint64(0x7f3a9000 + d.hostIDs)
	h := &host{
		d: d, id: "i-" + strconv.FormatUint(n, 16), numericID: n, zone: zone, service: service,
		addr: netip.AddrPortFrom(d.address(30, d.hostIDs), hostPort),
	}
	d.hosts = append(d.hosts, h)
	return h, h.start(0, 0)
}

func (d *deployment) host(id string) *host {
	i := slices.IndexFunc(d.hosts, func(h *host) bool { return h.id == id })
	if i < 0 {
		return nil
	}
	return d.hosts[i]
}

// violation records that a rule was broken.
func (d *deployment) violation(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	d.record.add("BROKEN %s", text)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, text)
}

func (d *deployment) broken() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.violations) > 0
}

// recordCold records the number of openings within the last second at a cold host.
func (d *deployment) recordCold(h *host, n int) {
	d.mu.Lock()
	most := n > d.mostCold
	d.mostCold = max(d.mostCold, n)
	d.mu.Unlock()
	if most {
		d.record.add("cold host %s took %d openings within a second", h.id, n)
	}
	if bound := d.coldPerS*1.5 + 5; float64(n) > bound {
		d.violation("FAILBACK", "cold host %s took %d openings within a second, bound %g", h.id, n, bound)
	}
}

// vm is a machine. Its process is started again after it has ended.
type vm struct {
	d          *deployment
	name, zone string
	ip         netip.Addr
	settings   string
	// turnedAway is true while the store answers 503 to this machine.
	turnedAway atomic.Bool

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	stopped   bool
	startedAt time.Time
	expected  bool
}

// addVM creates a machine. start starts its process.
func (d *deployment) addVM(zone string, group int) (*vm, error) {
	n := len(d.vms) + 1
	v := &vm{d: d, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: d.address(20+group, n)}
	v.settings = filepath.Join(d.dir, v.name+".json")
	d.vms = append(d.vms, v)
	// The machine reaches the store at an address of its own, so that the store can turn it away.
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(d.address(1, n), storePort).String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v.turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		d.store.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	d.onClose(func() { _ = server.Close() })
	return v, nil
}

// writeSettings writes the settings file, like the example in DEPLOY.md.
func (v *vm) writeSettings() error {
	var seeds []string
	zones := map[string]string{}
	for _, other := range v.d.vms {
		// One machine of each zone.
		if zones[other.zone] == "" && len(seeds) < 3 {
			seeds = append(seeds, netip.AddrPortFrom(other.ip, feedPort).String())
		}
		zones[other.zone] = "region"
	}
	at := func(port uint16) string { return netip.AddrPortFrom(v.ip, port).String() }
	n := slices.Index(v.d.vms, v) + 1
	b, err := json.MarshalIndent(map[string]any{
		"node": v.name, "role": "forward", "machineClass": "front", "serves": []string{"front", "control"}, "ip": v.ip.String(),
		"zone": v.zone, "region": "region", "zones": zones,
		"bindAddrs":         map[string]string{"datagramAddr": at(packetPort), "ready": at(readyPort), "control": at(feedPort)},
		"internalPortRange": []int{7720, 7735}, "seeds": seeds, "bootstrap": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cpuSpeedFactor": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "announce", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseDelayS": 2, "stableWindowMs": stableWindow.Milliseconds(), "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
			"lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxSkewMs": 12000, "coldOverage": 1.5, "coldSlack": 5,
			"evacuateMs": 5000, "recoveryS": 12, "reorderMs": 2000, "maxFlowS": 60,
		},
		"hash": "mod", "accessMode": "echo",
		"platform": map[string]any{
			"address": netip.AddrPortFrom(v.d.address(1, n), storePort).String(), "accessMode": "objects", "writesPerS": 400,
			"readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(v.settings, b, 0o600)
}

// start starts the machine's process.
func (v *vm) start() error {
	cmd := exec.Command(v.d.program[0], v.d.program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MANGOWEIR_NODE_FILE=" + v.settings}
	out, err := os.OpenFile(filepath.Join(v.d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one, also if this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.exited, v.startedAt, v.expected = cmd, exited, time.Now(), false
	v.mu.Unlock()
	v.d.record.add("machine %s: process %d started", v.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		v.mu.Lock()
		expected := v.expected
		v.mu.Unlock()
		v.d.record.add("machine %s: process %d ended (%v)", v.name, cmd.Process.Pid, err)
		if !expected {
			v.d.violation("FAULT", "the process of %s ended by itself: %v", v.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process and returns a channel that is closed when the process has ended.
func (v *vm) signal(s syscall.Signal) <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expected = true
	_ = v.cmd.Process.Signal(s)
	v.d.record.add("machine %s: %s", v.name, s)
	return v.exited
}

func (v *vm) kill() {
	v.mu.Lock()
	cmd, exited := v.cmd, v.exited
	v.expected = true
	v.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		<-exited
	}
}

func (v *vm) lastStart() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.startedAt
}

// router is the stand-in for the platform's routers.
type router struct {
	d    *deployment
	conn *net.UDPConn

	mu     sync.Mutex
	misses map[*vm]int
}

// forward sends a packet to a machine of the client's zone, selected by a hash over the machines in rotation.
func (r *router) forward(zone string, b []byte) {
	vms := r.rotation(zone)
	if len(vms) == 0 {
		return
	}
	h := fnv.New32a()
	_, _ = h.Write(b[12:24])
	// Packets to a machine without a process are lost.
	_, _ = r.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(vms[int(h.Sum32()%uint32(len(vms)))].ip, packetPort))
}

// rotation returns the machines of a zone in rotation: those that are ready, all of the zone's if fewer than half are, and
// those of other zones if none is.
func (r *router) rotation(zone string) []*vm {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, ready, others []*vm
	for _, v := range r.d.vms {
		in := r.misses[v] < 2
		switch {
		case v.zone != zone:
			if in {
				others = append(others, v)
			}
			continue
		case in:
			ready = append(ready, v)
		}
		all = append(all, v)
	}
	switch {
	case len(ready) == 0:
		return others
	case 2*len(ready) < len(all):
		return all
	}
	return ready
}

// run asks each machine twice a second whether it is ready, until the deployment is closed.
func (r *router) run() {
	stop := make(chan struct{})
	r.d.onClose(func() { close(stop) })
	for _, v := range r.d.vms {
		r.misses[v] = 2
		go func() {
			c := http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
			for {
				res, err := c.Get("http://" + netip.AddrPortFrom(v.ip, readyPort).String() + "/v1/readiness")
				ok := err == nil && res.StatusCode == http.StatusOK
				if err == nil {
					_ = res.Body.Close()
				}
				r.mu.Lock()
				before := r.misses[v] < 2
				r.misses[v]++
				if ok {
					r.misses[v] = 0
				}
				if after := r.misses[v] < 2; after != before {
					r.d.record.add("machine %s: in rotation: %v", v.name, after)
				}
				r.mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(500 * time.Millisecond):
				}
			}
		}()
	}
}

func (r *router) inRotation(v *vm) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.misses[v] < 2
}

// awaitReady waits until all given machines are in rotation.
func (d *deployment) awaitReady(limit time.Duration, vms ...*vm) error {
	end := time.Now().Add(limit)
	for _, v := range vms {
		for !d.router.inRotation(v) {
			if time.Now().After(end) {
				return fmt.Errorf("machine %s is not ready", v.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// startSmall starts a deployment with zones a, b and c: two machines in zone a, two in b and three in c, seven hosts of the
// service live and eight of photo, one of which is in zone a.
func startSmall(rec *record, coldPerS float64) (*deployment, error) {
	d, err := newDeployment(rec)
	if err != nil {
		return nil, err
	}
	d.coldPerS = coldPerS
	d.writeConfig()
	for _, zone := range []string{"a", "a", "b", "b", "c", "c", "c"} {
		if _, err := d.addVM(zone, int(zone[0]-'a')); err != nil {
			return d, err
		}
	}
	for _, p := range []struct {
		zone, service string
		n             int
	}{{"a", "live", 3}, {"b", "live", 2}, {"c", "live", 2}, {"a", "photo", 1}, {"b", "photo", 4}, {"c", "photo", 3}} {
		for range p.n {
			if _, err := d.addHost(p.zone, p.service); err != nil {
				return d, err
			}
		}
	}
	for _, v := range d.vms {
		if err := v.writeSettings(); err != nil {
			return d, err
		}
		if err := v.start(); err != nil {
			return d, err
		}
	}
	d.router.run()
	if err := d.awaitReady(15*time.Second, d.vms...); err != nil {
		return d, err
	}
	// Machines are in touch a stable window after their start.
	time.Sleep(stableWindow + 500*time.Millisecond)
	return d, nil
}
