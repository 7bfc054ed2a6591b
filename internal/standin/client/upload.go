package client

import (
	"context"
	"encoding/binary"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// blockSizeExp is the size exponent of blocks (RFC 7959); 6 stands for 1024 bytes.
const blockSizeExp = 6

// Upload sends random content of the given size in bytes, in blocks, and reports whether the target
// received all of it. When the target has lost earlier blocks, the upload starts again with another tag.
func (c *Client) Upload(ctx context.Context, size int) bool {
	content := c.randomContent(size)
	for range maxAttempts {
		done, restart := c.uploadOnce(ctx, content)
		if done {
			return true
		}
		if !restart {
			break
		}
		c.updateStats(func(s *Stats) { s.UploadRestarts++ })
	}
	if ctx.Err() == nil {
		c.updateStats(func(s *Stats) { s.UploadsFailed++ })
	}
	return false
}

// randomContent returns random bytes, so that contents differ between uploads in practice.
func (c *Client) randomContent(size int) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := make([]byte, max(size, 1))
	for i := range b {
		b[i] = byte(c.rng.Uint32())
	}
	return b
}

// uploadOnce sends all blocks; restart is true when the target answers that it has lost earlier blocks.
func (c *Client) uploadOnce(ctx context.Context, content []byte) (done, restart bool) {
	tag := c.newRequestTag()
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

// checkUpload reports and counts whether the target received the content that was sent.
func (c *Client) checkUpload(out Outcome, content []byte) bool {
	complete := out.Reply.Key == target.ContentKey(content)
	c.updateStats(func(s *Stats) {
		if complete {
			s.UploadsDone++
		} else {
			s.UploadsMismatched++
		}
	})
	return complete
}

// newRequestTag returns a tag that no other upload of the client has.
func (c *Client) newRequestTag() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uploadCount++
	return binary.BigEndian.AppendUint32(nil, uint32(c.uploadCount))
}

// sendBlock sends a block until it is answered or maxAttempts is reached. Blocks are idempotent, so it is
// safe to send a block again whatever the outcome of the attempt before.
func (c *Client) sendBlock(ctx context.Context, tag []byte, block carrier.Block, payload []byte) Outcome {
	var out Outcome
	for range maxAttempts {
		out = c.do(ctx, core.ClassUpload, blockMessage(tag, block, payload))
		if out.Status == Answered || ctx.Err() != nil || !c.waitToRetry(ctx, out) {
			return out
		}
	}
	return out
}

// blockMessage returns the request that carries a block.
func blockMessage(tag []byte, block carrier.Block, payload []byte) message.Message {
	m := newRequest(codes.PUT, carrier.UploadPath, payload)
	carrier.SetOptionUint(&m, carrier.OptionBlock1, block.Value())
	carrier.SetOption(&m, carrier.OptionRequestTag, tag)
	return m
}
