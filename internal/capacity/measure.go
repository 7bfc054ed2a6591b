package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// Rates are the costs of a fleet in a period of virtual time.
type Rates struct {
	// Bytes and Messages are sent per VM and second; MaxBytes by the VM that sent most.
	Bytes, Messages, MaxBytes float64
	// CPU is the processor time in milliseconds per VM and virtual second. It includes the driver
	// and the encoding of messages, but not their decoding.
	CPU float64
	// Reads and Writes are calls of the whole fleet to the platform per second.
	Reads, Writes float64
}

// Measure runs the fleet for a period and returns its rates.
func (f *Cluster) Measure(d time.Duration) Rates {
	return f.MeasureWhile(d, func() { f.Run(d) })
}

// MeasureWhile returns the rates while run lets d of virtual time pass.
func (f *Cluster) MeasureWhile(d time.Duration, run func()) Rates {
	for _, v := range f.vms {
		v.bytes, v.messages = 0, 0
	}
	f.Platform.Reads, f.Platform.Writes = 0, 0
	start := cpuTime()
	run()
	used := cpuTime() - start
	n, s := float64(len(f.vms)), d.Seconds()
	r := Rates{CPU: float64(used) / float64(time.Millisecond) / n / s,
		Reads: float64(f.Platform.Reads) / s, Writes: float64(f.Platform.Writes) / s}
	for _, v := range f.vms {
		r.Bytes += float64(v.bytes) / n / s
		r.Messages += float64(v.messages) / n / s
		r.MaxBytes = max(r.MaxBytes, float64(v.bytes)/s)
	}
	return r
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("capacity: getrusage: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeap returns the live heap in bytes.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
