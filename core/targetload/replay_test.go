package targetload

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

const (
	replayTargets = 40
	slowFrom      = 5 * time.Second
	slowUntil     = 23 * time.Second
	slowFactor    = 6
	slowTargets   = 16 // 40%
)

var replayVMs = []int{3, 30, 100}

// unevenModel returns a zone in which the first 16 of 40 targets are six times slower for 18 s.
func unevenModel(vms int) *model {
	m := newModel(vms, replayTargets)
	for _, target := range m.targets[:slowTargets] {
		target.factor = func(now time.Duration) float64 {
			if now >= slowFrom && now < slowUntil {
				return slowFactor
			}
			return 1
		}
	}
	return m
}

// unevenSlots is the load in slots: 0.8 of the 53 that the targets have while 16 of them are slow.
const unevenSlots = 0.8 * modelSlots * (replayTargets - slowTargets + slowTargets/float64(slowFactor))

// Guards against slow targets that get as many flows as fast ones, that are found late, or that are avoided after they recovered;
// and against all VMs sending to the same targets, which would show as a busiest target that gets worse with more VMs.
func TestUnevenTargets(t *testing.T) {
	var spread []float64
	for _, vms := range replayVMs {
		convey.Convey(fmt.Sprintf("With %d VMs, 40%% of the targets are six times slower for 18 s", vms), t, func() {
			m := unevenModel(vms)
			m.arrive(rate(unevenSlots), m.newFlow)

			m.run(slowFrom + 2*time.Second)
			detected, falsely := 0, 0
			for i, target := range m.targets {
				if m.table.Weight(target.id, modelService, m.now) < 0.25 {
					if i < slowTargets {
						detected++
					} else {
						falsely++
					}
				}
			}

			m.run(slowUntil + 10*time.Second)
			byTarget, rejected := m.between(slowFrom+2*time.Second, slowUntil)
			seconds := (slowUntil - slowFrom - 2*time.Second).Seconds()
			occupied := sumOf(byTarget[:slowTargets]) / seconds * modelWork.Seconds() * slowFactor / (slowTargets * modelSlots)
			fast := byTarget[slowTargets:]
			busiest := slices.Max(fast) / (sumOf(fast) / float64(len(fast)))
			after, _ := m.between(slowUntil+5*time.Second, slowUntil+10*time.Second)
			recovered := sumOf(after[:slowTargets]) / sumOf(after) * replayTargets / slowTargets
			t.Logf("%d VMs: detected %d (falsely %d), slow targets occupied %.2f, rejected %.4f, busiest %.2f, recovered %.2f",
				vms, detected, falsely, occupied, rejected, busiest, recovered)

			convey.So(detected, convey.ShouldEqual, slowTargets)
			convey.So(falsely, convey.ShouldEqual, 0)
			convey.So(occupied, convey.ShouldBeBetween, 0.2, 1)
			// The load is within the capacity that remains, so that callers need hardly any of their three attempts.
			convey.So(rejected, convey.ShouldBeLessThan, 0.02)
			convey.So(recovered, convey.ShouldBeGreaterThan, 0.8)
			spread = append(spread, busiest)
		})
	}
	convey.Convey("The busiest target does not depend on the number of VMs", t, func() {
		convey.So(slices.Max(spread[1:]), convey.ShouldBeLessThan, 1.1*spread[0])
	})
}

// Guards against new flows that go to targets which are full with requests of long-lived flows, while others have free slots.
func TestFullTargets(t *testing.T) {
	const full = 10
	for _, vms := range replayVMs {
		convey.Convey(fmt.Sprintf("With %d VMs, a quarter of the targets is full with requests of long-lived flows", vms), t, func() {
			play := func(readerLost bool) (rejected, share float64) {
				m := newModel(vms, replayTargets)
				m.readerLost = func(time.Duration) bool { return readerLost }
				m.arrive(rate(0.5*modelSlots*replayTargets), m.newFlow)
				m.arrive(rate(1.2*modelSlots*full), func() { m.send(m.randomVM(), m.random.IntN(full)) })
				m.run(20 * time.Second)
				byTarget, rejected := m.between(5*time.Second, 20*time.Second)
				return rejected, sumOf(byTarget[:full]) / sumOf(byTarget)
			}
			rejected, share := play(false)
			rejectedBefore, shareBefore := play(true)
			t.Logf("%d VMs: rejected %.4f, to full targets %.3f; without summaries %.4f, %.3f", vms, rejected, share, rejectedBefore,
				shareBefore)
			convey.So(rejected, convey.ShouldBeLessThan, rejectedBefore/4)
			convey.So(share, convey.ShouldBeLessThan, shareBefore/4)
		})
	}
}

// Guards against VMs that follow the last summary of a reader that was lost.
func TestLostReader(t *testing.T) {
	for _, vms := range replayVMs {
		convey.Convey(fmt.Sprintf("With %d VMs, the reader is lost while targets are slow", vms), t, func() {
			m := unevenModel(vms)
			lost := slowUntil - time.Second
			m.readerLost = func(now time.Duration) bool { return now >= lost }
			m.arrive(rate(unevenSlots), m.newFlow)
			m.run(lost + 8*time.Second)
			for _, target := range m.targets {
				convey.So(m.table.Weight(target.id, modelService, m.now), convey.ShouldEqual, 1)
			}
			byTarget, _ := m.between(lost+3*time.Second, lost+8*time.Second)
			convey.So(sumOf(byTarget[:slowTargets])/sumOf(byTarget), convey.ShouldBeBetween, 0.3, 0.45)
		})
	}
}
