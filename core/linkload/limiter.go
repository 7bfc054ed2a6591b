package linkload

import (
	"math"
	"time"
)

const (
	// maxQueueing is the longest time that packets of uploads may queue on the link. It is half of the time after which clients
	// retransmit a SYN for the first time, 200 ms, so that the queue alone causes no retransmissions.
	maxQueueing = 100 * time.Millisecond
	// idleTimeout is the time without a packet after which an upload no longer counts. The client may have vanished, or another VM
	// may receive the flow's packets.
	idleTimeout = time.Second
	// windowBits is the size of the packets that one upload has in flight.
	windowBits = windowBytes * 8
)

// Limiter limits the uploads in progress on the link of a VM. The zero value has no limit.
type Limiter struct {
	// maxUploads is the number of uploads that may be in progress at once; 0 means no limit.
	maxUploads int
	// uploads is the number of uploads that count. They are in a list in order of their last packets, so that an expiry looks at the
	// expired ones only.
	uploads        int
	oldest, newest *Upload
}

// New returns a limiter for a link with a capacity in bits per second. There is no limit if the capacity is 0 or is not a positive
// finite number.
func New(bitsPerSecond float64) *Limiter {
	if !(bitsPerSecond > 0) || math.IsInf(bitsPerSecond, 1) {
		return &Limiter{}
	}
	uploads := min(bitsPerSecond*maxQueueing.Seconds()/windowBits, math.MaxInt32)
	// A single upload is always admitted: a slow link is better used than idle.
	return &Limiter{maxUploads: max(1, int(uploads))}
}

// Admits reports whether another upload may start at now. It reserves nothing: the caller calls Started for the flow that it admits.
func (l *Limiter) Admits(now time.Duration) bool {
	if l.maxUploads == 0 {
		return true
	}
	l.expire(now)
	return l.uploads < l.maxUploads
}

// Started counts a flow as an upload from now on. It is called when the flow's SYN is admitted, as flows that open at the same time
// would otherwise not be counted for each other. It may also be called for an upload that Admits was not asked about, such as one
// that another VM admitted. It returns nil if there is no limit.
func (l *Limiter) Started(now time.Duration) *Upload {
	if l.maxUploads == 0 {
		return nil
	}
	l.expire(now)
	u := &Upload{limiter: l, sentAt: now}
	l.append(u)
	return u
}

// expire removes the uploads without a packet for idleTimeout.
func (l *Limiter) expire(now time.Duration) {
	for l.oldest != nil && now-l.oldest.sentAt >= idleTimeout {
		l.remove(l.oldest)
	}
}

// append adds an upload that is not in the list as the newest one.
func (l *Limiter) append(u *Upload) {
	u.counted = true
	u.older = l.newest
	if l.newest != nil {
		l.newest.newer = u
	} else {
		l.oldest = u
	}
	l.newest = u
	l.uploads++
}

// remove takes an upload out of the list.
func (l *Limiter) remove(u *Upload) {
	if u.older != nil {
		u.older.newer = u.newer
	} else {
		l.oldest = u.newer
	}
	if u.newer != nil {
		u.newer.older = u.older
	} else {
		l.newest = u.older
	}
	u.older, u.newer, u.counted = nil, nil, false
	l.uploads--
}

// Upload is a flow with a large request in progress. Methods are safe on nil, which is the upload of a limiter without a limit.
type Upload struct {
	limiter *Limiter
	// older and newer are the neighbors in the limiter's list.
	older, newer *Upload
	// sentAt is the time of the last packet.
	sentAt time.Duration
	// counted is whether the upload is in the limiter's list. limiter is nil after the end.
	counted bool
}

// Counted reports whether the upload counts towards the limit. It is false on nil.
func (u *Upload) Counted() bool { return u != nil && u.counted }

// Sent records a packet of the upload. An upload that had expired counts again.
func (u *Upload) Sent(now time.Duration) {
	if u == nil || u.limiter == nil {
		return
	}
	u.sentAt = now
	if u.limiter.newest == u {
		return
	}
	if u.counted {
		u.limiter.remove(u)
	}
	u.limiter.append(u)
}

// Ended records that the request is complete or the flow has ended. Later calls of Sent and Ended have no effect, so that late
// retransmissions do not count.
func (u *Upload) Ended() {
	if u == nil || u.limiter == nil {
		return
	}
	if u.counted {
		u.limiter.remove(u)
	}
	u.limiter = nil
}
