// Package faultproxy is test support: it puts faults, driven by a seed, on UDP and TCP traffic over
// loopback.
//
// A proxy owns its sockets and its random numbers. With the same seed and the same order of packets
// it makes the same decisions.
package faultproxy
