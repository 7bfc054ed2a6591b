// Package e2e has scripted scenarios with real processes: entry VMs run as separate processes between
// stand-ins for clients, the fabric, targets and the platform, with proxies that inject faults. The
// scripts are in testdata/script; all code is in test files.
package e2e
