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
	// isolatedAfter is the time without a message from the store or another VM after which the VM reports
	// that it is not ready. Routers then send its packets to other VMs of the zone, if there are any. It is
	// the platform's stability window, so that a short fault does not change readiness.
	isolatedAfter = 4 * time.Second
	// settingsCheckInterval is how often the settings file is checked for a change, which may come without a
	// signal.
	settingsCheckInterval = time.Second
	// watchDelay is how long a VM must have been without the change feed of its zone's reader before it
	// connects to targets itself. VMs find a reader within half a second of their start. Without the delay,
	// three in four of these connections were opened within that time, and were not needed, in a simulated
	// day of a larger deployment.
	watchDelay = time.Second
	// maxChangeLogLines is the maximum number of log lines about the changes of one update. One more line
	// reports the number of the remaining changes.
	maxChangeLogLines = 20
)

// control is the control thread. It owns the registry and the subscribers.
type control struct {
	shared   *sharedState
	platform Platform
	settings *Settings
	registry *registry.Registry
	source   *feed.Source
	metrics  *controlMetrics
	log      *slog.Logger

	// watcher keeps connections to targets open while this VM does not subscribe to its zone's reader.
	watcher *watcher
	// snapshot is the newest snapshot.
	snapshot *forward.Snapshot
	// noFeedSince is when this VM lost the change feed of its zone's reader, or started without it.
	noFeedSince time.Duration

	// outliers finds failing targets while this VM is the zone's reader. restarts finds targets that have restarted
	// by the connections of watcher.
	outliers *registry.Outliers
	restarts registry.RestartDetector

	// encoded are the objects in force, encoded for VMs that start.
	encoded encodedState
	// awaitingState are VMs that have requested the state before this VM had it.
	awaitingState []*feed.Subscriber
	subscribers   []*feed.Subscriber
	// subscriberCount is len(subscribers), for other threads.
	subscriberCount atomic.Int64
	state           feed.State
	// feedConfirmedAt is when the store last confirmed each kind to this VM as the reader, or to the source of its feed.
	feedConfirmedAt [registry.NumKinds]time.Duration
	// lastContact is when the last message from the store or another VM arrived.
	lastContact time.Duration
	// zoneVMs is the number of VMs of the zone that its reader reported; 0 when this VM is the reader.
	zoneVMs int
	// membership decides which VMs are members of the zone. sentMembers are the members that the subscribers
	// have.
	membership  *registry.Membership
	sentMembers []forward.VMID
	// load pools the load reports of the zone and has the load in force.
	load loadControl
	// settingsTime is the modification time of the settings file at its last reload, settingsChecked is when
	// the file was last checked.
	settingsTime    time.Time
	settingsChecked time.Duration
	// heartbeatAt is when the next heartbeat to the subscribers is due.
	heartbeatAt time.Duration
	// stopBegan is when a planned stop began.
	stopBegan time.Duration
}

// handleEvent applies an event of the change feed.
func (c *control) handleEvent(event feed.Event) {
	now := c.shared.clock.now()
	if event.State != nil {
		c.setState(*event.State)
	}
	for _, z := range event.ReturnedZones {
		c.registry.ApplyReturnedZone(z, now)
	}
	if event.Update != nil && !c.handleUpdate(event.Update, event.ConfirmedAt[event.Update.Kind], event.Refreshed) {
		// An update from another history, or an older one, does not confirm the data of this VM.
		event.ConfirmedAt[event.Update.Kind] = 0
	}
	for kind, at := range event.ConfirmedAt {
		if at > 0 {
			c.lastContact = now
			if !event.Refreshed {
				c.confirmFeed(registry.Kind(kind), at)
			}
			c.registry.Confirm(registry.Kind(kind), at)
		}
	}
	c.handleObservations(event.Observations)
	c.handleEjections(event.Ejections, "another VM")
	if event.Load != nil {
		c.handleLoad(event.Load, event.LoadAt)
	}
	if event.ZoneVMs > 0 {
		c.lastContact = now
		c.zoneVMs = event.ZoneVMs
	}
	if event.Members != nil && event.Members.Zone == c.settings.Zone {
		c.membership.Receive(event.Members.VMs)
	}
	c.publish()
}

func (c *control) setState(state feed.State) {
	if state.Role == feed.Reading {
		c.zoneVMs = 0
	}
	c.membership.SetReading(state.Role == feed.Reading, c.shared.clock.now())
	if state == c.state {
		return
	}
	level := slog.LevelInfo
	if state.Role == feed.Searching {
		level = slog.LevelWarn
	}
	c.log.Log(context.Background(), level, "source of updates changed", "role", string(state.Role), "before", string(c.state.Role),
		"peer", state.Peer, "cause", state.Cause)
	if c.state.Role == feed.Subscribed || c.state.Role == "" {
		c.noFeedSince = c.shared.clock.now()
	}
	if state.Role == feed.Reading && c.state.Role != feed.Reading {
		c.resetLoad()
	}
	c.state = state
	c.shared.role.Store(&state.Role)
	c.updateWatchedTargets()
}

// publish makes the newest state available to the other threads.
func (c *control) publish() {
	now := c.shared.clock.now()
	for kind := range registry.Kind(registry.NumKinds) {
		c.shared.confirmedAt[kind].Store(int64(c.registry.ConfirmedAt(kind)))
	}
	c.registry.SetMembers(c.vmID(), c.membership.Members(now))
	if !c.registry.Complete() {
		// Without all kinds, new flows could be refused for want of targets, or go to a zone that is out of service.
		return
	}
	for _, ch := range c.registry.ReleaseHeld(now) {
		c.logChanges([]registry.Change{ch}, ch.Kind, c.registry.AsOf(ch.Kind), now-c.registry.ConfirmedAt(ch.Kind))
	}
	c.shared.heldRecords.Store(int64(c.registry.HeldRecords()))
	if snapshot := c.registry.Snapshot(now); snapshot != nil {
		c.shared.snapshot.Store(snapshot)
		for _, id := range c.registry.TakeForgotten() {
			c.log.Info("a target no longer counts as ended: the observation was not renewed", "target", id)
		}
		if c.snapshot == nil {
			close(c.shared.complete)
			defer c.sendAwaitedStates()
		}
		c.snapshot = snapshot
		c.watcher.snapshot.Store(snapshot)
		c.updateWatchedTargets()
	}
	c.shared.freshSince.Store(int64(c.registry.FreshSince()))
	c.shared.freshUntil.Store(int64(c.registry.FreshUntil()))
}

// addSubscriber adds a subscriber and sends it all updates that it does not have yet. A VM beyond
// feed.MaxSubscribers is redirected.
func (c *control) addSubscriber(sub *feed.Subscriber) {
	if sub.StateOnly {
		c.sendState(sub)
		return
	}
	if len(c.subscribers) >= feed.MaxSubscribers {
		c.redirect(sub)
		return
	}
	now := c.shared.clock.now()
	message := feed.Message{
		Observations: c.registry.Observations(now), Ejections: c.registry.Ejections(now), Members: c.zoneMembers(),
		ReturnedZones: c.registry.ReturnedZones(now),
	}
	for kind := range registry.Kind(registry.NumKinds) {
		// A VM that started with an earlier copy of the store may lack a configuration of an earlier history.
		isNewer := sub.AsOf[kind].Before(c.registry.AsOf(kind)) || kind == registry.Configs && sub.ConfigReceived() < c.registry.ConfigVersion()
		switch {
		case !isNewer:
		case kind == registry.Configs:
			sub.SetConfigSent(c.registry.ConfigVersion())
			message.Updates = append(message.Updates, c.registry.ExportConfig(sub.ConfigReceived()))
		default:
			message.Updates = append(message.Updates, c.registry.Export(kind))
		}
	}
	c.subscribers = append(c.subscribers, sub)
	c.updateDownstream(sub.Address)
	c.log.Info("a VM subscribed", "vm", string(sub.VM), "address", sub.Address, "subscribers", len(c.subscribers))
	c.send(message, sub)
}

// redirect makes a VM subscribe to the subscriber through which the fewest VMs receive the change feed.
func (c *control) redirect(sub *feed.Subscriber) {
	// A VM that subscribes again may still have its previous subscription here.
	candidates := slices.DeleteFunc(slices.Clone(c.subscribers), func(s *feed.Subscriber) bool { return s.VM == sub.VM || s.Closed() })
	if len(candidates) == 0 {
		sub.Close()
		return
	}
	to := slices.MinFunc(candidates, func(a, b *feed.Subscriber) int { return a.VMs() - b.VMs() })
	to.AddRedirected()
	c.log.Info("redirected a VM to a subscriber", "vm", string(sub.VM), "to", to.Address)
	c.send(feed.Message{Redirect: to.Address}, sub)
}

// broadcast sends a message to all subscribers.
func (c *control) broadcast(message feed.Message) {
	if len(c.subscribers) > 0 {
		c.send(message, c.subscribers...)
	}
}

// send sends a message with the ages of the data that each recipient has.
func (c *control) send(message feed.Message, recipients ...*feed.Subscriber) {
	now := c.shared.clock.now()
	for kind := range registry.Kind(registry.NumKinds) {
		age := feed.UnknownAge
		asOf := c.registry.AsOf(kind)
		if !asOf.IsZero() {
			age = now - c.feedConfirmedAt[kind]
		}
		message.Ages, message.Eras[kind] = append(message.Ages, age), asOf.Era
	}
	message.ZoneVMs, message.SentAt = c.zoneSize(), now
	if c.state.Role == feed.Reading {
		message.StoreFailing = c.source.StoreFailing()
	}
	var current []*feed.Subscriber
	for _, sub := range recipients {
		if !sub.ConfigDue {
			current = append(current, sub)
			continue
		}
		older := message
		older.Ages = slices.Clone(message.Ages)
		older.Ages[registry.Configs] = now - sub.ConfigConfirmedAt
		c.encodeAndSend(older, sub)
	}
	if len(current) > 0 {
		c.encodeAndSend(message, current...)
	}
}

func (c *control) encodeAndSend(message feed.Message, recipients ...*feed.Subscriber) {
	b, err := message.Encode()
	if err != nil {
		c.log.Error("cannot encode a message to subscribers", "error", err)
		return
	}
	for _, sub := range recipients {
		sub.Send(b)
	}
}

// zoneSize returns the number of VMs of the zone.
func (c *control) zoneSize() int {
	if c.zoneVMs > 0 {
		return c.zoneVMs
	}
	return 1 + c.downstreamVMs()
}

// downstreamVMs returns the number of VMs that receive the change feed through this one.
func (c *control) downstreamVMs() int {
	n := 0
	for _, sub := range c.subscribers {
		n += sub.VMs()
	}
	return n
}

// removeClosedSubscribers removes subscribers whose connection has ended.
func (c *control) removeClosedSubscribers() {
	kept := c.subscribers[:0]
	for _, sub := range c.subscribers {
		if sub.Closed() {
			c.log.Info("a subscriber disconnected", "vm", string(sub.VM), "address", sub.Address)
			continue
		}
		kept = append(kept, sub)
	}
	clear(c.subscribers[len(kept):])
	c.subscribers = kept
	c.updateDownstream("")
}

// updateDownstream updates what depends on the subscribers and on the VMs that receive the change feed through
// them. address is the address of a new subscriber, or empty.
func (c *control) updateDownstream(address string) {
	c.subscriberCount.Store(int64(len(c.subscribers)))
	downstream := feed.Downstream{VMs: c.downstreamVMs()}
	for _, sub := range c.subscribers {
		if sub.Zone == c.settings.Zone {
			downstream.Members = append(downstream.Members, sub.Members()...)
		}
	}
	slices.Sort(downstream.Members)
	c.source.SetSubscribers(len(c.subscribers), downstream, address)
	c.membership.SetDownstream(downstream.Members)
}

func (c *control) vmID() forward.VMID { return forward.NewVMID(c.settings.VM) }

// zoneMembers returns the members of the zone for subscribers, or nil when this VM does not know them.
func (c *control) zoneMembers() *feed.Members {
	members := c.membership.Members(c.shared.clock.now())
	if len(members) == 0 {
		return nil
	}
	return &feed.Members{Zone: c.settings.Zone, VMs: members}
}

// heartbeat sends the subscribers a message, with the members of the zone if these have changed, and renewed observations.
func (c *control) heartbeat() {
	message := feed.Message{Observations: c.registry.Renewals(c.shared.clock.now())}
	if members := c.zoneMembers(); members != nil && !slices.Equal(members.VMs, c.sentMembers) {
		message.Members, c.sentMembers = members, members.VMs
	}
	c.broadcast(message)
}

// tick does the periodic work of the control thread.
func (c *control) tick() {
	if suspension := c.shared.clock.updateSuspension(); suspension > 0 {
		c.log.Warn("the VM was suspended", "milliseconds", suspension.Milliseconds())
	}
	now := c.shared.clock.now()
	if pause := c.shared.recordTick(now); pause > 0 {
		c.log.Warn("the process was paused", "milliseconds", pause.Milliseconds())
	}
	c.removeClosedSubscribers()
	c.sendDueConfigs()
	if now >= c.heartbeatAt {
		c.heartbeatAt = now + feed.HeartbeatInterval
		c.heartbeat()
	}
	c.updateIsolation(now)
	c.updateWatchedTargets()
	if now-c.settingsChecked >= settingsCheckInterval {
		c.settingsChecked = now
		c.checkSettings()
	}
	c.publish()
	c.updateLoad(now)
}

// updateIsolation decides whether the VM can reach neither the store nor any other VM.
func (c *control) updateIsolation(now time.Duration) {
	if len(c.subscribers) > 0 {
		c.lastContact = now
	}
	isolated := now-c.lastContact > isolatedAfter
	if isolated == c.shared.isolated.Load() {
		return
	}
	c.shared.isolated.Store(isolated)
	c.log.Warn("readiness changed", "isolated", isolated, "silence_ms", (now - c.lastContact).Milliseconds())
}

// tickDue returns when the next call of tick is due.
func (c *control) tickDue() time.Duration { return min(c.heartbeatAt, c.registry.NextDue()) }

// handleTimer does the work that is due. A tick goes through all targets, so that the more frequent loads are computed without one.
func (c *control) handleTimer() {
	now := c.shared.clock.now()
	if now < c.tickDue() && c.computesLoad(now) && now >= c.load.dueAt {
		c.updateLoad(now)
		return
	}
	c.tick()
}

// untilTimer returns the time until the next call of handleTimer is due.
func (c *control) untilTimer() time.Duration {
	now := c.shared.clock.now()
	due := c.tickDue()
	if c.computesLoad(now) {
		due = min(due, c.load.dueAt)
	}
	return max(0, due-now)
}

// checkSettings reloads the settings when their file has changed.
func (c *control) checkSettings() {
	info, err := os.Stat(c.platform.SettingsPath)
	if err != nil {
		c.metrics.settingsErrors.Inc()
		c.log.Warn("cannot read the state of the settings file; the current settings stay in force", "error", err)
		return
	}
	if info.ModTime().Equal(c.settingsTime) {
		return
	}
	c.settingsTime = info.ModTime()
	c.reload("the file has changed")
}

// reload applies those settings that can change while the process runs.
func (c *control) reload(cause string) {
	loaded, err := c.platform.LoadSettings()
	if err != nil {
		c.metrics.settingsErrors.Inc()
		c.log.Error("the new settings are invalid; the current settings stay in force", "cause", cause, "error", err)
		return
	}
	old := c.settings
	if loaded.PacketAddr != old.PacketAddr || loaded.HTTPAddr != old.HTTPAddr || loaded.FeedAddr != old.FeedAddr || loaded.StoreAddr != old.StoreAddr ||
		loaded.Zone != old.Zone || loaded.VM != old.VM {
		c.log.Warn("addresses or names in the settings changed; the changes take effect at the next start")
	}
	c.settings = loaded
	c.registry.SetLimits(loaded.Limits)
	c.log.Info("reloaded the settings", "cause", cause, "cold_overage", loaded.Limits.ColdOverage,
		"cold_slack", loaded.Limits.ColdSlack, "heartbeat_ms", loaded.Limits.Heartbeat.Milliseconds())
}
