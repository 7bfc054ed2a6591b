package core

import "time"

// FormerUnknown is the FormerUntil of a TakeOver while a former holder may act for an unknown time.
// Control repeats the TakeOver with the same Number and the true times as soon as it knows them.
const FormerUnknown = time.Duration(1 << 61)
