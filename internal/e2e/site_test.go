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
	"github.com/mangoweir/mangoweir/internal/standin/caller"
	"github.com/mangoweir/mangoweir/internal/standin/fabric"
	"github.com/mangoweir/mangoweir/internal/standin/platform"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// Sizes of the stand-ins.
const (
	slots       = 4
	serviceTime = 10 * time.Millisecond
	zoneCount   = 2
)

// site is one deployment: stand-ins in the test process and VMs as processes of their own.
type site struct {
	dir      string
	binary   string
	number   int
	zones    []string
	platform *platform.Server
	// platformLinks has the proxy between each zone's VMs and the platform.
	platformLinks map[string]*faultproxy.TCP
	fabric        *fabric.Fabric
	targets       []*target.Target
	ledger        *target.Ledger
	vms           []*process

	mu       sync.Mutex
	excused  map[string]bool
	callers  []*caller.Caller
	stopLoad context.CancelFunc
	load     sync.WaitGroup
}

// process is an entry VM.
type process struct {
	name, zone string
	// addr is the VM's own loopback address.
	addr  string
	link  *faultproxy.TCP
	cmd   *exec.Cmd
	done  chan error
	log   *os.File
	alive bool
}

// newSite starts the stand-ins of a deployment.
func newSite(dir, binary string, number, vms, targets int) (*site, error) {
	s := &site{dir: dir, binary: binary, number: number, zones: []string{"sfax-medina", "sfax-sakiet"},
		platform: platform.New(), platformLinks: map[string]*faultproxy.TCP{},
		ledger: target.NewLedger(), excused: map[string]bool{}}
	if err := s.startPlatform(); err != nil {
		return nil, err
	}
	service := netip.MustParseAddrPort(fmt.Sprintf("127.%d.0.1:5683", number))
	var err error
	if s.fabric, err = fabric.Start(fabric.Options{Services: []netip.AddrPort{service}, Seed: 1}); err != nil {
		return nil, err
	}
	for i := range targets {
		if err := s.startTarget(i, service); err != nil {
			return nil, err
		}
	}
	for i := range vms {
		v := &process{name: fmt.Sprintf("vm-%d", i+1), zone: s.zones[i%zoneCount],
			addr: fmt.Sprintf("127.%d.10.%d", number, i+1)}
		peers := netip.MustParseAddrPort(v.addr + ":7400")
		if v.link, err = faultproxy.ListenTCP(peers); err != nil {
			return nil, err
		}
		s.vms = append(s.vms, v)
	}
	return s, s.writeManifest(service)
}

// startPlatform starts the platform with a proxy in front of it for each zone.
func (s *site) startPlatform() error {
	url, err := s.platform.Start("127.0.0.1:0")
	if err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(url[len("http://"):])
	if err != nil {
		return err
	}
	for _, z := range s.zones {
		if s.platformLinks[z], err = faultproxy.ListenTCP(addr); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(s.dir, "platform-url"), []byte(url), 0o600)
}

func (s *site) startTarget(i int, service netip.AddrPort) error {
	var times [core.NumClasses]time.Duration
	for c := range times {
		times[c] = serviceTime
	}
	t, err := target.Start(target.Options{
		Name: fmt.Sprintf("ledger-desk-%02d", i+1), Zone: s.zones[i%zoneCount],
		Addr:    netip.MustParseAddrPort(fmt.Sprintf("127.%d.20.%d:5683", s.number, i+1)),
		Service: service, Slots: slots, ServiceTime: times, ReportsLoad: true, Ledger: s.ledger,
		Cold: target.Cold{InitialSlots: 1, Warmup: 2 * time.Second}, Seed: uint64(i),
	})
	if err == nil {
		s.targets = append(s.targets, t)
	}
	return err
}

// writeManifest writes the manifest that scripts apply.
func (s *site) writeManifest(service netip.AddrPort) error {
	type object = map[string]any
	var zones, targets []object
	for _, z := range s.zones {
		zones = append(zones, object{"name": z})
	}
	for _, t := range s.targets {
		targets = append(targets, object{"name": t.Name(), "address": t.Addr().String(), "zone": t.Zone(),
			"slots": slots, "connections": 2000, "reportsLoad": true})
	}
	return s.writeJSON("manifest.json", object{"deployment": "sfax", "zones": zones, "services": []object{{
		"name": "ledger-desk", "address": service.String(), "targets": targets,
		"contract": object{"coldLimit": 1, "ramp": "3s"},
	}}})
}

func (s *site) writeJSON(name string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(s.dir, name), text, 0o600)
}

// vm returns the VM with a name.
func (s *site) vm(name string) (*process, error) {
	for _, v := range s.vms {
		if v.name == name {
			return v, nil
		}
	}
	return nil, fmt.Errorf("no VM %q", name)
}

// start starts a VM's process and lets the fabric hand it packets.
func (s *site) start(v *process) error {
	type object = map[string]any
	var seeds []object
	for _, o := range s.vms {
		seeds = append(seeds, object{"name": o.name, "zone": o.zone, "address": o.link.Addr().String()})
	}
	file := v.name + ".json"
	err := s.writeJSON(file, object{"name": v.name, "zone": v.zone, "seeds": seeds,
		"listen": object{"fabric": v.addr + ":5683", "targets": v.addr + ":5684", "peers": v.addr + ":7400",
			"peersAnnounced": v.link.Addr().String(), "http": v.addr + ":8080"},
		"fabricReturn": s.fabric.ReturnAddr().String(),
		"platform":     object{"url": "http://" + s.platformLinks[v.zone].Addr().String(), "timeout": "1s"},
	})
	if err != nil {
		return err
	}
	if v.log, err = os.OpenFile(filepath.Join(s.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	v.cmd = exec.Command(s.binary, "serve", filepath.Join(s.dir, file))
	v.cmd.Stdout, v.cmd.Stderr = v.log, v.log
	if err := v.cmd.Start(); err != nil {
		return err
	}
	v.done = make(chan error, 1)
	v.alive = true
	go func() { v.done <- v.cmd.Wait() }()
	s.fabric.AddVM(v.name, netip.MustParseAddrPort(v.addr+":5683"))
	return nil
}

// kill ends a VM's process at once; the fabric notices after a moment.
func (s *site) kill(v *process) error {
	if err := v.cmd.Process.Kill(); err != nil {
		return err
	}
	<-v.done
	v.alive = false
	time.AfterFunc(300*time.Millisecond, func() { s.fabric.RemoveVM(v.name) })
	return nil
}

// drain makes a planned stop and fails when the process does not end with exit code 0.
func (s *site) drain(v *process, limit time.Duration) error {
	s.fabric.RemoveVM(v.name)
	if err := v.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-v.done:
		v.alive = false
		return err
	case <-time.After(limit):
		return fmt.Errorf("%s has not drained within %v", v.name, limit)
	}
}

// excuse says whether flows may leave the targets of a zone.
func (s *site) excuse(zone string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.excused[zone] = on
	for _, t := range s.targets {
		if t.Zone() == zone {
			t.SetZoneOut(on)
		}
	}
}

// startLoad starts callers with live feeds, reads and postings.
func (s *site) startLoad(n int) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.stopLoad = cancel
	for i := range n {
		c, err := caller.Start(caller.Options{
			Name: fmt.Sprintf("treasurer-%d", i), Service: s.fabric.ServiceAddrs()[0], Seed: uint64(i),
			SilenceLimit: 10 * time.Second,
			Excused: func(_, zone string, _ time.Time) bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.excused[zone]
			},
		})
		if err != nil {
			cancel()
			return err
		}
		s.callers = append(s.callers, c)
		s.load.Go(func() {
			c.Run(ctx, caller.Plan{Feed: true, ReadEvery: time.Second, PostEvery: 700 * time.Millisecond})
		})
	}
	return nil
}

// endLoad ends the callers' requests and returns their counts.
func (s *site) endLoad() caller.Stats {
	if s.stopLoad != nil {
		s.stopLoad()
		s.load.Wait()
	}
	return s.stats()
}

// stats returns the counts of all callers.
func (s *site) stats() caller.Stats {
	var sum caller.Stats
	for _, c := range s.callers {
		sum.Add(c.Stats())
	}
	return sum
}

// close ends everything; it is called at the end of a script, whatever its outcome.
func (s *site) close() error {
	s.endLoad()
	var errs []error
	for _, c := range s.callers {
		c.Close()
	}
	for _, v := range s.vms {
		if v.alive {
			// A frozen process gets its signal when it goes on.
			_ = v.cmd.Process.Signal(syscall.SIGCONT)
			errs = append(errs, v.cmd.Process.Kill())
			<-v.done
		}
		v.link.Close()
	}
	s.fabric.Close()
	for _, t := range s.targets {
		t.Close()
	}
	for _, p := range s.platformLinks {
		p.Close()
	}
	errs = append(errs, s.platform.Close())
	return errors.Join(errs...)
}
