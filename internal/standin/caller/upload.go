package caller

import (
	"context"
	"encoding/binary"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// blockSizeExp is the exponent of the size of blocks, which is 1024 bytes.
const blockSizeExp = 6

// Upload sends content of the given size in blocks, and reports whether the target has it in full. A
// target that lost the first blocks gets the upload again from the start, with another tag.
func (c *Client) Upload(ctx context.Context, size int) bool {
	content := c.content(size)
	for range maxAttempts {
		done, restart := c.uploadOnce(ctx, content)
		if done {
			return true
		}
		if !restart {
			break
		}
		c.count(func(s *Stats) { s.UploadRestarts++ })
	}
	if ctx.Err() == nil {
		c.count(func(s *Stats) { s.UploadsFailed++ })
	}
	return false
}

// content returns random content, which is unique in practice.
func (c *Client) content(size int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := make([]byte, max(size, 1))
	for i := range b {
		b[i] = byte(c.rng.Uint32())
	}
	return b
}

// uploadOnce sends all blocks; restart is true when the target asks for the first block again.
func (c *Client) uploadOnce(ctx context.Context, content []byte) (done, restart bool) {
	tag := c.newTag()
	block := carrier.Block{SizeExp: blockSizeExp}
	for {
		offset := int(block.Num) * block.Size()
		end := min(offset+block.Size(), len(content))
		block.More = end < len(content)
		out := c.sendBlock(ctx, tag, block, content[offset:end])
		switch {
		case out.Status != Answered:
			return false, false
		case out.Code == codes.RequestEntityIncomplete:
			return false, true
		case out.Code == codes.Continue && block.More:
			block.Num++
		case out.Code == codes.Changed && !block.More:
			return c.checkUpload(out, content), false
		default:
			return false, false
		}
	}
}

// checkUpload compares what the target has with what was sent.
func (c *Client) checkUpload(out Outcome, content []byte) bool {
	whole := out.Reply.Key == target.ContentKey(content)
	c.count(func(s *Stats) {
		if whole {
			s.UploadsDone++
		} else {
			s.UploadsMismatched++
		}
	})
	return whole
}

// newTag returns a tag that no other upload of the caller has.
func (c *Client) newTag() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploads++
	return binary.BigEndian.AppendUint32(nil, uint32(c.uploads))
}

// sendBlock sends a block until it is answered. Blocks are idempotent, so it is sent again after any
// refusal.
func (c *Client) sendBlock(ctx context.Context, tag []byte, block carrier.Block, payload []byte) Outcome {
	var out Outcome
	for range maxAttempts {
		out = c.do(ctx, core.ClassUpload, blockMessage(tag, block, payload))
		if out.Status == Answered || ctx.Err() != nil || !c.comeBack(ctx, out) {
			return out
		}
	}
	return out
}

// blockMessage returns the request for a block.
func blockMessage(tag []byte, block carrier.Block, payload []byte) message.Message {
	m := withPath(codes.PUT, carrier.UploadPath, payload)
	carrier.SetOptionUint(&m, carrier.OptionBlock1, block.Value())
	carrier.SetOption(&m, carrier.OptionRequestTag, tag)
	return m
}
