package linkload

import (
	"math"
	"testing"
	"time"
)

const smallLink = 10e6 // bits per second

// started starts n uploads and returns them.
func started(l *Limiter, n int, now time.Duration) []*Upload {
	uploads := make([]*Upload, n)
	for i := range uploads {
		uploads[i] = l.Started(now)
	}
	return uploads
}

// admitted returns how many uploads the limiter admits at now, at most limit. It starts each of them.
func admitted(l *Limiter, limit int, now time.Duration) int {
	n := 0
	for n < limit && l.Admits(now) {
		l.Started(now)
		n++
	}
	return n
}

// Guards against a wrong bound on the queue, against refusals on an idle link that is slower than one window per 100 ms, and
// against a limit where the capacity is unknown or absurd.
func TestNumberOfUploads(t *testing.T) {
	const many = 1000
	for _, c := range []struct {
		bitsPerSecond float64
		want          int
	}{
		{smallLink, 6}, {200e6, 130}, {1e5, 1}, {1e-9, 1}, {1e300, many}, {math.MaxFloat64, many},
		{0, many}, {-1, many}, {math.NaN(), many}, {math.Inf(1), many}, {math.Inf(-1), many},
	} {
		if n := admitted(New(c.bitsPerSecond), many, 0); n != c.want {
			t.Errorf("%g bit/s: %d uploads admitted, want %d", c.bitsPerSecond, n, c.want)
		}
	}
	if n := admitted(new(Limiter), many, 0); n != many {
		t.Errorf("zero Limiter: %d uploads admitted, want %d", n, many)
	}
}

// Guards against a crash of callers that record packets where there is no limit.
func TestWithoutLimitUploadsHaveNoState(t *testing.T) {
	u := New(0).Started(0)
	if u != nil {
		t.Errorf("an upload without a limit has state")
	}
	u.Sent(time.Second)
	u.Ended()
}

// Guards against places that stay taken after uploads end, and against places freed twice.
func TestEndedUploadFreesOnePlace(t *testing.T) {
	l := New(smallLink)
	uploads := started(l, 6, 0)
	for _, i := range []int{3, 0, 5} { // the middle, the oldest and the newest
		uploads[i].Ended()
		uploads[i].Ended()
		uploads[i].Sent(0)
	}
	if n := admitted(l, 100, 0); n != 3 {
		t.Errorf("%d uploads admitted after 3 of 6 ended, want 3", n)
	}
}

// Guards against flows that vanish and block the link for ever, and against the expiry of uploads that still send.
func TestVanishedUploadsExpire(t *testing.T) {
	l := New(smallLink)
	uploads := started(l, 6, 0)
	uploads[1].Sent(500 * time.Millisecond)
	uploads[4].Sent(600 * time.Millisecond)
	for _, c := range []struct {
		now  time.Duration
		want int
	}{
		{999 * time.Millisecond, 6}, {1000 * time.Millisecond, 2}, {1499 * time.Millisecond, 2}, {1500 * time.Millisecond, 1},
		{1600 * time.Millisecond, 0},
	} {
		l.Admits(c.now)
		if l.uploads != c.want {
			t.Errorf("%d uploads count at %v, want %d", l.uploads, c.now, c.want)
		}
	}
}

// Guards against an upload that was silent for a second, for example because its packets were lost, and then fills the link without
// being counted.
func TestExpiredUploadCountsAgain(t *testing.T) {
	l := New(smallLink)
	uploads := started(l, 6, 0)
	const now = 2 * time.Second
	if !l.Admits(now) {
		t.Fatal("expired uploads count")
	}
	for _, u := range uploads {
		u.Sent(now)
		u.Sent(now)
	}
	if l.Admits(now) {
		t.Error("uploads that resumed do not count")
	}
	uploads[2].Ended()
	if !l.Admits(now) {
		t.Error("the end of a resumed upload does not free its place")
	}
}

// Guards against a wrong count after any order of calls: the count must be that of a plain list of the uploads and their times.
func FuzzLimiter(f *testing.F) {
	f.Add([]byte{0, 0, 4, 250, 1, 3, 250, 2, 0, 250, 250, 250, 250, 1})
	f.Fuzz(func(t *testing.T, calls []byte) {
		l := New(smallLink)
		var uploads []*Upload
		var sentAt []time.Duration // negative after the end
		now := time.Duration(0)
		for _, c := range calls {
			now += time.Duration(c) * time.Millisecond
			i := 0
			if len(uploads) > 0 {
				i = int(c/3) % len(uploads)
			}
			switch {
			case c%3 == 0 || len(uploads) == 0:
				uploads, sentAt = append(uploads, l.Started(now)), append(sentAt, now)
			case c%3 == 1:
				if uploads[i].Sent(now); sentAt[i] >= 0 {
					sentAt[i] = now
				}
			default:
				uploads[i].Ended()
				sentAt[i] = -1
			}
			want := 0
			for _, at := range sentAt {
				if at >= 0 && now-at < idleTimeout {
					want++
				}
			}
			if admits := l.Admits(now); l.uploads != want || admits != (want < 6) {
				t.Fatalf("%d uploads count at %v (admits: %v), want %d", l.uploads, now, admits, want)
			}
		}
	})
}

// Guards against allocations on the packet path.
func TestPacketsDoNotAllocate(t *testing.T) {
	l := New(200e6)
	uploads := started(l, 100, 0)
	i := 0
	if n := testing.AllocsPerRun(1000, func() {
		uploads[i%100].Sent(time.Duration(i) * time.Microsecond)
		l.Admits(time.Duration(i) * time.Microsecond)
		i++
	}); n != 0 {
		t.Errorf("%v allocations per packet", n)
	}
}

func BenchmarkSent(b *testing.B) {
	l := New(200e6)
	uploads := started(l, 100, 0)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		uploads[i*37%100].Sent(time.Duration(i) * time.Microsecond)
		i++
	}
}

func BenchmarkAdmits(b *testing.B) {
	l := New(200e6)
	started(l, 100, 0)
	b.ReportAllocs()
	for b.Loop() {
		l.Admits(time.Millisecond)
	}
}
