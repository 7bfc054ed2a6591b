package vm_test

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/internal/coretest"
)

func TestDebug(t *testing.T) {
	d := slow()
	o := rough(0)
	o.TraceCaller = 130
	w := d.Start(o)
	d.AddLoad(w, 200, 0.5)
	w.Run(15 * time.Second)
	w.Kill(coretest.VMName(0))
	w.Run(19 * time.Second)
	w.Opts.Trace = func(s string) { t.Log(s) }
	w.Run(1 * time.Second)
	w.StartVM(coretest.VMName(0), d.Zones[0])
	w.Lose(coretest.VMName(2))
	w.Run(5 * time.Second)
	for _, l := range w.Stats.Violations {
		t.Log(l)
	}
}

func TestDebug2(t *testing.T) {
	d := slow()
	o := rough(3)
	o.TraceCaller = 193
	w := d.Start(o)
	d.AddLoad(w, 200, 0.5)
	w.Run(14 * time.Second)
	w.Opts.Trace = func(s string) { t.Log(s) }
	w.Run(1 * time.Second)
	w.Pause(coretest.VMName(4))
	w.Run(4 * time.Second)
	w.Resume(coretest.VMName(4))
	w.Run(3 * time.Second)
}
