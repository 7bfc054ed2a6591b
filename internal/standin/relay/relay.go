// Package relay is a minimal stand-in for an entry VM. It sends each request to a target that it selects by
// rendezvous hashing of the flow. It has no peers and no limits, and does not retry requests. A request that the
// client retransmits goes to the target as the same attempt again.
//
// It is the baseline for measurements of the real system, and tests of the other stand-ins use it in
// place of entry VMs. A Relay owns its socket and its table of attempts.
package relay

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/rendezvous"
	"github.com/mangoweir/mangoweir/internal/carrier"
)

// Options configures a Relay.
type Options struct {
	Name string
	// FabricReturn is the fabric's return address.
	FabricReturn netip.AddrPort
	// Targets returns the addresses of the targets of a service. The relay calls it for every request.
	Targets func(service netip.AddrPort) []netip.AddrPort
	// Incarnation forms the upper half of the relay's attempt tokens.
	Incarnation core.Incarnation
}

// Relay is a running relay. It is safe for concurrent use.
type Relay struct {
	opts   Options
	socket *carrier.Socket
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	attempts map[core.AttemptToken]*attempt
	// requests are the requests that were sent last, except feeds; sendOrder lists them in order.
	requests   map[requestKey]sentRequest
	sendOrder  []requestKey
	feeds      map[feedKey]core.AttemptToken
	lastNumber uint32
}

// attempt is a request that was sent to a target.
type attempt struct {
	req      core.Request
	service  netip.AddrPort
	target   netip.AddrPort
	answered bool
}

// requestKey identifies a request that a client may retransmit.
type requestKey struct {
	flow core.FlowKey
	id   core.RequestID
}

// sentRequest is a request that was sent to a target. It is kept after the answer, since a retransmission may
// arrive later.
type sentRequest struct {
	token  core.AttemptToken
	target netip.AddrPort
}

// feedKey identifies a feed by its flow and the client's token.
type feedKey struct {
	flow  core.FlowKey
	token string
}

// maxRequests bounds the requests that are kept, except feeds; the oldest ones are discarded first.
const maxRequests = 1 << 16

// Start opens the relay's socket on a free loopback port and starts to relay requests.
func Start(opts Options) (*Relay, error) {
	socket, err := carrier.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("relay %s: %w", opts.Name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		opts:     opts,
		socket:   socket,
		cancel:   cancel,
		attempts: map[core.AttemptToken]*attempt{},
		feeds:    map[feedKey]core.AttemptToken{},
		requests: map[requestKey]sentRequest{},
	}
	r.done.Go(func() { _ = socket.Serve(ctx, r.receive) })
	return r, nil
}

func (r *Relay) Name() string { return r.opts.Name }

// FabricAddr returns the address that receives packets from the fabric.
func (r *Relay) FabricAddr() netip.AddrPort { return r.socket.Addr() }

// Stop ends the relay at once, as Kill does; requests in flight are lost.
func (r *Relay) Stop(context.Context) error {
	r.Kill()
	return nil
}

// Kill ends the relay at once.
func (r *Relay) Kill() {
	r.cancel()
	_ = r.socket.Close()
	r.done.Wait()
}

// receive handles a packet from the fabric or from a target.
func (r *Relay) receive(data []byte, from netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from == r.opts.FabricReturn {
		r.handleRequest(data)
		return
	}
	r.handleAnswer(data, from)
}

// handleRequest sends a client's request to the target of its flow. It ignores cancellations and packets
// that are not valid requests.
func (r *Relay) handleRequest(data []byte) {
	req, service, err := carrier.DecodeRequest(data)
	if err != nil || req.Method == core.MethodCancel {
		return
	}
	req.Flow.Service = core.NewServiceID(service.String())
	targets := r.opts.Targets(service)
	if len(targets) == 0 {
		r.refuse(req, service)
		return
	}
	target := targets[pickTarget(req.Flow, targets)]
	token := r.token(req, target)
	r.attempts[token] = &attempt{req: req, service: service, target: target}
	remaining := req.Deadline
	if remaining == 0 {
		remaining = core.MaxDeadline
	}
	send := core.SendTarget{Token: token, Request: req, Remaining: remaining}
	b, err := carrier.AppendSendTarget(nil, &send, service)
	if err == nil {
		_ = r.socket.Write(b, target)
	}
}

// pickTarget returns the index of a flow's target, selected by rendezvous hashing.
func pickTarget(flow core.FlowKey, targets []netip.AddrPort) int {
	hashes := make([]uint64, len(targets))
	for i, t := range targets {
		hashes[i] = rendezvous.HashString(t.String())
	}
	return rendezvous.Pick(flow.Hash(), hashes, nil)
}

// token returns the token for an attempt. A feed that is registered again, and a request that is retransmitted,
// keep their token at the same target; otherwise the token is new, and the oldest request is discarded above
// maxRequests.
func (r *Relay) token(req core.Request, target netip.AddrPort) core.AttemptToken {
	key, isFeed := feedKeyOf(req)
	if isFeed {
		token := r.feeds[key]
		if a := r.attempts[token]; a != nil && a.target == target {
			return token
		}
	}
	request := requestKey{flow: req.Flow, id: req.ID}
	if sent, ok := r.requests[request]; ok && !isFeed && sent.target == target {
		return sent.token
	}
	r.lastNumber++
	token := core.NewAttemptToken(core.AttemptSource(r.opts.Incarnation), r.lastNumber)
	if isFeed {
		delete(r.attempts, r.feeds[key])
		r.feeds[key] = token
		return token
	}
	if _, moved := r.requests[request]; !moved {
		r.sendOrder = append(r.sendOrder, request)
	}
	r.requests[request] = sentRequest{token: token, target: target}
	if len(r.sendOrder) > maxRequests {
		oldest := r.sendOrder[0]
		r.sendOrder = r.sendOrder[1:]
		delete(r.attempts, r.requests[oldest].token)
		delete(r.requests, oldest)
	}
	return token
}

// feedKeyOf returns the key of the feed that a request registers or deregisters; false for other requests.
func feedKeyOf(req core.Request) (feedKey, bool) {
	if req.Method != core.MethodSubscribe && req.Method != core.MethodUnsubscribe {
		return feedKey{}, false
	}
	m, err := carrier.ParseMessage(req.Payload)
	return feedKey{flow: req.Flow, token: string(m.Token)}, err == nil
}

// refuse sends the client a refusal because the service has no target.
func (r *Relay) refuse(req core.Request, service netip.AddrPort) {
	b, err := carrier.AppendRefusal(nil, &core.RefuseClient{Flow: req.Flow, Request: req.Payload, Class: req.Class,
		Reason: core.ReasonNoTarget, RetryAfter: time.Second}, service)
	if err == nil {
		_ = r.socket.Write(b, r.opts.FabricReturn)
	}
}

// handleAnswer sends a target's answer to the client whose request it answers, and discards other answers.
func (r *Relay) handleAnswer(data []byte, from netip.AddrPort) {
	answer, service, err := carrier.DecodeAnswer(data, from)
	if err != nil {
		return
	}
	a := r.attempts[answer.Token]
	if a == nil || a.target != from || a.service != service {
		return
	}
	out, err := r.encode(a, &answer)
	a.answered = true
	if answer.Status != core.AnswerNotification {
		delete(r.attempts, answer.Token)
	}
	if err == nil {
		_ = r.socket.Write(out, r.opts.FabricReturn)
	}
}

// encode returns the datagram that carries an answer to the client: a refusal when the target shed the
// request.
func (r *Relay) encode(a *attempt, answer *core.TargetAnswer) ([]byte, error) {
	if answer.Status == core.AnswerShed {
		return carrier.AppendRefusal(nil, &core.RefuseClient{Flow: a.req.Flow, Request: a.req.Payload,
			Class: a.req.Class, Reason: core.ReasonShed, RetryAfter: time.Second}, a.service)
	}
	return carrier.AppendAnswer(nil, &core.AnswerClient{
		Flow:         a.req.Flow,
		Request:      a.req.Payload,
		Notification: answer.Status == core.AnswerNotification && a.answered,
		Payload:      answer.Payload,
	}, a.service, carrier.ObserveValue(time.Now()))
}
