package link

import (
	"context"
	"net/netip"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/wire"
)

// peer is what the Manager keeps about a peer. The Manager's lock guards it.
type peer struct {
	name core.VMName
	// addr is where the peer is dialed; it is set while wanted is true.
	addr   netip.AddrPort
	wanted bool
	cancel context.CancelFunc
	// wake tells the dialer that a link was lost or went silent, or that addr changed.
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

// admit decides whether a connection that the peer dialed becomes the link.
//
// A current link that the peer dialed itself gives way, because a peer dials again only after it
// gave up on that link, and so does one that the peer names as lost. Otherwise both sides have
// dialed at the same time and the connection of the lower name stays.
func (p *peer) admit(self core.VMName, h *wire.Hello) bool {
	cur := p.current
	switch {
	case cur == nil:
		return true
	case h.Incarnation != cur.incarnation:
		return h.Incarnation > cur.incarnation
	case !cur.dialed, cur.id == h.LastLinkID:
		return true
	}
	return p.name < self
}

// keep decides whether a connection that this VM dialed becomes the link; replaces is the link that
// it was dialed for, or nil. It mirrors admit.
func (p *peer) keep(self core.VMName, l, replaces *link) bool {
	cur := p.current
	switch {
	case cur == nil, cur == replaces:
		return true
	case l.incarnation != cur.incarnation:
		return l.incarnation > cur.incarnation
	}
	return self < p.name
}

// backoff is the wait between two attempts to reach a peer.
type backoff struct{ next time.Duration }

func (b *backoff) reset() { b.next = redialFirst }

// wait returns the next wait: redialFirst after a loss, then twice as much up to redialMax, with
// jitter.
func (b *backoff) wait() time.Duration {
	d := b.next
	b.next = min(2*d, redialMax)
	if d == redialFirst {
		return d
	}
	return jitter(d)
}
