// Package daemon runs an entry VM: it connects the decision core with the fabric, targets, peers,
// the platform and operators.
//
// One goroutine, the control thread, owns the control state, and one goroutine per shard, a traffic thread,
// owns that shard's traffic state.
// Adapters turn packets, peer messages and platform responses into inputs of the core and carry out its
// actions. No adapter keeps state that affects a decision.
package daemon
