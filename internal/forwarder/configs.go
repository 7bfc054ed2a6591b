package forwarder

import (
	"time"

	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed"
)

// Operators may write versions of the configuration faster than a small link transmits them to all subscribers: a whole
// one with 1,400 routes has 60 KB. A subscriber gets the changes to the version that it has acknowledged, and
// skips versions rather than receive each one later than the one before.

// broadcastConfig sends the configuration that has just come into force to the subscribers that have received the one
// that they were sent before, and notes the others. confirmedAt is when the store last confirmed the previous one.
func (c *control) broadcastConfig(confirmedAt time.Duration) {
	var recipients []*feed.Subscriber
	for _, sub := range c.subscribers {
		switch {
		case sub.ConfigDue:
		case sub.AwaitsConfig():
			sub.ConfigDue, sub.ConfigConfirmedAt = true, confirmedAt
			c.metrics.deferredConfigs.Inc()
		default:
			recipients = append(recipients, sub)
		}
	}
	c.sendConfig(recipients)
}

// sendDueConfigs sends the newest configuration to the subscribers that it is due for and that have received the older one.
func (c *control) sendDueConfigs() {
	var recipients []*feed.Subscriber
	for _, sub := range c.subscribers {
		if sub.ConfigDue && !sub.AwaitsConfig() {
			sub.ConfigDue = false
			recipients = append(recipients, sub)
		}
	}
	c.sendConfig(recipients)
}

// sendConfig sends the configuration to each recipient as changes to the version that it has.
func (c *control) sendConfig(recipients []*feed.Subscriber) {
	byVersion := map[uint64][]*feed.Subscriber{}
	for _, sub := range recipients {
		byVersion[sub.ConfigReceived()] = append(byVersion[sub.ConfigReceived()], sub)
		sub.SetConfigSent(c.registry.ConfigVersion())
	}
	for version, subscribers := range byVersion {
		c.send(feed.Message{Updates: []registry.Update{c.registry.ExportConfig(version)}}, subscribers...)
	}
}
