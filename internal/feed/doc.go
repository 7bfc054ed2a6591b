// Package feed is the change feed: it distributes the objects of the platform's store to every VM, so that
// the number of calls to the store does not grow with the number of VMs.
//
// In each zone one VM, the reader, watches the store and sends every change to the other VMs of the zone,
// its subscribers, with the time since the store last confirmed each kind of object. An object in the store
// names the reader. It is changed by conditional writes only, but correctness does not depend on a single
// reader: a second one only causes more calls. A subscriber whose reader is lost, or cannot reach the store,
// claims the role. A VM that cannot reach the store subscribes to any VM whose address it has. Every VM
// accepts subscriptions and sends on the data that it has.
//
// Source owns the connections to the store and to the reader and runs in goroutines of its own. It sends
// changes to the control thread as Events. Server owns the listener; its Subscribers belong to the control
// thread.
//
// Messages are protobuf with a length prefix, over plain TCP. yamux is not used, as it would carry a single
// stream.
package feed
