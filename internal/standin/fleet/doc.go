// Package fleet is a stand-in for the users' platform around real forwarder processes: routers, targets,
// clients and the operator, on loopback addresses of one machine. Tests and the soak test use it.
//
// It uses the platform's formats of packets and store objects. A flow carries small text requests of one
// packet each. They are sufficient to check whether, where and how often a request ran, and whether a response
// belongs to its request. The Checker collects the observations of clients and targets and records every
// violation of a rule.
package fleet
