package core

// Layout of the lower half of a RequestID: the message id, marks, and the number of the block plus 1.
const (
	markMessageID = 1 << 16
	markTag       = 1 << 17
	markCancel    = 1 << 18
	blockShift    = 32
)

// MessageRequestID returns the id of a request that is known by its token, its message id and, for a
// block-wise transfer, the block's number plus 1; block is 0 otherwise.
func MessageRequestID(token uint64, messageID uint16, block uint32) RequestID {
	return RequestID{Hi: token, Lo: uint64(block)<<blockShift | markMessageID | uint64(messageID)}
}

// TaggedRequestID returns the id of a request that is known by its tag; block is as in
// MessageRequestID.
func TaggedRequestID(tag uint64, block uint32) RequestID {
	return RequestID{Hi: tag, Lo: uint64(block)<<blockShift | markTag}
}

// CancelID returns the id that a MethodCancel carries. A reset names a message id but no token.
func CancelID(messageID uint16) RequestID {
	return RequestID{Lo: markCancel | uint64(messageID)}
}

// CancelledBy reports whether a MethodCancel of the same flow with the given id withdraws the request.
// A request that is known by its tag cannot be withdrawn by a reset.
func (id RequestID) CancelledBy(cancel RequestID) bool {
	if id.Lo&markMessageID == 0 || cancel.Lo&markCancel == 0 {
		return false
	}
	return uint16(id.Lo) == uint16(cancel.Lo)
}
