package forward

import "time"

const (
	// minUnopened is the number of flows without an answer, and minUnopenedTime the time since the first of
	// them, after which this VM does not reach the targets of other zones.
	minUnopened     = 5
	minUnopenedTime = 200 * time.Millisecond
)

// remoteReach tracks whether this VM reaches the targets of other zones while no warm target of its own zone may
// get new flows. When the zone is cut off at such a time, only VMs of other zones can serve its clients.
type remoteReach struct {
	// unopened is the number of SYNs to other zones that were retransmitted since a target of another zone last
	// answered, since is the time of the first of them.
	unopened int
	since    time.Duration
}

func (r *remoteReach) reset() { r.unopened = 0 }

func (r *remoteReach) addUnopened(now time.Duration) {
	if r.unopened++; r.unopened == 1 {
		r.since = now
	}
}

// CannotServe reports whether no warm target of this VM's zone may get new flows and no target of another zone
// answers.
func (f *Forwarder) CannotServe(now time.Duration) bool {
	return f.reach.unopened >= minUnopened && now-f.reach.since >= minUnopenedTime
}

// SetRemoteReachable records that a target of another zone has accepted a connection, or that a target of this
// VM's zone may get new flows again.
func (f *Forwarder) SetRemoteReachable() { f.reach.reset() }

// trackReach updates reach by a SYN. first is the flow's state from an earlier transmission, or nil.
func (f *Forwarder) trackReach(service *Service, first *flowState, copies uint32, now time.Duration) {
	if len(service.Local) > 0 {
		f.reach.reset()
		return
	}
	if first == nil || !first.synPending || copies == 0 {
		return
	}
	if t := f.snapshot.Targets[first.load.token]; t != nil && t.Zone != f.zone {
		f.reach.addUnopened(now)
	}
}

// RemoteTargets returns the targets of other zones that may get new flows, unless a service has such targets in
// this VM's zone.
func (s *Snapshot) RemoteTargets() []*Target {
	var all []*Target
	for _, route := range s.Routes {
		for i := range route.Backends {
			if len(route.Backends[i].Service.Local) > 0 {
				return nil
			}
			all = append(all, route.Backends[i].Service.Remote...)
		}
	}
	return all
}
