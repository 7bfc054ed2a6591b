package core

import "time"

// PreviousOwnerUntilUnknown is the PreviousOwnerUntil of a TakeOver while it is unknown until when a previous
// owner may act. Control sends the TakeOver again, with the same fencing token and the actual times, as soon
// as it has them.
const PreviousOwnerUntilUnknown = time.Duration(1 << 61)
