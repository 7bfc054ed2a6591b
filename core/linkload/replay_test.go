package linkload

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	synBytes    = 60
	smallBytes  = 100
	smallPeriod = 5 * time.Millisecond
	// roundTrip is the time from the end of the link over the target and the client back to the VM.
	roundTrip     = 8 * time.Millisecond
	uploadPackets = (uploadBytes + packetBytes - 1) / packetBytes
)

// synTimes are the times after which a client sends its SYN and copies of it; it gives up after the last one.
var synTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}

// replay is a VM with a link, which is a queue without a bound, and clients that upload through it.
type replay struct {
	bitsPerSecond float64
	limiter       *Limiter
	stats         RouteStats
	// work is the time from the last data of an upload to its response.
	work   time.Duration
	random *rand.Rand
	now    time.Duration
	events events
	// freeAt is when the link has sent all that is queued.
	freeAt, busy time.Duration
	// vanishing is the share of the clients that send no packet after the first window.
	vanishing float64
	result
}

type result struct {
	offered, done, gaveUp, droppedSYNs int
	// maxDelay is the longest time that a small packet queued, maxDelayLearned the longest since the route's requests are known to
	// be large.
	maxDelay, maxDelayLearned time.Duration
	// used is the part of the time in which the link sent.
	used float64
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *replay) after(d time.Duration, do func()) { heap.Push(&r.events, event{r.now + d, do}) }

// send queues a packet on the link and returns the time until it has been sent, and how much of it the packet waited.
func (r *replay) send(bytes int) (sent, queued time.Duration) {
	queued = max(0, r.freeAt-r.now)
	took := time.Duration(float64(bytes*8) / r.bitsPerSecond * float64(time.Second))
	r.busy += took
	r.freeAt = r.now + queued + took
	return queued + took, queued
}

// open is the arrival of a client's SYN. copies is the number of earlier transmissions.
func (r *replay) open(copies int) {
	if !r.stats.Large() || r.limiter.Admits(r.now) {
		upload := r.limiter.Started(r.now)
		sent, _ := r.send(synBytes)
		r.after(sent+roundTrip, func() { r.sendData(upload) })
		return
	}
	r.droppedSYNs++
	if copies+2 == len(synTimes) {
		r.gaveUp++
		return
	}
	r.after(synTimes[copies+1]-synTimes[copies], func() { r.open(copies + 1) })
}

// sendData sends the data of an upload: a window at first, then a packet for each that was acknowledged.
func (r *replay) sendData(upload *Upload) {
	vanishes := r.random.Float64() < r.vanishing
	sent, acknowledged := 0, 0
	var next func()
	next = func() {
		if sent == uploadPackets || vanishes && sent == windowPackets {
			return
		}
		sent++
		upload.Sent(r.now)
		took, _ := r.send(packetBytes)
		r.after(took+roundTrip, func() {
			if acknowledged++; acknowledged == uploadPackets {
				r.after(r.work, func() {
					r.done++
					r.stats.AddRequest(uploadBytes)
					upload.Ended()
				})
			}
			next()
		})
	}
	for range windowPackets {
		next()
	}
}

func (r *replay) sendSmall() {
	_, queued := r.send(smallBytes)
	r.maxDelay = max(r.maxDelay, queued)
	if r.stats.Large() {
		r.maxDelayLearned = max(r.maxDelayLearned, queued)
	}
	r.after(smallPeriod, r.sendSmall)
}

// offer adds uploads with random (exponential) intervals at a rate per second, from start to end.
func (r *replay) offer(perSecond float64, start, end time.Duration) {
	interval := func() time.Duration { return time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second)) }
	for at := start + interval(); at < end; at += interval() {
		r.after(at, func() {
			r.offered++
			r.open(0)
		})
	}
}

// run plays the events until end.
func (r *replay) run(end time.Duration) result {
	r.after(0, r.sendSmall)
	for r.events[0].at < end {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	r.used = float64(r.busy) / float64(end)
	return r.result
}

func newReplay(bitsPerSecond float64, limited bool, seed uint64) *replay {
	r := &replay{bitsPerSecond: bitsPerSecond, limiter: New(0), random: rand.New(rand.NewPCG(seed, 1))}
	if limited {
		r.limiter = New(bitsPerSecond)
	}
	return r
}

const (
	burstStart = 10 * time.Second
	burstEnd   = 20 * time.Second
	replayEnd  = 22 * time.Second
	seeds      = 5
)

// burst is 10 s of 12 uploads a second and then 10 s of 16. At 10 Mbit/s these are 79% and 105% of the link.
func burst(bitsPerSecond float64, limited bool, work time.Duration, seed uint64) result {
	r := newReplay(bitsPerSecond, limited, seed)
	r.work = work
	r.offer(12, 0, burstStart)
	r.offer(16, burstStart, burstEnd)
	return r.run(replayEnd)
}

// Guards against queues of uploads that delay other packets beyond the retransmission time of a SYN, and against a limit that leaves
// the link idle while uploads wait.
func TestBurstOnSmallLink(t *testing.T) {
	for seed := range uint64(seeds) {
		without, with := burst(smallLink, false, 0, seed), burst(smallLink, true, 0, seed)
		t.Logf("seed %d without: %+v", seed, without)
		t.Logf("seed %d with:    %+v", seed, with)
		if with.maxDelayLearned >= maxQueueing {
			t.Errorf("seed %d: small packets waited %v", seed, with.maxDelayLearned)
		}
		if without.maxDelay < 200*time.Millisecond {
			t.Errorf("seed %d: the burst is too weak: without the limiter small packets waited only %v", seed, without.maxDelay)
		}
		if with.done < without.done*9/10 {
			t.Errorf("seed %d: %d uploads done, %d without the limiter", seed, with.done, without.done)
		}
	}
}

// Guards against a limit on links that can carry the burst.
func TestBurstOnLargeLink(t *testing.T) {
	for seed := range uint64(seeds) {
		if r := burst(200e6, true, 300*time.Millisecond, seed); r.droppedSYNs != 0 || r.done != r.offered {
			t.Errorf("seed %d: %+v", seed, r)
		}
	}
}

// Guards against refusals on an idle link.
func TestSingleUploadsAreAdmitted(t *testing.T) {
	r := newReplay(smallLink, true, 1)
	for i := range 100 {
		r.after(time.Duration(i)*time.Second/4, func() {
			r.offered++
			r.open(0)
		})
	}
	if got := r.run(30 * time.Second); got.droppedSYNs != 0 || got.done != 100 {
		t.Errorf("%+v", got)
	}
}

// Guards against clients that vanish during an upload and keep others out: half of the clients vanish for 10 s, and uploads after
// these are admitted at once.
func TestVanishingClientsDoNotBlockTheLink(t *testing.T) {
	r := newReplay(smallLink, true, 1)
	r.stats = RouteStats{requests: minRequests, large: 1}
	r.vanishing = 0.5
	r.offer(16, 0, burstStart)
	during := r.run(burstStart + 2*time.Second)
	r.vanishing = 0
	r.offer(1, 0, 10*time.Second)
	after := r.run(burstEnd + 4*time.Second)
	t.Logf("during: %+v, after: %+v", during, after)
	if during.droppedSYNs == 0 {
		t.Error("the load is too low to show anything")
	}
	if after.droppedSYNs != during.droppedSYNs || after.done-during.done != after.offered-during.offered {
		t.Error("uploads were refused or lost after the clients vanished")
	}
}

// Guards against a limiter that refuses most uploads when targets take long to respond. An upload counts until its response, as a VM
// can't see which packet of a request is the last. The link is idle in this time, which is what the bounds allow for.
func TestBurstWithSlowResponses(t *testing.T) {
	for _, c := range []struct {
		work    time.Duration
		minDone float64 // share of the offered uploads
	}{
		{50 * time.Millisecond, 0.85}, {150 * time.Millisecond, 0.8}, {300 * time.Millisecond, 0.7},
	} {
		t.Run(fmt.Sprint(c.work), func(t *testing.T) {
			for seed := range uint64(seeds) {
				r := burst(smallLink, true, c.work, seed)
				t.Logf("seed %d: %+v", seed, r)
				if r.maxDelayLearned >= maxQueueing {
					t.Errorf("seed %d: small packets waited %v", seed, r.maxDelayLearned)
				}
				if float64(r.done) < c.minDone*float64(r.offered) {
					t.Errorf("seed %d: %d of %d uploads done", seed, r.done, r.offered)
				}
			}
		})
	}
}
