package coretest

import (
	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// dial keeps trying to connect a VM with a peer until the VM gives up or ends.
func (w *Cluster) dial(m *machine, inc core.Incarnation, peer core.VMName) {
	if m.inc != inc || !m.alive || !m.dials[peer] {
		return
	}
	p := w.vms[peer]
	switch {
	case m.links[peer] || p == nil:
	case w.severed(m, string(peer), p.info.Zone) || p.silent:
	case !p.alive:
		w.input(m.info.Name, core.LinkEvent{Peer: peer, State: core.LinkRefused})
	default:
		w.openLink(m, p)
	}
	w.After(redialFast, func() { w.dial(m, inc, peer) })
}

// openLink connects two VMs.
func (w *Cluster) openLink(a, b *machine) {
	for _, pair := range [2][2]*machine{{a, b}, {b, a}} {
		if pair[0].links[pair[1].info.Name] {
			continue
		}
		pair[0].links[pair[1].info.Name] = true
		w.input(pair[0].info.Name, core.LinkEvent{Peer: pair[1].info.Name, State: core.LinkUp})
	}
}

// closeLink takes a VM's link to a peer away.
func (w *Cluster) closeLink(name, peer core.VMName) {
	m := w.vms[name]
	delete(m.links, peer)
	w.After(linkLatency, func() {
		w.input(name, core.LinkEvent{Peer: peer, State: core.LinkDown})
	})
}

// sendPeer delivers a message in order, if the link stands.
func (w *Cluster) sendPeer(m *machine, a core.SendPeer) {
	msg := w.encode(m, a.Msg)
	p := w.vms[a.To]
	if p == nil || !m.links[a.To] || w.severed(m, string(a.To), p.info.Zone) {
		return
	}
	key := linkKey{m.info.Name, a.To}
	at := max(w.now+linkLatency, w.lastAt[key])
	w.lastAt[key] = at
	inc := p.inc
	w.At(at, func() {
		if p.inc == inc {
			w.input(a.To, core.PeerMessage{From: m.info.Name, Msg: msg})
		}
	})
}

// yamuxHeader is the framing that a link adds to each message, with its length prefix.
const yamuxHeader = 12 + 4

// encode passes a message through the encoding of real links and adds it to the sender's counters.
func (w *Cluster) encode(m *machine, msg core.Message) core.Message {
	b, err := wire.Encode(msg, wire.MaxVersion)
	if err != nil {
		w.violate("%s cannot send %T: %v", m.info.Name, msg, err)
		return msg
	}
	switch msg.(type) {
	case *core.ForwardRequest, *core.RecordStarted, *core.RecordAck, *core.RequestOutcome,
		*core.FlowLearned:
		m.TrafficMessages++
	default:
		m.ControlMessages++
		m.ControlBytes += uint64(len(b) + yamuxHeader)
	}
	decoded, err := wire.Decode(b)
	if err != nil {
		w.violate("%T of %s cannot be decoded: %v", msg, m.info.Name, err)
		return msg
	}
	return decoded
}
