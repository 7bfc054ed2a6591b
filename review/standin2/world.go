//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"
)

// Ports, and figures of the settings and of the desired state.
const (
	packetPort  = 8172
	readyPort   = 8167
	controlPort = 8166
	hostPort    = 8080

	heartbeat    = 1200 * time.Millisecond
	stableWindow = 4 * time.Second

	coldStart   = 2 * time.Second
	coldPerS    = 2
	coldOverage = 1.5
	coldSlack   = 5
	// coldLimit is the number of new flows that a cold host may get in a second: coldPerS x coldOverage + coldSlack.
	coldLimit = int(coldPerS*coldOverage + coldSlack)

	hostSlots = 2
	workTime  = 15 * time.Millisecond
)

// world is a small deployment on loopback addresses with real processes of the system.
type world struct {
	dir     string
	network byte
	lock    net.Listener
	zones   []string
	store   *store
	router  *router
	vms     []*vm
	hosts   []*host
	clients []*client
	stop    chan struct{}
	wait    sync.WaitGroup
	begin   time.Time

	mu       sync.Mutex
	out      *os.File
	routes   map[string]netip.AddrPort // by service
	syns     map[string]time.Time
	breaks   int
	failures int
	outcomes map[outcome]int
}

// layout is the number of VMs by zone, and of hosts by service and zone.
type layout struct {
	zones []string
	vms   []int
	hosts map[string][]int
}

func newWorld(binary, record string, l layout) (*world, error) {
	w := &world{
		zones: l.zones, store: newStore(), stop: make(chan struct{}), begin: time.Now(), routes: map[string]netip.AddrPort{},
		syns: map[string]time.Time{}, outcomes: map[outcome]int{},
	}
	var err error
	if w.dir, err = os.MkdirTemp("", "mangoweir-review"); err != nil {
		return nil, err
	}
	if w.out, err = os.Create(record); err != nil {
		return nil, err
	}
	if err = w.reserve(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(w.address(1, 1), 0).String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.address(2, 1), 0)))
	if err != nil {
		return nil, err
	}
	w.router = &router{w: w, conn: conn, http: http.Client{Timeout: probeInterval}, misses: map[*vm]int{}}
	go func() {
		for {
			time.Sleep(200 * time.Millisecond)
			w.store.expire(3 * heartbeat)
		}
	}()
	for service, zones := range l.hosts {
		for z, n := range zones {
			for range n {
				if err := w.addHost(z, service); err != nil {
					return nil, err
				}
			}
		}
	}
	var seeds []string
	for z, n := range l.vms {
		for i := range n {
			v, err := newVM(w, z, i+1)
			if err != nil {
				return nil, err
			}
			w.vms = append(w.vms, v)
			if i == 0 {
				seeds = append(seeds, v.control())
			}
		}
	}
	for _, v := range w.vms {
		if err := v.writeSettings(seeds, listener.Addr().String(), w.zones); err != nil {
			return nil, err
		}
		go v.run(binary)
	}
	w.wait.Go(func() { w.router.probe(w.stop) })
	return w, nil
}

// reserve chooses a loopback network that no other run uses.
func (w *world) reserve() error {
	const lockPort = 8164
	for _, n := range rand.Perm(100) {
		w.network = byte(100 + n)
		l, err := net.Listen("tcp4", netip.AddrPortFrom(w.address(255, 254), lockPort).String())
		if err == nil {
			w.lock = l
			return nil
		}
	}
	return fmt.Errorf("no free loopback network")
}

func (w *world) address(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, byte(group), byte(n)})
}

func (w *world) addHost(z int, service string) error {
	n := len(w.hosts) + 1
	h := &host{
		w: w, id: fmt.Sprintf("i-%x", 0x7f3a9100+n), number: uint64(0x7f3a9100 + n), zone: w.zones[z], service: service,
		addr: netip.AddrPortFrom(w.address(30+z, n), hostPort),
	}
	w.hosts = append(w.hosts, h)
	return h.start(false)
}

// addClient adds a client of a service in a zone.
func (w *world) addClient(z int, service string) (*client, error) {
	n := len(w.clients)
	c := &client{
		w: w, name: fmt.Sprintf("c%d", n), addr: w.address(60+n/200, 1+n%200), zone: w.zones[z], service: service, flows: map[uint16]chan received{},
	}
	var err error
	c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, packetPort)))
	if err != nil {
		return nil, err
	}
	w.clients = append(w.clients, c)
	go c.receive()
	return c, nil
}

// close ends all processes and clients.
func (w *world) close() {
	close(w.stop)
	w.wait.Wait()
	for _, v := range w.vms {
		v.close()
	}
	for _, h := range w.hosts {
		h.kill()
	}
	for _, c := range w.clients {
		_ = c.conn.Close()
	}
	_ = w.router.conn.Close()
	_ = w.lock.Close()
	_ = os.RemoveAll(w.dir)
}

// awaitReady waits until all VMs are ready.
func (w *world) awaitReady() bool {
	for range 100 {
		if w.router.allReady() {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func (w *world) line(format string, args ...any) {
	_, _ = fmt.Fprintf(w.out, "%8.3f %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

// record writes a line to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line(format, args...)
}

// broken records that a rule was broken.
func (w *world) broken(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaks++
	w.line("BROKEN    "+rule+": "+format, args...)
	if w.breaks <= 10 {
		fmt.Printf("%8.3f %s: %s\n", time.Since(w.begin).Seconds(), rule, fmt.Sprintf(format, args...))
	}
}

// fatal records that the case cannot run.
func (w *world) fatal(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures++
	w.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (w *world) count(o outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[o]++
}

func (w *world) route(service string) netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.routes[service]
}

func (w *world) hasRoute(route netip.AddrPort) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.routes {
		if r == route {
			return true
		}
	}
	return false
}

func (w *world) hostAt(addr netip.AddrPort) *host {
	for _, h := range w.hosts {
		if h.addr == addr {
			return h
		}
	}
	return nil
}

// vmAt describes the VM with a packet address.
func (w *world) vmAt(addr netip.AddrPort) string {
	for _, v := range w.vms {
		if v.packets() == addr {
			v.mu.Lock()
			defer v.mu.Unlock()
			return fmt.Sprintf("%s (started %.1f s before)", v.name, time.Since(v.started).Seconds())
		}
	}
	return addr.String()
}

// noteSYN records when a client sent a SYN.
func (w *world) noteSYN(p *packet) {
	if p.flags&flagSYN != 0 {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.syns[synKey(p)] = time.Now()
	}
}

// sentAt returns when the client sent a SYN.
func (w *world) sentAt(p *packet) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.syns[synKey(p)]
}

func synKey(p *packet) string { return fmt.Sprint(p.src, p.ack) }

// routeSpec is a route of the desired state: the service of its clients, and the one that new flows go to.
type routeSpec struct{ client, to string }

// writeConfig writes a desired state with a route for each entry, and with the given services.
func (w *world) writeConfig(version int, routes []routeSpec, services []string) bool {
	var wireRoutes, wireServices []map[string]any
	w.mu.Lock()
	for _, r := range routes {
		addr, ok := w.routes[r.client]
		if !ok {
			addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(1 + len(w.routes))}), 8443)
			w.routes[r.client] = addr
		}
		wireRoutes = append(wireRoutes, map[string]any{
			"name": "r-" + r.client, "hostname": addr.Addr().String(), "pathPrefix": fmt.Sprintf("/%d/", addr.Port()),
			"type": "safe", "timeoutMs": 4000, "targetLatencyMs": 100, "priority": 1, "service": r.to, "maxAttempts": 2,
		})
	}
	w.mu.Unlock()
	for _, s := range services {
		wireServices = append(wireServices, map[string]any{
			"name": s, "healthCheckPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": false,
			"coldStartS": coldStart.Seconds(), "coldPerS": coldPerS,
		})
	}
	w.record("operator  writes version %d: routes %v, services %s", version, routes, strings.Join(services, " "))
	return w.store.put(kindConfig, "main", map[string]any{
		"version": version, "routes": wireRoutes, "services": wireServices,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// takeOut takes a zone out of service.
func (w *world) takeOut(zone string) {
	w.store.put(kindEvacuations, zone, map[string]any{})
	w.record("operator  takes zone %s out", zone)
}

// takeBack takes a zone back into service. Its hosts have become cold just before; their entries show it with their next heartbeat.
func (w *world) takeBack(zone string) {
	for _, h := range w.hosts {
		if h.zone == zone {
			h.mu.Lock()
			h.coldUntil, h.openings = time.Now().Add(coldStart), nil
			h.mu.Unlock()
		}
	}
	w.store.remove(kindEvacuations, zone)
	w.record("operator  takes zone %s back", zone)
}

// reader returns the VM that last wrote to the store under a condition for a zone: the one that the object of the system names.
func (w *world) reader(zone string) *vm {
	w.store.mu.Lock()
	spec := string(w.store.kinds["mangoweir-readers"][zone].Spec)
	w.store.mu.Unlock()
	for _, v := range w.vms {
		if strings.Contains(spec, `"`+v.name+`"`) {
			return v
		}
	}
	return nil
}
