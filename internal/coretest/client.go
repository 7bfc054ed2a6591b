package coretest

import (
	"encoding/binary"
	"time"

	"github.com/mangoweir/mangoweir/core"
)

// Behaviour of callers.
const (
	firstRepeat = 250 * time.Millisecond
	// patience is how long a caller keeps asking for one posting or read, with new ids after
	// refusals that say "not run".
	patience = 10 * time.Second
	// feedBroken is the silence after which a live feed counts as broken.
	feedBroken = 10 * time.Second
	// feedStale is the silence after which a caller opens its feed again.
	feedStale = 4 * time.Second
)

// ClientOptions configures a caller; zero intervals mean never.
type ClientOptions struct {
	Service                           core.ServiceID
	Feed                              bool
	ReadEvery, PostEvery, UploadEvery time.Duration
	// StartDelay is the time before its first request.
	StartDelay time.Duration
}

// Client is the fake of a caller with one flow.
type Client struct {
	Key core.FlowKey
	// Target is the target that last answered.
	Target core.TargetID
	// Broken is true when the flow moved, or its feed went silent, without a permitted cause.
	Broken bool
	// Ingress holds the VMs that the flow's packets reached through the fabric.
	Ingress map[core.VMName]bool

	w        *Cluster
	opts     ClientOptions
	next     uint64
	calls    map[core.RequestID]*call
	lastFeed time.Duration
	feedLive bool
	stopped  bool
}

// call is a logical request: one posting, read or upload block with its repetitions.
type call struct {
	class    core.Class
	method   core.Method
	id       core.RequestID
	offered  time.Duration
	sentAt   time.Duration
	finished bool
}

// AddClient starts a caller.
func (w *Cluster) AddClient(opts ClientOptions) *Client {
	key := callerKey(len(w.callers), opts.Service)
	c := &Client{Key: key, w: w, opts: opts, calls: map[core.RequestID]*call{},
		Ingress: map[core.VMName]bool{}}
	w.callers[key] = c
	w.After(opts.StartDelay, c.start)
	return c
}

// callerKey returns the flow of the i-th caller.
func callerKey(i int, service core.ServiceID) core.FlowKey {
	key := core.FlowKey{Port: 5000, Service: service}
	key.Client[10], key.Client[11] = 0xff, 0xff
	binary.BigEndian.PutUint32(key.Client[12:], 0x0a000000+uint32(i))
	return key
}

// NumClients returns the number of callers.
func (w *Cluster) NumClients() int { return len(w.callers) }

// Client returns the caller of a flow, or nil.
func (w *Cluster) Client(flow core.FlowKey) *Client { return w.callers[flow] }

// CountClients returns the number of callers for which a condition holds.
func (w *Cluster) CountClients(holds func(*Client) bool) int {
	n := 0
	for _, c := range w.callers {
		if holds(c) {
			n++
		}
	}
	return n
}

func (c *Client) start() {
	if c.opts.Feed {
		c.offer(core.ClassFeed, core.MethodSubscribe)
		c.watchFeed()
	}
	c.every(c.opts.ReadEvery, core.ClassRead)
	c.every(c.opts.PostEvery, core.ClassPosting)
	c.every(c.opts.UploadEvery, core.ClassUpload)
}

// Stop ends a caller's requests.
func (c *Client) Stop() { c.stopped = true }

// every offers requests of a class with random intervals around a mean.
func (c *Client) every(mean time.Duration, class core.Class) {
	if mean <= 0 {
		return
	}
	wait := time.Duration(float64(mean) * (0.5 + c.w.Rand.Float64()))
	c.w.After(wait, func() {
		if c.stopped {
			return
		}
		c.offer(class, core.MethodOther)
		c.every(mean, class)
	})
}

// offer begins a logical request.
func (c *Client) offer(class core.Class, method core.Method) {
	c.w.Stats.Offered[class]++
	c.send(&call{class: class, method: method, offered: c.w.now})
}

// send begins an attempt under a new id.
func (c *Client) send(k *call) {
	c.next++
	k.id = core.RequestID{Hi: c.Key.Hash(), Lo: c.next}
	k.sentAt = c.w.now
	c.calls[k.id] = k
	c.repeat(k, k.id, firstRepeat)
}

// repeat sends the same packet until it is answered or its deadline passes.
func (c *Client) repeat(k *call, id core.RequestID, wait time.Duration) {
	if k.finished || k.id != id {
		return
	}
	left := core.MaxDeadline - (c.w.now - k.sentAt)
	if left <= 0 {
		c.settle(k, &c.w.Stats.TimedOut)
		return
	}
	var feed uint64
	if k.method == core.MethodSubscribe {
		feed = 1
	}
	c.w.fromCaller(core.Request{
		Feed: feed,
		Flow: c.Key, ID: id, Method: k.method, Class: k.class,
		Idempotent: k.class != core.ClassPosting, Deadline: core.MaxDeadline,
		Sticky: k.class == core.ClassUpload, Payload: []byte{byte(k.class)},
	})
	c.w.After(min(wait, left), func() { c.repeat(k, id, wait*2) })
}

// settle ends a logical request with an outcome.
func (c *Client) settle(k *call, count *[core.NumClasses]uint64) {
	k.finished = true
	count[k.class]++
	if k.class == core.ClassFeed && count != &c.w.Stats.Done && !c.stopped {
		c.w.After(time.Second, func() { c.offer(core.ClassFeed, core.MethodSubscribe) })
	}
}

// fromCaller hands a caller's packet to a VM chosen at random, with the path's faults.
func (w *Cluster) fromCaller(r core.Request) {
	copies := 1
	if w.Rand.Float64() < w.Opts.DuplicateRate {
		copies = 2
	}
	for range copies {
		if len(w.fabric) == 0 || w.Rand.Float64() < w.Opts.DropRate {
			continue
		}
		name := w.fabric[w.Rand.IntN(len(w.fabric))]
		delay := callerLatency
		if w.Rand.Float64() < w.Opts.LateRate {
			delay += time.Duration(w.Rand.Int64N(int64(core.MaxPacketLifetime)))
		}
		w.After(delay, func() {
			if m := w.vms[name]; m.alive {
				if c := w.callers[r.Flow]; c != nil {
					c.Ingress[name] = true
				}
				w.input(name, core.ClientRequest{Request: r})
			}
		})
	}
}

// toCaller carries a VM's packet to the caller of a flow.
func (w *Cluster) toCaller(flow core.FlowKey, deliver func(*Client)) {
	if w.Rand.Float64() < w.Opts.DropRate {
		return
	}
	w.After(callerLatency, func() {
		if c := w.callers[flow]; c != nil {
			deliver(c)
		}
	})
}

// answered handles an answer or a message of a feed.
func (c *Client) answered(a core.AnswerClient) {
	if len(a.Payload) != 20 {
		c.w.violate("caller got a truncated answer")
		return
	}
	target := core.TargetID(binary.LittleEndian.Uint32(a.Payload))
	if a.Notification {
		c.noteTarget(target)
		c.noteFeed()
		return
	}
	id := core.RequestID{Hi: binary.LittleEndian.Uint64(a.Payload[4:]), Lo: binary.LittleEndian.Uint64(a.Payload[12:])}
	if id != a.ID || id.Hi != c.Key.Hash() {
		c.w.Stats.WrongAnswers++
		c.w.violate("caller got the answer to another request")
		return
	}
	k := c.calls[a.ID]
	if k == nil || k.finished {
		return
	}
	c.noteTarget(target)
	if k.method == core.MethodSubscribe {
		c.noteFeed()
	}
	c.w.Stats.addLatency(k.class, c.w.now-k.offered)
	c.settle(k, &c.w.Stats.Done)
}

// refused handles a refusal: the caller comes back with a new id when the request did not run.
func (c *Client) refused(a core.RefuseClient) {
	k := c.calls[a.ID]
	if k == nil || k.finished || k.id != a.ID {
		return
	}
	if k.class == core.ClassPosting {
		c.w.toldRun(a)
	}
	if a.RetryAfter <= 0 {
		c.w.violate("refusal %s without a time to come back", a.Reason)
	}
	if k.class == core.ClassPosting && a.Run == core.RunUnknown {
		c.settle(k, &c.w.Stats.Unknown)
		return
	}
	c.w.Stats.Retries[k.class]++
	if k.class != core.ClassUpload && c.w.now+a.RetryAfter-k.offered > patience {
		c.settle(k, &c.w.Stats.GaveUp)
		return
	}
	k.id = core.RequestID{}
	c.w.After(a.RetryAfter, func() {
		if !k.finished && !c.stopped {
			c.send(k)
		}
	})
}

// noteTarget checks that the flow stays on its target.
func (c *Client) noteTarget(target core.TargetID) {
	old := c.Target
	if old != 0 && old != target && c.w.mayLeave(target) {
		// A late message of a target that flows have to leave: its feed is relayed until the new
		// target's registration has replaced it.
		return
	}
	c.Target = target
	if old == 0 || old == target || c.w.mayLeave(old) {
		return
	}
	c.Broken = true
	c.w.Stats.BrokenFlows++
	c.w.violate("flow %v moved from target %s to %s", c.Key.ClientAddr(), c.w.name(old), c.w.name(target))
}

// noteFeed records a sign of life of the feed.
func (c *Client) noteFeed() {
	c.lastFeed = c.w.now
	c.feedLive = true
}

// watchFeed checks once a second that the feed is alive, and opens it again when it is stale.
func (c *Client) watchFeed() {
	c.w.After(time.Second, func() {
		if c.stopped {
			return
		}
		silence := c.w.now - c.lastFeed
		c.w.Stats.FeedSeconds++
		if c.feedLive && silence <= 3*notifyInterval {
			c.w.Stats.FeedLiveSeconds++
		}
		if c.feedLive && silence > feedBroken {
			c.feedLive = false
			if !c.w.mayLeave(c.Target) {
				c.Broken = true
				c.w.Stats.BrokenFlows++
				c.w.violate("feed of %v is silent on target %s", c.Key.ClientAddr(), c.w.name(c.Target))
			}
		}
		if silence > feedStale && int(silence/time.Second)%int(feedStale/time.Second) == 0 {
			c.offer(core.ClassFeed, core.MethodSubscribe)
		}
		c.watchFeed()
	})
}

// mayLeave reports whether flows may leave a target: its zone was taken out, it was removed, or its
// process ended.
func (w *Cluster) mayLeave(id core.TargetID) bool {
	for _, t := range w.targets {
		if t.Target.ID != id {
			continue
		}
		if _, _, out := w.zoneOut(t.Target.Zone); out || t.Gone || t.Silent || t.boot > 1 || t.ShedAll {
			return true
		}
		return !w.configured(id) || w.recentlyOut(t.Target.Zone)
	}
	return true
}

// configured reports whether the newest configuration has a target.
func (w *Cluster) configured(id core.TargetID) bool {
	c := w.Platform.configs[w.Platform.generation]
	for i := range c.Services {
		for _, t := range c.Services[i].Targets {
			if t.ID == id {
				return true
			}
		}
	}
	return false
}

// InService reports whether the newest configuration has a target and its zone is in service.
func (w *Cluster) InService(id core.TargetID) bool {
	for _, t := range w.targets {
		if t.Target.ID == id {
			_, _, out := w.zoneOut(t.Target.Zone)
			return !out && w.configured(id)
		}
	}
	return false
}

// recentlyOut reports whether a zone was out in any configuration of the last minute.
func (w *Cluster) recentlyOut(zone core.ZoneName) bool {
	p := &w.Platform
	for g := p.generation; g > 0; g-- {
		if p.configs[g].ZoneState(zone) == core.ZoneOut {
			return true
		}
		if w.now-p.acceptedAt[g] > time.Minute {
			return false
		}
	}
	return false
}

// name returns a target's name for messages.
func (w *Cluster) name(id core.TargetID) string {
	for _, t := range w.targets {
		if t.Target.ID == id {
			return t.Target.Name
		}
	}
	return "unknown"
}
