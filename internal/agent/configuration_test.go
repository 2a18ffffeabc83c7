package agent

import (
	"sync"
	"sync/atomic"
	"testing"

	"wasabihill.example/wasabihill/pkg/environment"
	"wasabihill.example/wasabihill/pkg/units"
)

// Guards against an agent that parses one document once for each entry that
// sends it, and against one that takes an old document for a new one.
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
				t.Errorf("got %v, %v", d, err)
			}
		})
	}
	group.Wait()
	if got := parses.Load(); got != 1 {
		t.Errorf("got %d parses of one document, want 1", got)
	}
	if d, _ := a.parse(8, []byte("second")); d.Environment != "second" {
		t.Errorf("got the document %q, want the second", d.Environment)
	}
}
