// Package caller is a stand-in for a caller that follows the callers' side of the contract.
//
// A Caller is one flow: one socket that talks to one service. It repeats datagrams unchanged with
// backoff, stops at its deadline, honours come-back times, and reads before it asks again after
// "outcome unknown". It owns its socket and records what it sees in Stats.
package caller
