// Package logging keeps log lines from slowing a process down: lines are
// written by a goroutine of their own, a blocked or slow output loses lines
// instead of delaying decisions, and each kind of line has a budget per second.
// What was left out is counted in one line per second and kind.
package logging

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// queued is how many lines wait for the output.
	queued = 1024
	// DefaultLinesPerSecond and DefaultKindLinesPerSecond bound the lines per second, of all kinds and
	// of one. At about 250 bytes a line a process writes at most 50 KB a second.
	DefaultLinesPerSecond     = 200
	DefaultKindLinesPerSecond = 60
)

// Writer is the output of a logger. Set the exported fields before the first
// Write. Write may be called concurrently and never waits for the output.
type Writer struct {
	Out                io.Writer
	LinesPerSecond     int // most lines per second; 0 means DefaultLinesPerSecond
	KindLinesPerSecond int // most lines of one kind per second; 0 means DefaultKindLinesPerSecond

	once    sync.Once
	lines   chan []byte
	done    chan struct{}
	mu      sync.Mutex
	second  int64 // to which the counts belong
	written int
	kinds   map[string]int
	omitted map[string]int
	closed  bool
}

func (w *Writer) begin() {
	w.once.Do(func() {
		if w.LinesPerSecond == 0 {
			w.LinesPerSecond = DefaultLinesPerSecond
		}
		if w.KindLinesPerSecond == 0 {
			w.KindLinesPerSecond = DefaultKindLinesPerSecond
		}
		w.lines, w.done = make(chan []byte, queued), make(chan struct{})
		w.kinds, w.omitted = make(map[string]int), make(map[string]int)
		go func() {
			defer close(w.done)
			for line := range w.lines {
				_, _ = w.Out.Write(line) // there is no other place to complain
			}
		}()
	})
}

// Write takes one line. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.begin()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	w.turn(time.Now().Unix())
	kind := kindOf(line)
	if w.written >= w.LinesPerSecond || w.kinds[kind] >= w.KindLinesPerSecond {
		w.omitted[kind]++
		return len(line), nil
	}
	w.written++
	w.kinds[kind]++
	w.offer(kind, bytes.Clone(line))
	return len(line), nil
}

// turn begins a new second with a summary of what the last one left out.
func (w *Writer) turn(second int64) {
	if second == w.second {
		return
	}
	w.second, w.written = second, 0
	clear(w.kinds)
	w.summarize()
}

func (w *Writer) summarize() {
	if len(w.omitted) == 0 {
		return
	}
	kinds := make([]string, 0, len(w.omitted))
	for kind := range w.omitted {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		n := w.omitted[kind]
		delete(w.omitted, kind)
		w.offer(kind, fmt.Appendf(nil, "log lines omitted kind=%q count=%d\n", kind, n))
	}
}

// offer hands a line to the output, or counts it as omitted.
func (w *Writer) offer(kind string, line []byte) {
	select {
	case w.lines <- line:
	default:
		w.omitted[kind]++
	}
}

// Close writes what is queued, for at most the given time.
func (w *Writer) Close(within time.Duration) {
	w.begin()
	w.mu.Lock()
	if !w.closed {
		w.summarize()
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(within):
	}
}

// kindOf returns the message of a structured line: the first quoted text.
func kindOf(line []byte) string {
	start := bytes.IndexByte(line, '"')
	if start < 0 {
		return "other"
	}
	end := bytes.IndexByte(line[start+1:], '"')
	if end < 0 {
		return "other"
	}
	return string(line[start+1 : start+1+end])
}
