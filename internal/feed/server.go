package feed

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

const (
	// MaxSubscribers is the number of subscribers that a VM feeds. Further ones are sent on to one of
	// these, so that the bytes that a VM sends do not grow with its zone. 16 reach a zone of 273 VMs
	// in two hops, and keep those of the users' small sites in one.
	MaxSubscribers = 16
	// maxConnections bounds connections, with those that are being sent on.
	maxConnections = 320
	// queueLength is the number of messages that may wait for a subscriber. One that falls further
	// behind is closed, and subscribes again.
	queueLength = 64
	// subscribeTimeout bounds the arrival of the first message, writeTimeout that of any message.
	subscribeTimeout = time.Second
	writeTimeout     = 2 * time.Second
	// maxSubscribe and maxMessage bound messages in bytes. A target takes about 80 bytes and a route
	// about 40.
	maxSubscribe = 4 << 10
	maxMessage   = 16 << 20
)

// Server accepts subscriptions.
type Server struct {
	listener net.Listener
	log      *slog.Logger
	joins    chan *Subscriber

	mu    sync.Mutex
	count int
}

// Listen starts a server at an address (host:port). New subscribers come from Joins.
func Listen(address string, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, log: log, joins: make(chan *Subscriber, 16)}
	go s.accept()
	return s, nil
}

// Subscriptions returns the channel of new subscribers.
func (s *Server) Subscriptions() <-chan *Subscriber { return s.joins }

// Addr returns the address that is served.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting.
func (s *Server) Close() {
	if err := s.listener.Close(); err != nil {
		s.log.Warn("cannot close the listener", "error", err)
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			s.log.Info("no longer accepts subscriptions", "cause", err)
			return
		}
		if !s.admit(1) {
			s.log.Warn("refused a subscription", "from", conn.RemoteAddr().String(), "limit", maxConnections)
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

// admit counts subscribers and reports whether there may be one more.
func (s *Server) admit(n int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count+n > maxConnections {
		return false
	}
	s.count += n
	return true
}

// serve runs one subscription until its connection ends.
func (s *Server) serve(conn net.Conn) {
	defer s.admit(-1)
	defer conn.Close()
	r := bufio.NewReader(conn)
	var hello feedpb.Subscribe
	_ = conn.SetReadDeadline(time.Now().Add(subscribeTimeout))
	if err := (protodelim.UnmarshalOptions{MaxSize: maxSubscribe}).UnmarshalFrom(r, &hello); err != nil {
		s.log.Warn("refused a connection that does not subscribe", "from", conn.RemoteAddr().String(), "error", err)
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	sub := &Subscriber{
		VM: core.VMName(hello.Vm), Zone: core.ZoneName(hello.Zone), Address: hello.Address,
		out: make(chan []byte, queueLength), done: ctx.Done(), close: cancel,
	}
	if len(hello.AsOf) == registry.NumKinds {
		copy(sub.AsOf[:], hello.AsOf)
	}
	sub.vms.Store(int64(max(hello.Vms, 1)))
	go func() {
		defer cancel()
		// A subscriber repeats its message when the VMs behind it change; the read ends with the
		// connection.
		for {
			var again feedpb.Subscribe
			if err := (protodelim.UnmarshalOptions{MaxSize: maxSubscribe}).UnmarshalFrom(r, &again); err != nil {
				return
			}
			sub.vms.Store(int64(max(again.Vms, 1)))
		}
	}()
	s.joins <- sub
	defer cancel()
	sub.write(ctx, conn)
}

// Subscriber is a VM that takes this VM's feed.
type Subscriber struct {
	VM   core.VMName
	Zone core.ZoneName
	// Address is where the VM itself accepts subscriptions.
	Address string
	// AsOf is the store's revision at which it knew each kind when it subscribed.
	AsOf [registry.NumKinds]uint64

	// vms is the number of VMs that get the feed through it, itself included.
	vms   atomic.Int64
	out   chan []byte
	done  <-chan struct{}
	close context.CancelFunc
}

// VMs returns the number of VMs that get the feed through the subscriber, itself included.
func (s *Subscriber) VMs() int { return int(s.vms.Load()) }

// AddRedirected records that one more VM was sent on to the subscriber.
func (s *Subscriber) AddRedirected() { s.vms.Add(1) }

// Send queues an encoded message. A subscriber that is too slow is closed.
func (s *Subscriber) Send(message []byte) {
	select {
	case s.out <- message:
	default:
		s.close()
	}
}

// Closed reports whether the subscription has ended.
func (s *Subscriber) Closed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Close ends the subscription.
func (s *Subscriber) Close() { s.close() }

func (s *Subscriber) write(ctx context.Context, conn net.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-s.out:
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(b); err != nil {
				return
			}
		}
	}
}
