package forward

import (
	"runtime"
	"testing"
	"time"
)

// benchFlows is the number of flows per VM at the planned size (270 million on 15,000 VMs).
const benchFlows = 18_000

func benchForwarder() (*Forwarder, []Header) {
	snapshot := testSnapshot(70)
	f := testForwarder(snapshot)
	headers := make([]Header, benchFlows)
	for i := range headers {
		d := f.Handle(syn(testFlow(i), 0), 0)
		headers[i] = *ack(testFlow(i), d.Target.Token, 1)
		f.Handle(&headers[i], 0)
	}
	return f, headers
}

// BenchmarkOpenFlow measures the decision about a packet of an open flow. BenchmarkMapLookup is the baseline
// for it.
func BenchmarkOpenFlow(b *testing.B) {
	f, headers := benchForwarder()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		f.Handle(&headers[i%benchFlows], time.Millisecond)
		i++
	}
}

func BenchmarkMapLookup(b *testing.B) {
	f, headers := benchForwarder()
	i := 0
	var found *flowState
	for b.Loop() {
		found = f.flows.recent[headers[i%benchFlows].Flow]
		i++
	}
	_ = found
}

// Guards against allocations per packet: the decision about a packet of an open flow must not allocate.
func TestOpenFlowDoesNotAllocate(t *testing.T) {
	f, headers := benchForwarder()
	i := 0
	if n := testing.AllocsPerRun(1000, func() {
		f.Handle(&headers[i%benchFlows], time.Millisecond)
		i++
	}); n != 0 {
		t.Fatalf("%v allocations per packet", n)
	}
}

// Guards against allocations per request: requests and responses on open flows are counted by target, service and priority.
func TestRequestDoesNotAllocate(t *testing.T) {
	f, headers := benchForwarder()
	i, now := 0, time.Millisecond
	request := func() {
		h := headers[i%benchFlows]
		h.Length, h.Seq, h.Ack = 100, uint32(i)*100+1, uint32(i)*1000+1
		f.Handle(&h, now)
		h.Length, h.Ack = 0, h.Ack+800
		f.Handle(&h, now+60*time.Millisecond)
		i++
		now += 10 * time.Microsecond
	}
	for range benchFlows {
		request()
	}
	if n := testing.AllocsPerRun(10_000, request); n != 0 {
		t.Fatalf("%v allocations per request", n)
	}
}

// manyFlows is the number of flows with which TestFlowStateSize measures the memory per flow.
const manyFlows = 300_000

// Guards against flow state that takes more than 128 bytes of heap per flow, including maps and counts.
func TestFlowStateSize(t *testing.T) {
	f := testForwarder(testSnapshot(70))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range manyFlows {
		d := f.Handle(syn(testFlow(i), 0), 0)
		f.Handle(ack(testFlow(i), d.Target.Token, 1), 0)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	perFlow := float64(after.HeapAlloc-before.HeapAlloc) / manyFlows
	t.Logf("%.1f bytes per flow", perFlow)
	if perFlow > 128 {
		t.Errorf("%.1f bytes per flow at %d flows, more than 128", perFlow, manyFlows)
	}
	runtime.KeepAlive(f)
}

// BenchmarkSYN measures the decision about a SYN with 70 targets in the zone.
func BenchmarkSYN(b *testing.B) {
	f := testForwarder(testSnapshot(70))
	i := 0
	for b.Loop() {
		f.Handle(syn(testFlow(i%benchFlows), 0), time.Duration(i)*time.Microsecond)
		i++
	}
}
