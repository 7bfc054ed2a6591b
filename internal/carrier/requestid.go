package carrier

import (
	"github.com/cespare/xxhash/v2"
	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/mangoweir/mangoweir/core"
)

// requestID returns the id of a request. The upper half is a hash of the Request-Tag options or, without a
// tag, of the token. The lower half contains the block number of the Block1 option plus 1, or 0 without
// one, and, without a tag, the message id.
func requestID(m *message.Message, block Block, blockwise bool) core.RequestID {
	blockPlusOne := uint32(0)
	if blockwise {
		blockPlusOne = block.Num + 1
	}
	if tags, ok := tagHash(m); ok {
		return core.TaggedRequestID(tags, blockPlusOne)
	}
	return core.MessageRequestID(xxhash.Sum64(m.Token), uint16(m.MessageID), blockPlusOne)
}

// tagHash returns a hash of the method and all Request-Tag options, or false when there is none. The
// method is included because different methods may use the same tag at the same time (RFC 9175, 3.3).
func tagHash(m *message.Message) (uint64, bool) {
	var d xxhash.Digest
	d.Reset()
	found := false
	for _, o := range m.Options {
		if o.ID != OptionRequestTag {
			continue
		}
		found = true
		_, _ = d.Write([]byte{byte(m.Code), byte(len(o.Value))})
		_, _ = d.Write(o.Value)
	}
	return d.Sum64(), found
}
