//go:build review

package main

import (
	"errors"
	"slices"
	"time"
)

// runStuck: the store turns the two machines of zone a away for some seconds. Meanwhile a host in each other zone is cut off
// from the machines, with refusals, and reachable again some seconds later. The clients of zone a use their flows to these
// hosts again when all has been calm for longer than a stable window.
func runStuck(rec *record, trouble bool) (bool, error) {
	d, err := startSmall(rec, 0)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return false, err
	}
	turnedAway := d.vms[:2]
	var cut []*host
	for _, zone := range []string{"b", "c"} {
		i := slices.IndexFunc(d.hosts, func(h *host) bool { return h.zone == zone && h.service == "live" })
		cut = append(cut, d.hosts[i])
	}
	if trouble {
		for _, v := range turnedAway {
			rec.add("the store turns machine %s away", v.name)
			v.turnedAway.Store(true)
		}
	}
	time.Sleep(5 * time.Second)
	flows := openBurst(d, 60)
	if trouble {
		for _, h := range cut {
			rec.add("host %s in zone %s is cut off from the machines", h.id, h.zone)
			if err := h.setCut(true); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Second)
	if trouble {
		for _, v := range turnedAway {
			rec.add("the store serves machine %s again", v.name)
			v.turnedAway.Store(false)
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, h := range cut {
			rec.add("host %s can be reached again", h.id)
			if err := h.setCut(false); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(stableWindow + 700*time.Millisecond)
	var kept []*clientFlow
	for _, f := range flows {
		if slices.ContainsFunc(cut, func(h *host) bool { return h.id == f.host }) {
			kept = append(kept, f)
		}
	}
	rec.add("%d of %d flows are at the hosts that were cut off", len(kept), len(flows))
	if len(kept) == 0 {
		return d.broken(), errors.New("no flow was opened at the hosts of the case")
	}
	return useFlows(d, kept, kept[0].host)
}
