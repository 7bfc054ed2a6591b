package coretest

import (
	"encoding/binary"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Intervals of the fake clients.
const (
	// firstRetransmission is the time before the first retransmission of a request; it doubles with each one.
	firstRetransmission = 250 * time.Millisecond
	// giveUpAfter is the time for which a client retries a request other than an upload under new ids, after
	// refusals. It does not retry a posting that may have run.
	giveUpAfter = 10 * time.Second
	// feedBrokenAfter is the time without messages after which a live feed counts as broken.
	feedBrokenAfter = 10 * time.Second
	// feedReopenAfter is the time without messages after which a client opens its feed again.
	feedReopenAfter = 4 * time.Second
)

// ClientOptions configures a client. A zero interval means that the client sends no such requests.
type ClientOptions struct {
	Service                           core.ServiceID
	Feed                              bool
	ReadEvery, PostEvery, UploadEvery time.Duration
	// StartDelay is the time before the client's first request.
	StartDelay time.Duration
}

// Client is a fake client with one flow.
type Client struct {
	Key core.FlowKey
	// Target is the target of the last answer.
	Target core.TargetID
	// Broken is true when the flow moved to another target, or its feed stopped, without a permitted cause.
	Broken bool
	// Ingress holds the VMs to which the fabric delivered packets of the flow.
	Ingress map[core.VMName]bool

	cluster         *Cluster
	opts            ClientOptions
	lastID          uint64
	requests        map[core.RequestID]*request
	lastFeedMessage time.Duration
	feedLive        bool
	stopped         bool
}

// request is a logical request: one subscription, posting, read or upload block, with its retransmissions and
// its retries under new ids.
type request struct {
	class     core.Class
	method    core.Method
	id        core.RequestID
	offeredAt time.Duration
	sentAt    time.Duration
	finished  bool
}

// AddClient adds a client, which starts after opts.StartDelay.
func (c *Cluster) AddClient(opts ClientOptions) *Client {
	key := clientKey(len(c.clients), opts.Service)
	client := &Client{Key: key, cluster: c, opts: opts, requests: map[core.RequestID]*request{},
		Ingress: map[core.VMName]bool{}}
	c.clients[key] = client
	c.After(opts.StartDelay, client.start)
	return client
}

// clientKey returns the flow of the i-th client.
func clientKey(i int, service core.ServiceID) core.FlowKey {
	key := core.FlowKey{Port: 5000, Service: service}
	key.Client[10], key.Client[11] = 0xff, 0xff
	binary.BigEndian.PutUint32(key.Client[12:], 0x0a000000+uint32(i))
	return key
}

// NumClients returns the number of clients.
func (c *Cluster) NumClients() int { return len(c.clients) }

// Client returns the client of a flow, or nil.
func (c *Cluster) Client(flow core.FlowKey) *Client { return c.clients[flow] }

// CountClients returns the number of clients for which a condition holds.
func (c *Cluster) CountClients(condition func(*Client) bool) int {
	n := 0
	for _, client := range c.clients {
		if condition(client) {
			n++
		}
	}
	return n
}

func (client *Client) start() {
	if client.opts.Feed {
		client.offer(core.ClassFeed, core.MethodSubscribe)
		client.checkFeed()
	}
	client.offerEvery(client.opts.ReadEvery, core.ClassRead)
	client.offerEvery(client.opts.PostEvery, core.ClassPosting)
	client.offerEvery(client.opts.UploadEvery, core.ClassUpload)
}

// Stop ends the client's requests.
func (client *Client) Stop() { client.stopped = true }

// offerEvery offers requests of a class at random intervals around a mean.
func (client *Client) offerEvery(mean time.Duration, class core.Class) {
	if mean <= 0 {
		return
	}
	wait := time.Duration(float64(mean) * (0.5 + client.cluster.Rand.Float64()))
	client.cluster.After(wait, func() {
		if client.stopped {
			return
		}
		client.offer(class, core.MethodOther)
		client.offerEvery(mean, class)
	})
}

// offer starts a logical request.
func (client *Client) offer(class core.Class, method core.Method) {
	client.cluster.Stats.Offered[class]++
	client.sendAttempt(&request{class: class, method: method, offeredAt: client.cluster.now})
}

// sendAttempt sends a logical request under a new id.
func (client *Client) sendAttempt(req *request) {
	client.lastID++
	req.id = core.RequestID{Hi: client.Key.Hash(), Lo: client.lastID}
	req.sentAt = client.cluster.now
	client.requests[req.id] = req
	client.retransmit(req, req.id, firstRetransmission)
}

// retransmit sends the packet of an attempt, and sends it again until the request is answered or refused or the
// deadline passes.
func (client *Client) retransmit(req *request, id core.RequestID, wait time.Duration) {
	if req.finished || req.id != id {
		return
	}
	left := core.MaxDeadline - (client.cluster.now - req.sentAt)
	if left <= 0 {
		client.finish(req, &client.cluster.Stats.TimedOut)
		return
	}
	var feed uint64
	if req.method == core.MethodSubscribe {
		feed = 1
	}
	client.cluster.sendFromClient(core.Request{
		Feed: feed,
		Flow: client.Key, ID: id, Method: req.method, Class: req.class,
		Idempotent: req.class != core.ClassPosting, Deadline: core.MaxDeadline,
		Sticky: req.class == core.ClassUpload, Payload: []byte{byte(req.class)},
	})
	client.cluster.After(min(wait, left), func() { client.retransmit(req, id, wait*2) })
}

// finish ends a logical request and counts its outcome in counts. A feed that could not be opened is
// requested again after a second.
func (client *Client) finish(req *request, counts *[core.NumClasses]uint64) {
	req.finished = true
	counts[req.class]++
	if req.class == core.ClassFeed && counts != &client.cluster.Stats.Done && !client.stopped {
		client.cluster.After(time.Second, func() { client.offer(core.ClassFeed, core.MethodSubscribe) })
	}
}

// sendFromClient delivers a client's packet to a random VM, with the faults of the path.
func (c *Cluster) sendFromClient(r core.Request) {
	copies := 1
	if c.Rand.Float64() < c.Opts.DuplicateRate {
		copies = 2
	}
	for range copies {
		if len(c.fabricVMs) == 0 || c.Rand.Float64() < c.Opts.DropRate {
			continue
		}
		name := c.fabricVMs[c.Rand.IntN(len(c.fabricVMs))]
		delay := clientLatency
		if c.Rand.Float64() < c.Opts.LateRate {
			delay += time.Duration(c.Rand.Int64N(int64(core.MaxPacketLifetime)))
		}
		c.After(delay, func() {
			if m := c.vms[name]; m.alive {
				if client := c.clients[r.Flow]; client != nil {
					client.Ingress[name] = true
				}
				c.handleInput(name, core.ClientRequest{Request: r})
			}
		})
	}
}

// sendToClient delivers a VM's packet to the client of a flow, with the faults of the path.
func (c *Cluster) sendToClient(flow core.FlowKey, handle func(*Client)) {
	if c.Rand.Float64() < c.Opts.DropRate {
		return
	}
	c.After(clientLatency, func() {
		if client := c.clients[flow]; client != nil {
			handle(client)
		}
	})
}

// handleAnswer handles an answer or a message of a feed.
func (client *Client) handleAnswer(answer core.AnswerClient) {
	if len(answer.Payload) != 20 {
		client.cluster.recordViolation("client received a truncated answer")
		return
	}
	target := core.TargetID(binary.LittleEndian.Uint32(answer.Payload))
	if answer.Notification {
		client.checkTarget(target)
		client.recordFeedMessage()
		return
	}
	id := core.RequestID{Hi: binary.LittleEndian.Uint64(answer.Payload[4:]),
		Lo: binary.LittleEndian.Uint64(answer.Payload[12:])}
	if id != answer.ID || id.Hi != client.Key.Hash() {
		client.cluster.Stats.WrongAnswers++
		client.cluster.recordViolation("client received the answer to another request")
		return
	}
	req := client.requests[answer.ID]
	if req == nil || req.finished {
		return
	}
	client.checkTarget(target)
	if req.method == core.MethodSubscribe {
		client.recordFeedMessage()
	}
	client.cluster.Stats.addLatency(req.class, client.cluster.now-req.offeredAt)
	client.finish(req, &client.cluster.Stats.Done)
}

// handleRefusal handles a refusal: unless a posting may have run, the client retries with a new id after the
// retry-after time: uploads without limit, all other requests until giveUpAfter.
func (client *Client) handleRefusal(refusal core.RefuseClient) {
	req := client.requests[refusal.ID]
	if req == nil || req.finished || req.id != refusal.ID {
		return
	}
	if req.class == core.ClassPosting {
		client.cluster.checkRefusal(refusal)
	}
	if refusal.RetryAfter <= 0 {
		client.cluster.recordViolation("refusal %s without a retry-after time", refusal.Reason)
	}
	if req.class == core.ClassPosting && refusal.Run == core.RunUnknown {
		client.finish(req, &client.cluster.Stats.Unknown)
		return
	}
	client.cluster.Stats.Retries[req.class]++
	if req.class != core.ClassUpload && client.cluster.now+refusal.RetryAfter-req.offeredAt > giveUpAfter {
		client.finish(req, &client.cluster.Stats.GaveUp)
		return
	}
	req.id = core.RequestID{}
	client.cluster.After(refusal.RetryAfter, func() {
		if !req.finished && !client.stopped {
			client.sendAttempt(req)
		}
	})
}

// checkTarget checks that the flow stays on its target.
func (client *Client) checkTarget(target core.TargetID) {
	previous := client.Target
	if previous != 0 && previous != target && client.cluster.flowsMayMove(target) {
		// This is a late message of a target that flows must leave. Its feed is forwarded until the
		// registration at the new target has replaced it.
		return
	}
	client.Target = target
	if previous == 0 || previous == target || client.cluster.flowsMayMove(previous) {
		return
	}
	client.Broken = true
	client.cluster.Stats.BrokenFlows++
	client.cluster.recordViolation("flow %v moved from target %s to %s", client.Key.ClientAddr(),
		client.cluster.targetName(previous), client.cluster.targetName(target))
}

// recordFeedMessage records that a message of the feed arrived.
func (client *Client) recordFeedMessage() {
	client.lastFeedMessage = client.cluster.now
	client.feedLive = true
}

// checkFeed checks once a second that messages of the feed arrive, and opens the feed again
// every feedReopenAfter without one.
func (client *Client) checkFeed() {
	client.cluster.After(time.Second, func() {
		if client.stopped {
			return
		}
		silence := client.cluster.now - client.lastFeedMessage
		client.cluster.Stats.FeedSeconds++
		if client.feedLive && silence <= 3*notifyInterval {
			client.cluster.Stats.FeedLiveSeconds++
		}
		if client.feedLive && silence > feedBrokenAfter {
			client.feedLive = false
			if !client.cluster.flowsMayMove(client.Target) {
				client.Broken = true
				client.cluster.Stats.BrokenFlows++
				client.cluster.recordViolation("feed of %v is silent on target %s", client.Key.ClientAddr(),
					client.cluster.targetName(client.Target))
			}
		}
		if silence > feedReopenAfter && int(silence/time.Second)%int(feedReopenAfter/time.Second) == 0 {
			client.offer(core.ClassFeed, core.MethodSubscribe)
		}
		client.checkFeed()
	})
}

// flowsMayMove reports whether flows may move away from a target: its zone is out or was out recently, it was
// removed, its process ended or restarted, or a fault makes it shed or ignore all requests.
func (c *Cluster) flowsMayMove(id core.TargetID) bool {
	for _, t := range c.targets {
		if t.Target.ID != id {
			continue
		}
		if _, _, out := c.zoneOut(t.Target.Zone); out || t.Gone || t.Silent || t.bootID > 1 || t.ShedAll {
			return true
		}
		return !c.configured(id) || c.zoneRecentlyOut(t.Target.Zone)
	}
	return true
}

// configured reports whether the newest configuration has a target.
func (c *Cluster) configured(id core.TargetID) bool {
	config := c.Platform.configs[c.Platform.generation]
	for i := range config.Services {
		for _, t := range config.Services[i].Targets {
			if t.ID == id {
				return true
			}
		}
	}
	return false
}

// InService reports whether the newest configuration has a target, with its zone in service.
func (c *Cluster) InService(id core.TargetID) bool {
	for _, t := range c.targets {
		if t.Target.ID == id {
			_, _, out := c.zoneOut(t.Target.Zone)
			return !out && c.configured(id)
		}
	}
	return false
}

// zoneRecentlyOut reports whether a zone was out in any configuration of the last minute.
func (c *Cluster) zoneRecentlyOut(zone core.ZoneName) bool {
	p := &c.Platform
	for g := p.generation; g > 0; g-- {
		if p.configs[g].ZoneState(zone) == core.ZoneOut {
			return true
		}
		if c.now-p.acceptedAt[g] > time.Minute {
			return false
		}
	}
	return false
}

// targetName returns a target's name for violations and traces.
func (c *Cluster) targetName(id core.TargetID) string {
	for _, t := range c.targets {
		if t.Target.ID == id {
			return t.Target.Name
		}
	}
	return "unknown"
}
