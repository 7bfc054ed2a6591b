// Package registry keeps what one VM knows of the platform's store: the configuration, the targets, and
// the zones that operators have taken out. It builds the views that package forward works with.
//
// Updates come from the store or, through another VM of the zone, from the store in the end. They may
// be late, repeated, or come from a source that lags; a Registry takes each object only if it is newer
// than what it has, and never goes back to an earlier configuration. Observations of VMs add what the
// store may not say in time: that the process of a target has ended, or is back. A Registry belongs to one goroutine
// (the control thread), does no I/O and reads no clock.
package registry
