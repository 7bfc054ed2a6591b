package vm_test

import (
	"testing"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/coretest"
)

func TestDebug(t *testing.T) {
	d := slow()
	o := rough(6)
	o.TraceCaller = 97
	o.TraceEvents = true
	w := d.Start(o)
	d.AddLoad(w, 200, 0.4)
	w.Run(10 * time.Second)
	w.Opts.Trace = func(s string) { t.Log(s) }
	alone := coretest.VMName(4)
	for i := range d.VMs {
		if n := coretest.VMName(i); n != alone {
			w.Cut(string(alone), string(n))
		}
	}
	w.Cut(string(alone), "platform")
	w.SetZone(d.Zones[1], core.ZoneOut)
	w.Run(24 * time.Second)
}
