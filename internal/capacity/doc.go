// Package capacity measures how the cost of the decision core grows with the size of a deployment.
// It runs the production code of the core in one process, mostly in virtual time, and fits a line to the costs
// at several sizes. docs/CAPACITY.md extrapolates from the slopes of these lines.
//
// A Cluster contains all state of a run and uses a single goroutine.
package capacity
