package target

import (
	"net/netip"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/internal/carrier"
)

// Limits of uploads.
const (
	// MaxUpload is the size of the largest upload in bytes.
	MaxUpload = 4 << 20
	// maxUploads bounds the uploads that a target remembers; the one that was used least recently makes
	// room.
	maxUploads = 128
)

// uploadKey identifies a block-wise upload.
type uploadKey struct {
	caller netip.AddrPort
	tag    string
}

// upload is a block-wise upload in progress, or one that is complete.
type upload struct {
	// body is what has arrived; size is its length, which stays when the body is complete and dropped.
	body []byte
	size int
	// used is the number of blocks that the target had taken when it last took one of this upload.
	used uint64
	// key is the ContentKey of a complete upload.
	key string
}

// takeBlock adds a block to its upload and answers it.
func (t *Target) takeBlock(w *work, reply Reply) {
	block, _, err := carrier.Block1(&w.msg)
	if err != nil {
		t.answer(&w.attempt, codes.BadOption, reply)
		return
	}
	tag, _ := carrier.OptionValue(&w.msg, carrier.OptionRequestTag)
	key := uploadKey{caller: w.key.caller, tag: string(tag)}
	u := t.findUpload(key)
	code := t.appendBlock(u, block, w.msg.Payload)
	if code == codes.Changed {
		reply.Key = u.key
	}
	t.answer(&w.attempt, code, reply, blockOption(block))
}

// findUpload returns an upload; it begins one when it is not known.
func (t *Target) findUpload(key uploadKey) *upload {
	t.blocks++
	u := t.uploads[key]
	if u == nil {
		t.forgetUpload()
		u = &upload{}
		t.uploads[key] = u
	}
	u.used = t.blocks
	return u
}

// forgetUpload makes room for another upload.
func (t *Target) forgetUpload() {
	if len(t.uploads) < maxUploads {
		return
	}
	var oldest uploadKey
	least := t.blocks
	for key, u := range t.uploads {
		if u.used < least {
			oldest, least = key, u.used
		}
	}
	delete(t.uploads, oldest)
}

// appendBlock adds a block at its offset and returns the code of the answer. Blocks that the target
// has already are acknowledged again.
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
