// Package carrier converts datagrams to and from core types.
//
// A datagram is a PROXY protocol v2 header followed by one CoAP message. The package keeps no state
// about callers, requests or targets: everything it needs is in the datagram or in the action that
// it encodes. All functions are safe for concurrent use and accept any input without panicking.
package carrier
