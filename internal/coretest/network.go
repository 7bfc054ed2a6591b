package coretest

import (
	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// dial tries to connect a VM to a peer every redialInterval, until the VM's process ends or closes the link.
func (c *Cluster) dial(m *machine, incarnation core.Incarnation, peer core.VMName) {
	if m.incarnation != incarnation || !m.alive || !m.dialed[peer] {
		return
	}
	p := c.vms[peer]
	switch {
	case m.links[peer] || p == nil:
	case c.partitioned(m, string(peer), p.info.Zone) || p.poweredOff:
	case !p.alive:
		c.handleInput(m.info.Name, core.LinkEvent{Peer: peer, State: core.LinkRefused})
	default:
		c.openLink(m, p)
	}
	c.After(redialInterval, func() { c.dial(m, incarnation, peer) })
}

// openLink connects two VMs and reports the link to both.
func (c *Cluster) openLink(a, b *machine) {
	for _, ends := range [2][2]*machine{{a, b}, {b, a}} {
		if ends[0].links[ends[1].info.Name] {
			continue
		}
		ends[0].links[ends[1].info.Name] = true
		c.handleInput(ends[0].info.Name, core.LinkEvent{Peer: ends[1].info.Name, State: core.LinkUp})
	}
}

// closeLink removes a VM's link to a peer and reports this to the VM.
func (c *Cluster) closeLink(name, peer core.VMName) {
	m := c.vms[name]
	delete(m.links, peer)
	c.After(linkLatency, func() {
		c.handleInput(name, core.LinkEvent{Peer: peer, State: core.LinkDown})
	})
}

// sendPeer delivers a message to a peer, in the order of sending, if the link is up.
func (c *Cluster) sendPeer(m *machine, send core.SendPeer) {
	msg := c.encode(m, send.Msg)
	p := c.vms[send.To]
	if p == nil || !m.links[send.To] || c.partitioned(m, string(send.To), p.info.Zone) {
		return
	}
	key := linkKey{m.info.Name, send.To}
	at := max(c.now+linkLatency, c.lastArrival[key])
	c.lastArrival[key] = at
	incarnation := p.incarnation
	c.At(at, func() {
		if p.incarnation == incarnation {
			c.handleInput(send.To, core.PeerMessage{From: m.info.Name, Msg: msg})
		}
	})
}

// frameHeaderSize is the number of bytes that a link adds to each message: the yamux header and the length
// prefix.
const frameHeaderSize = 12 + 4

// encode encodes and decodes a message as real links do, and adds it to the sender's counters.
func (c *Cluster) encode(m *machine, msg core.Message) core.Message {
	b, err := wire.Encode(msg, wire.MaxVersion)
	if err != nil {
		c.recordViolation("%s cannot send %T: %v", m.info.Name, msg, err)
		return msg
	}
	switch msg.(type) {
	case *core.ForwardRequest, *core.RecordStarted, *core.RecordAck, *core.RequestOutcome,
		*core.FlowLearned:
		m.TrafficMessages++
	default:
		m.ControlMessages++
		m.ControlBytes += uint64(len(b) + frameHeaderSize)
	}
	decoded, err := wire.Decode(b)
	if err != nil {
		c.recordViolation("%T of %s cannot be decoded: %v", msg, m.info.Name, err)
		return msg
	}
	return decoded
}
