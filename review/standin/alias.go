//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// runAlias: a host crashes and starts again under its id. Clients open flows to it before its first check-in of the new
// lifetime. The machines are then stopped and started in turn, and the clients use their flows again.
func runAlias(rec *record, trouble bool) (bool, error) {
	d, err := startSmall(rec, 0)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	// The only photo host in zone a.
	var crashed *host
	for _, h := range d.hosts {
		if h.zone == "a" && h.service == "photo" {
			crashed = h
		}
	}
	if trouble {
		rec.add("host %s crashes", crashed.id)
		crashed.crash()
		time.Sleep(100 * time.Millisecond)
		rec.add("host %s starts again under its id; its first check-in follows within a heartbeat", crashed.id)
		if err := crashed.start(600*time.Millisecond, coldStart); err != nil {
			return false, err
		}
	}
	time.Sleep(50 * time.Millisecond)
	flows := openFlows(d, 60, "first")
	time.Sleep(time.Second)
	// Planned work: the two machines of zone a are stopped and started in turn.
	for _, v := range d.vms[:2] {
		<-v.signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
		if err := v.start(); err != nil {
			return false, err
		}
		if err := d.awaitReady(5*time.Second, v); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(d.vms[1].lastStart().Add(stableWindow + 700*time.Millisecond)))
	return useFlows(d, flows, crashed.id)
}

// openFlows opens flows of clients in zone a to the photo service, a millisecond apart, and sends a request on each. They are
// so many that the hosts of other zones are busy and the host of zone a, which is cold, takes some.
func openFlows(d *deployment, n int, name string) []*clientFlow {
	var mu sync.Mutex
	var flows []*clientFlow
	var wg sync.WaitGroup
	for i := range n {
		c, err := d.newClient("a", 1+i)
		if err != nil {
			d.record.add("cannot create a client: %v", err)
			continue
		}
		wg.Go(func() {
			f := c.open(d.route(1))
			if f == nil {
				d.record.add("flow %d of %s did not open", i, name)
				return
			}
			id := fmt.Sprintf("%s-%d", name, i)
			if !f.request(id, 60, 4*time.Second) {
				d.record.add("request %s was not answered (reset by: %q)", id, f.reset)
				return
			}
			d.record.add("flow %s opened; host %s answered request %s", f.local, f.host, id)
			mu.Lock()
			flows = append(flows, f)
			mu.Unlock()
		})
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	return flows
}

// openBurst opens flows of clients in zone a to the service live at the same time and sends a request on each, so that some
// flows go to other zones.
func openBurst(d *deployment, n int) []*clientFlow {
	var mu sync.Mutex
	var flows []*clientFlow
	var wg sync.WaitGroup
	for i := range n {
		c, err := d.newClient("a", 1+i)
		if err != nil {
			d.record.add("cannot create a client: %v", err)
			continue
		}
		wg.Go(func() {
			f := c.open(d.route(0))
			id := fmt.Sprintf("first-%d", i)
			if f == nil || !f.request(id, 60, 4*time.Second) {
				d.record.add("request %s was not answered", id)
				return
			}
			mu.Lock()
			flows = append(flows, f)
			mu.Unlock()
		})
	}
	wg.Wait()
	return flows
}

// useFlows sends another request on each flow and checks that no flow is reset although its host runs. At least one flow
// must be at the given host.
func useFlows(d *deployment, flows []*clientFlow, hostID string) (bool, error) {
	var wg sync.WaitGroup
	at := 0
	for i, f := range flows {
		if f.host == hostID {
			at++
		}
		wg.Go(func() {
			id := fmt.Sprintf("second-%d", i)
			idle, age, before := time.Since(f.lastPacket), time.Since(f.openedAt), f.host
			if idle > idleTimeout || age > time.Minute {
				d.record.add("flow %s is too old to be used", f.local)
				return
			}
			d.record.add("flow %s at host %s sends request %s after a pause of %.1f s", f.local, before, id, idle.Seconds())
			switch {
			case f.request(id, 15, 8*time.Second):
				d.record.add("request %s was answered by host %s", id, f.host)
			case f.reset == "system":
				d.violation("FLOW", "flow %s at host %s, which runs, was reset by the system; request %s was not answered", f.local, before, id)
			default:
				d.record.add("request %s was not answered (reset by: %q)", id, f.reset)
			}
		})
	}
	wg.Wait()
	if at == 0 {
		return d.broken(), errors.New("no flow was opened at the host of the case")
	}
	return d.broken(), nil
}
