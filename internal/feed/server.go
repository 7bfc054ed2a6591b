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
	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

const (
	// MaxSubscribers is the maximum number of subscribers of a VM. Further ones are redirected to one of
	// these, so that the traffic that a VM sends does not grow with its zone. With 16, a zone of 273 VMs is
	// reached in two hops, and the zones of the users' small sites in one.
	MaxSubscribers = 16
	// maxConnections is the maximum number of connections, including those that are being redirected.
	maxConnections = 320
	// queueLength is the maximum number of messages that are queued for a subscriber. When more are due, its
	// connection is closed, and it subscribes again.
	queueLength = 64
	// subscribeTimeout is the timeout for the first message of a subscriber, writeTimeout the timeout for
	// sending a message to it.
	subscribeTimeout = time.Second
	writeTimeout     = 2 * time.Second
	// maxStates is the maximum number of VMs that are sent the whole state at the same time. With more, the state of
	// 3,000 targets (300 KB) would delay changes over a link of 20 Mbit/s by over half a second.
	maxStates = 4
	// maxSubscribe and maxMessage are the maximum sizes of messages in bytes. A target takes about 80 bytes,
	// a route about 40, and a VM of a zone 4.
	maxSubscribe = 16 << 10
	maxMessage   = 16 << 20
)

// Server accepts subscriptions.
type Server struct {
	listener      net.Listener
	log           *slog.Logger
	subscriptions chan *Subscriber
	failures      chan []forward.TargetFailures
	loads         chan LoadReports
	// acknowledged receives the subscribers that have received the configuration that they were sent.
	acknowledged chan *Subscriber
	// states has an element for each VM that is being sent the whole state.
	states chan struct{}

	mu    sync.Mutex
	count int
}

// Listen starts a server at an address (host:port). Subscriptions returns its new subscribers.
func Listen(address string, log *slog.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: l, log: log, subscriptions: make(chan *Subscriber, 16), failures: make(chan []forward.TargetFailures, 64),
		loads:        make(chan LoadReports, 64),
		acknowledged: make(chan *Subscriber, MaxSubscribers), states: make(chan struct{}, maxStates),
	}
	go s.accept()
	return s, nil
}

// Subscriptions returns the channel of new subscribers.
func (s *Server) Subscriptions() <-chan *Subscriber { return s.subscriptions }

// Failures returns the channel of failures of targets that subscribers report.
func (s *Server) Failures() <-chan []forward.TargetFailures { return s.failures }

// Loads returns the channel of load reports of subscribers.
func (s *Server) Loads() <-chan LoadReports { return s.loads }

// Acknowledged returns the channel of subscribers that have received the configuration that they were sent. A subscriber is
// left out while the channel is full.
func (s *Server) Acknowledged() <-chan *Subscriber { return s.acknowledged }

// Addr returns the address at which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops accepting subscriptions; existing ones stay open.
func (s *Server) Close() {
	if err := s.listener.Close(); err != nil {
		s.log.Warn("cannot close the listener", "error", err)
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			s.log.Info("subscriptions are no longer accepted", "cause", err)
			return
		}
		if !s.adjustCount(1) {
			s.log.Warn("refused a subscription: too many connections", "from", conn.RemoteAddr().String(), "limit", maxConnections)
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

// adjustCount adds n to the number of connections, unless that would exceed maxConnections, and reports
// whether it did.
func (s *Server) adjustCount(n int) bool {
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
	defer s.adjustCount(-1)
	defer conn.Close()
	input := bufio.NewReader(conn)
	var first feedpb.Subscribe
	_ = conn.SetReadDeadline(time.Now().Add(subscribeTimeout))
	if err := (protodelim.UnmarshalOptions{MaxSize: maxSubscribe}).UnmarshalFrom(input, &first); err != nil {
		s.log.Warn("refused a connection without a valid subscription", "from", conn.RemoteAddr().String(), "error", err)
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	sub := &Subscriber{
		VM: core.VMName(first.Vm), Zone: core.ZoneName(first.Zone), Address: first.Address, StateOnly: first.StateOnly,
		acknowledges: first.Acknowledges,
		queue:        make(chan []byte, queueLength), done: ctx.Done(), close: cancel,
	}
	eras := decodeEras(first.Eras)
	for kind := range first.AsOf {
		if len(first.AsOf) == registry.NumKinds {
			sub.AsOf[kind] = registry.Revision{Era: eras[kind], Number: first.AsOf[kind]}
		}
	}
	sub.record(&first)
	go func() {
		defer cancel()
		s.receiveLoads(ctx, sub, &first)
		s.receiveReports(ctx, sub, input)
	}()
	defer cancel()
	if sub.StateOnly {
		_ = conn.SetReadDeadline(time.Now().Add(writeTimeout))
		select {
		case s.states <- struct{}{}:
			defer func() { <-s.states }()
		case <-ctx.Done():
			return
		}
	}
	s.subscriptions <- sub
	sub.writeMessages(ctx, conn)
}

// receiveReports receives the messages that a subscriber sends when its downstream VMs change, and the failures and
// loads of targets that these observed, until its connection ends.
func (s *Server) receiveReports(ctx context.Context, sub *Subscriber, input *bufio.Reader) {
	for {
		var repeated feedpb.Subscribe
		if err := (protodelim.UnmarshalOptions{MaxSize: maxSubscribe}).UnmarshalFrom(input, &repeated); err != nil {
			return
		}
		sub.record(&repeated)
		select {
		case s.acknowledged <- sub:
		default:
		}
		if len(repeated.Failures) > 0 {
			select {
			case s.failures <- decodeFailures(repeated.Failures):
			case <-ctx.Done():
				return
			}
		}
		s.receiveLoads(ctx, sub, &repeated)
	}
}

// receiveLoads passes on the load reports in a message of a subscriber.
func (s *Server) receiveLoads(ctx context.Context, sub *Subscriber, message *feedpb.Subscribe) {
	if len(message.LoadReports) == 0 {
		return
	}
	loads := LoadReports{Zone: sub.Zone}
	loads.Reports, loads.Malformed = decodeReports(message.LoadReports)
	select {
	case s.loads <- loads:
	case <-ctx.Done():
	}
}

// Subscriber is a VM that subscribes to this VM.
type Subscriber struct {
	VM   core.VMName
	Zone core.ZoneName
	// Address is where the VM itself accepts subscriptions.
	Address string
	// StateOnly is true for a VM that wants one message with the whole state, and is not sent changes.
	StateOnly bool
	// AsOf is the store's revision up to which the VM had each kind when it subscribed; zero for a kind that it
	// did not have.
	AsOf [registry.NumKinds]registry.Revision

	// ConfigDue is true while the newest configuration waits until the subscriber has received an older one.
	// ConfigConfirmedAt is when the store last confirmed that one. Both belong to the control thread.
	ConfigDue         bool
	ConfigConfirmedAt time.Duration

	// acknowledges is true for a VM that reports which configuration it has received. Earlier versions do not.
	acknowledges bool
	// configSent is the version of the configuration that the subscriber was sent last, configReceived the newest one that it
	// has received.
	configSent     uint64
	configReceived atomic.Uint64
	// vms is the number of VMs that receive the change feed through the subscriber, itself included.
	vms atomic.Int64
	// members are the VMs among these that are in the subscriber's zone.
	members atomic.Pointer[[]forward.VMID]
	queue   chan []byte
	done    <-chan struct{}
	close   context.CancelFunc
}

// record records the VMs that a Subscribe message reports.
func (s *Subscriber) record(m *feedpb.Subscribe) {
	s.vms.Store(int64(max(m.Vms, 1)))
	members := decodeVMIDs(m.Members)
	s.members.Store(&members)
	s.configReceived.Store(m.ConfigVersion)
}

// Members returns the VMs of the subscriber's zone that receive the change feed through it, itself included.
// They must not be changed.
func (s *Subscriber) Members() []forward.VMID { return *s.members.Load() }

// VMs returns the number of VMs that receive the change feed through the subscriber, itself included.
func (s *Subscriber) VMs() int { return int(s.vms.Load()) }

// AddRedirected records that one more VM was redirected to the subscriber.
func (s *Subscriber) AddRedirected() { s.vms.Add(1) }

// SetConfigSent records the version of the configuration that the subscriber is sent. It belongs to the control thread.
func (s *Subscriber) SetConfigSent(version uint64) { s.configSent = version }

// ConfigReceived returns the newest version of the configuration that the subscriber has; 0 if that is not known.
func (s *Subscriber) ConfigReceived() uint64 { return s.configReceived.Load() }

// AwaitsConfig reports whether the subscriber has not received the configuration yet that it was sent. Another one would
// wait behind it.
func (s *Subscriber) AwaitsConfig() bool {
	return s.acknowledges && s.configReceived.Load() < s.configSent
}

// Send queues an encoded message. It closes the subscription when the queue is full.
func (s *Subscriber) Send(message []byte) {
	select {
	case s.queue <- message:
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

func (s *Subscriber) writeMessages(ctx context.Context, conn net.Conn) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-s.queue:
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(b); err != nil {
				return
			}
		}
	}
}
