// Package e2e holds scripted scenarios with real processes: entry VMs as separate processes between
// stand-ins for callers, fabric, targets and the platform, behind a proxy that causes faults. The
// scripts are in testdata/script; all code is in test files.
package e2e
