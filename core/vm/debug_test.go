package vm_test

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

func step(t *testing.T, w *coretest.World, n int) {
	for range n {
		last := w.Stats.Refused
		w.Run(time.Second)
		for r := range last {
			if n := w.Stats.Refused[r]; n != last[r] {
				t.Log(w.Now().Seconds(), "REFUSED", core.RefusalReason(r), n-last[r])
			}
		}
	}
}

func TestDebug(t *testing.T) {
	d := slow()
	o := rough(3)
	o.TraceCaller = -2
	o.TraceEvents = true
	o.Trace = func(s string) { t.Log(s) }
	w := d.Start(o)
	d.AddLoad(w, 200, 0.5)
	w.Run(15 * time.Second)
	w.Pause(coretest.VMName(4))
	step(t, w, 4)
	w.Resume(coretest.VMName(4))
	step(t, w, 22)
}

func TestDebug2(t *testing.T) {
	d := slow()
	o := rough(4)
	o.TraceCaller = -2
	o.TraceEvents = true
	o.Trace = func(s string) { t.Log(s) }
	w := d.Start(o)
	d.AddLoad(w, 200, 0.4)
	w.Run(10 * time.Second)
	w.Pause(coretest.VMName(7))
	w.ChangeTarget("pleinwacht-01", func(t *core.Target) { t.Weight = 0.5 })
	step(t, w, 1)
	w.Platform.Down = true
	step(t, w, 5)
	w.Resume(coretest.VMName(7))
	w.Kill(coretest.VMName(0))
	step(t, w, 5)
	w.StartVM(coretest.VMName(0), d.Zones[0])
	step(t, w, 20)
}
