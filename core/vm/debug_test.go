package vm_test

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

func TestDebug(t *testing.T) {
	d := slow()
	w := d.Start(coretest.Options{Seed: 7, Shards: 2, TraceCaller: 135})
	d.AddLoad(w, 200, 1.1)
	w.Run(15 * time.Second)
	w.Opts.Trace = func(s string) { t.Log(s) }
	w.SetZone(d.Zones[2], core.ZoneOut)
	w.Run(6 * time.Second)
}

func TestDebug2(t *testing.T) {
	d := slow()
	w := d.Start(coretest.Options{Seed: 7, Shards: 2, TraceCaller: coretest.AllCallers})
	d.AddLoad(w, 200, 0.6)
	w.Run(15 * time.Second)
	w.Opts.Trace = func(s string) { t.Log(s) }
	w.SetZone(d.Zones[2], core.ZoneOut)
	w.Run(30 * time.Second)
	w.RestartZone(d.Zones[2])
	w.SetZone(d.Zones[2], core.ZoneIn)
	w.Run(40 * time.Second)
}
