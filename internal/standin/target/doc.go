// Package target is a stand-in for a target: a CoAP endpoint with slots, connections and a cold start.
//
// A Target answers requests after a service time, sheds what it cannot bear, sends live feeds,
// reassembles block-wise uploads, and accepts cancellations and deadlines. It owns its socket and its
// state; a restart loses everything but the statistics and the ledger, which the targets of a service
// share.
package target
