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

// Traffic counts what the open TCP connections of one class have carried.
type Traffic struct {
	Connections    int
	Sent, Received uint64 // payload bytes; sent counts when acknowledged
	Segments       uint64 // both directions, acknowledgements included
}

// headerBytes is the size of the IPv4 and TCP headers of a segment with time
// stamps, which Linux uses by default.
const headerBytes = 20 + 32

// Payload returns the payload of both directions.
func (t Traffic) Payload() uint64 { return t.Sent + t.Received }

// Wire returns the payload with the headers of the segments.
func (t Traffic) Wire() uint64 { return t.Payload() + t.Segments*headerBytes }

// Sample is what a process has used since its start.
type Sample struct {
	At           time.Time
	CPU          time.Duration
	Heap         uint64 // live heap and stacks; after a collection when asked for
	Resident     uint64 // RSS
	Allocations  uint64
	Goroutines   int
	Traffic      map[string]Traffic
	Counters     map[string]int64 // of the parts in the process, added up
	LastDocument time.Time        // when an agent last took over a newer document
}

// Classifier names the class of a connection by the ports at its ends.
type Classifier func(local, remote int) string

// Take samples this process.
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

// resident returns the resident set size, 0 when the system does not tell.
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

// traffic asks the kernel what each open connection of this process carried.
// Nothing sits between the two ends, so counting costs the measured code
// nothing.
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

// Difference is what a process used between two samples.
type Difference struct {
	Seconds float64
	Cores   float64 // processor seconds a second
	first   Sample
	last    Sample
}

// Between returns the difference of two samples of one process.
func Between(first, last Sample) Difference {
	seconds := last.At.Sub(first.At).Seconds()
	return Difference{Seconds: seconds, Cores: (last.CPU - first.CPU).Seconds() / seconds, first: first, last: last}
}

// Payload returns the payload bytes per second of a class.
func (d Difference) Payload(class string) float64 {
	return (float64(d.last.Traffic[class].Payload()) - float64(d.first.Traffic[class].Payload())) / d.Seconds
}

// Wire returns the bytes per second of a class with headers.
func (d Difference) Wire(class string) float64 {
	return (float64(d.last.Traffic[class].Wire()) - float64(d.first.Traffic[class].Wire())) / d.Seconds
}

// Count returns the change per second of a counter, adding up all that end in
// the suffix.
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
