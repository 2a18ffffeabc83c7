package agent

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Guards against parsing a document once for each entry process that sends it,
// and against a cached result that is returned for a newer document.
func TestDocumentIsParsedOnce(t *testing.T) {
	var parses atomic.Int64
	a := &Agent{ParseDocument: func(text []byte) (*environment.Document, error) {
		parses.Add(1)
		return &environment.Document{Environment: units.EnvironmentName(text)}, nil
	}}
	var group sync.WaitGroup
	for range 12 {
		group.Go(func() {
			if d, err := a.parse(7, []byte("first")); err != nil || d.Environment != "first" {
				t.Errorf("parse: got document %v and error %v, want the first document", d, err)
			}
		})
	}
	group.Wait()
	if got := parses.Load(); got != 1 {
		t.Errorf("got %d parses of one document, want 1", got)
	}
	if d, _ := a.parse(8, []byte("second")); d.Environment != "second" {
		t.Errorf("got document %q, want the second one", d.Environment)
	}
}

// Guards against an agent that does not send its document to an entry process that
// requests it because it lags behind, and against one that sends the document with
// every heartbeat.
func TestDocumentIsSentToEntryThatRequestsIt(t *testing.T) {
	text := []byte("document")
	a := &Agent{}
	a.config = configState{offset: 7, raw: text, author: "operator"}
	e := &entry{}
	for _, want := range []bool{false, true, false} {
		e.wantConfig = want
		h, _ := a.composeHeartbeat(e, time.Now())
		if got := string(h.GetConfigDocument()) == string(text) && h.GetConfigAuthor() == "operator"; got != want {
			t.Errorf("got document sent %t, want %t", got, want)
		}
		if got := h.GetConfigOffset(); got != 7 {
			t.Errorf("got offset %d, want 7", got)
		}
	}
}
