// Package demo runs a deployment in one process: targets, fabric and callers for a configuration, and
// a script of planned changes, with a live table and a summary.
//
// A World owns the targets, the fabric and the callers; the entry VMs are plugged in through a factory.
// All counts come from callers and targets, never from entry VMs.
package demo
