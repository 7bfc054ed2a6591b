package bench

import (
	"math"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/vm"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

// Variant is a decision core to measure, with its name in reports.
type Variant struct {
	Name  string
	NewVM func(vm.Options) coretest.Handler
}

// Mangoweir is the decision core of this project.
var Mangoweir = Variant{"mangoweir", func(o vm.Options) coretest.Handler { return vm.New(o) }}

// The baselines: simpler variants of the design's decisions.
var (
	HashAlone  = baseline("hash alone", BaselineOptions{})
	TablePerVM = baseline("hash + table per VM", BaselineOptions{FlowTable: true})
	HomeVM     = baseline("home VM per flow", BaselineOptions{FlowTable: true, HomeVMs: true})
)

// Variants lists all variants in the order in which tables show them.
var Variants = []Variant{Mangoweir, HashAlone, TablePerVM, HomeVM}

func baseline(name string, opts BaselineOptions) Variant {
	return Variant{name, func(o vm.Options) coretest.Handler { return NewBaseline(opts, o.Control) }}
}

// Outcome holds what one run of a scenario measured.
type Outcome struct {
	Stats coretest.Stats
	Meter Meter
	// Flows is the number of clients, each of which has one flow. Broken is the number of broken flows.
	Flows, Broken int
	// FlowsSeenElsewhere is the number of flows of which a VM other than the killed one received a packet
	// before the kill. FlowsNotSeenElsewhere is the number of flows of which only the killed VM received one.
	FlowsSeenElsewhere, BrokenSeenElsewhere, FlowsNotSeenElsewhere, BrokenNotSeenElsewhere int
	// FlowsOutsideZone is the number of flows that were on targets outside the zone when it was taken out.
	FlowsOutsideZone, BrokenOutsideZone int
	// ControlMean is the control traffic in bytes a second of the VM that sent most, over the whole window.
	// ControlPeak is the highest number of control bytes that any VM sent in one second.
	ControlMean, ControlPeak float64
	// FlowLearnedRate and HandoverRate are the bytes a second of FlowLearned messages and of handovers, as
	// the mean over the VMs.
	FlowLearnedRate, HandoverRate float64
	// MaxOverMean and CV (coefficient of variation) describe how requests were spread over equal targets.
	MaxOverMean, CV float64
	// FeedGoodput is the share of the feeds' time in the window in which they were live. PostingGoodput is
	// the share of answered postings among those that ended in the window.
	FeedGoodput, PostingGoodput float64
	// ColdOverruns counts the requests that reached a cold target above its capacity.
	ColdOverruns uint64
	// ConfigDelays holds, for each configuration, the time until it was in force on every VM.
	ConfigDelays []time.Duration
	// PlatformRate is the number of reads a second that all VMs together made from the platform.
	PlatformRate float64
}

// trial is a run of a scenario, with the counters at the start of its measurement window.
type trial struct {
	deployment coretest.Deployment
	cluster    *coretest.Cluster
	meter      *Meter
	outcome    Outcome

	windowStart         time.Duration
	statsAtStart        coretest.Stats
	doneAtStart         map[core.TargetID]uint64
	controlBytesAtStart map[core.VMName]uint64
	lastControlBytes    map[core.VMName]uint64
	flowLearnedAtStart  uint64
	handoverAtStart     uint64
	readsAtStart        uint64
}

// lossyPath returns options with faults on the path between clients and VMs: loss, duplicates and late
// packets.
func lossyPath(seed uint64) coretest.Options {
	return coretest.Options{Seed: seed, DropRate: 0.02, DuplicateRate: 0.1, LateRate: 0.05}
}

// cleanPath returns options for a path without faults.
func cleanPath(seed uint64) coretest.Options { return coretest.Options{Seed: seed} }

// startTrial starts the VMs of a deployment.
func startTrial(d coretest.Deployment, v Variant, opts coretest.Options) *trial {
	t := &trial{deployment: d, meter: &Meter{}}
	opts.NewVM = t.meter.wrap(v.NewVM)
	t.cluster = d.Start(opts)
	t.meter.cluster = t.cluster
	return t
}

// addLoad adds clients with a feed each in steps, so that their first requests do not exceed the capacity, and
// lets the load settle.
func (t *trial) addLoad(clients int, fraction float64) {
	const steps = 10
	for range steps {
		t.deployment.AddLoad(t.cluster, clients/steps, fraction/steps)
		t.cluster.Run(2 * time.Second)
	}
	t.cluster.Run(5 * time.Second)
}

// beginWindow starts the window in which rates are measured.
func (t *trial) beginWindow() {
	t.windowStart = t.cluster.Now()
	t.statsAtStart = t.cluster.Stats
	t.doneAtStart = map[core.TargetID]uint64{}
	for _, x := range t.cluster.Targets() {
		t.doneAtStart[x.Target.ID] = x.Done
	}
	t.controlBytesAtStart = t.controlBytes()
	t.lastControlBytes = t.controlBytesAtStart
	t.flowLearnedAtStart = t.meter.FlowLearnedBytes
	t.handoverAtStart = t.meter.HandoverBytes
	t.readsAtStart = t.cluster.Platform.Reads
	t.outcome.ControlPeak = 0
}

// controlBytes returns the number of control bytes that each VM has sent so far.
func (t *trial) controlBytes() map[core.VMName]uint64 {
	sent := map[core.VMName]uint64{}
	for i := range t.deployment.VMs {
		_, sent[coretest.VMName(i)] = t.cluster.ControlTraffic(coretest.VMName(i))
	}
	return sent
}

// run advances virtual time and samples the control traffic once a second.
func (t *trial) run(d time.Duration) {
	for end := t.cluster.Now() + d; t.cluster.Now() < end; {
		step := min(time.Second, end-t.cluster.Now())
		t.cluster.Run(step)
		sent := t.controlBytes()
		for name, n := range sent {
			rate := float64(n-t.lastControlBytes[name]) / time.Second.Seconds()
			t.outcome.ControlPeak = max(t.outcome.ControlPeak, rate)
		}
		t.lastControlBytes = sent
	}
}

// endWindow ends the window and returns the outcome.
func (t *trial) endWindow() *Outcome {
	o := &t.outcome
	cluster := t.cluster
	o.Stats, o.Meter = cluster.Stats, *t.meter
	o.Flows = cluster.NumClients()
	o.Broken = cluster.CountClients(func(c *coretest.Client) bool { return c.Broken })
	length := (cluster.Now() - t.windowStart).Seconds()
	for name, n := range t.controlBytes() {
		o.ControlMean = max(o.ControlMean, float64(n-t.controlBytesAtStart[name])/length)
	}
	o.FlowLearnedRate = float64(t.meter.FlowLearnedBytes-t.flowLearnedAtStart) / length / float64(t.deployment.VMs)
	o.HandoverRate = float64(t.meter.HandoverBytes-t.handoverAtStart) / length / float64(t.deployment.VMs)
	o.PlatformRate = float64(cluster.Platform.Reads-t.readsAtStart) / length
	var done []float64
	for _, x := range cluster.Targets() {
		o.ColdOverruns += x.ColdOverruns
		done = append(done, float64(x.Done-t.doneAtStart[x.Target.ID]))
	}
	o.MaxOverMean, o.CV = imbalance(done)
	o.FeedGoodput = ratio(cluster.Stats.FeedLiveSeconds-t.statsAtStart.FeedLiveSeconds, cluster.Stats.FeedSeconds-t.statsAtStart.FeedSeconds)
	o.PostingGoodput = goodput(&t.statsAtStart, &cluster.Stats, core.ClassPosting)
	return o
}

// goodput returns the share of answered requests among the requests of a class that ended between two sets of
// statistics.
func goodput(from, to *coretest.Stats, c core.Class) float64 {
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

// add adds the counts of another run of the same scenario. Rates and shares stay those of this run.
func (o *Outcome) add(other *Outcome) {
	o.Flows += other.Flows
	o.Broken += other.Broken
	o.FlowsSeenElsewhere += other.FlowsSeenElsewhere
	o.BrokenSeenElsewhere += other.BrokenSeenElsewhere
	o.FlowsNotSeenElsewhere += other.FlowsNotSeenElsewhere
	o.BrokenNotSeenElsewhere += other.BrokenNotSeenElsewhere
	o.ColdOverruns += other.ColdOverruns
	o.Meter.Panics += other.Meter.Panics
	if o.Meter.FirstPanic == "" {
		o.Meter.FirstPanic = other.Meter.FirstPanic
	}
	stats, otherStats := &o.Stats, &other.Stats
	stats.DuplicateRuns += otherStats.DuplicateRuns
	stats.WrongAnswers += otherStats.WrongAnswers
	stats.WrongNotRun += otherStats.WrongNotRun
	stats.WrongService += otherStats.WrongService
	stats.ZoneOutPackets += otherStats.ZoneOutPackets
	stats.DrainingTargetFlows += otherStats.DrainingTargetFlows
	stats.Violations = append(stats.Violations, otherStats.Violations...)
}

// imbalance returns the maximum over the mean and the coefficient of variation, or 1 and 0 when the sum is 0.
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
