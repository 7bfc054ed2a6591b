package core

import "time"

// PreviousOwnerUntilUnknown is the PreviousOwnerUntil and PreviousOwnerEndedBy of a TakeOver while these
// times are unknown. Control sends the TakeOver again, with the same fencing token and the actual times, as
// soon as it has them.
const PreviousOwnerUntilUnknown = time.Duration(1 << 61)
