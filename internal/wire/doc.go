// Package wire encodes the messages between entry VMs as protobuf envelopes and decodes them.
//
// Decode is meant for bytes from an untrusted network: it checks sizes, list lengths, addresses,
// names and enumerations, and returns typed errors. Encode applies the same checks, so that a
// message that Encode accepts is one that a peer accepts.
//
// The package holds no state. Protocol versions are negotiated once per link with Hello; see
// Negotiate.
package wire
