package fleet

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/internal/faultproxy"
	"github.com/mangoweir/mangoweir/internal/standin/objects"
)

// Names and parameters of the deployment.
const (
	kindTargets  = "servers"
	kindConfig   = "config"
	kindZonesOut = "evacuations"

	// PacketPort is the UDP port at which VMs and clients receive packets.
	PacketPort = 8172
	httpPort   = 8167
	feedPort   = 8166
	targetPort = 8080

	// Heartbeat is the interval at which targets renew their entries in the store.
	Heartbeat = 400 * time.Millisecond
	// ColdStart is how long a target is cold after its start. ColdLimit is the number of new flows per second
	// that it sustains in that time: coldPerSecond times 1.5 plus ColdSlack.
	ColdStart     = 2 * time.Second
	coldPerSecond = 2
	ColdSlack     = 5
	ColdLimit     = coldPerSecond*1.5 + ColdSlack
	// expiryInterval is how often entries that were not renewed are removed.
	expiryInterval = 200 * time.Millisecond
	// copyInterval is how often a copy of the store is kept, maxCopies the number of copies.
	copyInterval = 500 * time.Millisecond
	maxCopies    = 20
)

// Options are the parameters of a fleet.
type Options struct {
	// Binary is the path of the forwarder's program, Dir the directory for settings and logs.
	Binary, Dir string
	// Zones is the number of zones, VMs and Targets are the numbers in each zone, and Clients is the number of
	// all clients.
	Zones, VMs, Targets, Clients int
	Seed                         uint64
}

// Fleet is a running deployment.
type Fleet struct {
	Options
	Store   *objects.Store
	Checker *Checker
	VMs     []*VM

	// networkByte is the second byte of all loopback addresses of this fleet. networkLock is a listener that
	// prevents other fleets from using the same addresses.
	networkByte byte
	networkLock net.Listener
	zones       []string
	dir         string
	router      *router
	server      *http.Server
	clients     []*client
	stop        chan struct{}
	done        sync.WaitGroup

	mu            sync.Mutex
	targets       []*Target
	version       uint64
	routes        map[netip.AddrPort]string    // services by address of the routes in force
	droppedRoutes map[netip.AddrPort]time.Time // when the change was acknowledged
	zonesOut      map[string]time.Time
	targetCount   int
	// copies are copies of the store, the newest one last.
	copies []*objects.Copy
}

// services are the services of a fleet.
var services = []string{"desk", "intake"}

// Start starts a fleet without its clients, which StartClients starts.
func Start(options Options) (*Fleet, error) {
	f := &Fleet{
		Options: options, Store: objects.New(), Checker: NewChecker(), dir: options.Dir, stop: make(chan struct{}),
		routes: map[netip.AddrPort]string{}, droppedRoutes: map[netip.AddrPort]time.Time{}, zonesOut: map[string]time.Time{},
	}
	for z := range options.Zones {
		f.zones = append(f.zones, fmt.Sprintf("zone-%c", 'a'+z))
	}
	if err := f.reserveNetwork(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(f.address(1, 1), 0).String())
	if err != nil {
		return nil, err
	}
	f.server = &http.Server{Handler: f.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(listener) }()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.address(2, 1), 0)))
	if err != nil {
		return nil, err
	}
	f.router = &router{
		fleet: f, conn: conn, faults: faultproxy.NewImpairment(options.Seed), probeFailures: map[*VM]int{},
		http: http.Client{Timeout: probeInterval},
	}
	for i, service := range services {
		f.routes[f.routeAddr(i)] = service
	}
	f.writeConfig()
	storeAddr := listener.Addr().(*net.TCPAddr).AddrPort()
	for z := range options.Zones {
		for n := range options.VMs {
			vm, err := newVM(f, z, n+1, storeAddr)
			if err != nil {
				return nil, err
			}
			f.VMs = append(f.VMs, vm)
			f.router.probeFailures[vm] = maxProbeFailures
		}
		for range options.Targets {
			if _, err := f.AddTarget(z, services[f.targetCount%4/3], false); err != nil {
				return nil, err
			}
		}
	}
	for _, vm := range f.VMs {
		if err := vm.WriteSettings(ColdSlack); err != nil {
			return nil, err
		}
		go vm.run(options.Binary)
	}
	f.done.Go(func() { f.router.probeVMs(f.stop) })
	f.done.Go(f.expireEntries)
	f.done.Go(f.keepCopies)
	return f, nil
}

// StartClients starts the clients: two thirds send many requests on each flow, one third opens a flow for each
// request.
func (f *Fleet) StartClients() error {
	for n := range f.Clients {
		c := &client{
			fleet: f, addr: f.address(60+n/200, 1+n%200), zone: f.zones[n%len(f.zones)], kind: kindSafe,
			service: services[n%4/3], index: n,
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
		f.done.Go(func() { c.sendRequests(f.stop) })
	}
	return nil
}

// Close stops everything that the fleet started.
func (f *Fleet) Close() {
	close(f.stop)
	f.done.Wait()
	for _, vm := range f.VMs {
		vm.stop()
	}
	for _, t := range f.Targets() {
		t.Kill()
	}
	for _, c := range f.clients {
		_ = c.conn.Close()
	}
	f.router.faults.Close()
	_ = f.router.conn.Close()
	_ = f.server.Close()
	_ = f.networkLock.Close()
}

// reserveNetwork reserves loopback addresses that no other fleet on this machine uses.
func (f *Fleet) reserveNetwork() error {
	const first, last, lockPort = 10, 250, 8165
	for _, n := range rand.Perm(last - first) {
		f.networkByte = byte(first + n)
		l, err := net.Listen("tcp4", netip.AddrPortFrom(f.address(255, 254), lockPort).String())
		if err == nil {
			f.networkLock = l
			return nil
		}
	}
	return errors.New("no free loopback network is left: stop other fleets")
}

// address returns a loopback address of the fleet.
func (f *Fleet) address(group, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.networkByte, byte(group), byte(n)})
}

func (f *Fleet) routeAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(n >> 8), byte(n)}), 443)
}

// expireEntries removes entries that were not renewed, until the fleet stops.
func (f *Fleet) expireEntries() {
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(expiryInterval):
			f.Store.Expire(kindTargets)
		}
	}
}

// keepCopies keeps copies of the store until the fleet stops.
func (f *Fleet) keepCopies() {
	for {
		f.mu.Lock()
		f.copies = append(f.copies, f.Store.Copy())
		f.copies = f.copies[max(0, len(f.copies)-maxCopies):]
		f.mu.Unlock()
		select {
		case <-f.stop:
			return
		case <-time.After(copyInterval):
		}
	}
}

// RestoreStore restores the store from a copy that is up to age old. RewriteObjects must be called afterwards.
func (f *Fleet) RestoreStore(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := max(0, len(f.copies)-1-int(age/copyInterval))
	f.Store.Restore(f.copies[i])
	// Later copies belong to the history that the store has lost.
	f.copies = f.copies[:i+1]
}

// RewriteObjects writes again what operators wrote, as far as the store lacks it. Targets do the same with their heartbeats.
func (f *Fleet) RewriteObjects() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putConfig()
	for _, zone := range f.zones {
		if _, out := f.zonesOut[zone]; out {
			f.Store.Put(kindZonesOut, zone, map[string]any{})
		} else {
			f.Store.Remove(kindZonesOut, zone)
		}
	}
}

// AddTarget starts another target in the z-th zone.
func (f *Fleet) AddTarget(z int, service string, cold bool) (*Target, error) {
	f.mu.Lock()
	f.targetCount++
	n := f.targetCount
	t := &Target{
		fleet: f, ID: "i-" + strconv.FormatUint(uint64(0x1000+n), 16), Zone: f.zones[z], Service: service,
		addr: netip.AddrPortFrom(f.address(30+z, n%250+1), targetPort), numericID: uint64(0x1000 + n),
	}
	f.targets = append(f.targets, t)
	f.mu.Unlock()
	return t, t.Start(cold)
}

// Targets returns all targets, including those that have ended.
func (f *Fleet) Targets() []*Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Target(nil), f.targets...)
}

// targetOf returns the target of an open flow: the one that answered it last, or else the one at which it is open; nil if there is
// none.
func (f *Fleet) targetOf(flow *clientFlow) *Target {
	for _, t := range f.Targets() {
		if t.ID == flow.target || flow.target == "" && t.hasOpenFlow(flow.local) {
			return t
		}
	}
	return nil
}

// writeConfig writes the next version of the configuration.
func (f *Fleet) writeConfig() {
	f.version += 3
	f.putConfig()
}

// putConfig writes the present version of the configuration.
func (f *Fleet) putConfig() {
	var routes, svcs []map[string]any
	for _, addr := range slices.SortedFunc(maps.Keys(f.routes), netip.AddrPort.Compare) {
		service := f.routes[addr]
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

// ChangeRoute adds a route with a new address for a service and drops an earlier one.
func (f *Fleet) ChangeRoute(service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var old netip.AddrPort
	for addr, s := range f.routes {
		if s == service {
			old = addr
		}
	}
	f.routes[f.routeAddr(len(f.routes)+len(f.droppedRoutes))] = service
	delete(f.routes, old)
	f.writeConfig()
	f.droppedRoutes[old] = time.Now()
}

// ConfigVersion returns the version of the newest configuration.
func (f *Fleet) ConfigVersion() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.version)
}

// route returns the address of a route in force to a service.
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

// droppedAt returns when a route was dropped, and whether it was.
func (f *Fleet) droppedAt(route netip.AddrPort) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.droppedRoutes[route]
	return at, ok
}

// TakeZoneOut takes the z-th zone out of service. BringZoneBack reverts that.
func (f *Fleet) TakeZoneOut(z int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Store.Put(kindZonesOut, f.zones[z], map[string]any{})
	f.zonesOut[f.zones[z]] = time.Now()
}

// BringZoneBack brings the z-th zone back into service. Its targets are cold then.
func (f *Fleet) BringZoneBack(z int) {
	for _, t := range f.Targets() {
		if t.Zone == f.zones[z] && t.Alive() {
			t.mu.Lock()
			t.coldUntil, t.coldFlowTimes = time.Now().Add(ColdStart), nil
			t.mu.Unlock()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.zonesOut, f.zones[z])
	f.Store.Remove(kindZonesOut, f.zones[z])
}

func (f *Fleet) zoneOutAt(zone string) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.zonesOut[zone]
	return at, ok
}

// SetPacketFaults sets the faults of the path from clients to VMs.
func (f *Fleet) SetPacketFaults(faults faultproxy.Faults) error { return f.router.faults.Set(faults) }
