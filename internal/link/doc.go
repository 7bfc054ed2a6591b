// Package link connects an entry VM with its peers.
//
// A link is a TCP connection, with mutual TLS when credentials are set, that starts with a Hello in
// both directions and then carries yamux streams: one each for control, traffic, handover and
// configuration, so that a large transfer delays nothing else. Frames are envelopes of package wire
// behind a length.
//
// There is one link per pair of VMs. Both sides dial; when both connections come about at the same
// time, the one dialed by the lower name stays. A connection that goes silent is replaced by a
// fresh one. The Manager owns all state of links; it is shared by any number of goroutines.
package link
