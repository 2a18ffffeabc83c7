package capacity

import (
	"bytes"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Traffic is the traffic of the open TCP connections of one class.
type Traffic struct {
	Connections    int
	Sent, Received uint64 // payload bytes; sent bytes count when acknowledged
	Segments       uint64 // in both directions, including acknowledgements
}

// headerBytes is the size of the IPv4 and TCP headers of a segment with
// timestamps, which Linux uses by default.
const headerBytes = 20 + 32

// Payload returns the payload bytes of both directions.
func (t Traffic) Payload() uint64 { return t.Sent + t.Received }

// Wire returns the bytes of both directions including segment headers.
func (t Traffic) Wire() uint64 { return t.Payload() + t.Segments*headerBytes }

// Sample is the resource use of a process since its start.
type Sample struct {
	At           time.Time
	CPU          time.Duration
	Heap         uint64 // heap and stacks in use; after a garbage collection with FullAfterGC
	Resident     uint64 // RSS
	Allocations  uint64
	Goroutines   int
	Traffic      map[string]Traffic
	Counters     map[string]int64 // summed over all agents or entry processes in the process
	LastDocument time.Time        // time at which an agent last applied a newer document
}

// Classifier returns the class of a connection from its local and remote port.
type Classifier func(local, remote int) string

// TakeSample samples this process. A value that the kernel does not report is zero.
func TakeSample(classify Classifier, detail Detail) Sample {
	if detail == CountersOnly {
		return Sample{At: time.Now()}
	}
	if detail == FullAfterGC {
		runtime.GC()
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	s := Sample{
		Heap: memory.HeapAlloc + memory.StackInuse, Resident: resident(), Allocations: memory.Mallocs,
		Goroutines: runtime.NumGoroutine(), Traffic: traffic(classify),
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		s.CPU = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	s.At = time.Now()
	return s
}

// resident returns the resident set size in bytes, or 0 if it is not available.
func resident() uint64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseUint(string(fields[1]), 10, 64)
	return pages * uint64(os.Getpagesize())
}

// traffic reads the counters of each open connection of this process from the
// kernel. No proxy is needed, so counting adds no cost to the measured code.
func traffic(classify Classifier) map[string]Traffic {
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return nil
	}
	classes := make(map[string]Traffic)
	for _, f := range open {
		fd, err := strconv.Atoi(f.Name())
		if err != nil {
			continue
		}
		local, remote := port(unix.Getsockname(fd)), port(unix.Getpeername(fd))
		if local == 0 || remote == 0 {
			continue
		}
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			continue
		}
		t := classes[classify(local, remote)]
		t.Connections++
		t.Sent += info.Bytes_acked
		t.Received += info.Bytes_received
		t.Segments += uint64(info.Segs_out) + uint64(info.Segs_in)
		classes[classify(local, remote)] = t
	}
	return classes
}

func port(address unix.Sockaddr, err error) int {
	if err != nil {
		return 0
	}
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return a.Port
	case *unix.SockaddrInet6:
		return a.Port
	}
	return 0
}

// Difference is the resource use of a process between two samples.
type Difference struct {
	Seconds float64
	Cores   float64 // processor seconds per second
	first   Sample
	last    Sample
}

// Between returns the difference between two samples of one process.
func Between(first, last Sample) Difference {
	seconds := last.At.Sub(first.At).Seconds()
	return Difference{Seconds: seconds, Cores: (last.CPU - first.CPU).Seconds() / seconds, first: first, last: last}
}

// Payload returns the payload bytes per second of a class.
func (d Difference) Payload(class string) float64 {
	return (float64(d.last.Traffic[class].Payload()) - float64(d.first.Traffic[class].Payload())) / d.Seconds
}

// Wire returns the bytes per second of a class, including segment headers.
func (d Difference) Wire(class string) float64 {
	return (float64(d.last.Traffic[class].Wire()) - float64(d.first.Traffic[class].Wire())) / d.Seconds
}

// Count returns the increase per second of all counters whose names end with
// suffix, summed up.
func (d Difference) Count(suffix string) float64 {
	var sum int64
	for name, value := range d.last.Counters {
		if strings.HasSuffix(name, suffix) {
			sum += value - d.first.Counters[name]
		}
	}
	return float64(sum) / d.Seconds
}

// Allocations returns the heap allocations per second.
func (d Difference) Allocations() float64 {
	return float64(d.last.Allocations-d.first.Allocations) / d.Seconds
}
