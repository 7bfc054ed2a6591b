package caller

import (
	"context"
	"fmt"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// maxAttempts bounds how often a posting or a block is asked for with a new id.
const maxAttempts = 20

// Post makes a posting with content of its own until it ran, and reports whether it did. Each attempt
// has another content, so that the ledger tells attempts apart. After a refusal it comes back when it
// was told to; after an unknown outcome it reads the ledger before it asks again.
func (c *Caller) Post(ctx context.Context) bool {
	c.mu.Lock()
	c.posts++
	number := c.posts
	c.mu.Unlock()
	unknown := false
	for attempt := range maxAttempts {
		content := fmt.Appendf(nil, "%s/posting-%d/attempt-%d", c.opts.Name, number, attempt)
		key := target.ContentKey(content)
		out := c.do(ctx, core.ClassPosting, withPath(codes.POST, "posting", content))
		switch out.Status {
		case Answered:
			c.postAnswered(out, key)
			return true
		case Refused:
			c.noteRefused(key)
		case Unknown, Silent:
			if !unknown {
				unknown = true
				c.count(func(s *Stats) { s.PostsUnknown++ })
			}
			if c.ran(ctx, key) {
				c.count(func(s *Stats) { s.PostsConfirmed++ })
				return true
			}
		}
		if ctx.Err() != nil || !c.comeBack(ctx, out) {
			break
		}
	}
	c.count(func(s *Stats) { s.PostsGivenUp++ })
	return false
}

// postAnswered counts a posting that ran, and checks that the answer is to its content.
func (c *Caller) postAnswered(out Outcome, key string) {
	c.count(func(s *Stats) {
		s.PostsDone++
		if out.Reply.Key != key {
			s.Mismatched++
		}
	})
}

// noteRefused remembers the key of a posting that was refused as not run.
func (c *Caller) noteRefused(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.refused) < maxRefused {
		c.refused = append(c.refused, key)
	}
}

// ran reads from the ledger whether a posting ran.
func (c *Caller) ran(ctx context.Context, key string) bool {
	for range maxAttempts {
		m := withPath(codes.GET, target.PathLedger, nil)
		carrier.AddOption(&m, carrier.OptionQuery, []byte(target.QueryKey+key))
		out := c.do(ctx, core.ClassRead, m)
		if out.Status == Answered {
			return out.Reply.Runs > 0
		}
		if ctx.Err() != nil || !c.comeBack(ctx, out) {
			return false
		}
	}
	return false
}
