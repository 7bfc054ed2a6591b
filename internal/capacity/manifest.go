package capacity

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/core/control"
	"github.com/mangoweir/mangoweir/internal/contract"
)

const (
	kilobyte          = 1024
	targetsPerService = 3
)

// ManifestText returns a manifest of at most size bytes, and the number of its targets. Each service has 3
// targets, as in the deployment of the planned size.
func ManifestText(size int) (text []byte, targets int) {
	var b strings.Builder
	b.WriteString(`{"deployment": "capacity", "zones": [{"name": "zone-00"}], "services": [`)
	for s := 0; b.Len() < size-textPerService-targetsPerService*textPerTarget-2; s++ {
		if s > 0 {
			b.WriteString(",\n")
		}
		fmt.Fprintf(&b, `{"name": "service-%d", "address": "10.1.%d.%d:5683", "targets": [`, s, s/250, s%250)
		for i := range targetsPerService {
			if i > 0 {
				b.WriteString(",")
			}
			fmt.Fprintf(&b, "\n"+`{"name": "target-%d", "address": "10.%d.%d.%d:5683", "zone": "zone-00", "slots": 4, "connections": 4000, "reportsLoad": true}`,
				targets, 2+targets>>16, byte(targets>>8), byte(targets))
			targets++
		}
		b.WriteString("]}")
	}
	b.WriteString("]}")
	return []byte(b.String()), targets
}

func mustDecode(g core.Generation, text []byte) *core.Config {
	c, err := contract.Decode(g, text)
	if err != nil {
		panic("capacity: generated manifest is invalid: " + err.Error())
	}
	return c
}

func measureManifest(uint64) []*Series {
	decode := newSeries("", "decode a manifest", "ms", "KB of text")
	install := newSeries("", "install the first generation, decoding left out", "ms", "KB of text")
	installNext := newSeries("", "install the next generation, decoding left out", "ms", "KB of text")
	count := newSeries("", "targets", "targets", "KB of text")
	for _, kb := range []int{64, 128, 256, 512, 1000} {
		text, targets := ManifestText(kb * kilobyte)
		x := float64(len(text)) / kilobyte
		count.add(x, float64(targets))
		decode.add(x, bestOf(5, func() { mustDecode(1, text) }))
		first, next := timeInstall(text)
		install.add(x, first)
		installNext.add(x, next)
	}
	return []*Series{decode, install, installNext, count}
}

// timeInstall returns the processor times in ms of installing a first and a second generation.
func timeInstall(text []byte) (first, next float64) {
	configs := map[core.Generation]*core.Config{1: mustDecode(1, text), 2: mustDecode(2, text)}
	c := newControl(configs, 0)
	read := func(g core.Generation) func() {
		return func() { c.Handle(core.ManifestRead{Generation: g, Text: text}, time.Hour, nil) }
	}
	return bestOf(1, read(1)), bestOf(1, read(2))
}

// newControl returns a Control that has started but has no configuration. Its zone has the given number of
// members; with 0 it has read no member list.
func newControl(configs map[core.Generation]*core.Config, members int) *control.Control {
	c := control.New(control.Options{Self: "self", Zone: zoneName(0), Incarnation: 1, RandomSeed: 1,
		Decode: func(g core.Generation, _ []byte) (*core.Config, error) { return configs[g], nil }})
	c.Handle(core.Tick{}, time.Hour, nil)
	if members > 0 {
		c.Handle(core.MembersRead{Zone: zoneName(0), Epoch: 1, Members: newMembers(members)}, time.Hour, nil)
	}
	return c
}

// bestOf returns the shortest processor time of several runs in ms. It collects garbage before each run, so
// that the collector works within a run only if the run itself causes this.
func bestOf(runs int, run func()) float64 {
	best := time.Duration(1 << 62)
	for range runs {
		runtime.GC()
		start := cpuTime()
		run()
		best = min(best, cpuTime()-start)
	}
	return float64(best) / float64(time.Millisecond)
}
