package caller

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

// Client is one flow to a service. It is safe for concurrent use.
type Client struct {
	opts   Options
	socket *carrier.Socket
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	stats   Stats
	salt    uint16
	issued  uint32
	nextMID uint16
	waiting map[uint32]*exchange
	// lastTarget and lastZone are where the flow is, as far as answers told; lastHeard is when the
	// target's last answer came.
	lastTarget, lastZone string
	lastHeard            time.Time
	posted, refused      []string
	posts, uploads       int
}

// exchange is a request that waits for answers.
type exchange struct {
	number   uint32
	nonce    string
	class    core.Class
	messages chan message.Message
}

// maxKeys bounds the keys of postings that a caller remembers, per kind.
const maxKeys = 100_000

// Start opens a caller's socket.
func Start(opts Options) (*Client, error) {
	opts = opts.withDefaults()
	local := netip.MustParseAddrPort("127.0.0.1:0")
	if !opts.Service.Addr().IsLoopback() {
		local = netip.AddrPort{}
	}
	socket, err := carrier.Listen(local)
	if err != nil {
		return nil, fmt.Errorf("caller %s: %w", opts.Name, err)
	}
	rng := rand.New(rand.NewPCG(opts.Seed, 0x63616c6c))
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		opts:    opts,
		socket:  socket,
		cancel:  cancel,
		rng:     rng,
		salt:    uint16(rng.Uint32()),
		nextMID: uint16(rng.Uint32()),
		waiting: map[uint32]*exchange{},
	}
	c.done.Go(func() { _ = socket.Serve(ctx, c.receive) })
	return c, nil
}

// Addr returns the caller's address.
func (c *Client) Addr() netip.AddrPort { return c.socket.Addr() }

// Close closes the caller's socket. Requests in progress end as silent.
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
	return append([]string(nil), c.refused...)
}

// LastTarget returns the name of the target that last answered; empty when none has.
func (c *Client) LastTarget() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastTarget
}

// count changes the counts.
func (c *Client) count(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

// begin registers a new exchange with a token of its own.
func (c *Client) begin(class core.Class) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.issued++
	x := &exchange{number: c.issued, nonce: c.nonce(c.issued), class: class, messages: make(chan message.Message, 64)}
	c.waiting[x.number] = x
	return x
}

// end forgets an exchange.
func (c *Client) end(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, x.number)
}

// nonce returns the nonce of an exchange, which its token determines.
func (c *Client) nonce(number uint32) string { return fmt.Sprintf("%s-%d", c.opts.Name, number) }

// token returns the token of an exchange. The salt tells the callers of a run apart.
func (c *Client) token(number uint32) []byte {
	b := binary.BigEndian.AppendUint16(make([]byte, 0, 6), c.salt)
	return binary.BigEndian.AppendUint32(b, number)
}

// encode completes a request with type, ids, deadline and nonce, and returns its wire form.
func (c *Client) encode(x *exchange, m message.Message, deadline time.Duration) []byte {
	c.mu.Lock()
	c.nextMID++
	m.MessageID = int32(c.nextMID)
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
		panic("caller: own request does not encode: " + err.Error())
	}
	return b
}

// send sends a datagram to the service.
func (c *Client) send(datagram []byte) {
	c.count(func(s *Stats) { s.DatagramsSent++ })
	_ = c.socket.Write(datagram, c.opts.Service)
}

// spread returns a duration between 1 and 1.5 times d.
func (c *Client) spread(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d + time.Duration(c.rng.Float64()*float64(d)/2)
}

// sleep waits; it reports false when the context ended.
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
