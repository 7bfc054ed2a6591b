package forwarder

import (
	"context"
	"log/slog"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/mangoweir/mangoweir/core/forward"
	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed"
)

const (
	// isolatedAfter is the time without the store and without another VM after which the VM says that
	// it is not ready: others of its zone then take its packets, if there are any. It is the
	// platform's stability window, so that a short fault changes nothing.
	isolatedAfter = 4 * time.Second
	// settingsCheck is how often the settings file is looked at. It may change without a signal.
	settingsCheck = time.Second
	// watchDelay is how long a VM must have been without the feed of its zone's reader before it connects to
	// targets itself. VMs find a reader within half a second of their start; three in four of these
	// connections on a grown day were opened before that, for nothing.
	watchDelay = time.Second
	// maxChangeLines bounds the lines about the changes of one update; the rest are counted.
	maxChangeLines = 20
)

// control is the control thread. It owns the registry and the subscribers.
type control struct {
	shared   *shared
	platform Platform
	settings *Settings
	registry *registry.Registry
	source   *feed.Source
	metrics  *controlMetrics
	log      *slog.Logger

	// watcher holds connections to targets while this VM does not take the feed of its zone's reader.
	watcher *watcher
	// view is the newest view.
	view *forward.Snapshot
	// unfedSince is when this VM lost, or began without, the feed of its zone's reader.
	unfedSince time.Duration

	subscribers []*feed.Subscriber
	// subscriberCount is len(subscribers), for other threads.
	subscriberCount atomic.Int64
	state           feed.State
	// heard is when the store or another VM was last heard from.
	heard time.Duration
	// zoneVMs is the number of VMs of the zone as its reader said, 0 when this VM is the reader.
	zoneVMs         int
	settingsTime    time.Time
	settingsChecked time.Duration
	heartbeatAt     time.Duration
	// stopBegan is when a planned stop began.
	stopBegan time.Duration
}

// event takes what the feed says.
func (c *control) event(e feed.Event) {
	now := c.shared.clock.now()
	if e.State != nil {
		c.noteState(*e.State)
	}
	if e.Update != nil {
		c.update(e.Update, e.ConfirmedAt[e.Update.Kind])
	}
	for kind, at := range e.ConfirmedAt {
		if at > 0 {
			c.heard = now
			c.registry.Confirm(registry.Kind(kind), at)
		}
	}
	c.observed(e.Observations)
	if e.ZoneVMs > 0 {
		c.heard = now
		c.zoneVMs = e.ZoneVMs
		c.registry.SetZoneVMs(e.ZoneVMs)
	}
	c.publish()
}

func (c *control) noteState(s feed.State) {
	if s.Role == feed.Reading {
		c.zoneVMs = 0
	}
	if s == c.state {
		return
	}
	level := slog.LevelInfo
	if s.Role == feed.Searching {
		level = slog.LevelWarn
	}
	c.log.Log(context.Background(), level, "source of updates changed", "role", string(s.Role), "before", string(c.state.Role),
		"peer", s.Peer, "cause", s.Cause)
	if c.state.Role == feed.Subscribed || c.state.Role == "" {
		c.unfedSince = c.shared.clock.now()
	}
	c.state = s
	c.watch()
}

// watch chooses the targets to hold connections to. A VM that takes the feed of its zone's reader connects
// only to targets that are said to have ended: the reader tells it what it sees, but a reader that has
// started since does not know that these had ended, nor that they are back.
func (c *control) watch() {
	if c.view == nil {
		return
	}
	targets := watchable(c.view, c.settings.Zone)
	unfed := c.state.Role != feed.Subscribed && c.shared.clock.now()-c.unfedSince >= watchDelay
	if c.state.Role != feed.Reading && !unfed {
		targets = slices.DeleteFunc(targets, func(t *forward.Target) bool { return t.Condition != forward.Exited })
	}
	c.watcher.set(targets)
}

// connected takes the result of a connection attempt to a target.
func (c *control) connected(s connection) {
	now := c.shared.clock.now()
	o, news := c.registry.ObserveConnection(s.target, s.refused, now)
	if !news {
		return
	}
	what, count := "returned", c.metrics.returned
	if s.refused {
		what, count = "ended", c.metrics.ended
	}
	count.Inc()
	c.log.Info("a target "+what, "target", s.target.ID, "zone", string(s.target.Zone), "error", s.err)
	c.broadcast(feed.Message{Observations: []registry.Observation{o}})
	c.publish()
}

// observed takes what another VM saw, and passes on what is news.
func (c *control) observed(all []registry.Observation) {
	var news []registry.Observation
	now := c.shared.clock.now()
	for _, o := range all {
		if !c.registry.ApplyObservation(o, now) {
			continue
		}
		news = append(news, o)
		c.log.Info("another VM saw a target", "target", o.ID, "ended", o.Ended,
			"age_ms", o.Age.Milliseconds())
	}
	if len(news) > 0 {
		c.broadcast(feed.Message{Observations: news})
	}
}

// update applies an update, passes it on and logs what it changed.
func (c *control) update(u *registry.Update, at time.Duration) {
	known := c.registry.AsOf(u.Kind)
	changes := c.registry.Apply(*u, at)
	c.metrics.updates[u.Kind].Inc()
	c.metrics.changes[u.Kind].Add(len(changes))
	age := c.shared.clock.now() - at
	for i, ch := range changes {
		if i == maxChangeLines {
			c.log.Info("further changes", "kind", u.Kind.String(), "changes", len(changes)-i, "as_of", u.AsOf)
			break
		}
		c.log.Info(ch.Event, "kind", u.Kind.String(), "name", ch.Name, "revision", ch.Revision,
			"as_of", u.AsOf, "age_ms", age.Milliseconds(), "detail", ch.Detail,
			"config", c.registry.ConfigVersion())
	}
	if u.Nameless > 0 {
		c.log.Warn("left out objects without a readable name", "kind", u.Kind.String(), "objects", u.Nameless)
	}
	// What is known already is not passed on: two VMs that take each other's feed would send it back
	// and forth without end.
	if u.AsOf > known && (len(u.Records) > 0 || u.Full) {
		c.broadcast(feed.Message{Updates: []registry.Update{*u}})
	}
}

// publish hands what has changed to the other threads.
func (c *control) publish() {
	now := c.shared.clock.now()
	if v := c.registry.Snapshot(now); v != nil {
		c.shared.view.Store(v)
		c.view = v
		c.watcher.view.Store(v)
		c.watch()
	}
	c.shared.freshSince.Store(int64(c.registry.FreshSince()))
	c.shared.freshUntil.Store(int64(c.registry.FreshUntil()))
}

// join starts a subscription with all that the subscriber does not know yet.
func (c *control) join(sub *feed.Subscriber) {
	if len(c.subscribers) >= feed.MaxSubscribers {
		c.sendOn(sub)
		return
	}
	m := feed.Message{Observations: c.registry.Observations(c.shared.clock.now())}
	for kind := range registry.Kind(registry.NumKinds) {
		if asOf := c.registry.AsOf(kind); asOf > sub.AsOf[kind] {
			m.Updates = append(m.Updates, c.registry.Export(kind))
		}
	}
	c.subscribers = append(c.subscribers, sub)
	c.noteSubscribers(sub.Address)
	c.log.Info("a VM subscribed", "vm", string(sub.VM), "address", sub.Address, "subscribers", len(c.subscribers))
	c.send(m, sub)
}

// sendOn sends a VM on to the subscriber that the fewest VMs get the feed through.
func (c *control) sendOn(sub *feed.Subscriber) {
	to := slices.MinFunc(c.subscribers, func(a, b *feed.Subscriber) int { return a.VMs() - b.VMs() })
	to.AddRedirected()
	c.log.Info("sent a VM on to a subscriber", "vm", string(sub.VM), "to", to.Address)
	c.send(feed.Message{Redirect: to.Address}, sub)
}

// broadcast sends a message to all subscribers.
func (c *control) broadcast(m feed.Message) {
	if len(c.subscribers) > 0 {
		c.send(m, c.subscribers...)
	}
}

func (c *control) send(m feed.Message, to ...*feed.Subscriber) {
	now := c.shared.clock.now()
	for kind := range registry.Kind(registry.NumKinds) {
		age := feed.UnknownAge
		if c.registry.AsOf(kind) > 0 {
			age = now - c.registry.ConfirmedAt(kind)
		}
		m.Ages = append(m.Ages, age)
	}
	m.ZoneVMs = c.zoneSize()
	b, err := m.Encode()
	if err != nil {
		c.log.Error("cannot encode a message to subscribers", "error", err)
		return
	}
	for _, sub := range to {
		sub.Send(b)
	}
}

// zoneSize returns the number of VMs of the zone.
func (c *control) zoneSize() int {
	if c.zoneVMs > 0 {
		return c.zoneVMs
	}
	return 1 + c.behind()
}

// behind returns the number of VMs that get the feed through this one.
func (c *control) behind() int {
	n := 0
	for _, sub := range c.subscribers {
		n += sub.VMs()
	}
	return n
}

// prune drops subscribers that have left.
func (c *control) prune() {
	kept := c.subscribers[:0]
	for _, sub := range c.subscribers {
		if sub.Closed() {
			c.log.Info("a subscriber left", "vm", string(sub.VM), "address", sub.Address)
			continue
		}
		kept = append(kept, sub)
	}
	clear(c.subscribers[len(kept):])
	c.subscribers = kept
	c.noteSubscribers("")
}

func (c *control) noteSubscribers(address string) {
	c.subscriberCount.Store(int64(len(c.subscribers)))
	c.source.SetSubscribers(len(c.subscribers), c.behind(), address)
	c.registry.SetZoneVMs(c.zoneSize())
}

// tick does what is due by time.
func (c *control) tick() {
	if gap := c.shared.clock.check(); gap > 0 {
		c.log.Warn("the VM was suspended", "milliseconds", gap.Milliseconds())
	}
	now := c.shared.clock.now()
	c.prune()
	if now >= c.heartbeatAt {
		c.heartbeatAt = now + feed.HeartbeatInterval
		c.broadcast(feed.Message{})
	}
	c.noteIsolation(now)
	c.watch()
	if now-c.settingsChecked >= settingsCheck {
		c.settingsChecked = now
		c.checkSettings()
	}
	c.publish()
}

// noteIsolation decides whether the VM is cut off from the store and from all other VMs.
func (c *control) noteIsolation(now time.Duration) {
	if len(c.subscribers) > 0 {
		c.heard = now
	}
	isolated := now-c.heard > isolatedAfter
	if isolated == c.shared.isolated.Load() {
		return
	}
	c.shared.isolated.Store(isolated)
	c.log.Warn("readiness changed", "isolated", isolated, "silence_ms", (now - c.heard).Milliseconds())
}

// nextTick returns the time until tick is needed.
func (c *control) nextTick() time.Duration {
	now := c.shared.clock.now()
	return max(0, min(c.heartbeatAt, c.registry.NextDue())-now)
}

// checkSettings reloads the settings when their file has changed.
func (c *control) checkSettings() {
	info, err := os.Stat(c.platform.SettingsPath)
	if err != nil {
		c.metrics.settingsErrors.Inc()
		c.log.Warn("cannot look at the settings file, the settings stay in force", "error", err)
		return
	}
	if info.ModTime().Equal(c.settingsTime) {
		return
	}
	c.settingsTime = info.ModTime()
	c.reload("the file has changed")
}

// reload takes over settings that can change while the process runs.
func (c *control) reload(cause string) {
	st, err := c.platform.LoadSettings()
	if err != nil {
		c.metrics.settingsErrors.Inc()
		c.log.Error("kept the settings in force, as the new ones are invalid", "cause", cause, "error", err)
		return
	}
	old := c.settings
	if st.PacketAddr != old.PacketAddr || st.HTTPAddr != old.HTTPAddr || st.FeedAddr != old.FeedAddr || st.StoreAddr != old.StoreAddr ||
		st.Zone != old.Zone || st.VM != old.VM {
		c.log.Warn("addresses or names in the settings changed; they take effect at the next start")
	}
	c.settings = st
	c.registry.SetLimits(st.Limits)
	c.log.Info("reloaded the settings", "cause", cause, "cold_overage", st.Limits.ColdOverage,
		"cold_slack", st.Limits.ColdSlack, "heartbeat_ms", st.Limits.Heartbeat.Milliseconds())
}
