// Package forwarder is the process that forwards packets on one VM. It connects the decisions of packages
// forward and registry with sockets, the change feed, signals, logs and metrics.
//
// Three parts own state. The control thread (control.go) owns the Registry and the subscribers, and
// publishes an immutable Snapshot. The traffic thread (traffic.go) owns the Forwarder and the packet socket,
// and reads the newest Snapshot before each packet. The watcher (watch.go) has a goroutine for each target
// that it keeps a connection to, and sends the results to the control thread. The feed.Source has goroutines
// of its own and communicates with the control thread only. All other state is shared through atomic values
// in sharedState.
package forwarder
