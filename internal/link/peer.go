package link

import (
	"context"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// peer is the Manager's state of a peer. Manager.mu guards it.
type peer struct {
	name core.VMName
	// addr is the address that is dialed; it is set while wanted is true.
	addr netip.AddrPort
	// wanted is true from Dial to CloseLink, while dialLoop runs.
	wanted bool
	cancel context.CancelFunc
	// wake signals to the dialer that the link was lost or is silent, or that addr changed.
	wake    chan struct{}
	current *link
	// lastID is the id of the last link that ended.
	lastID uint64
}

func newPeer(name core.VMName) *peer {
	return &peer{name: name, wake: make(chan struct{}, 1), cancel: func() {}}
}

func (p *peer) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// admitAccepted reports whether a connection that the peer dialed becomes the link.
//
// If the incarnations differ, the connection to the newer incarnation is kept. Otherwise the connection
// replaces a current link that the peer dialed, because a peer dials again only after it has given up that
// link, and a current link whose id is the LastLinkID of the peer's Hello. In all other cases both sides
// have dialed at the same time, and the connection dialed by the VM with the lower name is kept.
func (p *peer) admitAccepted(self core.VMName, peerHello *wire.Hello) bool {
	current := p.current
	switch {
	case current == nil:
		return true
	case peerHello.Incarnation != current.incarnation:
		return peerHello.Incarnation > current.incarnation
	case !current.dialed, current.id == peerHello.LastLinkID:
		return true
	}
	return p.name < self
}

// admitDialed reports whether a connection that this VM dialed becomes the link; replaces is the silent
// link that the connection replaces, or nil. It applies the rules of admitAccepted from the dialer's side.
func (p *peer) admitDialed(self core.VMName, l, replaces *link) bool {
	current := p.current
	switch {
	case current == nil, current == replaces:
		return true
	case l.incarnation != current.incarnation:
		return l.incarnation > current.incarnation
	}
	return self < p.name
}

// backoff computes the delay between two dials of a peer.
type backoff struct{ next time.Duration }

func (b *backoff) reset() { b.next = redialFirst }

// wait returns the next delay: redialFirst after a reset, then twice the previous one up to redialMax,
// with jitter.
func (b *backoff) wait() time.Duration {
	d := b.next
	b.next = min(2*d, redialMax)
	if d == redialFirst {
		return d
	}
	return jitter(d)
}
