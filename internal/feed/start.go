package feed

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed/feedpb"
)

const (
	// startWait is the time within which the zone's reader must begin to send its state to a VM that starts.
	// Afterwards the VM reads the store itself.
	startWait = 100 * time.Millisecond
	// startDialTimeout is the timeout of the connection for it. The latency within a zone is 0.1 ms; a VM without
	// power does not answer at all.
	startDialTimeout = 30 * time.Millisecond
	// stateTimeout is the timeout for the rest of the state: 300 KB for 3,000 targets, which take 0.5 s over a link
	// of 20 Mbit/s that four transfers share.
	stateTimeout = time.Second
	// firstReaderWait is how long a VM waits for a first reader of its zone to send the state. VMs claim the role
	// within half a second.
	firstReaderWait = 2 * time.Second
)

// errNoState reports that the zone's reader cannot send its state.
const errNoState = errors.ConstError("the zone's reader has no up-to-date state: read the store instead")

// errNoReader reports that the zone has never had a reader, so that the whole deployment starts for the first time.
const errNoReader = errors.ConstError("the zone has no reader yet: wait until a VM has claimed the role")

// readState looks up the zone's reader and reads all objects from it, over a connection of its own so that the
// state does not delay changes. It returns the reader, and an error if there is no reader or no state.
func (s *Source) readState(ctx context.Context) (Reader, error) {
	lookup, cancel := context.WithTimeout(ctx, s.startWait)
	defer cancel()
	reader, err := s.lookUpReader(lookup)
	if err != nil {
		return Reader{}, err
	}
	switch reader.VM {
	case "":
		return reader, errNoReader
	case s.VM:
		return reader, errNoState
	}
	dialer := net.Dialer{Timeout: startDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", reader.Address)
	if err != nil {
		return reader, err
	}
	defer conn.Close()
	requested := s.Now()
	message, err := s.requestState(conn)
	if err != nil {
		return reader, err
	}
	if len(message.Updates) != registry.NumKinds || message.Ages == nil || slices.Max(message.Ages) >= storeLostAfter {
		return reader, errNoState
	}
	// The reader encoded the state after the request.
	message.addDelay(s.Now() - requested)
	s.discardOtherHistories(&message)
	s.deliver(ctx, message)
	return reader, nil
}

// requestState requests the state of a VM and returns its first message.
func (s *Source) requestState(conn net.Conn) (Message, error) {
	if err := conn.SetDeadline(time.Now().Add(s.startWait)); err != nil {
		return Message{}, err
	}
	request := &feedpb.Subscribe{Vm: string(s.VM), Zone: string(s.Zone), Address: s.Address, StateOnly: true}
	if _, err := protodelim.MarshalTo(conn, request); err != nil {
		return Message{}, err
	}
	input := bufio.NewReader(conn)
	if _, err := input.Peek(1); err != nil {
		return Message{}, err
	}
	if err := conn.SetDeadline(time.Now().Add(stateTimeout)); err != nil {
		return Message{}, err
	}
	m := &feedpb.Message{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(input, m); err != nil {
		return Message{}, err
	}
	return decodeMessage(m), nil
}

// readAll reads the kinds that this VM does not have yet after the delay, from the store or from another VM,
// whichever answers first.
func (s *Source) readAll(ctx context.Context, delay time.Duration) {
	if !sleep(ctx, delay) {
		return
	}
	var missing []registry.Kind
	for kind := range registry.Kind(registry.NumKinds) {
		if s.knownRevision(kind).IsZero() {
			missing = append(missing, kind)
		}
	}
	if len(missing) == 0 {
		return
	}
	peers, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// A working store responds within milliseconds.
		if sleep(peers, storeLostAfter/5) {
			s.followAny(peers)
		}
	}()
	var wg sync.WaitGroup
	for _, kind := range missing {
		wg.Go(func() {
			for ctx.Err() == nil && s.knownRevision(kind).IsZero() {
				if s.list(ctx, kind, false) != nil {
					sleep(ctx, randomBackoff())
				}
			}
		})
	}
	wg.Wait()
}
