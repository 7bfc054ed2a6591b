// Package wire encodes the messages between entry VMs as protobuf envelopes and decodes them.
//
// Decode accepts bytes from an untrusted network: it checks sizes, list lengths, addresses, names and
// enumerations, and returns typed errors. Encode applies the same checks, so that peers accept every
// message that Encode accepts.
//
// The package keeps no state. The protocol version is negotiated once per link by an exchange of Hellos;
// see Negotiate.
package wire
