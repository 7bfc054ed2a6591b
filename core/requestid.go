package core

// Layout of the lower half of a RequestID: the message id in the lowest 16 bits, flags, and from blockShift on
// the number of the block plus 1.
const (
	flagMessageID = 1 << 16
	flagTag       = 1 << 17
	flagCancel    = 1 << 18
	blockShift    = 32
)

// MessageRequestID returns the id of a request that is identified by its token, its message id and, for a
// block-wise transfer, the block's number plus 1; block is 0 otherwise.
func MessageRequestID(token uint64, messageID uint16, block uint32) RequestID {
	return RequestID{Hi: token, Lo: uint64(block)<<blockShift | flagMessageID | uint64(messageID)}
}

// TaggedRequestID returns the id of a request that is identified by its tag; block is as in
// MessageRequestID.
func TaggedRequestID(tag uint64, block uint32) RequestID {
	return RequestID{Hi: tag, Lo: uint64(block)<<blockShift | flagTag}
}

// CancelID returns the id of a MethodCancel. A CoAP reset carries a message id but no token.
func CancelID(messageID uint16) RequestID {
	return RequestID{Lo: flagCancel | uint64(messageID)}
}

// CancelledBy reports whether a MethodCancel of the same flow with the given id cancels the request.
// A request that is identified by its tag cannot be cancelled by a reset.
func (id RequestID) CancelledBy(cancel RequestID) bool {
	if id.Lo&flagMessageID == 0 || cancel.Lo&flagCancel == 0 {
		return false
	}
	return uint16(id.Lo) == uint16(cancel.Lo)
}
