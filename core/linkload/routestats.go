package linkload

const (
	// windowPackets and packetBytes are the largest number of packets that a client has in flight on a flow, and their size.
	windowPackets = 16
	packetBytes   = 1200
	// windowBytes is the data that a flow with a large request can queue on the link at once. A request that fits into it is sent
	// in one round trip and is no upload.
	windowBytes = windowPackets * packetBytes

	// minRequests is the number of requests from which on a route may count as having large ones, so that a single unusual request
	// does not decide.
	minRequests = 3
	// statsWindow is the number of requests over which the share of large ones is averaged. Earlier requests lose their weight
	// exponentially.
	statsWindow = 64
)

// RouteStats learns whether a route has large requests. The zero value is ready for use.
type RouteStats struct {
	// requests is the number of requests added, at most statsWindow.
	requests int
	// large is the share of requests above windowBytes. The median is above windowBytes if and only if the share is above a half,
	// and unlike a running estimate of the median the share does not depend on how large the first requests were.
	large float64
}

// AddRequest adds the size of a complete request in bytes of data. Sizes that are not positive are ignored.
func (s *RouteStats) AddRequest(bytes int) {
	if bytes <= 0 {
		return
	}
	s.requests = min(s.requests+1, statsWindow)
	value := 0.0
	if bytes > windowBytes {
		value = 1
	}
	s.large += (value - s.large) / float64(s.requests)
}

// Large reports whether the median of the route's recent requests is above 19,200 bytes. It is false until there are 3 requests.
func (s *RouteStats) Large() bool {
	return s.requests >= minRequests && s.large > 0.5
}
