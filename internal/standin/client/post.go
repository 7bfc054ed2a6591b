package client

import (
	"context"
	"fmt"

	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// maxAttempts bounds the attempts at a posting, an upload, a block or a read of the ledger. Each attempt
// is a new request.
const maxAttempts = 20

// Post sends a posting until it has run, and reports whether it ran. Each attempt has content of its own,
// so that the ledger distinguishes attempts. After a refusal Post waits for the retry-after time; after
// an unknown outcome it reads from the ledger whether the attempt ran before it starts another one.
func (c *Client) Post(ctx context.Context) bool {
	c.mu.Lock()
	c.postCount++
	number := c.postCount
	c.mu.Unlock()
	unknown := false
	for attempt := range maxAttempts {
		content := fmt.Appendf(nil, "%s/posting-%d/attempt-%d", c.opts.Name, number, attempt)
		key := target.ContentKey(content)
		out := c.do(ctx, core.ClassPosting, newRequest(codes.POST, "posting", content))
		switch out.Status {
		case Answered:
			if out.Code>>5 == 2 {
				c.countAnsweredPost(out, key)
				c.addPostedKey(key)
				return true
			}
			c.updateStats(func(s *Stats) { s.PostsRejected++ })
		case Refused:
			c.addRefusedKey(key)
		case Unknown, Silent:
			if !unknown {
				unknown = true
				c.updateStats(func(s *Stats) { s.PostsUnknown++ })
			}
			if c.hasRun(ctx, key) {
				c.addPostedKey(key)
				c.updateStats(func(s *Stats) { s.PostsConfirmed++ })
				return true
			}
		}
		if ctx.Err() != nil || !c.waitToRetry(ctx, out) {
			break
		}
	}
	c.updateStats(func(s *Stats) { s.PostsGivenUp++ })
	return false
}

// countAnsweredPost counts a posting that ran, and counts a mismatch when the answer has the key of other
// content.
func (c *Client) countAnsweredPost(out Outcome, key string) {
	c.updateStats(func(s *Stats) {
		s.PostsDone++
		if out.Reply.Key != key {
			s.Mismatched++
		}
	})
}

// addRefusedKey stores the key of a posting that was refused as not run.
func (c *Client) addRefusedKey(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.refusedKeys) < maxKeys {
		c.refusedKeys = append(c.refusedKeys, key)
	}
}

// hasRun reads from the ledger whether a posting ran; false when the ledger did not answer.
func (c *Client) hasRun(ctx context.Context, key string) bool {
	runs, ok := c.ledgerRuns(ctx, key)
	return ok && runs > 0
}

// ledgerRuns reads from the ledger how often a posting ran; the second result is false when there was no
// answer.
func (c *Client) ledgerRuns(ctx context.Context, key string) (int, bool) {
	for range maxAttempts {
		m := newRequest(codes.GET, target.PathLedger, nil)
		carrier.AddOption(&m, carrier.OptionQuery, []byte(target.QueryKey+key))
		out := c.do(ctx, core.ClassRead, m)
		if out.Status == Answered {
			return out.Reply.Runs, true
		}
		if ctx.Err() != nil || !c.waitToRetry(ctx, out) {
			break
		}
	}
	return 0, false
}

// addPostedKey stores the key of a posting that ran.
func (c *Client) addPostedKey(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.postedKeys) < maxKeys {
		c.postedKeys = append(c.postedKeys, key)
	}
}

// Audit is the result of checking a client's postings against the ledger.
type Audit struct {
	// Checked is the number of postings for which the ledger answered.
	Checked int `json:"checked"`
	// DuplicateRuns counts the runs of a posting beyond its first, AnsweredButNotRun the postings that were
	// answered and did not run, and RefusedButRan those that were refused as not run and ran.
	DuplicateRuns     int `json:"doubles"`
	AnsweredButNotRun int `json:"missing"`
	RefusedButRan     int `json:"untrue"`
}

// Add adds the audit of another client.
func (a *Audit) Add(o Audit) {
	a.Checked += o.Checked
	a.DuplicateRuns += o.DuplicateRuns
	a.AnsweredButNotRun += o.AnsweredButNotRun
	a.RefusedButRan += o.RefusedButRan
}

// Audit reads the client's postings from the ledger, with requests to the service: the last ones that ran
// and the last ones that were refused, at most limit of each.
func (c *Client) Audit(ctx context.Context, limit int) Audit {
	c.mu.Lock()
	posted, refused := lastKeys(c.postedKeys, limit), lastKeys(c.refusedKeys, limit)
	c.mu.Unlock()
	var a Audit
	for _, key := range posted {
		if runs, ok := c.ledgerRuns(ctx, key); ok {
			a.Checked++
			a.DuplicateRuns += max(runs-1, 0)
			a.AnsweredButNotRun += max(1-runs, 0)
		}
	}
	for _, key := range refused {
		if runs, ok := c.ledgerRuns(ctx, key); ok {
			a.Checked++
			a.RefusedButRan += min(runs, 1)
		}
	}
	return a
}

// lastKeys returns a copy of at most the last n keys.
func lastKeys(keys []string, n int) []string {
	return append([]string(nil), keys[max(len(keys)-n, 0):]...)
}
