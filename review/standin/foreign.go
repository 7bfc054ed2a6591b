//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// runForeign: while clients wait for answers, another writer adds an entry to the store whose service is not named in the
// desired state, with the address of a running host.
func runForeign(rec *record, trouble bool) (bool, error) {
	d, err := startSmall(rec, 0)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := map[string]int{}
	const work, clients = 1200, 12
	for i := range clients {
		c, err := d.newClient("a", 1+i)
		if err != nil {
			return false, err
		}
		wg.Go(func() {
			f := c.open(d.route(0))
			if f == nil {
				rec.add("flow %d did not open", i)
				return
			}
			warmUp, id := fmt.Sprintf("first-%d", i), fmt.Sprintf("second-%d", i)
			if !f.request(warmUp, 15, 4*time.Second) {
				rec.add("request %s was not answered (reset by: %q)", warmUp, f.reset)
				return
			}
			host := f.host
			mu.Lock()
			served[host]++
			mu.Unlock()
			time.Sleep(time.Second)
			switch {
			case f.request(id, work, 8*time.Second):
				rec.add("request %s was answered by host %s", id, f.host)
			case f.reset == "system":
				d.violation("FLOW", "flow %s at host %s, which runs, was reset by the system; request %s was not answered", f.local, host, id)
			default:
				rec.add("request %s was not answered (reset by: %q)", id, f.reset)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	mu.Lock()
	var busiest *host
	for _, h := range d.hosts {
		if busiest == nil || served[h.id] > served[busiest.id] {
			busiest = h
		}
	}
	mu.Unlock()
	if trouble {
		rec.add("another writer adds the entry i-51dec4a0 of the service sidecar with the address of host %s", busiest.id)
		d.store.Put("servers", "i-51dec4a0", map[string]any{
			"service": "sidecar", "address": busiest.addr.String(), "zone": busiest.zone, "version": "v1", "slots": 2, "state": "ready",
			"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
	}
	wg.Wait()
	if served[busiest.id] == 0 {
		return d.broken(), errors.New("no flow was opened at the host of the case")
	}
	return d.broken(), nil
}
