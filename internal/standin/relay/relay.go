// Package relay is the simplest entry VM: it sends each request to a target chosen by rendezvous
// hashing of the flow and knows neither other VMs nor limits, retries or repeated requests.
//
// It is the baseline for figures of the real system and lets the other stand-ins be tested without
// it. A Relay owns its socket and the table of attempts.
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
	// Targets returns the addresses of the targets of a service; the relay asks for every request.
	Targets func(service netip.AddrPort) []netip.AddrPort
	// Incarnation is the upper half of the relay's attempt tokens.
	Incarnation core.Incarnation
}

// Relay is a running relay.
type Relay struct {
	opts   Options
	socket *carrier.Socket
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	attempts map[core.AttemptToken]*attempt
	// order has the tokens of attempts in the order of sending, without those of feeds.
	order []core.AttemptToken
	feeds map[feedKey]core.AttemptToken
	next  uint32
}

// attempt is a request that was sent to a target.
type attempt struct {
	req      core.Request
	service  netip.AddrPort
	target   netip.AddrPort
	answered bool
}

// feedKey identifies a feed by its flow and the caller's token.
type feedKey struct {
	flow  core.FlowKey
	token string
}

// maxAttempts bounds the attempts that wait for an answer; the oldest ones are forgotten first.
const maxAttempts = 1 << 16

// Start opens the relay's socket on a free port and starts to relay.
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
	}
	r.done.Go(func() { _ = socket.Serve(ctx, r.receive) })
	return r, nil
}

// Name returns the relay's name.
func (r *Relay) Name() string { return r.opts.Name }

// FabricAddr returns the address that takes packets of the fabric.
func (r *Relay) FabricAddr() netip.AddrPort { return r.socket.Addr() }

// Stop ends the relay; requests in flight are lost.
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

// receive handles a packet of the fabric or of a target.
func (r *Relay) receive(data []byte, from netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if from == r.opts.FabricReturn {
		r.fromCaller(data)
		return
	}
	r.fromTarget(data, from)
}

// fromCaller sends a request to the target of its flow.
func (r *Relay) fromCaller(data []byte) {
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
	target := targets[pick(req.Flow, targets)]
	token := r.token(req, target)
	r.attempts[token] = &attempt{req: req, service: service, target: target}
	remaining := req.Deadline
	if remaining == 0 {
		remaining = core.MaxDeadline
	}
	send := core.SendTarget{Token: token, Request: req, Remaining: remaining}
	b, err := carrier.AppendSend(nil, &send, service)
	if err == nil {
		_ = r.socket.Write(b, target)
	}
}

// pick returns the index of a flow's target.
func pick(flow core.FlowKey, targets []netip.AddrPort) int {
	hashes := make([]uint64, len(targets))
	for i, t := range targets {
		hashes[i] = rendezvous.HashString(t.String())
	}
	return rendezvous.Pick(flow.Hash(), hashes, nil)
}

// token returns the token of an attempt. A feed that is registered again at the same target keeps its
// token.
func (r *Relay) token(req core.Request, target netip.AddrPort) core.AttemptToken {
	key, isFeed := feedOf(req)
	if isFeed {
		token := r.feeds[key]
		if a := r.attempts[token]; a != nil && a.target == target {
			return token
		}
	}
	r.next++
	token := core.NewAttemptToken(core.AttemptSource(r.opts.Incarnation), r.next)
	if isFeed {
		delete(r.attempts, r.feeds[key])
		r.feeds[key] = token
		return token
	}
	r.order = append(r.order, token)
	if len(r.order) > maxAttempts {
		delete(r.attempts, r.order[0])
		r.order = r.order[1:]
	}
	return token
}

// feedOf returns the key of the feed that a request registers or ends.
func feedOf(req core.Request) (feedKey, bool) {
	if req.Method != core.MethodSubscribe && req.Method != core.MethodUnsubscribe {
		return feedKey{}, false
	}
	m, err := carrier.ParseMessage(req.Payload)
	return feedKey{flow: req.Flow, token: string(m.Token)}, err == nil
}

// refuse tells a caller that there is no target.
func (r *Relay) refuse(req core.Request, service netip.AddrPort) {
	b, err := carrier.AppendRefusal(nil, &core.RefuseClient{Flow: req.Flow, Request: req.Payload, Class: req.Class,
		Reason: core.ReasonNoTarget, RetryAfter: time.Second}, service)
	if err == nil {
		_ = r.socket.Write(b, r.opts.FabricReturn)
	}
}

// fromTarget sends an answer to the caller of its request.
func (r *Relay) fromTarget(data []byte, from netip.AddrPort) {
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

// encode returns the datagram for the caller.
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
