package forward

import "time"

const (
	// remoteMargin is the part of a route's latency objective by which the response time must be shorter in another zone before a
	// flow goes there.
	remoteMargin = 1.0 / 8
	// maxRemoteShare is the largest probability with which a flow leaves a zone because of its load. The flows that stay show when
	// the zone has recovered.
	maxRemoteShare = 0.9
	// elsewhereShare is the part of the flows that give way in their zone and are offered to another one. A zone is offered none while
	// more than maxElsewhereRejected of its requests are rejected.
	elsewhereShare       = 0.5
	maxElsewhereRejected = 0.02
)

// leavesZone reports whether a flow goes to another zone, because its targets respond sooner. The probability rises with the
// difference, so that the VMs of a zone do not all leave it at the same time. Flows of routes without a latency objective stay, as
// nothing tells from which difference on it matters.
func (f *Forwarder) leavesZone(local, remote candidate, flow newFlow) bool {
	if flow.work == 0 || flow.latencyObjective == 0 || remote.suspected {
		return false
	}
	margin := remoteMargin * float64(flow.latencyObjective)
	localTime, remoteTime := local.slowness*float64(flow.work), remote.slowness*float64(flow.work)
	if localTime <= remoteTime+margin {
		return false
	}
	return f.random.Float64() < min((localTime-remoteTime-margin)/localTime, maxRemoteShare)
}

// placeElsewhere returns a target of another zone for a flow that gives way to more urgent ones in its own, or nil. The zone with the
// most callers would otherwise refuse flows while others have capacity. As all VMs of a zone start to refuse at the same time and learn
// only from their own flows what the other zones can take, only a part of the flows goes there.
func (f *Forwarder) placeElsewhere(service *Service, flow newFlow, now time.Duration) *Target {
	if len(service.Local) == 0 || f.random.Float64() >= elsewhereShare {
		return nil
	}
	c := f.best(service.Remote, flow, now)
	if c.target == nil || c.suspected || c.passedOver || c.slowness > loadedSlowness ||
		f.shared.table.Rejected(c.target.LoadGroup, now) > maxElsewhereRejected {
		return nil
	}
	return c.target
}
