package control_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
)

// controlBudget is the limit of control traffic per VM in bytes per second.
const controlBudget = 5 * 1024

// peakRate returns the highest rates of a VM: bytes per second, sent or received, and messages sent per
// second.
func (c *cluster) peakRate(d time.Duration) (bytes, messages float64) {
	for _, v := range c.vms {
		bytes = max(bytes, float64(max(v.sentBytes, v.receivedBytes))/d.Seconds())
		messages = max(messages, float64(v.sentMessages)/d.Seconds())
	}
	return bytes, messages
}

// resetCounts starts a new measurement.
func (c *cluster) resetCounts() {
	for _, v := range c.vms {
		v.sentBytes, v.receivedBytes, v.sentMessages = 0, 0, 0
	}
	c.platform.calls, c.platform.writes = 0, 0
}

// applyChurn replaces VMs and changes the configuration for the given number of seconds.
func (c *cluster) applyChurn(seconds int) {
	for i := range seconds {
		v := c.vms[(i/5)%len(c.vms)]
		switch i % 10 {
		case 0:
			v.handle(core.Stop{})
			v.report(core.ShardDrained{})
		case 3:
			v.kill()
			v.start()
		case 5:
			next := copyConfig(c.configs[c.platform.generation])
			next.Services[0].Targets[i%10].Weight = 1 + float64(i)/100
			c.accept(next)
		}
		c.advance(time.Second)
	}
}

// Guards against control traffic above the budget with 8 VMs and 18 targets under churn, and against
// traffic per VM that grows with the fleet.
func TestControlTraffic(t *testing.T) {
	t.Parallel()
	Convey("Given 8 VMs and 18 targets", t, func() {
		c := newFleet(3, 8)
		c.resetCounts()
		c.advance(60 * time.Second)
		idle, messages := c.peakRate(60 * time.Second)
		t.Logf("8 VMs, no change: %.0f B/s, %.1f messages/s per VM, platform calls %d in 60 s", idle, messages, c.platform.calls)
		c.resetCounts()
		c.applyChurn(60)
		busy, messages := c.peakRate(60 * time.Second)
		t.Logf("8 VMs, churn: %.0f B/s, %.1f messages/s per VM, platform calls %d, writes %d in 60 s", busy, messages, c.platform.calls, c.platform.writes)
		So(busy, ShouldBeLessThan, controlBudget)
		c.advance(10 * time.Second)
		So(c.ownershipProblem(), ShouldEqual, "")
	})
	Convey("The traffic per VM does not grow with the fleet", t, func() {
		var rates []float64
		for _, n := range []int{24, 48, 96} {
			c := newFleet(4, n)
			c.resetCounts()
			c.advance(20 * time.Second)
			bytes, messages := c.peakRate(20 * time.Second)
			t.Logf("%d VMs: %.0f B/s, %.1f messages/s per VM, platform calls %d in 20 s", n, bytes, messages, c.platform.calls)
			rates = append(rates, bytes)
			lost := 0
			for _, v := range c.vms {
				if v.snapshot.AuthorityUntil <= c.now {
					lost++
				}
			}
			So(lost, ShouldEqual, 0)
			for _, target := range targetsOf(c.configs[1]) {
				So(len(c.owners(target.ID)), ShouldEqual, 1)
			}
			c.accept(copyConfig(c.configs[1]))
			c.advance(2 * time.Second)
			for _, v := range c.vms {
				So(v.snapshot.Config.Generation, ShouldEqual, 2)
			}
		}
		So(rates[2], ShouldBeLessThan, 1.05*rates[0])
	})
}
