// Package link connects an entry VM with its peers.
//
// A link is a TCP connection, with mutual TLS when credentials are set. Both sides first send a Hello.
// The connection then carries four yamux streams: control, traffic, handover and configuration. Streams
// are separate so that a large transfer does not delay the other messages. A frame is an envelope of
// package wire preceded by its length.
//
// There is one link per pair of VMs. Both sides dial; when both connections are established at the same
// time, the one dialed by the VM with the lower name is kept. A connection on which nothing is received
// is replaced by a new one. The Manager owns the state of all links; it is safe for concurrent use.
package link
