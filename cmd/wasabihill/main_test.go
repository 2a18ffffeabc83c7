package main

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"wasabihill.example/wasabihill/internal/operator"
)

var update = flag.Bool("update", false, "write docs/configuration.md")

// Guards against a reference page that differs from the settings and the help of
// the program.
func TestReference(t *testing.T) {
	var page bytes.Buffer
	if err := operator.WriteReference(&page, extraCommands()...); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join("..", "..", "docs", "configuration.md")
	if *update {
		if err := os.WriteFile(path, page.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got := page.String(); got != string(want) {
		t.Errorf("docs/configuration.md differs from the generated page; run this test with -update\ngot:\n%s", got)
	}
}
