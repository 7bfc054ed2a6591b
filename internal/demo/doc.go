// Package demo runs a deployment in one process: the targets, the fabric and the clients of a
// configuration, and a script of planned changes. It prints a live table and a summary.
//
// A Deployment owns the targets, the fabric and the clients; a factory function supplies the entry VMs. All
// counts come from clients and targets, never from entry VMs.
package demo
