// Package faultproxy provides proxies that inject faults into UDP and TCP traffic over loopback, for
// tests.
//
// A proxy owns its sockets and its random number generator. With the same seed and the same order of
// packets it makes the same decisions.
package faultproxy
