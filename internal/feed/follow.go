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

	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

const (
	// HeartbeatInterval is how often a VM sends a message to its subscribers when nothing changes.
	HeartbeatInterval = 500 * time.Millisecond
	// feedTimeout is the time without a message after which a subscription counts as lost: three heartbeats.
	feedTimeout = 3 * HeartbeatInterval
	// dialTimeout is the timeout of a connection attempt to another VM. The latency is 0.1 ms within a zone
	// and 1 to 2 ms between zones; TCP retransmits a lost first packet after a second.
	dialTimeout = 700 * time.Millisecond
	// storeRetryInterval is how often a subscriber calls the store while its reader cannot reach it, and how often a VM
	// calls the store while it receives the feed of another VM than its zone's reader.
	storeRetryInterval = 2 * time.Second
	// maxHops is the maximum number of VMs to try when each one redirects to the next.
	maxHops = 4
	// readerRecoveryTime is how long a subscriber waits for its reader to recover after the store has served
	// the subscriber. After an outage, all VMs can reach the store again at about the same time, and the reader finds
	// that after a backoff and a first watch.
	readerRecoveryTime = maxBackoff + firstWatchWait
)

// followAny subscribes to any VM whose address is known and whose data of the store is fresh, until the
// subscription ends. It reports whether there was such a VM.
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
			if end.fresh {
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

// follow subscribes to the zone's reader, or to a VM that the reader redirects to, until the subscription is
// lost or the reader cannot reach the store. It reports whether the reader must be looked up again;
// otherwise this VM should claim the role.
func (s *Source) follow(ctx context.Context, address string) (lookUpReader bool) {
	for hop := range maxHops {
		f := s.dial(ctx, address)
		if f == nil {
			return hop > 0
		}
		end := s.receive(ctx, f, true)
		if end.redirect == "" {
			// After a redirect, the loss of the subscription does not mean that the reader is lost.
			return end.lookUpReader || hop > 0
		}
		address = end.redirect
	}
	sleep(ctx, randomBackoff())
	return true
}

// feedConn is a subscription to another VM.
type feedConn struct {
	address  string
	conn     net.Conn
	messages chan *feedpb.Message
	delay    delayEstimator
	// err is the reason for the end; it is set before messages is closed.
	err error
}

// dial subscribes to another VM; it returns nil when that fails, or when the address is that of this VM: the seeds may
// contain it, and a VM may redirect to a subscription that this VM has lost.
func (s *Source) dial(ctx context.Context, address string) *feedConn {
	if address == s.Address {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		s.Log.Info("cannot subscribe", "address", address, "error", err)
		return nil
	}
	subscribedAt := s.Now()
	if err := s.sendSubscribe(conn); err != nil {
		s.Log.Info("cannot subscribe", "address", address, "error", err)
		_ = conn.Close()
		return nil
	}
	f := &feedConn{address: address, conn: conn, messages: make(chan *feedpb.Message, 4), delay: delayEstimator{subscribedAt: subscribedAt}}
	go f.readMessages()
	return f
}

// sendSubscribe sends a Subscribe message about this VM.
func (s *Source) sendSubscribe(conn net.Conn) error {
	s.mu.Lock()
	m := &feedpb.Subscribe{
		Vm: string(s.VM), Zone: string(s.Zone), Address: s.Address,
		Acknowledges: true, ConfigVersion: s.configs.Latest(),
		Vms:     uint32(s.downstream.VMs + 1),
		Members: encodeVMIDs(append([]forward.VMID{forward.NewVMID(s.VM)}, s.downstream.Members...)),
	}
	for _, asOf := range s.asOf {
		m.AsOf, m.Eras = append(m.AsOf, asOf.Number), append(m.Eras, asOf.Era)
	}
	m.Failures = encodeFailures(s.failures)
	m.LoadReports = encodeReports(s.load.take(s.sinceStart()))
	s.downstreamReported, s.failures = true, nil
	s.mu.Unlock()
	if err := conn.SetWriteDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(conn, m)
	return err
}

// subscribeDue reports whether there are failures or loads to report, or the VMs downstream have changed since the last
// Subscribe message.
func (s *Source) subscribeDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.downstreamReported || len(s.failures) > 0 || s.load.due(s.sinceStart())
}

func (s *Source) sendSubscribeIfDue(subscription *feedConn) {
	if !s.subscribeDue() {
		return
	}
	if err := s.sendSubscribe(subscription.conn); err != nil {
		s.Log.Info("cannot send the downstream VMs, failures and loads", "address", subscription.address, "error", err)
	}
}

// completeConfigs replaces configurations in a message that are changes to an earlier one by whole ones. If this VM does not
// have the earlier one, it forgets the revision that it has, so that the next subscription begins with a whole one, and
// returns false.
func (s *Source) completeConfigs(message *Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range message.Updates {
		for j := range message.Updates[i].Records {
			record := &message.Updates[i].Records[j]
			if record.Config == nil || record.Config.Base == 0 {
				continue
			}
			base := s.configs.Get(record.Config.Base)
			if base == nil {
				s.asOf[registry.Configs], s.configs = registry.Revision{}, registry.ConfigHistory{}
				return false
			}
			record.Config = record.Config.ApplyTo(base)
		}
	}
	return true
}

// acknowledge reports that a configuration has arrived, so that the sender sends the next one.
func (s *Source) acknowledge(subscription *feedConn) {
	if err := s.sendSubscribe(subscription.conn); err != nil {
		s.Log.Info("cannot acknowledge a configuration", "address", subscription.address, "error", err)
	}
}

// readMessages reads messages until the connection ends or no message arrives within feedTimeout.
func (f *feedConn) readMessages() {
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

// close ends the subscription and waits for the end of readMessages.
func (f *feedConn) close() {
	_ = f.conn.Close()
	for range f.messages {
	}
}

// feedEnd is the result of a subscription that has ended.
type feedEnd struct {
	// fresh is true if the sender's data of the store was fresh at some time.
	fresh bool
	// lookUpReader is true when the zone's reader must be looked up again; otherwise this VM should claim the
	// role.
	lookUpReader bool
	// redirect is the address of a VM to subscribe to instead.
	redirect string
}

// receive delivers messages until the subscription is lost, or the sender's data of the store is no longer
// fresh. A subscription to the zone's reader (fromReader) without fresh data is kept until the store has
// served this VM for readerRecoveryTime.
func (s *Source) receive(ctx context.Context, subscription *feedConn, fromReader bool) (end feedEnd) {
	defer subscription.close()
	// servedSince is when the store first responded to a call of this VM while the reader's data was not fresh; 0 means never.
	var servedSince time.Duration
	fresh := false
	// A store that does not answer must not delay messages: what other VMs observe matters most then.
	lookup := readerLookup{source: s, results: make(chan lookupResult, 1)}
	if !fromReader {
		lookup.startedAt = s.Now()
	}
	for {
		var message Message
		select {
		case <-ctx.Done():
			end.lookUpReader = true
			return end
		case pb, ok := <-subscription.messages:
			if !ok {
				s.sendState(Searching, subscription.address, fmt.Sprintf("the feed was lost: %v", subscription.err))
				return end
			}
			message = decodeMessage(pb)
			message.addDelay(subscription.delay.delay(message.SentAt, s.Now()))
		case result := <-lookup.results:
			lookup.running = false
			switch {
			case result.err != nil:
				s.Log.Info("the store does not serve this VM", "peer", subscription.address, "error", result.err)
			case !fromReader:
				return end
			case result.reader.VM != s.lastReader().VM:
				end.lookUpReader = true
				return end
			case !fresh:
				servedSince = s.Now()
			}
			continue
		case <-s.wake:
			s.sendSubscribeIfDue(subscription)
			continue
		}
		if message.Redirect != "" {
			end.redirect = message.Redirect
			return end
		}
		if !s.completeConfigs(&message) {
			s.Log.Info("subscribing again for the whole configuration", "address", subscription.address)
			end.redirect = subscription.address
			return end
		}
		s.sendSubscribeIfDue(subscription)
		s.discardOtherHistories(&message)
		fresh = message.Ages != nil && slices.Max(message.Ages) < storeLostAfter && message.StoreFailing < storeFailingAfter
		if !end.fresh && (fresh || fromReader) {
			role := Subscribed
			if !fromReader {
				role = Borrowing
			}
			s.sendState(role, subscription.address, "subscribed")
		}
		s.deliver(ctx, message)
		if slices.ContainsFunc(message.Updates, func(u registry.Update) bool { return u.Kind == registry.Configs }) {
			s.acknowledge(subscription)
		}
		switch {
		case fresh:
			end.fresh, servedSince = true, 0
			if !fromReader {
				lookup.startIfDue(ctx)
			}
		case !fromReader:
			return end
		case servedSince > 0 && s.Now()-servedSince > readerRecoveryTime:
			s.sendState(Searching, subscription.address, "the store serves this VM, but does not confirm the reader's data")
			return end
		case servedSince == 0:
			lookup.startIfDue(ctx)
		}
	}
}

// readerLookup looks up the zone's reader beside a subscription, at most once in storeRetryInterval.
type readerLookup struct {
	source    *Source
	startedAt time.Duration
	running   bool
	results   chan lookupResult
}

type lookupResult struct {
	reader Reader
	err    error
}

// startIfDue starts a lookup, whose result is sent to results, unless one is running or was started a short time ago.
func (l *readerLookup) startIfDue(ctx context.Context) {
	if now := l.source.Now(); !l.running && now-l.startedAt > storeRetryInterval {
		l.running, l.startedAt = true, now
		go func() {
			reader, err := l.source.lookUpReader(ctx)
			l.results <- lookupResult{reader, err}
		}()
	}
}

// storeServes reports whether the store serves this VM.
func (s *Source) storeServes(ctx context.Context) bool {
	if _, err := s.lookUpReader(ctx); err != nil {
		s.Log.Info("the store does not serve this VM yet", "error", err)
		return false
	}
	return true
}

// deliver sends the contents of a message to the control thread.
func (s *Source) deliver(ctx context.Context, message Message) {
	now := s.Now()
	confirmation := Event{ZoneVMs: message.ZoneVMs, Members: message.Members, Ejections: message.Ejections, Observations: message.Observations}
	for i := range confirmation.ConfirmedAt {
		// A message without ages has no data of the store.
		confirmation.ConfirmedAt[i] = now - storeLostAfter
		if message.Ages != nil {
			confirmation.ConfirmedAt[i] = now - message.Ages[i]
		}
	}
	if len(message.ReturnedZones) > 0 {
		// The targets of these zones must not count as warm in the first snapshot.
		s.send(ctx, Event{ReturnedZones: message.ReturnedZones})
	}
	for i := range message.Updates {
		u := message.Updates[i]
		if !s.sendUpdate(ctx, u, confirmation.ConfirmedAt[u.Kind], false) {
			// Without the update, the confirmation would be one of older data.
			return
		}
	}
	s.recordConfirmations(confirmation.ConfirmedAt)
	if message.Load != nil {
		confirmation.Load, confirmation.LoadAt = message.Load, now-message.Load.Age
	}
	s.send(ctx, confirmation)
}
