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
func (c *Client) Post(ctx context.Context) bool {
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
			if out.Code>>5 == 2 {
				c.postAnswered(out, key)
				c.notePosted(key)
				return true
			}
			c.count(func(s *Stats) { s.PostsRejected++ })
		case Refused:
			c.noteRefused(key)
		case Unknown, Silent:
			if !unknown {
				unknown = true
				c.count(func(s *Stats) { s.PostsUnknown++ })
			}
			if c.ran(ctx, key) {
				c.notePosted(key)
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
func (c *Client) postAnswered(out Outcome, key string) {
	c.count(func(s *Stats) {
		s.PostsDone++
		if out.Reply.Key != key {
			s.Mismatched++
		}
	})
}

// noteRefused remembers the key of a posting that was refused as not run.
func (c *Client) noteRefused(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.refused) < maxKeys {
		c.refused = append(c.refused, key)
	}
}

// ran reads from the ledger whether a posting ran.
func (c *Client) ran(ctx context.Context, key string) bool {
	runs, ok := c.runs(ctx, key)
	return ok && runs > 0
}

// runs reads from the ledger how often a posting ran; it reports false when there was no answer.
func (c *Client) runs(ctx context.Context, key string) (int, bool) {
	for range maxAttempts {
		m := withPath(codes.GET, target.PathLedger, nil)
		carrier.AddOption(&m, carrier.OptionQuery, []byte(target.QueryKey+key))
		out := c.do(ctx, core.ClassRead, m)
		if out.Status == Answered {
			return out.Reply.Runs, true
		}
		if ctx.Err() != nil || !c.comeBack(ctx, out) {
			break
		}
	}
	return 0, false
}

// notePosted remembers the key of a posting that ran.
func (c *Client) notePosted(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.posted) < maxKeys {
		c.posted = append(c.posted, key)
	}
}

// Audit is what the ledger says about a caller's postings.
type Audit struct {
	// Checked is the number of postings that the ledger was asked about with success.
	Checked int `json:"checked"`
	// DuplicateRuns counts runs beyond the first, Missing postings that were answered and did not run, and
	// Untrue postings that were refused as not run and ran.
	DuplicateRuns     int `json:"doubles"`
	AnsweredButNotRun int `json:"missing"`
	RefusedButRan     int `json:"untrue"`
}

// Add adds the audit of another caller.
func (a *Audit) Add(o Audit) {
	a.Checked += o.Checked
	a.DuplicateRuns += o.DuplicateRuns
	a.AnsweredButNotRun += o.AnsweredButNotRun
	a.RefusedButRan += o.RefusedButRan
}

// Audit asks the ledger, by way of the service, about the caller's postings: at most limit that were
// answered and as many that were refused.
func (c *Client) Audit(ctx context.Context, limit int) Audit {
	c.mu.Lock()
	posted, refused := newest(c.posted, limit), newest(c.refused, limit)
	c.mu.Unlock()
	var a Audit
	for _, key := range posted {
		if runs, ok := c.runs(ctx, key); ok {
			a.Checked++
			a.DuplicateRuns += max(runs-1, 0)
			a.AnsweredButNotRun += max(1-runs, 0)
		}
	}
	for _, key := range refused {
		if runs, ok := c.runs(ctx, key); ok {
			a.Checked++
			a.RefusedButRan += min(runs, 1)
		}
	}
	return a
}

// newest returns a copy of the last n keys.
func newest(keys []string, n int) []string {
	return append([]string(nil), keys[max(len(keys)-n, 0):]...)
}
