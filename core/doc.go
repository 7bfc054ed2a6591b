// Package core holds the types that the parts of the decision core share: identities, the
// configuration in force, the snapshot that control publishes for traffic, inputs, actions and the
// messages between entry VMs.
//
// The decision core is deterministic. It does no I/O, starts no goroutines, reads no clock and uses
// no global random source: a driver passes each input together with the current time and executes the
// returned actions. Package core/traffic decides about flows and requests, package core/control about
// membership and configuration, and package core/vm combines both into one entry VM.
//
// Points in time are time.Duration values on the VM's monotonic clock, measured from any fixed instant
// before the process started. Values of different VMs are never compared.
package core
