// Package linkload keeps the queue on a VM's link short while clients upload: it decides whether a new flow with a large request
// may open. Times are on the VM's monotonic clock. The types are not safe for concurrent use; the traffic thread owns them.
package linkload
