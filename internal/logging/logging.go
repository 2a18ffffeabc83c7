// Package logging prevents log output from slowing down a process. A separate goroutine
// writes the lines; if the output is blocked or slow, lines are dropped instead of
// delaying decisions, and the lines of each kind are limited per second. The kind of a
// line is its message. For each kind, at most one line per second reports the number of
// omitted lines, as a structured line with the header of klog.
package logging

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// queueCapacity is the maximum number of lines that wait for the output.
	queueCapacity = 1024
	// DefaultLinesPerSecond limits the lines per second of all kinds together, and
	// DefaultKindLinesPerSecond those of one kind. At about 250 bytes per line a
	// process writes at most 50 KB/s.
	DefaultLinesPerSecond     = 200
	DefaultKindLinesPerSecond = 60
	// maxReportedKindRunes limits the length of a line that reports omitted lines.
	maxReportedKindRunes = 100
	// HeaderTimeLayout is the layout of the time in the header of a log line, which has no
	// year.
	HeaderTimeLayout = "0102 15:04:05.000000"
	// OmittedMessage is the message of a line that reports omitted lines.
	OmittedMessage = "log lines omitted"
)

// Writer is the output of a logger. The exported fields must be set before the first call
// of Write. Write may be called concurrently and never waits for the output.
type Writer struct {
	Out                io.Writer
	LinesPerSecond     int // limit for all lines; 0 means DefaultLinesPerSecond
	KindLinesPerSecond int // limit for the lines of one kind; 0 means DefaultKindLinesPerSecond

	once          sync.Once
	lines         chan []byte
	done          chan struct{}
	mu            sync.Mutex
	second        int64 // Unix time of the second to which the counts of written lines belong
	written       int
	writtenByKind map[string]int
	omittedByKind map[string]omission
	closed        bool
}

// omission describes the omitted lines of one kind that no line has reported yet.
type omission struct {
	count       int
	first, last time.Time // of the omitted lines
}

// line returns the line that reports the omission. Its time is that of the first omitted
// line, so that it is sorted to the place where lines are missing. Its header names no line
// of source code, because the omitted lines may come from several.
func (o omission) line(kind string) []byte {
	return fmt.Appendf(nil, "I%s %7d logging.go:1] %q kind=%.*q count=%d until=%q\n",
		o.first.Format(HeaderTimeLayout), os.Getpid(), OmittedMessage, maxReportedKindRunes, kind, o.count, o.last.Format(HeaderTimeLayout))
}

func (w *Writer) start() {
	w.once.Do(func() {
		if w.LinesPerSecond == 0 {
			w.LinesPerSecond = DefaultLinesPerSecond
		}
		if w.KindLinesPerSecond == 0 {
			w.KindLinesPerSecond = DefaultKindLinesPerSecond
		}
		w.lines, w.done = make(chan []byte, queueCapacity), make(chan struct{})
		w.writtenByKind, w.omittedByKind = make(map[string]int), make(map[string]omission)
		go func() {
			defer close(w.done)
			for line := range w.lines {
				_, _ = w.Out.Write(line) // the error can't be reported, because this is the log output
			}
		}()
	})
}

// Write enqueues one line, or counts it as omitted if a limit is reached or the queue is
// full. It never fails. After Close, lines are discarded.
func (w *Writer) Write(line []byte) (int, error) {
	w.start()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(line), nil
	}
	now := time.Now()
	w.startSecond(now.Unix())
	kind := kindOf(line)
	if w.written >= w.LinesPerSecond || w.writtenByKind[kind] >= w.KindLinesPerSecond {
		w.omit(kind, now)
		return len(line), nil
	}
	w.written++
	w.writtenByKind[kind]++
	if !w.enqueue(bytes.Clone(line)) {
		w.omit(kind, now)
	}
	return len(line), nil
}

// omit counts a line that is omitted at the given time.
func (w *Writer) omit(kind string, now time.Time) {
	o := w.omittedByKind[kind]
	if o.count == 0 {
		o.first = now
	}
	o.count++
	o.last = now
	w.omittedByKind[kind] = o
}

// startSecond resets the counts of written lines if a new second has begun, and reports the
// lines that were omitted before.
func (w *Writer) startSecond(second int64) {
	if second == w.second {
		return
	}
	w.second, w.written = second, 0
	clear(w.writtenByKind)
	w.summarize()
}

// summarize reports the omitted lines of each kind. A report that finds the queue full is
// repeated in a later second, with the lines that are omitted until then.
func (w *Writer) summarize() {
	for _, kind := range slices.Sorted(maps.Keys(w.omittedByKind)) {
		if w.enqueue(w.omittedByKind[kind].line(kind)) {
			delete(w.omittedByKind, kind)
		}
	}
}

// enqueue adds a line to the queue. It returns false if the queue is full.
func (w *Writer) enqueue(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// Close waits until the queued lines are written, for at most timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.start()
	w.mu.Lock()
	if !w.closed {
		w.summarize()
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

// kindOf returns the kind of a line: the message of a structured line, which is its first
// quoted text, or "other".
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
