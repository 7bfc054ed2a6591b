// Package forward decides what to do with single packets of flows whose contents only the client and the
// target can read. It takes the header of a packet and the time and returns the decision: forward the packet
// to a target, answer it with a reset, or drop it.
//
// Every packet of a flow carries a token that names the flow's target: the VM that handles the first packet
// writes the token, and client and target return it. Any VM whose snapshot has the target can therefore
// forward any later packet, without a flow table and without messages from other VMs. The state that a
// Forwarder keeps about flows serves placement and failure detection only, and may be lost at any time.
//
// Package registry builds the Snapshot that a Forwarder works with. A Snapshot is immutable and may be
// shared; a Forwarder belongs to one goroutine. The package does no I/O and reads no clock. Time is a
// time.Duration on the VM's monotonic clock, as in package core.
package forward
