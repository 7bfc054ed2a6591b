//go:build review

// Command standin2 runs a case of the second review: real processes of the system on loopback addresses, with stand-ins for the
// platform's store, routers, clients, hosts and operator. Its exit code is 1 when the rule was broken, 0 when it held, and 2 when
// the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"syscall"
	"time"
)

// outage is whether the store is down while a host restarts in the case cold-from-far.
var outage = flag.Bool("outage", true, "whether the disruption of the case cold-from-far includes the store's outage")

func main() {
	var (
		name    = flag.String("case", "", "name of the case")
		binary  = flag.String("binary", "target/mangoweir", "program of the deploy file")
		record  = flag.String("record", "record.txt", "file for the record")
		trouble = flag.Bool("trouble", true, "whether the disruptions happen")
	)
	flag.Parse()
	run, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		os.Exit(2)
	}
	os.Exit(run(*binary, *record, *trouble))
}

var cases = map[string]func(binary, record string, trouble bool) int{
	"service-left-out": serviceLeftOut,
	"cold-from-far":    coldFromFar,
	"reader-restarts":  readerRestarts,
}

// finish ends a run and returns its exit code.
func (w *world) finish() int {
	w.close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line("outcomes  %v, %d breaks", w.outcomes, w.breaks)
	fmt.Printf("outcomes %v, %d breaks\n", w.outcomes, w.breaks)
	switch {
	case w.failures > 0 || w.outcomes[answered] == 0:
		return 2
	case w.breaks > 0:
		return 1
	}
	return 0
}

func failed(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 2
}

// serviceLeftOut sends the new flows of a route to another service. The desired state no longer names the service that the route's
// open flows are at. Then three VMs are stopped and started, one after the other.
func serviceLeftOut(binary, record string, trouble bool) int {
	w, err := newWorld(binary, record, layout{
		zones: []string{"randstad-ut", "randstad-dt", "randstad-hl"}, vms: []int{3, 2, 2},
		hosts: map[string][]int{"desk": {3, 3, 2}, "desk2": {3, 3, 2}, "photos": {2, 1, 1}},
	})
	if err != nil {
		return failed(err)
	}
	w.writeConfig(7, []routeSpec{{"desk", "desk"}, {"photos", "photos"}}, []string{"desk", "photos"})
	if !w.awaitReady() {
		w.fatal("not all machines are ready")
		return w.finish()
	}
	for n := range 60 {
		c, err := w.addClient(n%3, "desk")
		if err != nil {
			return failed(err)
		}
		w.wait.Go(func() { c.hold(w.stop, 800*time.Millisecond) })
	}
	time.Sleep(6 * time.Second)
	w.writeConfig(10, []routeSpec{{"desk", "desk2"}, {"photos", "photos"}}, []string{"desk2", "photos"})
	time.Sleep(5 * time.Second)
	if trouble {
		for _, i := range []int{0, 3, 5} {
			w.record("operator  stops %s (SIGTERM)", w.vms[i].name)
			w.vms[i].signal(syscall.SIGTERM)
			time.Sleep(1300 * time.Millisecond)
		}
	}
	time.Sleep(14 * time.Second)
	return w.finish()
}

// coldFromFar restarts a host under its id while the store is down. Clients of a zone without hosts of the service open flows at it.
func coldFromFar(binary, record string, trouble bool) int {
	w, err := newWorld(binary, record, layout{
		zones: []string{"randstad-ut", "randstad-dt", "randstad-hl"}, vms: []int{2, 2, 3},
		hosts: map[string][]int{"desk": {1, 2, 0}, "photos": {2, 1, 1}},
	})
	if err != nil {
		return failed(err)
	}
	w.writeConfig(7, []routeSpec{{"desk", "desk"}, {"photos", "photos"}}, []string{"desk", "photos"})
	if !w.awaitReady() {
		w.fatal("not all machines are ready")
		return w.finish()
	}
	for n := range 120 {
		z := 2
		if n >= 100 {
			z = n % 2
		}
		c, err := w.addClient(z, "desk")
		if err != nil {
			return failed(err)
		}
		w.wait.Go(func() { c.visit(w.stop, time.Second) })
	}
	time.Sleep(8 * time.Second)
	var crashed *host
	for _, h := range w.hosts {
		if h.service == "desk" && h.zone == "randstad-dt" {
			crashed = h
		}
	}
	if !trouble {
		time.Sleep(9 * time.Second)
		return w.finish()
	}
	w.store.setDown(*outage)
	w.record("platform  the store is down: %v", *outage)
	time.Sleep(500 * time.Millisecond)
	w.record("host      %s crashes", crashed.id)
	crashed.kill()
	time.Sleep(30 * time.Millisecond)
	if err := crashed.start(true); err != nil {
		return failed(err)
	}
	w.record("host      %s starts again, cold for %s", crashed.id, coldStart)
	time.Sleep(4400 * time.Millisecond)
	w.store.setDown(false)
	time.Sleep(4 * time.Second)
	return w.finish()
}

// readerRestarts kills the VM that reads the store for a zone right after the zone was taken back, with cold hosts.
func readerRestarts(binary, record string, trouble bool) int {
	w, err := newWorld(binary, record, layout{
		zones: []string{"randstad-ut", "randstad-dt", "randstad-hl"}, vms: []int{3, 2, 2},
		hosts: map[string][]int{"desk": {2, 2, 2}, "photos": {2, 1, 1}},
	})
	if err != nil {
		return failed(err)
	}
	w.store.staleness = time.Second
	w.writeConfig(7, []routeSpec{{"desk", "desk"}, {"photos", "photos"}}, []string{"desk", "photos"})
	if !w.awaitReady() {
		w.fatal("not all machines are ready")
		return w.finish()
	}
	for n := range 280 {
		z := 0
		if n >= 240 {
			z = 1 + n%2
		}
		c, err := w.addClient(z, "desk")
		if err != nil {
			return failed(err)
		}
		w.wait.Go(func() { c.visit(w.stop, time.Second) })
	}
	time.Sleep(6 * time.Second)
	zone := w.zones[0]
	w.takeOut(zone)
	time.Sleep(5600 * time.Millisecond)
	w.takeBack(zone)
	if reader := w.reader(zone); trouble && reader != nil {
		time.Sleep(20 * time.Millisecond)
		w.record("machine   %s, the reader of %s, is killed", reader.name, zone)
		reader.signal(syscall.SIGKILL)
	}
	time.Sleep(5 * time.Second)
	return w.finish()
}
