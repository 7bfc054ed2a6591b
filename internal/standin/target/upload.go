package target

import (
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/internal/carrier"
)

// Limits of uploads.
const (
	// MaxUpload is the maximum size of an upload in bytes.
	MaxUpload = 4 << 20
	// maxUploads is the maximum number of uploads that a target keeps; above it, the least recently
	// used upload is evicted.
	maxUploads = 128
)

// uploadKey identifies a block-wise upload by its client and Request-Tag.
type uploadKey struct {
	client netip.AddrPort
	tag    string
}

// upload is a block-wise upload, in progress or complete.
type upload struct {
	// body has the content that has arrived and size its length. A complete upload drops its body and
	// keeps its size.
	body []byte
	size int
	// lastUsed is the target's count of blocks when the last block of this upload arrived.
	lastUsed uint64
	// key is the ContentKey of a complete upload.
	key string
}

// handleBlock adds a block to its upload and sends the answer.
func (t *Target) handleBlock(w *work, reply Reply) {
	block, _, err := carrier.Block1(&w.msg)
	if err != nil {
		t.answer(&w.attempt, codes.BadOption, reply)
		return
	}
	tag, _ := carrier.OptionValue(&w.msg, carrier.OptionRequestTag)
	key := uploadKey{client: w.key.client, tag: string(tag)}
	u := t.findUpload(key)
	code := t.appendBlock(u, block, w.msg.Payload)
	if code == codes.Changed {
		reply.Key = u.key
	}
	t.answer(&w.attempt, code, reply, blockOption(block))
}

// findUpload returns the upload with the given key, and creates it when there is none.
func (t *Target) findUpload(key uploadKey) *upload {
	t.blocks++
	u := t.uploads[key]
	if u == nil {
		t.evictUpload()
		u = &upload{}
		t.uploads[key] = u
	}
	u.lastUsed = t.blocks
	return u
}

// evictUpload deletes the least recently used upload when the target keeps maxUploads.
func (t *Target) evictUpload() {
	if len(t.uploads) < maxUploads {
		return
	}
	var oldest uploadKey
	oldestUse := t.blocks
	for key, u := range t.uploads {
		if u.lastUsed < oldestUse {
			oldest, oldestUse = key, u.lastUsed
		}
	}
	delete(t.uploads, oldest)
}

// appendBlock adds a block at its offset and returns the code of the answer. A block that the target
// already has is acknowledged again.
func (t *Target) appendBlock(u *upload, block carrier.Block, payload []byte) codes.Code {
	offset := int(block.Num) * block.Size()
	switch {
	case offset+len(payload) > MaxUpload:
		return codes.RequestEntityTooLarge
	case offset > u.size:
		return codes.RequestEntityIncomplete
	case block.More && len(payload) != block.Size():
		return codes.BadRequest
	}
	if offset == u.size && u.key == "" {
		u.body = append(u.body, payload...)
		u.size = len(u.body)
	}
	if block.More {
		return codes.Continue
	}
	if u.key == "" {
		u.key, u.body = ContentKey(u.body), nil
		t.stats.UploadsDone++
	}
	return codes.Changed
}

// blockOption returns the Block1 option of the answer to a block.
func blockOption(block carrier.Block) message.Option {
	var m message.Message
	carrier.SetOptionUint(&m, carrier.OptionBlock1, block.Value())
	return m.Options[0]
}
