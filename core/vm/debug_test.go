package vm_test

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

func TestDebug(t *testing.T) {
	d := slow()
	w := d.Start(coretest.Options{Seed: 7, Shards: 2, TraceCaller: 86})
	d.AddLoad(w, 200, 0.6)
	w.Run(15 * time.Second)
	w.Opts.Trace = func(s string) { t.Log(s) }
	w.SetZone(d.Zones[2], core.ZoneOut)
	w.Run(3 * time.Second)
	for _, l := range w.Stats.Violations {
		t.Log(l)
	}
}
