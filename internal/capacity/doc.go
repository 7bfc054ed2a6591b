// Package capacity measures how the cost of the decision core grows with the size of a deployment.
// It runs the real core in one process, in virtual time, and fits a line to each series of sizes.
// docs/CAPACITY.md extrapolates from these slopes.
//
// A Fleet owns all state of a run and has a single thread.
package capacity
