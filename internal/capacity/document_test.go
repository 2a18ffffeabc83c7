package capacity

import (
	"testing"

	"wasabihill.example/wasabihill/pkg/environment"
)

// Guards against measuring with a generated document that agents reject.
func TestDocumentIsValid(t *testing.T) {
	d, err := environment.Parse("document", document(3))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(d.Teams), teamCount; got != want {
		t.Errorf("teams: got %d, want %d", got, want)
	}
}

// BenchmarkDocument measures the parsing of a document, which each agent and entry
// process does for each new one.
func BenchmarkDocument(b *testing.B) {
	text := document(0)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := environment.Parse("document", text); err != nil {
			b.Fatal(err)
		}
	}
}
