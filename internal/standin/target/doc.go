// Package target is a stand-in for a target: a CoAP endpoint with slots, connections and a cold start.
//
// A Target answers requests after a service time, sheds requests above its capacity, sends live feeds,
// reassembles block-wise uploads, and accepts cancellations and deadlines. It owns its socket and its
// state. A restart loses all state except the statistics and the ledger; the targets of a service
// share one ledger.
package target
