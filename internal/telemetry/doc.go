// Package telemetry sets up logs, metrics with health and readiness, and traces. The daemon owns one
// instance of each; the package keeps no global state.
package telemetry
