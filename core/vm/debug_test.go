package vm_test

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

func TestDebug(t *testing.T) {
	d := slow()
	o := rough(2)
	o.TraceCaller = coretest.AllCallers
	o.TraceEvents = true
	w := d.Start(o)
	d.AddLoad(w, 200, 0.4)
	w.Opts.Trace = func(s string) { t.Log(s) }
	w.Run(10 * time.Second)
	w.Stop(coretest.VMName(0))
	w.Run(4 * time.Second)
	if w.Alive(coretest.VMName(0)) {
		w.Run(20 * time.Second)
	}
	w.StartVM(coretest.VMName(0), d.Zones[0])
	_ = core.TargetDraining
	w.Run(4 * time.Second)
	for _, l := range w.Stats.Violations {
		t.Log(l)
	}
}
