// Package bench measures the figures of section 1.5 of the design page, next to the simplest
// variants of the design's decisions, on equal seeded scenarios in virtual time.
//
// Each scenario owns its World; nothing is shared between scenarios.
package bench
