// Package core holds the types that the parts of the decision core share: identities, the
// configuration in force, the snapshot that control publishes for traffic, inputs, actions and the
// messages between entry VMs.
//
// The decision core is deterministic. It does no I/O, starts no goroutines, reads no clock and uses
// no global randomness: a driver passes each input together with the current time and carries out
// the returned actions. Package core/traffic decides about flows and requests, package core/control
// about membership and configuration, and package core/vm composes both for one entry VM.
//
// Time is a time.Duration on the VM's monotonic clock, measured from any fixed instant before the
// process started. Values of different VMs are never compared.
package core
