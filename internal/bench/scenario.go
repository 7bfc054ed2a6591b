package bench

import (
	"math"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/vm"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

// Variant is a decision core to measure.
type Variant struct {
	Name  string
	NewVM func(vm.Options) coretest.Handler
}

// Mangoweir is the decision core of this project.
var Mangoweir = Variant{"mangoweir", func(o vm.Options) coretest.Handler { return vm.New(o) }}

// The simplest variants of the design's decisions.
var (
	HashAlone  = baseline("hash alone", BaselineOptions{})
	TablePerVM = baseline("hash + table per VM", BaselineOptions{FlowTable: true})
	HomeVM     = baseline("home VM per flow", BaselineOptions{FlowTable: true, HomeVMs: true})
)

// Variants lists all cores in the order of the tables.
var Variants = []Variant{Mangoweir, HashAlone, TablePerVM, HomeVM}

func baseline(name string, opts BaselineOptions) Variant {
	return Variant{name, func(o vm.Options) coretest.Handler { return NewBaseline(opts, o.Control) }}
}

// Outcome is what a scenario measured.
type Outcome struct {
	Stats coretest.Stats
	Meter Meter
	// Flows is the number of callers, and Broken those whose flow broke.
	Flows, Broken int
	// FlowsSeenElsewhere are flows with a packet seen by another VM than the one killed, and FlowsNotSeenElsewhere those
	// without.
	FlowsSeenElsewhere, BrokenSeenElsewhere, FlowsNotSeenElsewhere, BrokenNotSeenElsewhere int
	// FlowsOutsideZone are flows that were on targets outside the zone when it was taken out.
	FlowsOutsideZone, BrokenOutsideZone int
	// ControlMean is the control bytes a second of the VM that sent most, over the whole window;
	// ControlPeak is the most that any VM sent in one second.
	ControlMean, ControlPeak float64
	// FlowLearnedRate and HandoverRate are the bytes a second of FlowLearned and of handovers, for the
	// average VM.
	FlowLearnedRate, HandoverRate float64
	// MaxOverMean and CV describe the requests that ran at equal targets.
	MaxOverMean, CV float64
	// FeedGoodput and Postings are shares of what was offered in the window.
	FeedGoodput, PostingGoodput float64
	// ColdOverruns counts requests that reached a cold target above what it bears.
	ColdOverruns uint64
	// ConfigDelays are the times until a configuration was in force on every VM.
	ConfigDelays []time.Duration
	// PlatformRate is the reads a second of the platform, by all VMs.
	PlatformRate float64
}

// trial is a scenario that runs.
type trial struct {
	d     coretest.Deployment
	w     *coretest.Cluster
	meter *Meter
	out   Outcome

	windowAt    time.Duration
	atWindow    coretest.Stats
	doneAt      map[core.TargetID]uint64
	controlAt   map[core.VMName]uint64
	lastControl map[core.VMName]uint64
	learnedAt   uint64
	handoverAt  uint64
	readsAt     uint64
}

// rough are faults of the path between callers and VMs: loss, duplicates and late packets.
func rough(seed uint64) coretest.Options {
	return coretest.Options{Seed: seed, DropRate: 0.02, DuplicateRate: 0.1, LateRate: 0.05}
}

// smooth is a path without faults.
func smooth(seed uint64) coretest.Options { return coretest.Options{Seed: seed} }

// start builds a deployment with running VMs.
func start(d coretest.Deployment, v Variant, opts coretest.Options) *trial {
	t := &trial{d: d, meter: &Meter{}}
	opts.NewVM = t.meter.wrap(v.NewVM)
	t.w = d.Start(opts)
	t.meter.world = t.w
	return t
}

// load adds callers with a feed each in steps, so that their first requests do not exceed the
// capacity, and lets the load settle.
func (t *trial) load(callers int, fraction float64) {
	const steps = 10
	for range steps {
		t.d.AddLoad(t.w, callers/steps, fraction/steps)
		t.w.Run(2 * time.Second)
	}
	t.w.Run(5 * time.Second)
}

// begin starts the window in which rates are measured.
func (t *trial) begin() {
	t.windowAt = t.w.Now()
	t.atWindow = t.w.Stats
	t.doneAt = map[core.TargetID]uint64{}
	for _, x := range t.w.Targets() {
		t.doneAt[x.Target.ID] = x.Done
	}
	t.controlAt = t.control()
	t.lastControl = t.controlAt
	t.learnedAt = t.meter.FlowLearnedBytes
	t.handoverAt = t.meter.HandoverBytes
	t.readsAt = t.w.Platform.Reads
	t.out.ControlPeak = 0
}

// control returns the control bytes that each VM has sent.
func (t *trial) control() map[core.VMName]uint64 {
	sent := map[core.VMName]uint64{}
	for i := range t.d.VMs {
		_, sent[coretest.VMName(i)] = t.w.ControlTraffic(coretest.VMName(i))
	}
	return sent
}

// run lets time pass and samples the control traffic once a second.
func (t *trial) run(d time.Duration) {
	for end := t.w.Now() + d; t.w.Now() < end; {
		step := min(time.Second, end-t.w.Now())
		t.w.Run(step)
		sent := t.control()
		for name, n := range sent {
			rate := float64(n-t.lastControl[name]) / time.Second.Seconds()
			t.out.ControlPeak = max(t.out.ControlPeak, rate)
		}
		t.lastControl = sent
	}
}

// end closes the window and returns the outcome.
func (t *trial) end() *Outcome {
	o := &t.out
	w := t.w
	o.Stats, o.Meter = w.Stats, *t.meter
	o.Flows = w.NumClients()
	o.Broken = w.CountClients(func(c *coretest.Client) bool { return c.Broken })
	length := (w.Now() - t.windowAt).Seconds()
	for name, n := range t.control() {
		o.ControlMean = max(o.ControlMean, float64(n-t.controlAt[name])/length)
	}
	o.FlowLearnedRate = float64(t.meter.FlowLearnedBytes-t.learnedAt) / length / float64(t.d.VMs)
	o.HandoverRate = float64(t.meter.HandoverBytes-t.handoverAt) / length / float64(t.d.VMs)
	o.PlatformRate = float64(w.Platform.Reads-t.readsAt) / length
	var done []float64
	for _, x := range w.Targets() {
		o.ColdOverruns += x.ColdOverruns
		done = append(done, float64(x.Done-t.doneAt[x.Target.ID]))
	}
	o.MaxOverMean, o.CV = imbalance(done)
	o.FeedGoodput = ratio(w.Stats.FeedLiveSeconds-t.atWindow.FeedLiveSeconds, w.Stats.FeedSeconds-t.atWindow.FeedSeconds)
	o.PostingGoodput = settledShare(&t.atWindow, &w.Stats, core.ClassPosting)
	return o
}

// settledShare returns the requests of a class that were answered, as a share of those that ended
// between two moments.
func settledShare(from, to *coretest.Stats, c core.Class) float64 {
	done := to.Done[c] - from.Done[c]
	failed := to.Unknown[c] + to.GaveUp[c] + to.TimedOut[c] -
		from.Unknown[c] - from.GaveUp[c] - from.TimedOut[c]
	return ratio(done, done+failed)
}

// ratio returns a/b, or 1 when b is 0.
func ratio(a, b uint64) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}

// add adds the counts of another run of the same scenario.
func (o *Outcome) add(x *Outcome) {
	o.Flows += x.Flows
	o.Broken += x.Broken
	o.FlowsSeenElsewhere += x.FlowsSeenElsewhere
	o.BrokenSeenElsewhere += x.BrokenSeenElsewhere
	o.FlowsNotSeenElsewhere += x.FlowsNotSeenElsewhere
	o.BrokenNotSeenElsewhere += x.BrokenNotSeenElsewhere
	o.ColdOverruns += x.ColdOverruns
	o.Meter.Panics += x.Meter.Panics
	if o.Meter.FirstPanic == "" {
		o.Meter.FirstPanic = x.Meter.FirstPanic
	}
	s, y := &o.Stats, &x.Stats
	s.DoubleRuns += y.DoubleRuns
	s.WrongAnswers += y.WrongAnswers
	s.UntrueNotRun += y.UntrueNotRun
	s.WrongService += y.WrongService
	s.ZoneOutPackets += y.ZoneOutPackets
	s.LeavingTargetFlows += y.LeavingTargetFlows
	s.Violations = append(s.Violations, y.Violations...)
}

// imbalance returns max over mean and the coefficient of variation.
func imbalance(values []float64) (maxOverMean, cv float64) {
	sum, top := 0.0, 0.0
	for _, v := range values {
		sum += v
		top = max(top, v)
	}
	if sum == 0 {
		return 1, 0
	}
	mean := sum / float64(len(values))
	square := 0.0
	for _, v := range values {
		square += (v - mean) * (v - mean)
	}
	return top / mean, math.Sqrt(square/float64(len(values))) / mean
}
