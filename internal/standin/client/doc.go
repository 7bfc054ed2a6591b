// Package client is a stand-in for a client that follows the clients' side of the contract.
//
// A Client sends one flow: it has one socket and sends to one service. It retransmits datagrams unchanged
// with backoff, gives up at its deadline and waits for the retry-after time of a refusal. After an unknown
// outcome it reads from the ledger whether the posting ran before it sends another one. It owns its socket
// and counts results in Stats.
package client
