package timeline

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabihill.example/wasabihill/internal/generated"
)

// TestMain fixes the seed of generated cases, so that runs are reproducible. Use
// -rapid.seed for another one.
func TestMain(m *testing.M) {
	generated.Configure(100)
	os.Exit(m.Run())
}

func fixedNow() time.Time { return time.UnixMilli(1_700_000_000_000) }

// TestReceivedClockOrdersEvents guards against an effect that is ordered before its
// cause because the wall clock of the receiving process is behind, and against
// following a received clock that is far ahead.
func TestReceivedClockOrdersEvents(t *testing.T) {
	entry := NewRecorder("entry-1", 10, fixedNow)
	agent := NewRecorder("agent-1", 10, func() time.Time { return fixedNow().Add(-30 * time.Second) })
	cause := entry.Record("entry", "launch", "job/0", "", "")
	agent.UpdateClock(entry.AdvanceClock())
	agent.Record("worker", "start", "job/0", "", cause)
	if got, first := agent.EventsAfter(0, 1)[0].Clock, entry.EventsAfter(0, 1)[0].Clock; got <= first {
		t.Errorf("got clock %d of the effect, want a higher one than %d of its cause", got, first)
	}
	agent.UpdateClock(int64(clockOf(fixedNow().Add(time.Hour))))
	if got := Clock(agent.AdvanceClock()).Time(); got.After(fixedNow().Add(time.Minute)) {
		t.Errorf("got clock %v after a received clock one hour ahead, want that one ignored", got)
	}
}

// TestRecorderKeepsTheNewest guards against a ring buffer that returns overwritten
// events or grows.
func TestRecorderKeepsTheNewest(t *testing.T) {
	r := NewRecorder("agent-1", 3, fixedNow)
	for i := 1; i <= 5; i++ {
		r.Record("worker", "tick", "w", fmt.Sprint(i), "")
	}
	if got := joinTexts(r.EventsAfter(0, 10)); got != "3 4 5" {
		t.Errorf("got texts %q, want the newest three: 3 4 5", got)
	}
	if got := joinTexts(r.EventsAfter(3, 1)); got != "4" {
		t.Errorf("got texts %q, want 4", got)
	}
	if got := r.EventsAfter(9, 10); got != nil {
		t.Errorf("got events %v after the newest sequence, want none", got)
	}
}

// TestCollectorIsIdempotentAndBounded guards against events that are duplicated by a
// repeated heartbeat, and against a collector that grows without bound or adds
// dropped events again.
func TestCollectorIsIdempotentAndBounded(t *testing.T) {
	c := NewCollector(20)
	r := NewRecorder("agent-1", 100, fixedNow)
	for i := 1; i <= 50; i++ {
		r.Record("worker", "tick", "w", fmt.Sprint(i), "")
		c.Add(r.EventsAfter(0, 100)...)
		c.Add(r.EventsAfter(0, 100)...)
	}
	events := c.Events(nil, 0)
	if len(events) > 20 || len(events) < 10 {
		t.Errorf("got %d events, want 10 to 20", len(events))
	}
	for i := 1; i < len(events); i++ {
		if events[i].Sequence != events[i-1].Sequence+1 {
			t.Errorf("got sequence %d after %d", events[i].Sequence, events[i-1].Sequence)
		}
	}
	if got := c.LastSequence("agent-1"); got != 50 {
		t.Errorf("got last sequence %d, want 50", got)
	}
	for i := range maxProcesses + 100 {
		c.Add(Event{Process: fmt.Sprint("p", i), Sequence: 1, Clock: Clock(i)})
	}
	if got := len(c.processes); got > maxProcesses {
		t.Errorf("got %d processes, want at most %d", got, maxProcesses)
	}
}

// TestMergeKeepsCauses guards against a merge that loses events, orders one before
// its cause, or does not terminate for causes that form a cycle.
func TestMergeKeepsCauses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 30).Draw(t, "events")
		cyclic := rapid.Bool().Draw(t, "cyclic")
		var events []Event
		for i := range n {
			e := Event{Process: fmt.Sprint("p", i%3), Sequence: uint64(i/3 + 1), Clock: Clock(rapid.IntRange(0, 9).Draw(t, "clock"))}
			limit := i
			if cyclic {
				limit = n
			}
			if limit > 0 && rapid.Bool().Draw(t, "caused") {
				j := rapid.IntRange(0, limit-1).Draw(t, "cause")
				e.Cause = fmt.Sprintf("p%d/%d", j%3, j/3+1)
			}
			events = append(events, e)
		}
		merged := Merge(append(events, events...))
		if len(merged) != n {
			t.Fatalf("got %d events, want %d", len(merged), n)
		}
		seen := map[string]bool{}
		for _, e := range merged {
			if !cyclic && e.Cause != "" && !seen[e.Cause] {
				t.Fatalf("event %s comes before its cause %s", e.ID(), e.Cause)
			}
			seen[e.ID()] = true
		}
	})
}

// TestRenderingsEscape guards against markup or escape sequences of event texts that
// reach the operator's browser or terminal, and against a page that loads external
// resources.
func TestRenderingsEscape(t *testing.T) {
	events := []Event{
		{Process: "a", Sequence: 1, Lane: "<script>alert(1)</script>", Kind: "k", Subject: `"><img src=x>`, Text: "bell\x1b[31m\nforged line"},
		{Process: "b", Sequence: 1, Lane: "worker", Kind: "k", Subject: "s", Text: "t", Cause: "a/1"},
	}
	var page, text strings.Builder
	if err := errors.Join(WriteHTML(&page, events), WriteText(&text, events)); err != nil {
		t.Fatal(err)
	}
	for _, forbidden := range []string{"<script", "<img", "src=\"http", "href"} {
		if strings.Contains(page.String(), forbidden) {
			t.Errorf("page contains %q", forbidden)
		}
	}
	if got := strings.Count(page.String(), "marker-end"); got != 1 {
		t.Errorf("got %d arrows, want 1", got)
	}
	if strings.Contains(text.String(), "\x1b") || strings.Count(text.String(), "\n") != 3 {
		t.Errorf("got text %q, want three lines without control characters", text.String())
	}
	decoder := xml.NewDecoder(strings.NewReader(page.String()))
	decoder.Strict, decoder.AutoClose, decoder.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
	for {
		if _, err := decoder.Token(); err == io.EOF {
			break
		} else if err != nil {
			t.Fatalf("page does not parse: %v", err)
		}
	}
}

func joinTexts(events []Event) string {
	var all []string
	for _, e := range events {
		all = append(all, e.Text)
	}
	return strings.Join(all, " ")
}
