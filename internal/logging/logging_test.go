package logging

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// blocked is an output whose writes block until release is closed.
type blocked struct{ release chan struct{} }

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against log lines that delay a decision because the standard output is blocked.
func TestBlockedOutputDelaysNothing(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	w := &Writer{Out: out, LinesPerSecond: 1 << 20, KindLinesPerSecond: 1 << 20}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 4 * queueCapacity {
			fmt.Fprintf(w, "I0101 x.go:1] \"decided\" job=1\n")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writes wait for a blocked output")
	}
	close(out.release)
	w.Close(time.Second)
}

type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Guards against unlimited log output under load, against the loss of lines of a rare kind
// when another kind is frequent, and against omitted lines that are not counted.
func TestBudgetOfAKind(t *testing.T) {
	out := &buffer{}
	w := &Writer{Out: out, LinesPerSecond: 100, KindLinesPerSecond: 10}
	for range 500 {
		fmt.Fprintf(w, "\"frequent\" job=1\n")
	}
	fmt.Fprintf(w, "\"rare\" job=2\n")
	w.Close(time.Second)
	text := out.String()
	got := strings.Count(text, "\"frequent\" job")
	if got > 20 { // the loop may span two seconds
		t.Errorf("lines of the frequent kind: got %d, want at most 20", got)
	}
	if !strings.Contains(text, "\"rare\"") {
		t.Error("the rare line is missing")
	}
	if want := "kind=\"frequent\" count="; !strings.Contains(text, want) {
		t.Errorf("got no summary %q", want)
	}
}

// Guards against a count of omitted lines that is lost because the line that reports it
// finds the queue full, as it does while the output is blocked for more than a second.
func TestCountSurvivesFullQueue(t *testing.T) {
	gate, text := &blocked{release: make(chan struct{})}, &buffer{}
	w := &Writer{Out: io.MultiWriter(gate, text), LinesPerSecond: 1 << 20, KindLinesPerSecond: 1 << 20}
	const written, omittedAtLeast = 2 * queueCapacity, queueCapacity - 1 // one line is being written, the queue is full
	for range written {
		fmt.Fprintf(w, "I0101 x.go:1] \"decided\" job=1\n")
	}
	w.mu.Lock()
	w.summarize() // as at the begin of the next second
	w.mu.Unlock()
	close(gate.release)
	for len(w.lines) > 0 {
		time.Sleep(time.Millisecond)
	}
	w.Close(10 * time.Second)
	total := 0
	for _, m := range regexp.MustCompile(`count=(\d+)`).FindAllStringSubmatch(text.String(), -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		total += n
	}
	if total < omittedAtLeast {
		t.Errorf("omitted lines that are reported: got %d, want at least %d", total, omittedAtLeast)
	}
}
