// Package timeline keeps what happened in all processes, so that operators can
// see which event caused which: a recorder in each process, a collector in
// entry processes, and renderings of the merged events.
package timeline

import (
	"strconv"
	"strings"
	"time"

	"wasabihill.example/wasabihill/internal/wire"
)

// Event is one entry of the time line. (Process, Sequence) identifies it.
type Event struct {
	Process  string `json:"process"`         // unique to one run of a process, so that a restart may count from 1
	Sequence uint64 `json:"sequence"`        // per process, from 1
	Clock    Clock  `json:"clock,string"`    // orders events of different processes; a string since it exceeds 2^53
	Lane     string `json:"lane"`            // row of the picture: worker, entry, log, job, service
	Kind     string `json:"kind"`            // what happened, such as launch
	Subject  string `json:"subject"`         // what it happened to, such as worker-7
	Text     string `json:"text"`            // details for people; holds no secret
	Cause    string `json:"cause,omitempty"` // ID of the event that caused this one
}

// ID returns "process/sequence".
func (e Event) ID() string { return e.Process + "/" + strconv.FormatUint(e.Sequence, 10) }

// Clock is a hybrid logical clock: wall milliseconds << 16 | counter.
type Clock int64

// Time returns the wall part, for display only.
func (c Clock) Time() time.Time { return time.UnixMilli(int64(c) >> 16).UTC() }

func clockOf(t time.Time) Clock { return Clock(t.UnixMilli() << 16) }

// The limits of one event. Longer strings are cut, so that a bounded number of
// events takes bounded memory and an agent stays within 5 KB/s.
const (
	maxName = 128
	maxText = 400
)

func (e Event) cut() Event {
	e.Process, e.Lane, e.Kind = cut(e.Process, maxName), cut(e.Lane, maxName), cut(e.Kind, maxName)
	e.Subject, e.Cause, e.Text = cut(e.Subject, maxName), cut(e.Cause, maxName+21), cut(e.Text, maxText)
	return e
}

// cut makes s valid UTF-8 on one line, which protobuf, terminals and pages
// require, and limits its length in bytes.
func cut(s string, most int) string {
	s = oneLine(s)
	if len(s) <= most {
		return s
	}
	for most > 0 && s[most]&0xc0 == 0x80 { // not within a UTF-8 sequence
		most--
	}
	return s[:most]
}

// oneLine replaces control characters, which could forge lines or send
// sequences to a terminal, and bytes that are not UTF-8.
func oneLine(s string) string {
	return strings.Map(func(c rune) rune {
		if c < ' ' || c >= 0x7f && c < 0xa0 {
			return ' '
		}
		return c
	}, strings.ToValidUTF8(s, "?"))
}

// ToWire converts events for a heartbeat.
func ToWire(events []Event) []*wire.Event {
	out := make([]*wire.Event, len(events))
	for i, e := range events {
		out[i] = &wire.Event{Process: e.Process, Sequence: e.Sequence, Clock: int64(e.Clock), Lane: e.Lane,
			Kind: e.Kind, Subject: e.Subject, Text: e.Text, Cause: e.Cause}
	}
	return out
}

// FromWire converts the events of a heartbeat.
func FromWire(events []*wire.Event) []Event {
	out := make([]Event, len(events))
	for i, e := range events {
		out[i] = Event{Process: e.GetProcess(), Sequence: e.GetSequence(), Clock: Clock(e.GetClock()), Lane: e.GetLane(),
			Kind: e.GetKind(), Subject: e.GetSubject(), Text: e.GetText(), Cause: e.GetCause()}
	}
	return out
}
