// Package registry keeps a VM's copy of the platform's store: the configuration, the targets, and the zones
// that operators have taken out of service. It builds the snapshots that package forward works with.
//
// Updates come from the store, directly or through another VM of the zone. They may be late, repeated, or
// from a source that lags behind. A Registry therefore accepts an object only if it is newer than the one it
// has, and never returns to an earlier configuration. A store that is restored from a copy begins another history, in which
// revisions are given out again; a Revision therefore has the number of its history.
//
// Observations of VMs add what the store may report too late: that the process of a target has ended, or is running again. They
// end with an event that each VM meets: the target's next incarnation, or the time since the last renewal. What an entry says
// holds for its own target only.
//
// A Registry belongs to one goroutine (the control thread), does no I/O and reads no clock.
package registry
