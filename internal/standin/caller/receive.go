package caller

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// receive hands a packet to the exchange that it belongs to.
func (c *Client) receive(data []byte, from netip.AddrPort) {
	m, err := carrier.ParseMessage(bytes.Clone(data))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || from != c.opts.Service || m.Code>>5 < 2 {
		c.stats.Malformed++
		return
	}
	number, ok := c.number(m.Token)
	if !ok || !c.matches(number, &m) {
		c.stats.Mismatched++
		return
	}
	x := c.waiting[number]
	if x == nil {
		c.stats.Late++
		return
	}
	select {
	case x.messages <- m:
	default:
		// The exchange has ended and is about to be forgotten.
	}
}

// number returns the number of the exchange with a token.
func (c *Client) number(token []byte) (uint32, bool) {
	if len(token) != 6 || binary.BigEndian.Uint16(token) != c.salt {
		return 0, false
	}
	n := binary.BigEndian.Uint32(token[2:])
	return n, n > 0 && n <= c.issued
}

// matches reports whether an answer is to the request with the given number. Refusals of the balancer
// and of shedding targets have no reply.
func (c *Client) matches(number uint32, m *message.Message) bool {
	r, err := target.ParseReply(m.Payload)
	if err != nil {
		return m.Code>>5 != 2
	}
	if r.Nonce != c.nonce(number) {
		return false
	}
	c.learnTarget(r)
	return true
}

// learnTarget notes where the flow is, and counts it as broken when it moved without need. Answers of
// targets that flows have to leave are late ones.
func (c *Client) learnTarget(r target.Reply) {
	now := time.Now()
	if c.lastTarget != "" && r.Target != c.lastTarget {
		if c.opts.MoveAllowed(r.Target, r.Zone, now) {
			return
		}
		if c.opts.MoveAllowed(c.lastTarget, c.lastZone, c.lastHeard) {
			c.stats.AllowedMoves++
		} else {
			c.stats.BrokenFlows++
			c.stats.BrokenMoved++
		}
	}
	c.lastTarget, c.lastZone, c.lastHeard = r.Target, r.Zone, now
}
