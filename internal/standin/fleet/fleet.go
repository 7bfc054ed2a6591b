package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/internal/faultproxy"
	"github.com/mangoweir/mangoweir/internal/standin/objects"
)

// Names and figures of the deployment.
const (
	kindTargets  = "servers"
	kindConfig   = "config"
	kindZonesOut = "evacuations"

	// PacketPort is where VMs and clients take packets.
	PacketPort = 8172
	httpPort   = 8167
	feedPort   = 8166
	hostPort   = 8080

	// Heartbeat is the interval at which targets renew their entries.
	Heartbeat = 400 * time.Millisecond
	// ColdStart is how long a target is cold, ColdLimit the new flows that it then bears in a second:
	// coldPerSecond times 1.5 plus ColdSlack.
	ColdStart     = 2 * time.Second
	coldPerSecond = 2
	ColdSlack     = 5
	ColdLimit     = coldPerSecond*1.5 + ColdSlack
	// lapseCheck is how often entries that were not renewed are removed.
	lapseCheck = 200 * time.Millisecond
)

// Options describe a fleet.
type Options struct {
	// Binary is the program, Dir holds settings and logs.
	Binary, Dir string
	// VMs and Hosts are the numbers in each of the zones, Clients that of all clients.
	Zones, VMs, Targets, Clients int
	Seed                         uint64
}

// Fleet is a running deployment.
type Fleet struct {
	Options
	Store   *objects.Store
	Checker *Checker
	VMs     []*VM

	// network is the second byte of all loopback addresses of this fleet, and lock the listener that
	// keeps others from using it.
	network byte
	lock    net.Listener
	zones   []string
	dir     string
	router  *router
	server  *http.Server
	clients []*client
	stop    chan struct{}
	done    sync.WaitGroup

	mu       sync.Mutex
	hosts    []*Target
	version  uint64
	routes   map[netip.AddrPort]string    // service by route in force
	dropped  map[netip.AddrPort]time.Time // time of the acknowledgement
	zonesOut map[string]time.Time
	nextHost int
}

// Services of a fleet.
var services = []string{"desk", "intake"}

// Start starts a fleet; its clients wait for StartClients.
func Start(o Options) (*Fleet, error) {
	f := &Fleet{
		Options: o, Store: objects.New(), Checker: NewChecker(), dir: o.Dir, stop: make(chan struct{}),
		routes: map[netip.AddrPort]string{}, dropped: map[netip.AddrPort]time.Time{}, zonesOut: map[string]time.Time{},
	}
	for z := range o.Zones {
		f.zones = append(f.zones, fmt.Sprintf("zone-%c", 'a'+z))
	}
	if err := f.takeNetwork(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", netip.AddrPortFrom(f.address(1, 1), 0).String())
	if err != nil {
		return nil, err
	}
	f.server = &http.Server{Handler: f.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(l) }()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.address(2, 1), 0)))
	if err != nil {
		return nil, err
	}
	f.router = &router{
		fleet: f, conn: conn, impair: faultproxy.NewImpairment(o.Seed), misses: map[*VM]int{},
		http: http.Client{Timeout: probeInterval},
	}
	for i, service := range services {
		f.routes[f.routeAddr(i)] = service
	}
	f.writeConfig()
	store := l.Addr().(*net.TCPAddr).AddrPort()
	for z := range o.Zones {
		for n := range o.VMs {
			vm, err := newVM(f, z, n+1, store)
			if err != nil {
				return nil, err
			}
			f.VMs = append(f.VMs, vm)
			f.router.misses[vm] = probeMisses
		}
		for range o.Targets {
			if _, err := f.AddTarget(z, services[f.nextHost%4/3], false); err != nil {
				return nil, err
			}
		}
	}
	for _, vm := range f.VMs {
		if err := vm.WriteSettings(ColdSlack); err != nil {
			return nil, err
		}
		go vm.run(o.Binary)
	}
	f.done.Go(func() { f.router.probe(f.stop) })
	f.done.Go(f.lapse)
	return f, nil
}

// StartClients starts the clients: two thirds keep flows open, one third opens one for each request.
func (f *Fleet) StartClients() error {
	for n := range f.Clients {
		c := &client{
			fleet: f, addr: f.address(60+n/200, 1+n%200), zone: f.zones[n%len(f.zones)], kind: kindSafe,
			service: services[n%4/3], number: n,
		}
		if n%3 == 2 {
			c.kind = kindUnsafe
		}
		var err error
		c.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.addr, PacketPort)))
		if err != nil {
			return err
		}
		f.clients = append(f.clients, c)
		go c.receive()
		f.done.Go(func() { c.run(f.stop) })
	}
	return nil
}

// Close ends everything that the fleet started.
func (f *Fleet) Close() {
	close(f.stop)
	f.done.Wait()
	for _, vm := range f.VMs {
		vm.stop()
	}
	for _, h := range f.Targets() {
		h.Kill()
	}
	for _, c := range f.clients {
		_ = c.conn.Close()
	}
	f.router.impair.Close()
	_ = f.router.conn.Close()
	_ = f.server.Close()
	_ = f.lock.Close()
}

// takeNetwork finds loopback addresses that no other fleet of this machine uses.
func (f *Fleet) takeNetwork() error {
	const first, last, lockPort = 10, 250, 8165
	for _, n := range rand.Perm(last - first) {
		f.network = byte(first + n)
		l, err := net.Listen("tcp4", netip.AddrPortFrom(f.address(255, 254), lockPort).String())
		if err == nil {
			f.lock = l
			return nil
		}
	}
	return errors.New("no free loopback network is left: end other fleets")
}

// address returns a loopback address of the fleet.
func (f *Fleet) address(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.network, byte(group), byte(n)})
}

func (f *Fleet) routeAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443)
}

// lapse removes entries that were not renewed.
func (f *Fleet) lapse() {
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(lapseCheck):
			f.Store.Expire(kindTargets)
		}
	}
}

// AddTarget starts one more target in the z-th zone.
func (f *Fleet) AddTarget(z int, service string, cold bool) (*Target, error) {
	f.mu.Lock()
	f.nextHost++
	n := f.nextHost
	h := &Target{
		fleet: f, ID: "i-" + strconv.FormatUint(uint64(0x1000+n), 16), Zone: f.zones[z], Service: service,
		addr: netip.AddrPortFrom(f.address(30+z, n%250+1), hostPort), number: uint64(0x1000 + n),
	}
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	return h, h.Start(cold)
}

// Targets returns all targets that ever were.
func (f *Fleet) Targets() []*Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Target(nil), f.hosts...)
}

func (f *Fleet) host(id string) *Target {
	for _, h := range f.Targets() {
		if h.ID == id {
			return h
		}
	}
	return nil
}

// writeConfig writes the next configuration.
func (f *Fleet) writeConfig() {
	f.version += 3
	var routes, svcs []map[string]any
	for addr, service := range f.routes {
		routes = append(routes, map[string]any{
			"name": "r-" + addr.Addr().String(), "hostname": addr.Addr().String(),
			"pathPrefix": fmt.Sprintf("/%d/", addr.Port()), "service": service, "type": "safe", "timeoutMs": 4000,
		})
	}
	for _, s := range services {
		svcs = append(svcs, map[string]any{
			"name": s, "healthCheckPath": "/health", "maxConnections": 2000,
			"coldStartS": ColdStart.Seconds(), "coldPerS": coldPerSecond,
		})
	}
	f.Store.Put(kindConfig, "main", map[string]any{
		"version": f.version, "routes": routes, "services": svcs, "limits": map[string]any{"idleTimeoutMs": 15000},
	})
}

// ChangeRoute adds a new address for a service and drops its oldest one.
func (f *Fleet) ChangeRoute(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var old netip.AddrPort
	for addr, s := range f.routes {
		if s == service {
			old = addr
		}
	}
	f.routes[f.routeAddr(len(f.routes)+len(f.dropped))] = service
	delete(f.routes, old)
	f.writeConfig()
	f.dropped[old] = time.Now()
}

// ConfigVersion returns the version of the newest configuration.
func (f *Fleet) ConfigVersion() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.version)
}

// route returns an address in force of a service.
func (f *Fleet) route(service string) netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	for addr, s := range f.routes {
		if s == service {
			return addr
		}
	}
	return netip.AddrPort{}
}

// droppedSince returns when a route was dropped.
func (f *Fleet) droppedSince(route netip.AddrPort) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.dropped[route]
	return at, ok
}

// TakeZoneOut takes the z-th zone out, BringZoneBack brings it back.
func (f *Fleet) TakeZoneOut(z int) {
	f.Store.Put(kindZonesOut, f.zones[z], map[string]any{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zonesOut[f.zones[z]] = time.Now()
}

// BringZoneBack brings a zone back whose targets have turned cold.
func (f *Fleet) BringZoneBack(z int) {
	for _, h := range f.Targets() {
		if h.Zone == f.zones[z] && h.Alive() {
			h.mu.Lock()
			h.coldUntil, h.coldTimes = time.Now().Add(ColdStart), nil
			h.mu.Unlock()
		}
	}
	f.mu.Lock()
	delete(f.zonesOut, f.zones[z])
	f.mu.Unlock()
	f.Store.Remove(kindZonesOut, f.zones[z])
}

func (f *Fleet) zoneOutSince(zone string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.zonesOut[zone]
	return at, ok
}

// SetPacketFaults impairs the packets from clients to VMs.
func (f *Fleet) SetPacketFaults(faults faultproxy.Faults) error { return f.router.impair.Set(faults) }
