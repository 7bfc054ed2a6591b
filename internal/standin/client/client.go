package client

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/carrier"
	"github.com/mangoweir/mangoweir/internal/standin/target"
)

// Client sends one flow to a service. It is safe for concurrent use.
type Client struct {
	opts   Options
	socket *carrier.Socket
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu            sync.Mutex
	rng           *rand.Rand
	stats         Stats
	tokenPrefix   uint16
	lastNumber    uint32
	lastMessageID uint16
	pending       map[uint32]*exchange
	// lastTarget and lastZone are the target and the zone that the last answer named; lastAnswerAt is when
	// it was received.
	lastTarget, lastZone    string
	lastAnswerAt            time.Time
	postedKeys, refusedKeys []string
	postCount, uploadCount  int
}

// exchange is a request that waits for answers.
type exchange struct {
	number   uint32
	nonce    string
	class    core.Class
	messages chan message.Message
}

// maxKeys bounds the keys that a client keeps of postings that ran, and those of refused ones.
const maxKeys = 100_000

// Start opens the client's socket. It uses a loopback address when the service's address is one.
func Start(opts Options) (*Client, error) {
	opts = opts.withDefaults()
	local := netip.MustParseAddrPort("127.0.0.1:0")
	if !opts.Service.Addr().IsLoopback() {
		local = netip.AddrPort{}
	}
	socket, err := carrier.Listen(local)
	if err != nil {
		return nil, fmt.Errorf("client %s: %w", opts.Name, err)
	}
	rng := rand.New(rand.NewPCG(opts.Seed, 0x63616c6c))
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		opts:          opts,
		socket:        socket,
		cancel:        cancel,
		rng:           rng,
		tokenPrefix:   uint16(rng.Uint32()),
		lastMessageID: uint16(rng.Uint32()),
		pending:       map[uint32]*exchange{},
	}
	c.done.Go(func() { _ = socket.Serve(ctx, c.receive) })
	return c, nil
}

// Addr returns the client's address.
func (c *Client) Addr() netip.AddrPort { return c.socket.Addr() }

// Close closes the client's socket. Requests in progress end as Silent.
func (c *Client) Close() {
	c.cancel()
	_ = c.socket.Close()
	c.done.Wait()
}

// Stats returns the current counts.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// RefusedKeys returns the content keys of postings that were refused as not run. None of them may be in
// the ledger.
func (c *Client) RefusedKeys() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.refusedKeys...)
}

// LastTarget returns the name of the target that last answered; empty when none has.
func (c *Client) LastTarget() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastTarget
}

// updateStats applies a change to the counts under the lock.
func (c *Client) updateStats(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

// beginExchange registers a new exchange with a token of its own.
func (c *Client) beginExchange(class core.Class) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastNumber++
	x := &exchange{number: c.lastNumber, nonce: c.nonce(c.lastNumber), class: class, messages: make(chan message.Message, 64)}
	c.pending[x.number] = x
	return x
}

// endExchange discards an exchange. Answers to it that are received later count as late.
func (c *Client) endExchange(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, x.number)
}

// nonce returns the nonce of the exchange with the given number.
func (c *Client) nonce(number uint32) string { return fmt.Sprintf("%s-%d", c.opts.Name, number) }

// token returns the token of an exchange. The random prefix distinguishes the clients of a run.
func (c *Client) token(number uint32) []byte {
	b := binary.BigEndian.AppendUint16(make([]byte, 0, 6), c.tokenPrefix)
	return binary.BigEndian.AppendUint32(b, number)
}

// encode adds type, message id, token, nonce and deadline to a request and returns the encoded datagram.
func (c *Client) encode(x *exchange, m message.Message, deadline time.Duration) []byte {
	c.mu.Lock()
	c.lastMessageID++
	m.MessageID = int32(c.lastMessageID)
	c.mu.Unlock()
	m.Type = message.Confirmable
	if c.opts.NonConfirmable {
		m.Type = message.NonConfirmable
	}
	m.Token = c.token(x.number)
	carrier.AddOption(&m, carrier.OptionQuery, []byte(target.QueryNonce+x.nonce))
	carrier.SetOptionUint(&m, carrier.OptionDeadline, uint32(deadline.Milliseconds()))
	b, err := carrier.AppendMessage(nil, &m)
	if err != nil {
		panic("client: cannot encode a request: " + err.Error())
	}
	return b
}

// send sends a datagram to the service.
func (c *Client) send(datagram []byte) {
	c.updateStats(func(s *Stats) { s.DatagramsSent++ })
	_ = c.socket.Write(datagram, c.opts.Service)
}

// jitter returns a duration between 1 and 1.5 times d.
func (c *Client) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d + time.Duration(c.rng.Float64()*float64(d)/2)
}

// sleep waits for a duration; it returns false when the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
