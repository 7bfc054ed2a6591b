// Package carrier converts datagrams to and from the types of package core.
//
// A datagram is a PROXY protocol v2 header followed by one CoAP message. The package keeps no state of
// clients, requests or targets: everything it needs is in the datagram or in the action that it encodes.
// All functions are safe for concurrent use and do not panic on any input.
package carrier
