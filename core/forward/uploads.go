package forward

import (
	"time"

	"github.com/mangoweir/mangoweir/core/linkload"
)

// maxSampleTime is the time after which the measurement of a request's size is given up: the client has vanished, or its packets
// reach another VM.
const maxSampleTime = 2 * time.Second

// uploads is what a VM keeps about the large requests of a route.
type uploads struct {
	stats linkload.RouteStats
	// active are the uploads under way through this VM.
	active map[Flow]*linkload.Upload
	sample requestSample
}

// requestSample measures the size of one request at a time.
type requestSample struct {
	state *flowState
	since time.Duration
	// firstSeq is the sequence number of the request's first byte, bytes the size up to the last byte seen.
	firstSeq uint32
	bytes    int
}

// SetLinkCapacity sets the capacity of the VM's link in bits per second; 0 means that it is not known, and nothing is limited.
func (f *Forwarder) SetLinkCapacity(bitsPerSecond float64) { f.link = linkload.New(bitsPerSecond) }

// linkAdmits reports whether a new flow of a route may start now. Flows of routes with large requests wait while the packets of
// uploads under way fill the link: they would delay the packets of all others.
func (f *Forwarder) linkAdmits(r *routeLoad, now time.Duration) bool {
	return !r.uploads.stats.Large() || f.link.Admits(now)
}

// startUpload records that a flow of a route with large requests was placed.
func (f *Forwarder) startUpload(r *routeLoad, flow Flow, now time.Duration) {
	if !r.uploads.stats.Large() {
		return
	}
	if u := r.uploads.active[flow]; u != nil {
		u.Sent(now)
		return
	}
	u := f.link.Started(now)
	if u == nil {
		return
	}
	if r.uploads.active == nil {
		r.uploads.active = map[Flow]*linkload.Upload{}
	}
	for old, other := range r.uploads.active {
		if !other.Counted() {
			delete(r.uploads.active, old)
		}
	}
	r.uploads.active[flow] = u
}

// sentData records a data packet of a request. first is true for the first packet of the request.
func (u *uploads) sentData(header *Header, state *flowState, first bool, now time.Duration) {
	if active := u.active[header.Flow]; active != nil {
		active.Sent(now)
	}
	sample := &u.sample
	switch {
	case first && (sample.state == nil || sample.state == state || now-sample.since >= maxSampleTime):
		// A new request of the same state means that the sampled one was not answered: states of removed flows are used again.
		*sample = requestSample{state: state, since: now, firstSeq: header.Seq, bytes: int(header.Length)}
	case sample.state == state:
		// Retransmitted data must not count again. Sequence numbers wrap around.
		sample.bytes = max(sample.bytes, int(int32(header.Seq-sample.firstSeq))+int(header.Length))
	}
}

// answered records that the request of a flow was answered.
func (u *uploads) answered(state *flowState) {
	if u.sample.state == state {
		u.stats.AddRequest(u.sample.bytes)
		u.sample = requestSample{}
	}
}

// ended records that a flow has no request under way any more.
func (u *uploads) ended(flow Flow) {
	if active := u.active[flow]; active != nil {
		active.Ended()
		delete(u.active, flow)
	}
}
