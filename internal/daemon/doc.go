// Package daemon runs an entry VM: it connects the decision core with the fabric, targets, peers,
// the platform and operators.
//
// One goroutine owns control state, one each owns a shard of traffic state; adapters turn packets
// and answers into inputs and carry out actions. No adapter keeps state that decides anything.
package daemon
