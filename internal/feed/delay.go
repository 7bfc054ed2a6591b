package feed

import "time"

// delayEstimator estimates how long messages wait on the way from another VM, whose clock has any start. A small link may
// hold messages back for seconds while a large one is sent.
type delayEstimator struct {
	// subscribedAt is when this VM subscribed. The sender queued every message later.
	subscribedAt time.Duration
	// offset is the smallest difference seen between the time of arrival and the time at which a message was queued.
	offset time.Duration
	known  bool
}

// delay returns the delay of a message that was queued at sentAt on the sender's clock; 0 if sentAt is not known. For the
// first message it is an upper limit, as there is nothing to compare it with.
func (d *delayEstimator) delay(sentAt, now time.Duration) time.Duration {
	if sentAt == 0 {
		return 0
	}
	offset := now - sentAt
	if !d.known {
		d.known, d.offset = true, offset
		return now - d.subscribedAt
	}
	d.offset = min(d.offset, offset)
	return offset - d.offset
}

// addDelay adds the time that a message was on its way to the ages in it.
func (m *Message) addDelay(delay time.Duration) {
	for i := range m.Ages {
		m.Ages[i] += delay
	}
	for i := range m.Observations {
		m.Observations[i].Age += delay
	}
	for i := range m.ReturnedZones {
		m.ReturnedZones[i].Age += delay
	}
	if m.Load != nil {
		m.Load.Age += delay
	}
	for i := range m.Ejections {
		m.Ejections[i].Remaining -= delay
	}
}
