package targetload

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// Guards against reports that come late for a full target, come too often for the control budget, or leave out targets.
func TestCollector(t *testing.T) {
	const ms = time.Millisecond
	convey.Convey("Given a collector that has just reported", t, func() {
		var c Collector
		start := 100 * time.Second
		c.Finish(1, 10*ms, 11*ms, false)
		convey.So(c.Take(start), convey.ShouldHaveLength, 1)

		convey.Convey("Without observations there is no report", func() {
			convey.So(c.Take(start+time.Hour), convey.ShouldBeNil)
		})
		convey.Convey("Ordinary responses are summed up for a second", func() {
			c.Finish(1, 10*ms, 12*ms, false)
			c.Finish(1, 10*ms, 14*ms, true)
			convey.So(c.Take(start+999*ms), convey.ShouldBeNil)
			convey.So(c.Take(start+time.Second), convey.ShouldResemble,
				[]Report{{ID: 1, Responses: 2, UrgentResponses: 1, Took: 26 * ms, Work: 20 * ms, UrgentWork: 10 * ms}})
			convey.So(c.Take(start+time.Hour), convey.ShouldBeNil)
		})
		convey.Convey("A rejection is reported after 250 ms", func() {
			c.Reject(1, 10*ms, true)
			convey.So(c.Take(start+249*ms), convey.ShouldBeNil)
			convey.So(c.Take(start+250*ms), convey.ShouldResemble,
				[]Report{{ID: 1, Rejected: 1, UrgentRejected: 1, Work: 10 * ms, UrgentWork: 10 * ms}})
		})
		convey.Convey("A slow target is reported after 250 ms", func() {
			c.Finish(1, 10*ms, 21*ms, false)
			convey.So(c.Take(start+250*ms), convey.ShouldHaveLength, 1)
		})
		convey.Convey("Responses of unknown or absurd work count without it", func() {
			c.Finish(1, 0, time.Hour, true)
			c.Finish(1, -time.Second, 10*ms, true)
			c.Finish(1, 10*ms, -time.Second, true)
			c.Finish(1, time.Hour, 1000*time.Hour, false)
			convey.So(c.Take(start+time.Second), convey.ShouldResemble,
				[]Report{{ID: 1, Responses: 4, UrgentResponses: 3, Took: maxTook, Work: maxTook}})
		})
		convey.Convey("The busiest 64 targets come first, the others with the next set", func() {
			for id := range ID(100) {
				c.Finish(id, 10*ms, 11*ms, false)
				if id >= 90 {
					c.Reject(id, 10*ms, false)
				}
			}
			first := c.Take(start + 250*ms)
			convey.So(first, convey.ShouldHaveLength, 64)
			for _, r := range first[:10] {
				convey.So(r.ID, convey.ShouldBeGreaterThanOrEqualTo, 90)
			}
			convey.So(c.Take(start+1250*ms), convey.ShouldHaveLength, 36)
		})
		convey.Convey("Reports stay below 5 KB per second with thousands of full targets", func() {
			const wireSize = 24 // bytes of a report with three-byte numbers
			sent := 0
			for at := start; at < start+20*time.Second; at += 10 * ms {
				for i := range ID(30) {
					c.Reject(ID(at/ms)*30+i, 10*ms, true)
				}
				sent += len(c.Take(at))
				convey.So(len(c.sums), convey.ShouldBeLessThanOrEqualTo, maxCollected)
			}
			t.Logf("%d reports in 20 s", sent)
			convey.So(sent*wireSize, convey.ShouldBeBetween, 20*2500, 20*5000)
		})
		convey.Convey("Responses of known targets do not allocate", func() {
			c.Finish(1, 10*ms, 11*ms, true)
			convey.So(testing.AllocsPerRun(100, func() { c.Finish(1, 10*ms, 11*ms, true) }), convey.ShouldEqual, 0)
		})
	})
}
