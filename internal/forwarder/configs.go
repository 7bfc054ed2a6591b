package forwarder

import (
	"time"

	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed"
)

// A version of the configuration is sent whole to each subscriber: 60 KB for 1,400 routes. Operators may write versions
// faster than a small link transmits them to all subscribers. A subscriber then skips versions rather than receive
// each one later than the one before.

// deferConfigs notes the subscribers that do not get the configuration that has just come into force, because they have not
// received an older one yet. confirmedAt is when the store last confirmed the previous configuration.
func (c *control) deferConfigs(confirmedAt time.Duration) {
	for _, sub := range c.subscribers {
		if !sub.ConfigDue && sub.AwaitsConfig() {
			sub.ConfigDue, sub.ConfigConfirmedAt = true, confirmedAt
			c.metrics.deferredConfigs.Inc()
		}
	}
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
	if len(recipients) > 0 {
		c.sendUpdate(c.registry.Export(registry.Configs), recipients)
	}
}

// broadcastUpdate sends an update to all subscribers, except a configuration to those that it is due for.
func (c *control) broadcastUpdate(update registry.Update) {
	recipients := make([]*feed.Subscriber, 0, len(c.subscribers))
	for _, sub := range c.subscribers {
		if update.Kind != registry.Configs || !sub.ConfigDue {
			recipients = append(recipients, sub)
		}
	}
	if len(recipients) > 0 {
		c.sendUpdate(update, recipients)
	}
}

func (c *control) sendUpdate(update registry.Update, recipients []*feed.Subscriber) {
	if update.Kind == registry.Configs {
		for _, sub := range recipients {
			sub.SetConfigSent(update.AsOf)
		}
	}
	c.send(feed.Message{Updates: []registry.Update{update}}, recipients...)
}
