package feed

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

const (
	// HeartbeatInterval is how often a VM sends a message to its subscribers when nothing changes.
	HeartbeatInterval = 500 * time.Millisecond
	// feedTimeout is the time without a message after which a feed counts as lost: three heartbeats.
	feedTimeout = 3 * HeartbeatInterval
	// dialTimeout bounds the connection to another VM. VMs of a zone are 0.1 ms apart, other zones
	// 1 to 2 ms; a lost first packet is repeated after a second.
	dialTimeout = 700 * time.Millisecond
	// storeRetry is how often a subscriber tries the store while its reader is out of touch with it.
	storeRetry = 2 * time.Second
	// maxHops bounds the VMs that send this one on.
	maxHops = 4
	// readerGrace is the time that a reader gets to recover after one of its subscribers could reach
	// the store: after an outage all of them can.
	readerGrace = 400 * time.Millisecond
)

// followAny takes the feed of any VM that is known and has heard from the store. It reports whether
// there was one, after its feed has ended.
func (s *Source) followAny(ctx context.Context) bool {
	s.mu.Lock()
	peers := slices.Collect(maps.Keys(s.peers))
	s.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if r := s.lastReader(); r.VM != "" && r.VM != s.VM {
		peers = append([]string{r.Address}, peers...)
	}
	for _, peer := range peers {
		address := peer
		for hop := 0; hop < maxHops && address != ""; hop++ {
			f := s.dial(ctx, address)
			if f == nil {
				break
			}
			end := s.receive(ctx, f, false)
			if end.heard {
				return true
			}
			address = end.redirect
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// follow takes the feed of the zone's reader, or of a VM that the reader sends this one on to, until it
// is lost or out of touch with the store. It reports whether the reader must be looked up again;
// otherwise this VM should claim the role.
func (s *Source) follow(ctx context.Context, address string) (again bool) {
	for hop := range maxHops {
		f := s.dial(ctx, address)
		if f == nil {
			return hop > 0
		}
		end := s.receive(ctx, f, true)
		if end.redirect == "" {
			// The loss of a VM between this one and the reader says nothing of the reader.
			return end.again || hop > 0
		}
		address = end.redirect
	}
	pause(ctx, backoff())
	return true
}

// feedConn is a subscription to another VM.
type feedConn struct {
	address  string
	conn     net.Conn
	messages chan *feedpb.Message
	// err is the reason of the end, set before messages is closed.
	err error
}

// dial subscribes to another VM; it returns nil when that fails.
func (s *Source) dial(ctx context.Context, address string) *feedConn {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		s.Log.Info("cannot subscribe", "address", address, "error", err)
		return nil
	}
	if err := s.hello(conn); err != nil {
		s.Log.Info("cannot subscribe", "address", address, "error", err)
		_ = conn.Close()
		return nil
	}
	f := &feedConn{address: address, conn: conn, messages: make(chan *feedpb.Message, 4)}
	go f.read()
	return f
}

// hello sends what the other VM has to know of this one.
func (s *Source) hello(conn net.Conn) error {
	s.mu.Lock()
	m := &feedpb.Subscribe{Vm: string(s.VM), Zone: string(s.Zone), Address: s.Address, AsOf: slices.Clone(s.asOf[:]), Vms: uint32(s.behind + 1)}
	s.helloFor = s.behind
	s.mu.Unlock()
	if err := conn.SetWriteDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(conn, m)
	return err
}

// helloDue reports whether the VMs behind this one have changed since the last hello.
func (s *Source) helloDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.helloFor != s.behind
}

// read passes on messages until the connection ends or falls silent.
func (f *feedConn) read() {
	defer close(f.messages)
	r := bufio.NewReader(f.conn)
	for {
		_ = f.conn.SetReadDeadline(time.Now().Add(feedTimeout))
		m := &feedpb.Message{}
		if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(r, m); err != nil {
			f.err = err
			return
		}
		f.messages <- m
	}
}

// stop ends the subscription and waits for its reader.
func (f *feedConn) stop() {
	_ = f.conn.Close()
	for range f.messages {
	}
}

// feedEnd is how a subscription ended.
type feedEnd struct {
	// heard is true if the sender was in touch with the store at some time.
	heard bool
	// again is true when the zone's reader must be looked up again; otherwise this VM should claim the
	// role.
	again bool
	// redirect is the address of a VM to subscribe to instead.
	redirect string
}

// receive hands on messages until the feed is lost or the sender is out of touch with the store. A feed
// of the zone's reader (ofReader) that is out of touch is kept until the store serves this VM.
func (s *Source) receive(ctx context.Context, f *feedConn, ofReader bool) (end feedEnd) {
	defer f.stop()
	// tried is when this VM last asked the store while the reader was out of touch with it, served when
	// the store answered; 0 for never.
	var tried, served time.Duration
	for {
		var m Message
		select {
		case <-ctx.Done():
			end.again = true
			return end
		case pb, ok := <-f.messages:
			if !ok {
				s.state(Searching, f.address, fmt.Sprintf("the feed was lost: %v", f.err))
				return end
			}
			m = decodeMessage(pb)
		}
		if m.Redirect != "" {
			end.redirect = m.Redirect
			return end
		}
		if s.helloDue() {
			if err := s.hello(f.conn); err != nil {
				s.Log.Info("cannot send to the feed's sender", "address", f.address, "error", err)
			}
		}
		if !end.heard {
			role := Subscribed
			if !ofReader {
				role = Borrowing
			}
			s.state(role, f.address, "subscribed")
		}
		s.handOn(ctx, m)
		now := s.Now()
		switch {
		case m.Ages != nil && slices.Max(m.Ages) < storeLost:
			end.heard, served = true, 0
		case !ofReader:
			return end
		case served > 0 && now-served > readerGrace:
			s.state(Searching, f.address, "the reader is out of touch with the store, which serves this VM")
			return end
		case served == 0 && now-tried > storeRetry:
			tried = now
			r, err := s.Store.Reader(ctx, s.Zone)
			if err != nil {
				s.Log.Info("the reader is out of touch with the store, which does not answer here either", "error", err)
				continue
			}
			s.answer()
			if r.VM != s.lastReader().VM {
				end.again = true
				return end
			}
			served = s.Now()
		}
	}
}

// handOn passes a message to the control thread.
func (s *Source) handOn(ctx context.Context, m Message) {
	now := s.Now()
	e := Event{ZoneVMs: m.ZoneVMs, Observations: m.Observations}
	for i := range e.ConfirmedAt {
		// Without ages the message says nothing of the store.
		e.ConfirmedAt[i] = now - storeLost
		if m.Ages != nil {
			e.ConfirmedAt[i] = now - m.Ages[i]
		}
	}
	for i := range m.Updates {
		u := m.Updates[i]
		s.advance(u)
		each := Event{Update: &u}
		each.ConfirmedAt[u.Kind] = e.ConfirmedAt[u.Kind]
		s.send(ctx, each)
	}
	s.send(ctx, e)
}
