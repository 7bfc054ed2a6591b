// Package bench measures the figures of section 1.5 of the design page, and compares them with
// simpler variants of the design's decisions, on the same seeded scenarios in virtual time.
//
// Each run of a scenario has its own cluster; runs share no state.
package bench
