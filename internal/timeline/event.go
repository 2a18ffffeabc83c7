// Package timeline records the events of all processes, so that operators can see
// which event caused which. Each process has a recorder; entry processes have a
// collector; the merged events are rendered as text, JSON or HTML.
package timeline

import (
	"strconv"
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
)

// Event is one event of the timeline, identified by Process and Sequence.
type Event struct {
	Process  string `json:"process"`         // unique to one incarnation of a process, because Sequence restarts from 1
	Sequence uint64 `json:"sequence"`        // per process, from 1
	Clock    Clock  `json:"clock,string"`    // orders events of different processes; a string because it exceeds 2^53
	Lane     string `json:"lane"`            // row of the diagram: worker, entry, log, job, service
	Kind     string `json:"kind"`            // what happened, such as launch
	Subject  string `json:"subject"`         // what it happened to, such as worker-7
	Text     string `json:"text"`            // details for operators; contains no secrets
	Cause    string `json:"cause,omitempty"` // ID of the event that caused this one
}

// ID returns the id of the event, "process/sequence".
func (e Event) ID() string { return e.Process + "/" + strconv.FormatUint(e.Sequence, 10) }

// Clock is a hybrid logical clock: wall clock in milliseconds << 16 | counter.
type Clock int64

// Time returns the wall clock part, for display only.
func (c Clock) Time() time.Time { return time.UnixMilli(int64(c) >> 16).UTC() }

func clockOf(t time.Time) Clock { return Clock(t.UnixMilli() << 16) }

// Limits of the strings of one event, in bytes. Longer strings are truncated, so
// that the memory of a collector is bounded and an agent sends at most 5 KB/s.
const (
	maxNameBytes = 128
	maxTextBytes = 400
)

func (e Event) truncated() Event {
	e.Process, e.Lane, e.Kind = truncate(e.Process, maxNameBytes), truncate(e.Lane, maxNameBytes), truncate(e.Kind, maxNameBytes)
	e.Subject, e.Cause, e.Text = truncate(e.Subject, maxNameBytes), truncate(e.Cause, maxNameBytes+21), truncate(e.Text, maxTextBytes)
	return e
}

// truncate returns s as valid UTF-8 on one line, which protobuf, terminals and HTML
// pages require, with at most limit bytes.
func truncate(s string, limit int) string {
	s = sanitize(s)
	if len(s) <= limit {
		return s
	}
	for limit > 0 && s[limit]&0xc0 == 0x80 { // do not split a UTF-8 sequence
		limit--
	}
	return s[:limit]
}

// sanitize replaces control characters, which could forge lines or send escape
// sequences to a terminal, and bytes that are not valid UTF-8.
func sanitize(s string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c >= 0x7f && c < 0xa0 {
			return ' '
		}
		return c
	}, strings.ToValidUTF8(s, "?"))
}

// ToWire converts events to the messages of a heartbeat.
func ToWire(events []Event) []*wire.Event {
	out := make([]*wire.Event, len(events))
	for i, e := range events {
		out[i] = &wire.Event{Process: e.Process, Sequence: e.Sequence, Clock: int64(e.Clock), Lane: e.Lane,
			Kind: e.Kind, Subject: e.Subject, Text: e.Text, Cause: e.Cause}
	}
	return out
}

// FromWire converts the messages of a heartbeat to events.
func FromWire(events []*wire.Event) []Event {
	out := make([]Event, len(events))
	for i, e := range events {
		out[i] = Event{Process: e.GetProcess(), Sequence: e.GetSequence(), Clock: Clock(e.GetClock()), Lane: e.GetLane(),
			Kind: e.GetKind(), Subject: e.GetSubject(), Text: e.GetText(), Cause: e.GetCause()}
	}
	return out
}
