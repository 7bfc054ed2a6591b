// Package forwarder is the process that forwards packets on one VM. It joins the decisions of packages
// forward and registry with sockets, the feed, signals, logs and metrics.
//
// Three parts own state. The control thread (control.go) owns the Registry and the subscribers, and
// publishes an immutable View. The traffic thread (traffic.go) owns the Forwarder and the packet socket,
// and reads the newest View before each packet. The watcher (watch.go) has a goroutine for each target that
// it holds a connection to, and tells the control thread what these show. The feed.Source has goroutines of its own and talks to
// the control thread only. Everything else is shared through atomic values in shared.
package forwarder
