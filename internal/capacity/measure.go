package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// Rates holds the costs of a cluster in a period of virtual time.
type Rates struct {
	// Bytes and Messages are the mean numbers sent per VM and second. MaxBytes is the number of bytes a
	// second of the VM that sent most.
	Bytes, Messages, MaxBytes float64
	// CPU is the processor time in milliseconds per VM and virtual second. It includes the simulation of
	// the cluster and the encoding of messages, but not their decoding.
	CPU float64
	// Reads and Writes are the numbers of platform calls per second by all VMs together.
	Reads, Writes float64
}

// Measure runs the cluster for a period and returns its rates.
func (c *Cluster) Measure(d time.Duration) Rates {
	return c.MeasureWhile(d, func() { c.Run(d) })
}

// MeasureWhile calls run, which must advance virtual time by d, and returns the rates in that time.
func (c *Cluster) MeasureWhile(d time.Duration, run func()) Rates {
	for _, v := range c.vms {
		v.bytes, v.messages = 0, 0
	}
	c.Platform.Reads, c.Platform.Writes = 0, 0
	start := cpuTime()
	run()
	used := cpuTime() - start
	n, s := float64(len(c.vms)), d.Seconds()
	r := Rates{CPU: float64(used) / float64(time.Millisecond) / n / s,
		Reads: float64(c.Platform.Reads) / s, Writes: float64(c.Platform.Writes) / s}
	for _, v := range c.vms {
		r.Bytes += float64(v.bytes) / n / s
		r.Messages += float64(v.messages) / n / s
		r.MaxBytes = max(r.MaxBytes, float64(v.bytes)/s)
	}
	return r
}

// cpuTime returns the processor time, user and system, that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("capacity: getrusage: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeap returns the size of the heap in bytes after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
