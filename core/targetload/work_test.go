package targetload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against an estimate that follows the queues of an overload, or that stays high after it learned during one.
func TestWorkEstimator(t *testing.T) {
	convey.Convey("Given an estimator of requests of 50 to 150 ms", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		response := func() time.Duration {
			return 50*time.Millisecond + time.Duration(random.Int64N(int64(100*time.Millisecond)))
		}
		var w WorkEstimator
		add := func(n int, wait time.Duration) {
			for range n {
				w.Add(response() + wait)
			}
		}

		convey.Convey("It is 0 until there are 3 values", func() {
			convey.So(w.Work(), convey.ShouldEqual, 0)
			add(2, 0)
			convey.So(w.Work(), convey.ShouldEqual, 0)
			add(1, 0)
			convey.So(w.Work(), convey.ShouldBeBetween, 50*time.Millisecond, 150*time.Millisecond)
		})
		convey.Convey("It is near the 0.25 quantile, 75 ms", func() {
			add(1000, 0)
			var sum time.Duration
			for range 1000 {
				add(1, 0)
				sum += w.Work()
			}
			t.Logf("mean estimate %v", sum/1000)
			convey.So(sum/1000, convey.ShouldBeBetween, 65*time.Millisecond, 82*time.Millisecond)
		})
		convey.Convey("10 s of overload at 20 responses per second raise it at most 1.6 times", func() {
			add(1000, 0)
			before := w.Work()
			add(200, time.Second)
			convey.So(float64(w.Work())/float64(before), convey.ShouldBeLessThan, 1.6)
		})
		convey.Convey("When it learned during an overload, 20 responses correct it", func() {
			add(100, 2*time.Second)
			convey.So(w.Work(), convey.ShouldBeGreaterThan, time.Second)
			add(20, 0)
			convey.So(w.Work(), convey.ShouldBeLessThan, 150*time.Millisecond)
		})
		convey.Convey("It ignores absurd times", func() {
			add(100, 0)
			before := w.Work()
			w.Add(0)
			w.Add(math.MinInt64)
			convey.So(w.Work(), convey.ShouldEqual, before)
			w.Add(math.MaxInt64)
			convey.So(float64(w.Work()), convey.ShouldBeLessThan, 1.01*float64(before))
		})
	})
}
