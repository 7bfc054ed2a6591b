package e2e

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/faultproxy"
	"github.com/mangoweir/mangoweir/internal/standin/client"
	"github.com/mangoweir/mangoweir/internal/standin/fabric"
	"github.com/mangoweir/mangoweir/internal/standin/platform"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// Sizes of the stand-ins of a deployment.
const (
	slots       = 4
	serviceTime = 10 * time.Millisecond
	zoneCount   = 2
)

// deployment has stand-ins in the test process, and entry VMs as separate processes.
type deployment struct {
	dir      string
	binary   string
	number   int
	zones    []string
	platform *platform.Server
	// platformProxies has the proxies between the VMs of a zone and the platform, by zone.
	platformProxies map[string]*faultproxy.TCP
	fabric          *fabric.Fabric
	targets         []*target.Target
	ledger          *target.Ledger
	vms             []*entryVM

	mu           sync.Mutex
	movesAllowed map[string]bool
	clients      []*client.Client
	stopLoad     context.CancelFunc
	load         sync.WaitGroup
}

// entryVM is an entry VM with its process.
type entryVM struct {
	name, zone string
	// addr is the VM's own loopback address.
	addr      string
	linkProxy *faultproxy.TCP
	cmd       *exec.Cmd
	exited    chan error
	log       *os.File
	running   bool
}

// newDeployment starts the stand-ins of a deployment.
func newDeployment(dir, binary string, number, vms, targets int) (*deployment, error) {
	d := &deployment{dir: dir, binary: binary, number: number, zones: []string{"sfax-medina", "sfax-sakiet"},
		platform: platform.New(), platformProxies: map[string]*faultproxy.TCP{},
		ledger: target.NewLedger(), movesAllowed: map[string]bool{}}
	if err := d.startPlatform(); err != nil {
		return nil, err
	}
	service := netip.MustParseAddrPort(fmt.Sprintf("127.%d.0.1:5683", number))
	var err error
	if d.fabric, err = fabric.Start(fabric.Options{Services: []netip.AddrPort{service}, Seed: 1}); err != nil {
		return nil, err
	}
	for i := range targets {
		if err := d.startTarget(i, service); err != nil {
			return nil, err
		}
	}
	for i := range vms {
		v := &entryVM{name: fmt.Sprintf("vm-%d", i+1), zone: d.zones[i%zoneCount],
			addr: fmt.Sprintf("127.%d.10.%d", number, i+1)}
		peerAddr := netip.MustParseAddrPort(v.addr + ":7400")
		if v.linkProxy, err = faultproxy.ListenTCP(peerAddr); err != nil {
			return nil, err
		}
		d.vms = append(d.vms, v)
	}
	return d, d.writeManifest(service)
}

// startPlatform starts the platform and a proxy to it for each zone, and writes the platform's URL to
// a file.
func (d *deployment) startPlatform() error {
	url, err := d.platform.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(url[len("http://"):])
	if err != nil {
		return err
	}
	for _, z := range d.zones {
		if d.platformProxies[z], err = faultproxy.ListenTCP(addr); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(d.dir, "platform-url"), []byte(url), 0o600)
}

func (d *deployment) startTarget(i int, service netip.AddrPort) error {
	var times [core.NumClasses]time.Duration
	for c := range times {
		times[c] = serviceTime
	}
	t, err := target.Start(target.Options{
		Name: fmt.Sprintf("ledger-desk-%02d", i+1), Zone: d.zones[i%zoneCount],
		Addr:    netip.MustParseAddrPort(fmt.Sprintf("127.%d.20.%d:5683", d.number, i+1)),
		Service: service, Slots: slots, ServiceTime: times, ReportsLoad: true, Ledger: d.ledger,
		Cold: target.Cold{InitialSlots: 1, Warmup: 2 * time.Second}, Seed: uint64(i),
	})
	if err == nil {
		d.targets = append(d.targets, t)
	}
	return err
}

// writeManifest writes the manifest that scripts apply.
func (d *deployment) writeManifest(service netip.AddrPort) error {
	type object = map[string]any
	var zones, targets []object
	for _, z := range d.zones {
		zones = append(zones, object{"name": z})
	}
	for _, t := range d.targets {
		targets = append(targets, object{"name": t.Name(), "address": t.Addr().String(), "zone": t.Zone(),
			"slots": slots, "connections": 2000, "reportsLoad": true})
	}
	return d.writeJSON("manifest.json", object{"deployment": "sfax", "zones": zones, "services": []object{{
		"name": "ledger-desk", "address": service.String(), "targets": targets,
		"contract": object{"coldLimit": 1, "ramp": "3s"},
	}}})
}

func (d *deployment) writeJSON(name string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(d.dir, name), text, 0o600)
}

// vm returns the VM with the given name.
func (d *deployment) vm(name string) (*entryVM, error) {
	for _, v := range d.vms {
		if v.name == name {
			return v, nil
		}
	}
	return nil, fmt.Errorf("no VM %q", name)
}

// start starts a VM's process and adds the VM to the fabric.
func (d *deployment) start(v *entryVM) error {
	type object = map[string]any
	var seeds []object
	for _, o := range d.vms {
		seeds = append(seeds, object{"name": o.name, "zone": o.zone, "address": o.linkProxy.Addr().String()})
	}
	file := v.name + ".json"
	err := d.writeJSON(file, object{"name": v.name, "zone": v.zone, "seeds": seeds,
		"listen": object{"fabric": v.addr + ":5683", "targets": v.addr + ":5684", "peers": v.addr + ":7400",
			"peersAnnounced": v.linkProxy.Addr().String(), "http": v.addr + ":8080"},
		"fabricReturn": d.fabric.ReturnAddr().String(),
		"platform":     object{"url": "http://" + d.platformProxies[v.zone].Addr().String(), "timeout": "1s"},
	})
	if err != nil {
		return err
	}
	if v.log, err = os.OpenFile(filepath.Join(d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	v.cmd = exec.Command(d.binary, "serve", filepath.Join(d.dir, file))
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.exited = make(chan error, 1)
	v.running = true
	go func() { v.exited <- v.cmd.Wait() }()
	d.fabric.AddVM(v.name, netip.MustParseAddrPort(v.addr+":5683"))
	return nil
}

// kill ends a VM's process at once. The VM is removed from the fabric 300 ms later, which stands for
// the time that a fabric takes to detect the loss.
func (d *deployment) kill(v *entryVM) error {
	if err := v.cmd.Process.Kill(); err != nil {
		return err
	}
	<-v.exited
	v.running = false
	time.AfterFunc(300*time.Millisecond, func() { d.fabric.RemoveVM(v.name) })
	return nil
}

// drain stops a VM as planned. It returns an error when the process does not end within the limit or
// ends with an exit code other than 0.
func (d *deployment) drain(v *entryVM, limit time.Duration) error {
	d.fabric.RemoveVM(v.name)
	if err := v.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-v.exited:
		v.running = false
		return err
	case <-time.After(limit):
		return fmt.Errorf("%s has not ended within %v of the start of its drain", v.name, limit)
	}
}

// allowMoves sets whether flows may move away from the targets of a zone, and records at these targets
// whether the zone is out of service.
func (d *deployment) allowMoves(zone string, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.movesAllowed[zone] = on
	for _, t := range d.targets {
		if t.Zone() == zone {
			t.SetZoneOut(on)
		}
	}
}

// startLoad starts clients with live feeds, reads and postings.
func (d *deployment) startLoad(n int) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.stopLoad = cancel
	for i := range n {
		c, err := client.Start(client.Options{
			Name: fmt.Sprintf("treasurer-%d", i), Service: d.fabric.ServiceAddrs()[0], Seed: uint64(i),
			SilenceLimit: 10 * time.Second,
			MoveAllowed: func(_, zone string, _ time.Time) bool {
				d.mu.Lock()
				defer d.mu.Unlock()
				return d.movesAllowed[zone]
			},
		})
		if err != nil {
			cancel()
			return err
		}
		d.clients = append(d.clients, c)
		d.load.Go(func() {
			c.Run(ctx, client.Plan{Feed: true, ReadEvery: time.Second, PostEvery: 700 * time.Millisecond})
		})
	}
	return nil
}

// endLoad ends the clients' requests and returns their counts.
func (d *deployment) endLoad() client.Stats {
	if d.stopLoad != nil {
		d.stopLoad()
		d.load.Wait()
	}
	return d.stats()
}

// stats returns the sum of the counts of all clients.
func (d *deployment) stats() client.Stats {
	var sum client.Stats
	for _, c := range d.clients {
		sum.Add(c.Stats())
	}
	return sum
}

// close stops all processes and stand-ins; it is called at the end of a script, whatever its outcome.
func (d *deployment) close() error {
	d.endLoad()
	var errs []error
	for _, c := range d.clients {
		c.Close()
	}
	for _, v := range d.vms {
		if v.running {
			// A suspended process is resumed first, so that it receives the signal.
			_ = v.cmd.Process.Signal(syscall.SIGCONT)
			errs = append(errs, v.cmd.Process.Kill())
			<-v.exited
		}
		v.linkProxy.Close()
	}
	d.fabric.Close()
	for _, t := range d.targets {
		t.Close()
	}
	for _, p := range d.platformProxies {
		p.Close()
	}
	errs = append(errs, d.platform.Close())
	return errors.Join(errs...)
}
