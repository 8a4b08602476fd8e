package control

import (
	"runtime"
	"syscall"
	"time"
)

// usage is the processor time used by the process up to a point in time.
type usage struct {
	at  time.Time
	cpu time.Duration // user and system
}

// footprint is the memory used by the process after a garbage collection.
type footprint struct {
	heap       float64 // live bytes
	stack      float64 // bytes
	goroutines int
}

func takeUsage() usage { return usage{at: time.Now(), cpu: cpuTime()} }

// takeFootprint runs the garbage collector first, so it must not be called while
// processor time is measured.
func takeFootprint() footprint {
	runtime.GC()
	runtime.GC() // the second frees the sync.Pool objects that survived the first
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return footprint{heap: float64(memory.HeapAlloc), stack: float64(memory.StackInuse), goroutines: runtime.NumGoroutine()}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
