package link

import "sync/atomic"

// Count is a number of messages and their size in bytes, including the length prefixes of frames.
type Count struct {
	Messages, Bytes uint64
}

// Stats holds counts since the start of a Manager.
type Stats struct {
	// ControlSent and ControlReceived count all messages that are not traffic.
	ControlSent, ControlReceived Count
	// TrafficSent and TrafficReceived count ForwardRequest, RecordStarted, RecordAck, RequestOutcome and
	// FlowLearned.
	TrafficSent, TrafficReceived Count
	// WireSent and WireReceived are the bytes of all connections, including yamux and TLS framing.
	WireSent, WireReceived uint64
	// Links is the number of established links.
	Links int
	// LinksReplaced counts links that were replaced by a new connection.
	LinksReplaced uint64
	// DialsRefused counts dials that the peer's machine refused.
	DialsRefused uint64
	// ConnectionsRefused counts accepted connections that were closed because they were not from a peer,
	// failed TLS, had a wrong name or exceeded the limit of handshakes.
	ConnectionsRefused uint64
	// NoLink, QueueFull and Unencodable count messages that Send dropped.
	NoLink, QueueFull, Unencodable uint64
	// LostInQueue counts messages that were still queued when their link was closed.
	LostInQueue uint64
	// UnknownKinds and Invalid count received messages that were dropped.
	UnknownKinds, Invalid uint64
}

type counter struct{ messages, bytes atomic.Uint64 }

func (c *counter) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(uint64(bytes))
}

func (c *counter) count() Count {
	return Count{Messages: c.messages.Load(), Bytes: c.bytes.Load()}
}

type stats struct {
	controlSent, controlReceived   counter
	trafficSent, trafficReceived   counter
	wireSent, wireReceived         atomic.Uint64
	linksReplaced, dialsRefused    atomic.Uint64
	connectionsRefused             atomic.Uint64
	noLink, queueFull, unencodable atomic.Uint64
	lostInQueue                    atomic.Uint64
	unknownKinds, invalid          atomic.Uint64
}

func (s *stats) sent(traffic bool) *counter {
	if traffic {
		return &s.trafficSent
	}
	return &s.controlSent
}

func (s *stats) received(traffic bool) *counter {
	if traffic {
		return &s.trafficReceived
	}
	return &s.controlReceived
}

func (s *stats) snapshot(links int) Stats {
	return Stats{
		ControlSent:        s.controlSent.count(),
		ControlReceived:    s.controlReceived.count(),
		TrafficSent:        s.trafficSent.count(),
		TrafficReceived:    s.trafficReceived.count(),
		WireSent:           s.wireSent.Load(),
		WireReceived:       s.wireReceived.Load(),
		Links:              links,
		LinksReplaced:      s.linksReplaced.Load(),
		DialsRefused:       s.dialsRefused.Load(),
		ConnectionsRefused: s.connectionsRefused.Load(),
		NoLink:             s.noLink.Load(),
		QueueFull:          s.queueFull.Load(),
		Unencodable:        s.unencodable.Load(),
		LostInQueue:        s.lostInQueue.Load(),
		UnknownKinds:       s.unknownKinds.Load(),
		Invalid:            s.invalid.Load(),
	}
}
