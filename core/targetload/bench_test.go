package targetload

import (
	"testing"
	"time"
)

const benchTargets = 3000

// BenchmarkSummarize measures a summary of 3,000 targets with reports, of which a tenth is slow.
func BenchmarkSummarize(b *testing.B) {
	var p Pool
	groups := testGroups(benchTargets, "desk")
	all := reports(benchTargets, 1.2)
	for i := range all[:benchTargets/10] {
		all[i].Took *= 5
	}
	p.Add(all, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		p.Summarize(groups, 1250*time.Millisecond)
	}
}

// BenchmarkAdd measures a set of 64 reports.
func BenchmarkAdd(b *testing.B) {
	var p Pool
	all := reports(maxReports, 1.2)
	at := time.Second
	b.ReportAllocs()
	for b.Loop() {
		at += time.Millisecond
		p.Add(all, at)
	}
}

// BenchmarkWeight measures the look-up for a sampled target; a tenth of them is listed.
func BenchmarkWeight(b *testing.B) {
	s := Summary{Services: []ServiceLoad{{Service: "desk", Slowness: 1.2}}}
	for i := range maxSlowTargets {
		s.Targets = append(s.Targets, TargetLoad{ID: ID(i * 10), Slowness: 6})
	}
	table := NewTable(s, time.Second)
	b.ReportAllocs()
	var id ID
	for b.Loop() {
		id = (id + 1) % (10 * maxSlowTargets)
		table.Weight(id, "desk", time.Second)
	}
}

// BenchmarkMapLookup is the baseline for BenchmarkWeight.
func BenchmarkMapLookup(b *testing.B) {
	targets := make(map[ID]float64)
	for i := range maxSlowTargets {
		targets[ID(i*10)] = 6
	}
	var id ID
	var found float64
	for b.Loop() {
		id = (id + 1) % (10 * maxSlowTargets)
		found += targets[id]
	}
	_ = found
}

// BenchmarkFinish measures recording a response.
func BenchmarkFinish(b *testing.B) {
	var c Collector
	b.ReportAllocs()
	var id ID
	for b.Loop() {
		id = (id + 1) % 50
		c.Finish(id, time.Millisecond, 2*time.Millisecond, true)
	}
}
