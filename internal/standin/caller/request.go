package caller

import (
	"context"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// do sends a request, repeats it unchanged until it is answered, and returns how it ended.
func (c *Client) do(ctx context.Context, class core.Class, m message.Message) Outcome {
	x := c.begin(class)
	defer c.end(x)
	datagram := c.encode(x, m, c.opts.Deadline)
	began := time.Now()
	out := c.wait(ctx, x, datagram)
	out.Took = time.Since(began)
	c.count(func(s *Stats) { s.Outcomes[class][out.Status]++ })
	c.opts.OnOutcome(class, out)
	return out
}

// wait sends a datagram until an answer comes, the deadline passes or the context ends.
func (c *Client) wait(ctx context.Context, x *exchange, datagram []byte) Outcome {
	deadline := time.NewTimer(c.opts.Deadline)
	defer deadline.Stop()
	pause := c.opts.RetransmitAfter
	for sent := 1; ; sent++ {
		c.send(datagram)
		repeat := time.NewTimer(c.spread(pause))
		pause = min(2*pause, maxRepeat)
		select {
		case m := <-x.messages:
			repeat.Stop()
			out := outcome(&m)
			out.Transmissions = sent
			return out
		case <-deadline.C:
			repeat.Stop()
			return Outcome{Status: Silent, Transmissions: sent}
		case <-ctx.Done():
			repeat.Stop()
			return Outcome{Status: Abandoned, Transmissions: sent}
		case <-repeat.C:
		}
	}
}

// outcome reads an answer.
func outcome(m *message.Message) Outcome {
	out := Outcome{Code: m.Code}
	if run, ok := carrier.OptionUint(m, carrier.OptionRunStatus); ok {
		out.Status = Refused
		if run != carrier.RunStatusNotRun {
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

// withPath returns a request to a path.
func withPath(code codes.Code, path string, payload []byte) message.Message {
	m := message.Message{Code: code, Payload: payload}
	carrier.AddOption(&m, carrier.OptionPath, []byte(path))
	return m
}

// Read asks once for the balance or the catalogue.
func (c *Client) Read(ctx context.Context) Outcome {
	return c.do(ctx, core.ClassRead, withPath(codes.GET, "board", nil))
}

// minComeBack is the pause before asking again when the come-back time is 0 or unknown.
const minComeBack = 100 * time.Millisecond

// comeBack waits for the come-back time of a refusal; it reports false when the context ended.
func (c *Client) comeBack(ctx context.Context, out Outcome) bool {
	return sleep(ctx, max(out.RetryAfter, c.spread(minComeBack)))
}
