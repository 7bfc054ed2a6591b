package core

import "time"

// PreviousOwnerUntilUnknown is the PreviousOwnerUntil of a TakeOver while a former holder may act for an unknown time.
// Control repeats the TakeOver with the same Number and the true times as soon as it knows them.
const PreviousOwnerUntilUnknown = time.Duration(1 << 61)
