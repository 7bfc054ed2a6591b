package client

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// receive passes an answer to the exchange with its token. It counts packets that are malformed,
// mismatched or late.
func (c *Client) receive(data []byte, from netip.AddrPort) {
	m, err := carrier.ParseMessage(bytes.Clone(data))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || from != c.opts.Service || m.Code>>5 < 2 {
		c.stats.Malformed++
		return
	}
	number, ok := c.exchangeNumber(m.Token)
	if !ok || !c.matches(number, &m) {
		c.stats.Mismatched++
		return
	}
	x := c.pending[number]
	if x == nil {
		c.stats.Late++
		return
	}
	select {
	case x.messages <- m:
	default:
		// The buffer is full, because the exchange has ended and is about to be removed from pending.
	}
}

// exchangeNumber returns the number of the exchange with a token; false when this client never sent the
// token.
func (c *Client) exchangeNumber(token []byte) (uint32, bool) {
	if len(token) != 6 || binary.BigEndian.Uint16(token) != c.tokenPrefix {
		return 0, false
	}
	n := binary.BigEndian.Uint32(token[2:])
	return n, n > 0 && n <= c.lastNumber
}

// matches reports whether an answer belongs to the request with the given number, and records its target.
// Refusals by the load balancer and by targets that shed requests have no reply, so only their code is
// checked.
func (c *Client) matches(number uint32, m *message.Message) bool {
	reply, err := target.ParseReply(m.Payload)
	if err != nil {
		return m.Code>>5 != 2
	}
	if reply.Nonce != c.nonce(number) {
		return false
	}
	c.updateTarget(reply)
	return true
}

// updateTarget records the target of the flow, and counts the flow as broken when it moved without
// permission. An answer from a target other than the last one is late, and is ignored, when flows may leave
// the target that sent it.
func (c *Client) updateTarget(reply target.Reply) {
	now := time.Now()
	if c.lastTarget != "" && reply.Target != c.lastTarget {
		if c.opts.MoveAllowed(reply.Target, reply.Zone, now) {
			return
		}
		if c.opts.MoveAllowed(c.lastTarget, c.lastZone, c.lastAnswerAt) {
			c.stats.AllowedMoves++
		} else {
			c.stats.BrokenFlows++
			c.stats.BrokenMoved++
		}
	}
	c.lastTarget, c.lastZone, c.lastAnswerAt = reply.Target, reply.Zone, now
}
