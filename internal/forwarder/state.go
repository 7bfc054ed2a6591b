package forwarder

import (
	"slices"
	"time"

	"github.com/mangoweir/mangoweir/core/registry"
	"github.com/mangoweir/mangoweir/internal/feed"
)

// maxEncodedAge is how long the encoded objects are sent to VMs that start while no kind has changed. The receivers
// count the age of the data from the encoding.
const maxEncodedAge = 500 * time.Millisecond

// encodedState is the encoding of all objects.
type encodedState struct {
	updates   []byte
	encodedAt time.Duration
	// asOf are the revisions of the kinds, confirmed the times at which the store confirmed them.
	asOf      [registry.NumKinds]registry.Revision
	confirmed [registry.NumKinds]time.Duration
}

// sendState sends all objects and observations to a VM that starts, and closes the connection if they are not up to
// date. The VM subscribes to changes afterwards, over another connection, which the objects do not delay. While this
// VM itself starts, the other one waits, and reads the store when it has waited for too long.
func (c *control) sendState(sub *feed.Subscriber) {
	now := c.shared.clock.now()
	switch {
	case !c.registry.Complete():
		c.awaitingState = slices.DeleteFunc(c.awaitingState, (*feed.Subscriber).Closed)
		c.awaitingState = append(c.awaitingState, sub)
		return
	case now >= c.registry.FreshUntil() || c.source.StoreFailing() > 0:
		sub.Close()
		return
	}
	if err := c.encodeState(now); err != nil {
		c.log.Error("cannot encode the state for a VM that starts", "error", err)
		sub.Close()
		return
	}
	message := feed.Message{
		Observations: c.registry.Observations(now), Ejections: c.registry.Ejections(now), ZoneVMs: c.zoneSize(),
		ReturnedZones: c.registry.ReturnedZones(now),
	}
	for kind, confirmed := range c.encoded.confirmed {
		message.Ages, message.Eras[kind] = append(message.Ages, now-confirmed), c.encoded.asOf[kind].Era
	}
	b, err := message.EncodeWith(c.encoded.updates)
	if err != nil {
		c.log.Error("cannot encode the state for a VM that starts", "error", err)
		sub.Close()
		return
	}
	c.log.Info("sending the state to a VM that starts", "vm", string(sub.VM), "bytes", len(b))
	sub.Send(b)
}

// sendAwaitedStates sends the state to the VMs that have requested it before this VM had it.
func (c *control) sendAwaitedStates() {
	waiting := c.awaitingState
	c.awaitingState = nil
	for _, sub := range waiting {
		c.sendState(sub)
	}
}

// encodeState encodes all objects, unless that was done a short time ago and none has changed since.
func (c *control) encodeState(now time.Duration) error {
	var next encodedState
	for kind := range registry.Kind(registry.NumKinds) {
		next.asOf[kind], next.confirmed[kind] = c.registry.AsOf(kind), c.registry.ConfirmedAt(kind)
	}
	if c.encoded.updates != nil && next.asOf == c.encoded.asOf && now-c.encoded.encodedAt < maxEncodedAge {
		return nil
	}
	var updates []registry.Update
	for kind := range registry.Kind(registry.NumKinds) {
		updates = append(updates, c.registry.Export(kind))
	}
	var err error
	next.encodedAt = now
	if next.updates, err = feed.EncodeUpdates(updates); err == nil {
		c.encoded = next
	}
	return err
}
