package bench

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

// TestVerdict guards against a verdict that reports a missed bound as met, at the bound and next to it.
func TestVerdict(t *testing.T) {
	Convey("A figure meets its bound up to and including the limit", t, func() {
		So(atMost("x", "", 0, 0).Verdict(), ShouldEqual, "met")
		So(atMost("x", "", 0, 1).Verdict(), ShouldEqual, "MISSED")
		So(atLeast("x", "%", 99.9, 99.9).Verdict(), ShouldEqual, "met")
		So(atLeast("x", "%", 99.9, 99.89999).Verdict(), ShouldEqual, "MISSED")
		So(unbounded("x", "", 7).Verdict(), ShouldEqual, "stated")
	})
}

// TestShares guards against shares that count requests still in flight, and against division by zero.
func TestShares(t *testing.T) {
	Convey("Imbalance is the maximum over the mean", t, func() {
		top, cv := imbalance([]float64{1, 1, 4})
		So(top, ShouldEqual, 2)
		So(cv, ShouldAlmostEqual, 0.7071, 0.0001)
		top, cv = imbalance(nil)
		So(top, ShouldEqual, 1)
		So(cv, ShouldEqual, 0)
	})
	Convey("Only requests that ended in the window count", t, func() {
		var from, to coretest.Stats
		from.Done[core.ClassPosting], from.Unknown[core.ClassPosting] = 100, 50
		to.Offered[core.ClassPosting] = 1000
		to.Done[core.ClassPosting], to.Unknown[core.ClassPosting] = 190, 55
		to.TimedOut[core.ClassPosting], to.GaveUp[core.ClassPosting] = 2, 3
		So(goodput(&from, &to, core.ClassPosting), ShouldEqual, 0.9)
		So(goodput(&to, &to, core.ClassPosting), ShouldEqual, 1)
	})
	Convey("The median of delays is the middle one", t, func() {
		So(median([]time.Duration{9, 1, 5}), ShouldEqual, 5)
		So(median(nil), ShouldEqual, 0)
	})
	Convey("The median pair has the highest allocations of all pairs", t, func() {
		m := medianPair([]routeTimes{{30, 10, 0}, {10, 10, 1}, {20, 10, 0}})
		So(m.ratio(), ShouldEqual, 2)
		So(m.allocs, ShouldEqual, 1)
	})
	Convey("Flows that had not arrived before the kill do not count", t, func() {
		var o Outcome
		o.countAfterKill(true, true, true)
		o.countAfterKill(false, true, true)
		o.countAfterKill(false, false, true)
		So([]int{o.FlowsSeenElsewhere, o.BrokenSeenElsewhere, o.FlowsNotSeenElsewhere, o.BrokenNotSeenElsewhere}, ShouldResemble, []int{1, 1, 1, 1})
	})
}

// TestIdeas guards against a wrong cost model in the comparisons with the related paper's ideas.
func TestIdeas(t *testing.T) {
	Convey("A single VM owns all targets with any number of virtual nodes", t, func() {
		So(ownershipImbalance(ownershipCase{1, 18, 3}, 8, 1), ShouldEqual, 1)
	})
	Convey("A flow's candidates are distinct, and the search ends at its owner", t, func() {
		sets := [][]uint64{{1}, {2}, {2}, {3}}
		candidates, at := candidatesOf(7, sets, 2)
		So(candidates, ShouldResemble, []uint64{1, 2, 3})
		So(at, ShouldEqual, 1)
	})
	Convey("A query costs a reply for each owner, and the request another hop", t, func() {
		c := costsOfSearch(-1, []uint64{5, 5}, 0, 1)
		So(c.recursive, ShouldResemble, forwardingCost{1, 1})
		So(c.iterative, ShouldResemble, forwardingCost{3, 3})
		So(c.parallel, ShouldResemble, forwardingCost{3, 5})
		local := costsOfSearch(0, []uint64{5, 5}, 1, 1)
		So(local, ShouldResemble, searchCosts{})
	})
	Convey("One owner never exceeds the limit, but two owners with the whole limit each do", t, func() {
		one := simulateHotTarget(hotTargetCase{slots: 2, owners: 1, load: 0.9, skew: 1}, 1)
		So(one.overLimit, ShouldEqual, 0)
		So(one.busiest, ShouldEqual, 1)
		two := simulateHotTarget(hotTargetCase{slots: 2, owners: 2, wholeLimit: true, load: 0.9, skew: 0.6}, 1)
		So(two.overLimit, ShouldBeGreaterThan, 0)
		So(two.p99, ShouldBeLessThan, one.p99)
	})
}

// smallDeployment returns a deployment that is small enough for fast tests.
func smallDeployment() coretest.Deployment {
	d := coretest.Randstad()
	d.VMs, d.Targets = 3, 6
	return d
}

// TestEqualSeeds guards against runs that differ with the same seed, as variants would then be compared on
// different sequences of events.
func TestEqualSeeds(t *testing.T) {
	Convey("Equal seeds give equal outcomes", t, func() {
		for _, v := range Variants {
			a, b := smallRun(v, 5), smallRun(v, 5)
			So(a.Stats.Offered, ShouldResemble, b.Stats.Offered)
			So(a.Stats.Done, ShouldResemble, b.Stats.Done)
			So(a.Meter.Sent, ShouldEqual, b.Meter.Sent)
			So(a.Stats.Done[core.ClassRead], ShouldBeGreaterThan, 0)
		}
	})
}

func smallRun(v Variant, seed uint64) *Outcome {
	d := smallDeployment()
	t := startTrial(d, v, lossyPath(seed))
	t.beginWindow()
	d.AddLoad(t.cluster, 60, 0.2)
	t.run(5 * time.Second)
	return t.endWindow()
}

// TestMeter guards against a meter that loses attempts or never discards them.
func TestMeter(t *testing.T) {
	Convey("An attempt is in flight until its answer or the end of its lifetime", t, func() {
		m := &Meter{}
		m.observeAction("a", core.SendTarget{Target: 1, Token: 7}, 0)
		m.observeAction("b", core.SendTarget{Target: 1, Token: 7}, time.Second)
		So(m.inFlight(1, time.Second), ShouldEqual, 2)
		m.observeInput("b", core.TargetAnswer{Token: 7})
		So(m.inFlight(1, time.Second), ShouldEqual, 1)
		So(m.inFlight(1, 3*time.Second), ShouldEqual, 0)
	})
	Convey("Messages within a VM do not count as forwards", t, func() {
		m := &Meter{}
		m.observeAction("a", core.SendPeer{To: "a", Msg: &core.ForwardRequest{}}, 0)
		m.observeAction("a", core.SendPeer{To: "b", Msg: &core.ForwardRequest{}}, 0)
		So(m.Forwards, ShouldEqual, 1)
	})
	Convey("A panic of a core is counted and its input is lost", t, func() {
		m := &Meter{}
		v := meteredVM{panicking{}, "a", m}
		So(v.Handle(core.Tick{}, 0), ShouldBeEmpty)
		So(m.Panics, ShouldEqual, 1)
		So(m.FirstPanic, ShouldContainSubstring, "core.Tick at a")
	})
}

// panicking is a core that panics at every input.
type panicking struct{}

func (panicking) Handle(core.Input, time.Duration) []core.Action { panic("failed") }

// TestCommand guards against exit code 0 when a measurement could not run, and against incomplete reports.
func TestCommand(t *testing.T) {
	Convey("An unknown name fails with an error that lists the known names", t, func() {
		var out, errs bytes.Buffer
		So(Run([]string{"--only", "nothing"}, &out, &errs), ShouldEqual, 1)
		So(errs.String(), ShouldContainSubstring, "planned-broken-flows")
	})
	Convey("A scenario that panics returns an error", t, func() {
		s := Scenario{"broken", func(Variant, uint64) *Outcome { panic("failed") }}
		_, err := NewRunner(1).Outcome(s, Mangoweir)
		So(err, ShouldNotBeNil)
	})
	Convey("A table alone is printed as text and as JSON", t, func() {
		var out, errs bytes.Buffer
		So(Run([]string{"--only", "forwarding"}, &out, &errs), ShouldEqual, 0)
		So(out.String(), ShouldContainSubstring, topicForwarding)
		out.Reset()
		So(Run([]string{"--only", "forwarding", "--json", "--seed", "9"}, &out, &errs), ShouldEqual, 0)
		var r Report
		So(json.Unmarshal(out.Bytes(), &r), ShouldBeNil)
		So(r.Seed, ShouldEqual, 9)
		So(len(r.Comparisons), ShouldEqual, 6)
	})
	Convey("Each figure is on one line with its verdict", t, func() {
		r := Report{Figures: []Figure{atMost("a", "s", 2, 3).withBaseline("b", 4).withNote("c"), atLeast("d", "%", 99.9, 100)}}
		var out bytes.Buffer
		So(r.Text(&out), ShouldBeNil)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		So(len(lines), ShouldEqual, 3)
		So(strings.Fields(lines[1]), ShouldResemble, strings.Fields("a 3 s <= 2 4 (b) MISSED c"))
	})
}
