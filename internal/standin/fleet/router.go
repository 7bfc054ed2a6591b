package fleet

import (
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/internal/faultproxy"
)

const (
	// probeInterval is the interval of a router's readiness probes. A VM is out of rotation after
	// maxProbeFailures failed probes in a row.
	probeInterval    = 500 * time.Millisecond
	maxProbeFailures = 2
)

// router sends the packets of clients to VMs.
type router struct {
	fleet  *Fleet
	conn   *net.UDPConn
	faults *faultproxy.Impairment
	http   http.Client

	mu            sync.Mutex
	probeFailures map[*VM]int
}

// forward sends a packet to a VM of the zone. It selects the VM from those in rotation by a hash of the
// packet's addresses and ports.
func (r *router) forward(zone string, b []byte) {
	r.faults.Pass(b, func(b []byte) {
		vms := r.vmsInRotation(zone)
		if len(vms) == 0 {
			return
		}
		h := fnv.New32a()
		_, _ = h.Write(b[12:24])
		// The error is ignored: packets to a VM that is down are lost.
		_, _ = r.conn.WriteToUDPAddrPort(b, vms[int(h.Sum32())%len(vms)].packets())
	})
}

// vmsInRotation returns the VMs that a zone's packets are sent to: the ready VMs, or all VMs of the zone if
// fewer than half of them are ready.
func (r *router) vmsInRotation(zone string) []*VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, ready []*VM
	for _, vm := range r.fleet.VMs {
		if vm.Zone != zone {
			continue
		}
		all = append(all, vm)
		if r.probeFailures[vm] < maxProbeFailures {
			ready = append(ready, vm)
		}
	}
	if 2*len(ready) < len(all) {
		return all
	}
	return ready
}

// probeVMs probes the readiness of all VMs in each probeInterval, until stop is closed.
func (r *router) probeVMs(stop <-chan struct{}) {
	for {
		for _, vm := range r.fleet.VMs {
			go r.probeVM(vm)
		}
		select {
		case <-stop:
			return
		case <-time.After(probeInterval):
		}
	}
}

func (r *router) probeVM(vm *VM) {
	res, err := r.http.Get("http://" + vm.httpAddr() + "/v1/readiness")
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.probeFailures[vm] = 0
	} else {
		r.probeFailures[vm]++
	}
}

// Ready reports whether the last probe of each VM succeeded.
func (f *Fleet) Ready() bool {
	f.router.mu.Lock()
	defer f.router.mu.Unlock()
	for _, vm := range f.VMs {
		if f.router.probeFailures[vm] > 0 {
			return false
		}
	}
	return true
}
