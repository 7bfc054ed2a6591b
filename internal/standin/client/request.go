package client

import (
	"context"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// do sends a request, retransmits it unchanged until it is answered, and returns and counts its outcome.
func (c *Client) do(ctx context.Context, class core.Class, m message.Message) Outcome {
	x := c.beginExchange(class)
	defer c.endExchange(x)
	datagram := c.encode(x, m, c.opts.Deadline)
	start := time.Now()
	out := c.awaitAnswer(ctx, x, datagram)
	out.Took = time.Since(start)
	c.updateStats(func(s *Stats) { s.Outcomes[class][out.Status]++ })
	c.opts.OnOutcome(class, out)
	return out
}

// awaitAnswer sends and retransmits a datagram until an answer is received, the deadline passes or the
// context ends.
func (c *Client) awaitAnswer(ctx context.Context, x *exchange, datagram []byte) Outcome {
	deadline := time.NewTimer(c.opts.Deadline)
	defer deadline.Stop()
	delay := c.opts.RetransmitAfter
	for sent := 1; ; sent++ {
		c.send(datagram)
		retransmit := time.NewTimer(c.jitter(delay))
		delay = min(2*delay, maxRetransmitDelay)
		select {
		case m := <-x.messages:
			retransmit.Stop()
			out := parseOutcome(&m)
			out.Transmissions = sent
			return out
		case <-deadline.C:
			retransmit.Stop()
			return Outcome{Status: Silent, Transmissions: sent}
		case <-ctx.Done():
			retransmit.Stop()
			return Outcome{Status: Abandoned, Transmissions: sent}
		case <-retransmit.C:
		}
	}
}

// parseOutcome returns the outcome that an answer reports: a refusal, an unknown outcome or a target's
// reply.
func parseOutcome(m *message.Message) Outcome {
	out := Outcome{Code: m.Code}
	if runStatus, ok := carrier.OptionUint(m, carrier.OptionRunStatus); ok {
		out.Status = Refused
		if runStatus != carrier.RunStatusNotRun {
			out.Status = Unknown
		}
		seconds, _ := carrier.OptionUint(m, carrier.OptionMaxAge)
		out.RetryAfter = time.Duration(seconds) * time.Second
		out.Reason = string(m.Payload)
		return out
	}
	out.Reply, _ = target.ParseReply(m.Payload)
	return out
}

// newRequest returns a request with a method code and a path.
func newRequest(code codes.Code, path string, payload []byte) message.Message {
	m := message.Message{Code: code, Payload: payload}
	carrier.AddOption(&m, carrier.OptionPath, []byte(path))
	return m
}

// Read sends one read request, which stands for reading a balance or a catalogue, and returns its outcome.
func (c *Client) Read(ctx context.Context) Outcome {
	return c.do(ctx, core.ClassRead, newRequest(codes.GET, "board", nil))
}

// minRetryDelay is the delay before a retry, without jitter, when the retry-after time is 0 or unknown.
const minRetryDelay = 100 * time.Millisecond

// waitToRetry waits for the retry-after time of a refusal; it returns false when the context ended first.
func (c *Client) waitToRetry(ctx context.Context, out Outcome) bool {
	return sleep(ctx, max(out.RetryAfter, c.jitter(minRetryDelay)))
}
